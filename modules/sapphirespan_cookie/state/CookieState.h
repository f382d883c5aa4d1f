#pragma once

#include "sapphirespan_cookie/evidence/DataCentreEvidence.h"
#include "sapphirespan_cookie/evidence/VerdictTable.h"
#include "sapphirespan_cookie/flows/FlowTrackingTable.h"
#include "sapphirespan_cookie/instance/CookieInstance.h"
#include "sapphirespan_cookie/peers/PeerTable.h"
#include "sapphirespan_cookie/state/CookieOutbox.h"

#include <deque>
#include <random>
#include <unordered_set>

namespace sapphirespan {

/** An entry that this instance learned lately and still passes on. */
struct RecentChange {
    UpstreamEntry entry;
    SteadyTime learnedAt {};
};

/** Time for which a change is passed on in reports; digests find what is lost beyond it. */
inline constexpr Milliseconds recentChangeLifetime {1000};

/** Changes in one report at most, so that it stays within a datagram. */
inline constexpr std::size_t maxChangesPerReport = 8;

/** A client's packet that came before routes and upstreams were known. */
struct HeldPacket {
    std::vector<std::uint8_t> bytes;
    SteadyTime arrivedAt {};
};

/** Time for which such a packet is worth sending on; its client repeats it after 200 ms, and later ones far apart. */
inline constexpr Milliseconds heldPacketLifetime {300};

/** Packets held at most: half a megabyte of the largest. */
inline constexpr std::size_t maxHeldPackets = 400;

/** Why an instance asks the store. */
enum class WatchReason : std::uint8_t {
    none,
    initialLoad, ///< it knows nothing yet
    topRanked, ///< it watches for the fleet
    staleKnowledge, ///< what it knows is old, whoever should watch
    count
};

template<>
struct NameTable<WatchReason> {
    static constexpr std::array<std::string_view, enumCount<WatchReason>> names {"", "to_load", "by_rank", "out_of_touch"};
};

/** All tables of one instance with cookie steering. The systems run over them; nothing else changes them. */
struct CookieState {
    CookieState(CookieInstanceSettings instanceSettings, const PacketFormat &packetFormat, const Clock &instanceClock);

    CookieInstanceSettings settings;
    const PacketFormat &format;
    const Clock &clock;
    CookieOutbox outbox;
    sigc::signal<void(const CookieEvent &)> signalEvent;

    SteadyTime now {}; ///< of the batch or tick in progress
    SteadyTime startedAt {};
    SteadyTime lastTickAt {};
    SteadyTime runningLateUntil {}; ///< until when this instance takes itself to run late
    SteadyTime lastFlowSweepAt {};
    SteadyTime lastClientPacketAt {}; ///< from a client
    std::optional<SteadyTime> leaveDeadline; ///< by when to leave, once asked to
    std::optional<SteadyTime> leavingSince;

    UpstreamDirectory upstreams;
    RouteDirectory routes;
    std::unordered_set<FlowCookie> upstreamsToEvaluate; ///< all upstreams that are open to judge, and some that no longer are
    std::map<std::string, DataCentreEvidence> dataCentreEvidence; ///< others than this instance's, that were in question
    VerdictTable verdicts;
    bool areUpstreamsLoaded = false;
    StoreRevisions confirmedRevisions; ///< revisions of the store up to which everything is known
    SteadyTime upstreamsConfirmedAt {}; ///< when the store is known to have listed exactly these upstreams
    SteadyTime routesConfirmedAt {}; ///< when the store is known to have held exactly these routes
    std::deque<RecentChange> recentChanges;

    FlowTrackingTable flows;
    std::deque<HeldPacket> heldPackets; ///< in the order of their arrival

    PeerTable peers;
    std::vector<Endpoint> newPeerEndpoints; ///< peers that have just been heard of first by their own report, and know few others
    std::uint64_t nextReportNumber = 1;
    SteadyTime lastReportAt {};
    SteadyTime lastRegularReportAt {};
    bool isReportUrgent = false;
    bool hasUnreportedVerdict = false; ///< one that is news to peers
    bool hasUnreportedOwnVerdict = false; ///< one of this instance's own
    std::optional<SteadyTime> storeFailedAt; ///< when a call last failed, until one succeeds
    WatchReason watchReason = WatchReason::none;
    SteadyTime watchChangedAt {};
    std::optional<SteadyTime> topRankedSince; ///< since when it has been among the first by rank without a break

    std::vector<SnapshotRequest> snapshotRequests;
    SteadyTime lastSnapshotRequestAt {};
    std::size_t nextSeedIndex = 0;
    SteadyTime lastUpstreamFetchAt {};
    int consecutiveUpstreamFetches = 0; ///< in a row, without the upstreams becoming those of a peer
    SteadyTime lastAnsweredProbeStartedAt {}; ///< when the latest attempt started that was answered
    std::size_t nextControlProbeIndex = 0; ///< turn of the next control attempt
    SteadyTime ownLinkSuspectUntil {}; ///< until when this instance's own link or loop is in question
    std::vector<ProbeRequest> probeRequests;

    std::mt19937_64 random;
    CookieCounters accounts;
};

/** Tells listeners of an event about a flow. @param upstream the cookie of its upstream, or 0 */
void announce(CookieState &state, CookieEventKind kind, const FlowEnds &flow, FlowCookie upstream, std::string_view detail);

/** Tells listeners of an event about an upstream, or about this instance when the cookie is 0. */
void announce(CookieState &state, CookieEventKind kind, FlowCookie upstream, std::string_view detail);

/** @returns "id@start address" of one start of an upstream, for logs. */
std::string upstreamText(const UpstreamRow &row);

/** @returns a random number in [0, 1). */
double uniformRandom(CookieState &state);

/** @returns whether routes and upstreams are known. */
bool hasRoutesAndUpstreams(const CookieState &state);

/** @returns the time since the store is known to have held what this instance knows. */
Milliseconds knowledgeAge(const CookieState &state);

} // namespace sapphirespan
