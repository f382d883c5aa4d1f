#include "sapphirespan_cookie/systems/CookiePeerSystem.h"

#include "sapphirespan_cookie/systems/CookieEvacuationSystem.h"
#include "sapphirespan_cookie/systems/CookieKnowledgeSystem.h"
#include "sapphirespan_cookie/systems/CookieSupplementSystem.h"
#include "sapphirespan_cookie/systems/CookieVerdictSystem.h"

#include <algorithm>
#include <cmath>

namespace sapphirespan {

namespace {

/** Minimum time between a report and an urgent one after it: for changes such as of store data, and for a new verdict, which
    spares clients failed connection attempts. */
constexpr Milliseconds minUrgentReportInterval {80};
constexpr Milliseconds minVerdictReportInterval {40};

/** Time for which a starting instance waits for a peer's snapshot before it queries the store. The longer delay applies when
    a whole fleet starts for the first time; there only seeds query the store at once. */
constexpr Milliseconds startStoreQueryDelay {20};
constexpr Milliseconds initialFleetStoreQueryDelay {1500};

/** Time after the start during which an instance does not watch the store by rank, because it may not know its peers yet. */
constexpr Milliseconds peerDiscoveryTime {800};

/** Age of store data at which the first instance by rank queries the store although it is not among the watchers. With two
    watchers whose blocking queries last a second, data is rarely older than half of this. Where not all instances report to each
    other, confirmations take longer to come round. */
constexpr Milliseconds fallbackWatchAge {2000};
constexpr Milliseconds fallbackWatchAgeOfLargeFleet {2200};

/** Additional age in which the number of instances that have queried the store doubles, and the number from which it does. In the
    smallest fleets, whose bounds are 3 s, this leaves a few tenths of a second when a third has asked in vain. */
constexpr Milliseconds fallbackDoublingTime {150};
constexpr double firstFallbackWatchers = 2;

/** Share of the instances that query the store by the age of their data. The store may turn away 0.35 of a fleet, also each instance that
    queries it; the rest allows for ranks that differ between instances. Small fleets query as a whole; the maximum keeps a large
    one from pressing on a store that is silent to all. */
constexpr double fallbackWatcherShare = 0.45;
constexpr std::size_t minFallbackWatchers = 12;
constexpr std::size_t maxFallbackWatchers = 96;

/** Number of first ranks that go on querying the store while it is silent, and time that the others wait after a failed call. */
constexpr std::size_t persistentFallbackWatchers = 4;
constexpr Milliseconds fallbackRetryDelay {8000};

/** Age at which the other instances begin to query the store as well, and additional age for each rank. */
constexpr Milliseconds lateFallbackWatchAge {10000};
constexpr Milliseconds lateFallbackDelayPerRank {20};

/** Store data younger than this shows that another instance is watching: it allows for one blocking query of the watcher
    and for a few hops between peers. */
constexpr Milliseconds freshStoreDataAge {1200};

/** Time for which an instance must have been among the first by rank before it watches while store data is fresh; by then
    it has heard of all peers. */
constexpr Milliseconds rankSettlingTime {3000};

/** The same while store data is not fresh. Reports about the watchers may just be late: in a large fleet each instance hears of
    them through others. */
constexpr Milliseconds takeoverDelay {250};

/** Number of live peers without access to the store from which the next by rank do not try one after the other. They take over once data
    is fresh, which shows that the store serves others, after this time; until then instances query by the age of their data only. */
constexpr std::ptrdiff_t storeOutagePeerCount = 8;
constexpr Milliseconds outageTakeoverDelay {500};

/** Time after a failed store call after which this instance again counts and reports the store as reachable. */
constexpr Milliseconds storeRetryDelay {5000};

/** Minimum time for which a watcher continues, so that small changes of rank do not make it start and stop repeatedly. */
constexpr Milliseconds minWatchDuration {1500};

constexpr std::size_t maxKnownPeersPerReport = 8;
constexpr std::size_t maxVerdictsPerReport = 24;

/** Space in a report for its verdicts and for its changes of upstreams. What remains of maxReportBytes is enough for the sender
    and the known peers, whose texts come from settings. */
constexpr std::size_t maxVerdictBytes = 2800;
constexpr std::size_t maxChangeBytes = 2800;

/** Upper limits of what the numbers of one item, and the headers of its texts, take when encoded. */
constexpr std::size_t maxVerdictNumberBytes = 32;
constexpr std::size_t maxChangeNumberBytes = 64;

bool isStoreReachable(const CookieState &state)
{
    return !state.storeFailedAt || state.now - *state.storeFailedAt > storeRetryDelay;
}

std::uint32_t millisecondsSince(const CookieState &state, SteadyTime time)
{
    constexpr std::int64_t maxAgeMs = 3'600'000;
    return static_cast<std::uint32_t>(
        std::clamp<std::int64_t>(std::chrono::duration_cast<Milliseconds>(state.now - time).count(), 0, maxAgeMs));
}

PeerPhase ownPhase(const CookieState &state)
{
    if (state.leavingSince) {
        return PeerPhase::leaving;
    }
    if (!isInitialLoadComplete(state)) {
        return PeerPhase::starting;
    }
    return state.leaveDeadline ? PeerPhase::waitingToLeave : PeerPhase::serving;
}

/** Takes space for one item out of what remains. Texts come from other writers and may be of any length.
    @returns false if the item does not fit
*/
bool takeSpace(std::size_t &remainingBytes, std::size_t itemBytes)
{
    const bool fits = itemBytes <= remainingBytes;
    remainingBytes -= fits ? itemBytes : 0;
    return fits;
}

void addVerdicts(PeerReport &report, const CookieState &state)
{
    auto remainingBytes = maxVerdictBytes;
    for (const auto &verdict : state.verdicts.verdictsToForward(state.now, maxVerdictsPerReport)) {
        if (takeSpace(remainingBytes, maxVerdictNumberBytes + verdict.subject.dataCentre.size() + verdict.proberDataCentre.size())) {
            report.verdicts.push_back({verdict.subject, verdict.prober, verdict.proberDataCentre, verdict.result,
                                       millisecondsSince(state, verdict.foundAt), verdict.isHostSilent});
        }
    }
}

/** Adds the latest changes of upstreams. Peers find out about one that does not fit by comparing digests, and fetch it. */
void addUpstreamChanges(PeerReport &report, const CookieState &state)
{
    auto remainingBytes = maxChangeBytes;
    for (auto change = state.recentChanges.rbegin();
         change != state.recentChanges.rend() && report.upstreamChanges.size() < maxChangesPerReport; ++change) {
        const auto &entry = change->entry;
        if (takeSpace(remainingBytes, maxChangeNumberBytes + entry.service.size() + entry.dataCentre.size())) {
            report.upstreamChanges.push_back(entry);
        }
    }
}

/** Builds a report and uses up one sequence number.
    @param isUrgent omits known peers, which can wait for the next regular report
*/
PeerReport makeReport(CookieState &state, bool isUrgent)
{
    PeerReport report;
    report.sender = state.peers.self();
    report.sequenceNumber = state.nextReportNumber++;
    report.phase = ownPhase(state);
    report.reachesStore = isStoreReachable(state);
    report.isWatchingStore = state.watchReason != WatchReason::none;
    report.ranksAcrossDataCentres = true;
    report.storeDataVersion = {state.routes.configuration().revision, state.upstreams.digest()};
    report.storeRevisions = state.confirmedRevisions;
    report.storeDataAgeMs = millisecondsSince(state, std::min(state.upstreamsConfirmedAt, state.routesConfirmedAt));
    addVerdicts(report, state);
    while (!state.recentChanges.empty() && state.now - state.recentChanges.front().learnedAt > recentChangeLifetime) {
        state.recentChanges.pop_front();
    }
    addUpstreamChanges(report, state);
    if (!isUrgent) {
        report.knownPeers = state.peers.selectKnownPeers(state.now, maxKnownPeersPerReport, state.random);
    }
    return report;
}

/** Adopts a peer's confirmation times and store revisions for data that is identical here and at the peer. */
void adoptConfirmationTimes(CookieState &state, const PeerReport &report)
{
    const auto confirmedAt = state.now - Milliseconds(report.storeDataAgeMs);
    if (report.storeDataVersion.upstreamsDigest == state.upstreams.digest()) {
        confirmStoreData(state, StoreDataKind::upstreams, report.storeRevisions.upstreams, confirmedAt);
    }
    if (report.storeDataVersion.routesRevision == state.routes.configuration().revision) {
        confirmStoreData(state, StoreDataKind::routes, report.storeRevisions.routes, confirmedAt);
    }
}

/** @returns how long after its start an instance waits for a peer's snapshot before it queries the store. */
Milliseconds storeQueryDelay(const CookieState &state)
{
    if (!state.settings.isInitialFleetStart) {
        return startStoreQueryDelay;
    }
    return state.settings.isSeed ? Milliseconds(0) : initialFleetStoreQueryDelay;
}

/** @returns the number of instances that should watch the store: while store data is not fresh, one more for each other data
    centre known to be without the store. If most of them are, the watch so finds one that is not in a few steps. */
std::size_t requiredWatcherCount(const CookieState &state)
{
    const bool isFresh = storeDataAge(state) <= freshStoreDataAge;
    return storeWatcherCount + (isFresh ? 0 : state.peers.countOtherDataCentresWithoutStore(state.now));
}

bool isWatcherByRank(const CookieState &state)
{
    const bool isDiscoveryOver = state.now - state.startedAt > peerDiscoveryTime;
    return isInitialLoadComplete(state) && isDiscoveryOver
        && state.peers.shouldWatchStore(isStoreReachable(state), requiredWatcherCount(state), state.now);
}

/** @returns whether an instance that is among the first by rank may start watching. While store data is fresh another
    instance is watching, and this one may rank itself among the first only because it has not heard of that one yet. */
bool isTakeoverDue(const CookieState &state)
{
    const auto &rows = state.peers.rows();
    const auto peersWithoutStore = std::count_if(
        rows.begin(), rows.end(), [&state](const auto &item) { return isAlive(item.second, state.now) && !item.second.reachesStore; });
    const auto topRankedFor = state.topRankedSince ? state.now - *state.topRankedSince : Microseconds(0);
    const bool isFresh = storeDataAge(state) <= freshStoreDataAge;
    if (peersWithoutStore >= storeOutagePeerCount) {
        return isFresh && topRankedFor >= outageTakeoverDelay;
    }
    return topRankedFor >= rankSettlingTime || peersWithoutStore > 0 || (topRankedFor >= takeoverDelay && !isFresh);
}

/** @returns the age of store data at which an instance queries the store although it is not among the watchers. It depends on nothing
    that peers report of their access to the store: whoever the store turns away, and whether or not that is known yet, more
    instances than it may turn away have asked within a time that grows with the logarithm of their number. */
Milliseconds ageToQueryAt(const PeerTable &peers, const StoreQueryRank &rank)
{
    const auto share = static_cast<std::size_t>(fallbackWatcherShare * static_cast<double>(rank.instanceCount));
    const auto watchers = std::clamp(share, minFallbackWatchers, maxFallbackWatchers);
    if (rank.index >= watchers) {
        return lateFallbackWatchAge + lateFallbackDelayPerRank * (rank.index - watchers);
    }
    const auto doublings = std::log2(1 + static_cast<double>(rank.index) / firstFallbackWatchers);
    const auto first = peers.isFullMesh() ? fallbackWatchAge : fallbackWatchAgeOfLargeFleet;
    return first + std::chrono::duration_cast<Milliseconds>(fallbackDoublingTime * doublings);
}

/** @returns whether store data is so old that this instance should query the store although it is not among the watchers. */
bool isFallbackWatchDue(const CookieState &state)
{
    if (storeDataAge(state) <= fallbackWatchAge) {
        return false;
    }
    const auto rank = state.peers.rankForStoreQuery(state.now);
    const bool mayQuery
        = rank.index < persistentFallbackWatchers || !state.storeFailedAt || state.now - *state.storeFailedAt > fallbackRetryDelay;
    return mayQuery && storeDataAge(state) > ageToQueryAt(state.peers, rank);
}

std::vector<Endpoint> unknownSeedEndpoints(const CookieState &state)
{
    std::vector<Endpoint> result;
    for (const auto &seed : state.settings.seeds) {
        const Endpoint peer {seed.address, state.settings.reportEndpoint.port};
        const bool isKnown = std::any_of(state.peers.rows().begin(), state.peers.rows().end(), [&](const auto &item) {
            return item.second.descriptor.reportEndpoint == peer && isAlive(item.second, state.now);
        });
        if (peer != state.settings.reportEndpoint && !isKnown) {
            result.push_back(peer);
        }
    }
    return result;
}

void mergeUpstreamEntries(CookieState &state, const std::vector<UpstreamEntry> &entries)
{
    for (const auto &entry : entries) {
        mergeUpstreamEntry(state, entry);
    }
}

void send(CookieState &state, const PeerReport &report, const std::vector<Endpoint> &targets)
{
    const auto bytes = encode(report);
    for (const auto &to : targets) {
        ++state.counters.reportsSent;
        state.counters.reportBytes += bytes.size();
        state.outbox.addOwned(CookieOutputKind::report, to, bytes);
    }
}

} // namespace

void handlePeerDatagram(CookieState &state, std::span<const std::uint8_t> datagram)
{
    const auto report = decodeReport(datagram);
    if (!report) {
        handlePeerSupplement(state, datagram);
        return;
    }
    if (isReadingBacklog(state)) {
        mergeUpstreamEntries(state, report->upstreamChanges); // ordered by revision, so no age matters
        return;
    }
    for (const auto &knownPeer : report->knownPeers) {
        state.peers.mergeKnownPeer(knownPeer, state.now);
    }
    const auto known = state.peers.rows().find(report->sender.name);
    const bool isNew = known == state.peers.rows().end() || known->second.descriptor.incarnation != report->sender.incarnation;
    if (state.peers.merge(*report, state.now) == nullptr) {
        return;
    }
    if (isNew) {
        announce(state, CookieEventKind::peerDiscovered, 0, report->sender.name);
        state.isReportUrgent = true;
    }
    if (isNew || report->phase == PeerPhase::starting) {
        state.newPeerEndpoints.push_back(report->sender.reportEndpoint);
    }
    mergeUpstreamEntries(state, report->upstreamChanges);
    adoptConfirmationTimes(state, *report);
    for (const auto &verdict : report->verdicts) {
        handlePeerVerdict(state,
                          {verdict.subject, verdict.prober, verdict.proberDataCentre, verdict.result,
                           state.now - Milliseconds(verdict.ageMs), verdict.isHostSilent});
    }
    requestDueSnapshots(state);
}

/** A starting instance knows only its seeds and ranks itself first until it hears of other peers, so it gets a report without
    waiting for the next interval. */
void sendReportsToNewPeers(CookieState &state)
{
    if (state.newPeerEndpoints.empty()) {
        return;
    }
    auto targets = std::exchange(state.newPeerEndpoints, {});
    std::sort(targets.begin(), targets.end());
    targets.erase(std::unique(targets.begin(), targets.end()), targets.end());
    send(state, makeReport(state, false), targets);
    sendSupplement(state, targets);
}

void sendDueReports(CookieState &state)
{
    const bool isRegular = state.now - state.lastRegularReportSentAt >= state.settings.reportInterval;
    const auto minInterval = state.hasUnreportedVerdict ? minVerdictReportInterval : minUrgentReportInterval;
    const bool isUrgent
        = !isRegular && (state.isReportUrgent || state.isSupplementUrgent) && state.now - state.lastReportSentAt >= minInterval;
    if (!isUrgent && !isRegular) {
        return;
    }
    const bool wasUrgent = std::exchange(state.isReportUrgent, false);
    const bool hasOwnVerdict = std::exchange(state.hasUnreportedOwnVerdict, false);
    const auto reportScope = hasOwnVerdict ? ReportScope::ownProbeResult : (wasUrgent ? ReportScope::urgent : ReportScope::regular);
    state.hasUnreportedVerdict = false;
    state.lastReportSentAt = state.now;
    state.lastRegularReportSentAt = isRegular ? state.now : state.lastRegularReportSentAt;
    auto targets = state.peers.selectReportTargets(reportScope, state.now, state.random);
    const auto seeds = unknownSeedEndpoints(state);
    targets.insert(targets.end(), seeds.begin(), seeds.end());
    if (targets.empty()) {
        return;
    }
    send(state, makeReport(state, isUrgent), targets);
    sendDueSupplement(state, targets);
}

void updateStoreWatch(CookieState &state)
{
    const bool isTopRanked = isWatcherByRank(state);
    state.topRankedSince = isTopRanked ? std::optional(state.topRankedSince.value_or(state.now)) : std::nullopt;
    auto reason = WatchReason::none;
    if (!isInitialLoadComplete(state)) { // a peer of an earlier release has no evacuation orders, so the store is asked for them
        reason = state.now - state.startedAt >= storeQueryDelay(state) ? WatchReason::initialLoad : reason;
    } else if (!state.leaveDeadline) {
        const bool isMinDurationRunning = state.watchReason != WatchReason::none && state.watchReason != WatchReason::initialLoad
            && state.now - state.watchChangedAt < minWatchDuration;
        if (isTopRanked && (state.watchReason == WatchReason::topRanked || isTakeoverDue(state))) {
            reason = WatchReason::topRanked;
        } else if (isFallbackWatchDue(state) || isEvacuationWatchDue(state)) {
            reason = WatchReason::staleStoreData;
        } else if (isMinDurationRunning && isStoreReachable(state)) {
            reason = state.watchReason;
        }
    }
    const bool wasWatching = state.watchReason != WatchReason::none;
    const bool isWatching = reason != WatchReason::none;
    state.watchReason = reason;
    if (isWatching != wasWatching) {
        state.watchChangedAt = state.now;
        announce(state, isWatching ? CookieEventKind::storeWatchStarted : CookieEventKind::storeWatchStopped, 0, nameOf(reason));
    }
}

} // namespace sapphirespan
