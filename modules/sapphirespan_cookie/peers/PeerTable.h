#pragma once

#include "sapphirespan_cookie/peers/PeerReport.h"

#include <map>
#include <random>

namespace sapphirespan {

/** Another instance, as this one knows it. */
struct PeerRow {
    PeerDescriptor descriptor;
    PeerPhase phase = PeerPhase::starting;
    bool reachesStore = false;
    bool isWatchingStore = false;
    std::uint64_t lastSequenceNumber = 0;
    StoreDataVersion storeDataVersion;
    SteadyTime storeDataConfirmedAt {}; ///< when the store last confirmed what the stamp stands for
    SteadyTime phaseSince {}; ///< when it was first heard in this phase
    SteadyTime lastAliveAt {}; ///< when it last sent something, as heard here or told by others
    SteadyTime lastReportAt {}; ///< when it was last heard here
    std::vector<UpstreamLoadReport> upstreamLoads;
};

/** Silence after which a peer is taken to be out. */
inline constexpr Milliseconds peerLivenessTimeout {1500};

/** Time after its start by which the fabric hands packets to an instance again; it checks twice a second. */
inline constexpr Milliseconds fabricReadmissionDelay {700};

/** Silence of a peer after which it is taken to have ended for a restart, and time within which it should be back. */
inline constexpr Milliseconds restartSilenceThreshold {900};
inline constexpr Milliseconds restartTimeout {6000};

/** Silence after which a peer is forgotten. */
inline constexpr Milliseconds peerRetentionPeriod {60000};

/** Instances that watch the store at a time; two, so that the loss of one delays nothing. */
inline constexpr std::size_t storeWatcherCount = 2;

/** Fleet size up to which each instance reports to every other. */
inline constexpr std::size_t fullMeshMaxInstances = 12;

/** Peers of the own and of other data centres that get one report in a larger fleet. */
inline constexpr std::size_t sameDataCentreFanOut = 4;
inline constexpr std::size_t otherDataCentreFanOut = 2;

/** Peers of the own data centre that get one with what the sender itself has found out: they are about to try the same. */
inline constexpr std::size_t ownProbeResultFanOut = 16;

/** How far a report should go. */
enum class ReportScope : std::uint8_t {
    regular,
    urgent, ///< other data centres get it in any case
    ownProbeResult, ///< so do many in the own data centre
    count
};

/** The other instances, by name. Thread safety: none. */
class PeerTable
{
public:
    explicit PeerTable(PeerDescriptor self)
        : m_self(std::move(self))
    {
    }

    /** Takes in a report. An earlier incarnation is heard again only once the later one has fallen silent, as after a step
        of the clock that incarnations come from. @returns its sender's row, or nullptr for a report that is old or this instance's own */
    PeerRow *merge(const PeerReport &report, SteadyTime now);

    /** Takes in that others heard of an instance. If it is an earlier start of this one with a higher incarnation, this
        instance goes above it. */
    void take(const KnownPeer &sighting, SteadyTime now);

    /** Forgets peers that were silent for long. */
    void evictSilent(SteadyTime now);

    /** @returns whether this instance should watch the store: among the first by rank of those that reach it.
        @param selfReachesStore whether this instance counts itself
    */
    bool shouldWatchStore(bool selfReachesStore, SteadyTime now) const;

    /** @returns whether too few instances of the same data centre would be left if this one left now: a fabric with fewer
        than half of them left hands packets to all, ended ones too.
    */
    bool shouldDeferLeaving(SteadyTime now) const;

    /** @returns this instance's rank among those alive, from 0; staggers what any may do but few should. */
    std::size_t rank(SteadyTime now) const;

    /** @returns its rank among those of its own data centre. */
    std::size_t rankInDataCentre(SteadyTime now) const;

    /** @returns the peers that get the next report. */
    std::vector<Endpoint> selectReportTargets(ReportScope reach, SteadyTime now, std::mt19937_64 &random);

    /** @returns some peers that are alive, for a report: the first by rank, and others at random. */
    std::vector<KnownPeer> selectKnownPeers(SteadyTime now, std::size_t most, std::mt19937_64 &random) const;

    std::map<std::string, PeerRow> &rows()
    {
        return m_rows;
    }

    const std::map<std::string, PeerRow> &rows() const
    {
        return m_rows;
    }

    const PeerDescriptor &self() const
    {
        return m_self;
    }

private:
    PeerDescriptor m_self;
    std::map<std::string, PeerRow> m_rows;
    std::uint64_t m_round = 0;
};

/** @returns a number that orders instances by name without following their names' order (FNV-1a; Fowler, Noll and Vo). */
std::uint64_t rankKey(const std::string &name);

/** @returns whether a peer was alive within its lease. */
bool isAlive(const PeerRow &row, SteadyTime now);

} // namespace sapphirespan
