#pragma once

#include "sapphirespan_cookie/peers/PeerReport.h"

#include <map>
#include <random>

namespace sapphirespan {

/** State of another instance, from its own reports and from those of third instances.

    All times are on this instance's steady clock.
*/
struct PeerRow {
    PeerDescriptor descriptor;
    PeerPhase phase = PeerPhase::starting;
    bool reachesStore = false;
    bool isWatchingStore = false;
    bool ranksByNameOnly = false; ///< as releases did before PeerReport::ranksAcrossDataCentres; known from its own reports only
    std::uint64_t lastSequenceNumber = 0;
    StoreDataVersion storeDataVersion;
    SteadyTime storeDataConfirmedAt {}; ///< when the store last confirmed storeDataVersion, by the age given in the report
    SteadyTime phaseSince {}; ///< since when it is known to be in this phase
    SteadyTime lastAliveAt {}; ///< when it last sent a report, received here or relayed by a third instance
    SteadyTime lastReportReceivedAt {}; ///< when a report of its own was last received here
};

/** Time without a sign of life after which a peer no longer counts as alive. */
inline constexpr Milliseconds peerLivenessTimeout {1500};

/** Time after an instance starts to serve by which the network fabric forwards packets to it again. The fabric checks
    the instances twice a second. */
inline constexpr Milliseconds fabricReadmissionDelay {700};

/** When deciding whether to defer leaving: a peer silent for longer than restartSilenceThreshold counts as restarting, and
    one silent for longer than restartTimeout is no longer expected back. */
inline constexpr Milliseconds restartSilenceThreshold {900};
inline constexpr Milliseconds restartTimeout {6000};

/** Time without a sign of life up to which a peer may still be there: it gets reports, since a network partition may heal, and in a large
    fleet only a part of the peers is heard of within peerLivenessTimeout. */
inline constexpr Milliseconds peerPresenceTimeout = 4 * peerLivenessTimeout;

/** Time without a sign of life after which a peer is removed from the table. */
inline constexpr Milliseconds peerRetentionPeriod {60000};

/** Number of instances that watch the store at the same time. Two, so that losing one causes no delay. */
inline constexpr std::size_t storeWatcherCount = 2;

/** Fleet size, including this instance, up to which each instance reports to every other one. */
inline constexpr std::size_t fullMeshMaxInstances = 12;

/** Number of peers in the same data centre, and in all others together, that receive each report in a larger fleet. */
inline constexpr std::size_t sameDataCentreFanOut = 4;
inline constexpr std::size_t otherDataCentreFanOut = 2;

/** Number of peers in the same data centre that receive a report with the sender's own probe results in a larger fleet.
    Higher than sameDataCentreFanOut, because these peers are about to make the same connection attempts. */
inline constexpr std::size_t ownProbeResultFanOut = 16;

/** Which peers a report is sent to; see PeerTable::selectReportTargets(). */
enum class ReportScope : std::uint8_t {
    regular, ///< in a full mesh, sent to other data centres in every second round only
    urgent, ///< other data centres always receive it
    ownProbeResult, ///< as urgent; in a larger fleet, to more peers in the same data centre
    count
};

/** Rank of an instance in the order in which instances query the store when nobody seems to do so. */
struct StoreQueryRank {
    std::size_t index = 0; ///< from 0
    std::size_t instanceCount = 1; ///< of the fleet, as far as they are known
};

/** The other instances of the fleet, by name, and the decisions that depend on which of them are alive.

    Instances have a rank in an order in which the data centres take turns: the first instance of each data centre, then the
    second of each, and so on. Within a data centre, and among instances of the same turn, rankKey() decides. So the first
    instances are in as many data centres as there are, whatever the names and the sizes of the data centres, and a failure of one
    data centre leaves some of them.

    Thread safety: none. Every `now` is a reading of the same steady clock.
*/
class PeerTable
{
public:
    explicit PeerTable(PeerDescriptor self)
        : m_self(std::move(self))
    {
    }

    /** Updates the sender's row from its report.

        A report of a lower incarnation is accepted only once the peer no longer counts as alive: incarnations come from the
        wall clock, so a restart after a clock step can have a lower one.

        @returns the sender's row, or nullptr if the report is outdated or this instance's own
    */
    PeerRow *merge(const PeerReport &report, SteadyTime now);

    /** Updates the table from what a report says about an instance other than its sender. An entry with this instance's report
        endpoint under another name is ignored.

        If it describes an earlier start of this instance with the same or a higher incarnation, this instance raises its own
        incarnation above that one, so that peers accept its reports.
    */
    void mergeKnownPeer(const KnownPeer &knownPeer, SteadyTime now);

    /** Removes peers without a sign of life for longer than peerRetentionPeriod. */
    void evictSilent(SteadyTime now);

    /** @returns whether this instance should watch the store: whether it is among the first `watcherCount` by rank of the
        instances that are alive, serving and able to reach the store. While instances of an earlier release are alive, which
        rank by name only, the first storeWatcherCount by their order watch as well, since those instances rely on them.
        @param selfReachesStore whether this instance counts itself among those that reach the store
    */
    bool shouldWatchStore(bool selfReachesStore, std::size_t watcherCount, SteadyTime now) const;

    /** @returns the number of other data centres in which a peer that is alive does not reach the store. */
    std::size_t countOtherDataCentresWithoutStore(SteadyTime now) const;

    /** @returns whether this instance should wait before it leaves, because fewer than half of the instances of its data
        centre would remain available. With fewer than half of them available the network fabric forwards packets to all
        of them, including those that have ended. False while every other instance of the data centre is available. Peers
        that wait to leave and rank before this instance count as unavailable, so that instances leave in turn.
    */
    bool shouldDeferLeaving(SteadyTime now) const;

    /** @returns whether every instance reports to every other one. */
    bool isFullMesh() const
    {
        return m_rows.size() < fullMeshMaxInstances;
    }

    /** @returns this instance's rank among those heard of within peerPresenceTimeout, whether or not they reach the store. Used to stagger
        queries of the store that any instance may make but only a few should. In a large fleet it differs somewhat between
        instances, since each hears of most others only within that time. */
    StoreQueryRank rankForStoreQuery(SteadyTime now) const;

    /** @returns this instance's rank among those alive in its own data centre, from 0. */
    std::size_t rankInDataCentre(SteadyTime now) const;

    /** Chooses the recipients of the next report and counts a report round. Peers silent for less than four times
        peerLivenessTimeout are included, since a network partition may heal. In a fleet larger than fullMeshMaxInstances
        the recipients are drawn at random.
        @returns the report endpoints of the recipients
    */
    std::vector<Endpoint> selectReportTargets(ReportScope scope, SteadyTime now, std::mt19937_64 &random);

    /** @returns at most `maxCount` peers that are alive, for a report. If there are more, the first few by rank and the first of
        this instance's own data centre are included, and the rest is drawn at random. */
    std::vector<KnownPeer> selectKnownPeers(SteadyTime now, std::size_t maxCount, std::mt19937_64 &random) const;

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
    /** An instance that is alive, with its place in the order of ranks. */
    struct RankedInstance {
        const PeerRow *row = nullptr; ///< null for this instance
        bool ranksByNameOnly = false; ///< an instance of an earlier release; ranks behind all others
        std::size_t turn = 0; ///< rank in its data centre
        std::uint64_t dataCentreKey = 0;
        std::uint64_t key = 0;
    };

    /** @returns the instances heard of within a time, and this one, in the order of their ranks. */
    std::vector<RankedInstance> rankedInstances(SteadyTime now, Milliseconds maxSilence = peerLivenessTimeout) const;

    bool isFirstByNameOnly(SteadyTime now) const;

    PeerDescriptor m_self;
    std::map<std::string, PeerRow> m_rows;
    std::uint64_t m_round = 0;
};

/** @returns the 64-bit FNV-1a (Fowler, Noll and Vo) hash of a name. It is the same everywhere, but names that differ only in their
    last character have keys close to each other: an order by it keeps the instances of a data centre together. */
std::uint64_t rankKey(const std::string &name);

/** @returns whether the peer gave a sign of life within the last peerLivenessTimeout. */
bool isAlive(const PeerRow &row, SteadyTime now);

} // namespace sapphirespan
