#pragma once

#include "sapphirespan_admission/sapphirespan_admission.h"
#include "sapphirespan_cookie/evidence/DataCentreEvidence.h"
#include "sapphirespan_cookie/evidence/LinkDelay.h"
#include "sapphirespan_cookie/evidence/VerdictBook.h"
#include "sapphirespan_cookie/flows/FlowBook.h"
#include "sapphirespan_cookie/flows/OpeningAge.h"
#include "sapphirespan_cookie/instance/CookieInstance.h"
#include "sapphirespan_cookie/knowledge/EvacuationDirectory.h"
#include "sapphirespan_cookie/peers/PeerSupplement.h"
#include "sapphirespan_cookie/peers/PeerTable.h"
#include "sapphirespan_cookie/state/CookieOutbox.h"
#include "sapphirespan_cookie/state/ServiceLocality.h"
#include "sapphirespan_cookie/state/WarmUpState.h"

#include <deque>
#include <random>
#include <unordered_set>

namespace sapphirespan {

/** An upstream entry that changed recently and is still included in reports to peers. */
struct RecentChange {
    UpstreamEntry entry;
    SteadyTime learnedAt {};
};

/** Time for which a change is included in reports. Peers that missed it detect the difference by comparing digests. */
inline constexpr Milliseconds recentChangeLifetime {1000};

/** Upper limit of changes per report; keeps the report within one datagram. */
inline constexpr std::size_t maxChangesPerReport = 8;

/** A client's packet that arrived before this instance had completed its initial load. */
struct HeldPacket {
    std::vector<std::uint8_t> bytes;
    SteadyTime arrivedAt {};
};

/** Held packets older than this are dropped. Clients retransmit after 200 ms, and at much longer intervals after that. */
inline constexpr Milliseconds heldPacketLifetime {300};

/** Upper limit of flows without a known route that are remembered; packets of others are dropped. */
inline constexpr std::size_t maxUnroutedFlows = 4096;

/** Upper limit of held packets; half a megabyte if all have the maximum size. */
inline constexpr std::size_t maxHeldPackets = 400;

/** Why an instance watches the store. */
enum class WatchReason : std::uint8_t {
    none,
    initialLoad, ///< routes, upstreams or evacuation orders are not loaded yet
    topRanked, ///< it ranks among the instances that watch on behalf of the fleet
    staleStoreData, ///< its data is out of date, whichever instances should be watching
    count
};

template<>
struct NameTable<WatchReason> {
    static constexpr std::array<std::string_view, enumCount<WatchReason>> names {"", "to_load", "by_rank", "out_of_touch"};
};

/** Latest supplement of a peer. */
struct ReceivedSupplement {
    PeerSupplement supplement;
    SteadyTime receivedAt {};
};

/** Complete state of one instance with cookie steering. Modified only by the functions under systems/ and by
    CookieInstance. Thread safety: none. */
struct CookieState {
    CookieState(CookieInstanceSettings instanceSettings, const PacketFormat &packetFormat, const Clock &instanceClock);

    CookieInstanceSettings settings;
    const PacketFormat &format;
    const Clock &clock;
    CookieOutbox outbox;
    sigc::signal<void(const CookieEvent &)> signalEvent;

    SteadyTime now {}; ///< time of the current batch or tick
    WallTime wallNow {}; ///< calendar time of the current batch
    SteadyTime startedAt {};
    SteadyTime lastTickAt {};
    SteadyTime runningLateUntil {}; ///< upstreams are not evaluated before this time, after a tick that came late
    std::optional<SteadyTime> resumedAt; ///< end of the latest pause of the process
    SteadyTime lastFlowSweepAt {};
    SteadyTime lastClientPacketAt {};
    std::optional<SteadyTime> leaveDeadline; ///< latest time to start leaving; set when leaving is requested
    std::optional<SteadyTime> leavingSince;

    UpstreamDirectory upstreams;
    RouteDirectory routes;
    std::unordered_set<FlowCookie> upstreamsToEvaluate; ///< all that need it, and some that no longer do until the next evaluation
    std::map<std::string, DataCentreEvidence> dataCentreEvidence; ///< by name; others that were suspect or had a peer's verdict
    VerdictTable verdicts;
    bool areUpstreamsLoaded = false;
    StoreRevisions confirmedRevisions; ///< store revisions up to which this instance's data is complete
    SteadyTime upstreamsConfirmedAt {}; ///< latest time at which the store is known to have matched `upstreams`
    SteadyTime routesConfirmedAt {}; ///< latest time at which the store is known to have matched `routes`
    EvacuationDirectory evacuations;
    SteadyTime evacuationsConfirmedAt {}; ///< latest time at which the store, or a peer's later list, confirmed `evacuations`
    SteadyTime storeLastOutOfReachAt {}; ///< latest tick at which no watcher seemed to hear from the store
    std::deque<RecentChange> recentChanges;

    FlowTrackingTable flows;
    std::unordered_map<FlowEnds, SteadyTime> unroutedFlows; ///< to when their first packet came for which no route was known
    OpeningAge openingAge;
    std::map<std::string, ServiceLoad> serviceLoads; ///< by service
    WarmUpState warmUp;
    std::map<std::string, PriorityLoad> priorityLoads; ///< by service; of those whose routes differ in priority, if the setting is on
    std::map<std::string, ServiceLocality> localities; ///< by service; only with DataCentreChoice::forecast
    std::map<std::string, PathTime> pathTimes; ///< by data centre of the upstreams; likewise
    SteadyTime sharesComputedAt {};
    std::deque<HeldPacket> heldPackets; ///< oldest first

    PeerTable peers;
    std::vector<Endpoint> newPeerEndpoints; ///< peers that are new or still starting; they get a report at once, as they know few others
    std::uint64_t nextReportNumber = 1;
    std::map<std::string, ReceivedSupplement> supplements; ///< latest one of each peer, by name
    std::uint64_t nextSupplementNumber = 1;
    SteadyTime lastSupplementSentAt {};
    bool isSupplementUrgent = false; ///< a change in it must not wait for the regular interval
    int urgentSupplementRepeats = 0; ///< number of urgent supplements to send after the next one
    SteadyTime lastReportSentAt {};
    SteadyTime lastRegularReportSentAt {};
    bool isReportUrgent = false;
    bool hasUnreportedVerdict = false; ///< a new verdict, of this instance or a peer, awaits the next report
    bool hasUnreportedOwnVerdict = false; ///< a new verdict of this instance awaits the next report
    std::optional<SteadyTime> storeFailedAt; ///< time of the latest failed call to the store; reset by the next success
    WatchReason watchReason = WatchReason::none;
    SteadyTime watchChangedAt {};
    std::optional<SteadyTime> topRankedSince; ///< start of the current unbroken period in which it ranks among the watchers

    std::vector<SnapshotRequest> snapshotRequests;
    SteadyTime lastSnapshotRequestAt {};
    std::size_t nextSeedIndex = 0;
    SteadyTime lastUpstreamFetchAt {};
    int consecutiveUpstreamFetches = 0; ///< fetches in a row after which the upstreams still differed from a peer's
    SteadyTime lastAnsweredProbeStartedAt {}; ///< latest start time of a probe that was answered
    SteadyTime lastAnsweredHostProbeStartedAt {}; ///< the same of probes of hosts
    SteadyTime lastConfirmationControlAt {}; ///< latest control for an attempt to confirm the silence of a host
    bool isLastHostControlSilent = false; ///< the latest hostSelfCheck was left unanswered
    std::size_t nextPeerControlIndex = 0; ///< rotates the peer that is asked for a control
    std::size_t nextSelfCheckIndex = 0; ///< rotates the target of self-check probes
    LinkDelay linkDelay; ///< of this instance
    SteadyTime ownLinkSuspectUntil {}; ///< own link or event loop may be at fault; no failed probe is reported to peers until then
    std::vector<ProbeRequest> probeRequests;

    std::mt19937_64 random;
    CookieCounters counters;
    ProbeCounters probeCounters;
};

/** Emits an event about a flow. @param upstream the cookie of its upstream, or 0 if there is none */
void announce(CookieState &state, CookieEventKind kind, const FlowEnds &flow, FlowCookie upstream, std::string_view detail);

/** Emits an event about an upstream, or one about no upstream if the cookie is 0. */
void announce(CookieState &state, CookieEventKind kind, FlowCookie upstream, std::string_view detail);

/** @returns one start of an upstream as "id@start address" for logs; the id in hexadecimal, the start in Unix milliseconds. */
std::string upstreamText(const UpstreamRow &row);

/** @returns a uniformly distributed random number in [0, 1). */
double uniformRandom(CookieState &state);

/** Time after a pause of the process in which it reads what waited in its sockets. The ages in it count from when it was sent, and by
    how much that is too low is not known. */
inline constexpr Milliseconds backlogReadingTime {400};

/** @returns whether what is read now may have waited in a socket during a pause. */
bool isReadingBacklog(const CookieState &state);

/** Interval between two ticks above which the process counts as running late. */
inline constexpr Milliseconds lateTickThreshold {90};

/** @returns whether what is read now may have waited in a socket, as the process runs late or was paused. */
bool isRunningLate(const CookieState &state);

/** @returns whether both routes and upstreams have been loaded. */
bool hasRoutesAndUpstreams(const CookieState &state);

/** @returns whether everything has been loaded that this instance needs to place flows: routes, upstreams and, if the settings ask for
    them, evacuation orders. */
bool isInitialLoadComplete(const CookieState &state);

/** Age from which routes and upstreams may be out of date: what is missing in them may just not be known here yet. */
inline constexpr Milliseconds staleStoreDataAge {2500};

/** Age from which the store counts as out of reach. Watchers hear from it every second, and others of that by their reports. */
inline constexpr Milliseconds outOfReachStoreDataAge {1800};

/** Records that one part of the data was complete up to a store revision at a time; ignores what is older than known. Announces
    a revision of a later store generation. */
void confirmStoreData(CookieState &state, StoreDataKind kind, std::uint64_t revision, SteadyTime confirmedAt);

/** Records that one part of the data is complete up to a store revision, without a time. */
void raiseConfirmedRevision(CookieState &state, StoreDataKind kind, std::uint64_t revision);

/** @returns the time since the routes and upstreams were last known to match the store; the older of the two counts. */
Milliseconds storeDataAge(const CookieState &state);

/** @returns whether the store data is older than staleStoreDataAge. */
bool isStoreDataStale(const CookieState &state);

} // namespace sapphirespan
