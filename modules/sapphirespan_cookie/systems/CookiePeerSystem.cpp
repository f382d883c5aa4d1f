#include "sapphirespan_cookie/systems/CookiePeerSystem.h"

#include "sapphirespan_cookie/systems/CookieKnowledgeSystem.h"
#include "sapphirespan_cookie/systems/CookieVerdictSystem.h"

#include <algorithm>

namespace sapphirespan {

namespace {

/** Shortest time between two reports with changes of the store's knowledge, and with a verdict that saves clients tries. */
constexpr Milliseconds shortestReportGap {80};
constexpr Milliseconds shortestVerdictGap {40};

/** Time for which a starting instance waits for a peer's answer before it asks the store; longer when a fleet starts for
    the first time, and only seeds ask the store at once. */
constexpr Milliseconds peersFirst {20};
constexpr Milliseconds seedsFirst {1500};

/** Time after the start in which instances that know nothing of their peers do not watch yet. */
constexpr Milliseconds meetingTime {800};

/** Age of knowledge at which an instance asks the store although others should; with two watchers whose waits last
    a second, knowledge is rarely older than half of this. */
constexpr Milliseconds oldestUnwatched {2200};

/** Ranks that do so for the others that they hear, and the age at which the others do it nevertheless. */
constexpr std::size_t askingForOthers = 4;
constexpr Milliseconds longestUnwatched {10000};

/** Knowledge younger than this shows that somebody watches: a watcher's wait, and its way here in a few hops. */
constexpr Milliseconds freshKnowledge {1200};

/** Time for which an instance has to be among the first by rank before it watches beside others; by then it has heard of all. */
constexpr Milliseconds settlingTime {3000};

/** So many turned away show that the store is out of reach from here as a whole; from then on the others try one after the
    other, this far apart. */
constexpr std::ptrdiff_t manyTurnedAway = 8;
constexpr Milliseconds slowTakeover {500};

/** Each further rank waits this much longer, so that the whole fleet does not ask at once. */
constexpr Milliseconds rankStagger {150};
constexpr std::size_t mostStaggered = 6;

/** Time after which an instance that the store turned away counts itself among those that reach it again. */
constexpr Milliseconds storeRetry {5000};

/** Time for which a watcher goes on at least, so that small changes of rank do not make it start and stop. */
constexpr Milliseconds shortestWatch {1500};

constexpr std::size_t mostSightings = 8;
constexpr std::size_t mostLoads = 64;
constexpr std::size_t mostVerdicts = 24;

bool reachesStore(const CookieState &state)
{
    return !state.storeFailedAt || state.now - *state.storeFailedAt > storeRetry;
}

std::uint32_t millisecondsSince(const CookieState &state, SteadyTime time)
{
    constexpr std::int64_t longest = 3'600'000;
    return static_cast<std::uint32_t>(
        std::clamp<std::int64_t>(std::chrono::duration_cast<Milliseconds>(state.now - time).count(), 0, longest));
}

PeerPhase phaseOf(const CookieState &state)
{
    if (state.leavingSince) {
        return PeerPhase::leaving;
    }
    if (!hasRoutesAndUpstreams(state)) {
        return PeerPhase::starting;
    }
    return state.leaveDeadline ? PeerPhase::waitingToLeave : PeerPhase::serving;
}

/** @param isUrgent leaves out what can wait for the next regular report */
PeerReport reportOf(CookieState &state, bool isUrgent)
{
    PeerReport report;
    report.sender = state.peers.self();
    report.sequenceNumber = state.nextReportNumber++;
    report.phase = phaseOf(state);
    report.reachesStore = reachesStore(state);
    report.isWatchingStore = state.watchReason != WatchReason::none;
    report.storeDataVersion = {state.routes.configuration().revision, state.upstreams.digest()};
    report.storeRevisions = state.confirmedRevisions;
    report.storeDataAgeMs = millisecondsSince(state, std::min(state.upstreamsConfirmedAt, state.routesConfirmedAt));
    report.hasLoads = !isUrgent;
    for (const auto &[cookie, row] : state.upstreams.rows()) {
        if (report.hasLoads && (row.load.activeFlows > 0 || row.load.waitingRequests > 0) && report.upstreamLoads.size() < mostLoads) {
            report.upstreamLoads.push_back({cookie, row.load.activeFlows, row.load.waitingRequests});
        }
    }
    for (const auto &verdict : state.verdicts.verdictsToForward(state.now, mostVerdicts)) {
        report.verdicts.push_back(
            {verdict.subject, verdict.prober, verdict.proberDataCentre, verdict.result, millisecondsSince(state, verdict.foundAt)});
    }
    while (!state.recentChanges.empty() && state.now - state.recentChanges.front().learnedAt > recentChangeLifetime) {
        state.recentChanges.pop_front();
    }
    for (auto change = state.recentChanges.rbegin();
         change != state.recentChanges.rend() && report.upstreamChanges.size() < maxChangesPerReport; ++change) {
        report.upstreamChanges.push_back(change->entry);
    }
    if (!isUrgent) {
        report.knownPeers = state.peers.selectKnownPeers(state.now, mostSightings, state.random);
    }
    return report;
}

/** Moves what a peer says of its load into the sums that placement uses. */
void replaceLoads(CookieState &state, PeerRow &peer, const std::vector<UpstreamLoadReport> &loads)
{
    const auto add = [&state](const std::vector<UpstreamLoadReport> &list, double sign) {
        for (const auto &load : list) {
            if (auto *row = state.upstreams.find(load.cookie); row != nullptr) {
                row->load.peerFlows = std::max(0.0, row->load.peerFlows + sign * load.activeFlows);
                row->load.peerWaitingRequests = std::max(0.0, row->load.peerWaitingRequests + sign * load.waitingRequests);
            }
        }
    };
    add(peer.upstreamLoads, -1);
    peer.upstreamLoads = loads;
    add(peer.upstreamLoads, 1);
}

/** Knowledge that equals a peer's is as fresh as the peer's. */
void takeFreshness(CookieState &state, const PeerReport &report)
{
    const auto confirmedAt = state.now - Milliseconds(report.storeDataAgeMs);
    if (report.storeDataVersion.upstreamsDigest == state.upstreams.digest()) {
        state.upstreamsConfirmedAt = std::max(state.upstreamsConfirmedAt, confirmedAt);
        state.confirmedRevisions.upstreams = std::max(state.confirmedRevisions.upstreams, report.storeRevisions.upstreams);
    }
    if (report.storeDataVersion.routesRevision == state.routes.configuration().revision) {
        state.routesConfirmedAt = std::max(state.routesConfirmedAt, confirmedAt);
        state.confirmedRevisions.routes = std::max(state.confirmedRevisions.routes, report.storeRevisions.routes);
    }
}

/** @returns how long a starting instance waits for a peer's answer. */
Milliseconds patienceOf(const CookieState &state)
{
    if (!state.settings.isInitialFleetStart) {
        return peersFirst;
    }
    return state.settings.isSeed ? Milliseconds(0) : seedsFirst;
}

bool isFirstByRank(const CookieState &state)
{
    const bool hasMet = state.now - state.startedAt > meetingTime;
    return hasRoutesAndUpstreams(state) && hasMet && state.peers.shouldWatchStore(reachesStore(state), state.now);
}

/** While knowledge is fresh somebody else watches, and an instance that takes itself for one of the first may only not have
    heard of them yet. */
bool isTakeoverDue(const CookieState &state)
{
    const auto &rows = state.peers.rows();
    const auto turnedAway = std::count_if(
        rows.begin(), rows.end(), [&state](const auto &item) { return isAlive(item.second, state.now) && !item.second.reachesStore; });
    const auto firstFor = state.topRankedSince ? state.now - *state.topRankedSince : Microseconds(0);
    if (turnedAway >= manyTurnedAway) {
        return firstFor >= slowTakeover;
    }
    return firstFor >= settlingTime || turnedAway > 0 || knowledgeAge(state) > freshKnowledge;
}

/** The first few that hear each other ask for all; the store answers one of them as well as any other. */
bool isOutOfTouch(const CookieState &state)
{
    const auto rank = state.peers.rank(state.now);
    const auto patience = rank < askingForOthers ? oldestUnwatched : longestUnwatched;
    return knowledgeAge(state) > patience + rankStagger * std::min(rank, mostStaggered);
}

std::vector<Endpoint> seedPeers(const CookieState &state)
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

void send(CookieState &state, const PeerReport &report, const std::vector<Endpoint> &targets)
{
    const auto bytes = encode(report);
    for (const auto &to : targets) {
        ++state.accounts.reportsSent;
        state.accounts.reportBytes += bytes.size();
        state.outbox.addOwned(CookieOutputKind::report, to, bytes);
    }
}

} // namespace

void handlePeerDatagram(CookieState &state, std::span<const std::uint8_t> datagram)
{
    const auto report = decodeReport(datagram);
    if (!report) {
        return;
    }
    for (const auto &sighting : report->knownPeers) {
        state.peers.take(sighting, state.now);
    }
    const auto known = state.peers.rows().find(report->sender.name);
    const bool isNew = known == state.peers.rows().end() || known->second.descriptor.incarnation != report->sender.incarnation;
    auto *peer = state.peers.merge(*report, state.now);
    if (peer == nullptr) {
        return;
    }
    if (isNew) {
        announce(state, CookieEventKind::peerDiscovered, 0, report->sender.name);
        state.isReportUrgent = true;
    }
    if (isNew || report->phase == PeerPhase::starting) {
        state.newPeerEndpoints.push_back(report->sender.reportEndpoint);
    }
    for (const auto &entry : report->upstreamChanges) {
        mergeUpstreamEntry(state, entry);
    }
    if (report->hasLoads) {
        replaceLoads(state, *peer, report->upstreamLoads);
    }
    takeFreshness(state, *report);
    for (const auto &verdict : report->verdicts) {
        handlePeerVerdict(state,
                          {verdict.subject, verdict.witness, verdict.vantage, verdict.result, state.now - Milliseconds(verdict.ageMs)});
    }
    requestDueSnapshots(state);
}

/** A starting instance knows its seeds only; until it has heard of others it takes itself for the first by rank. */
void sendReportsToNewPeers(CookieState &state)
{
    if (state.newPeerEndpoints.empty()) {
        return;
    }
    auto targets = std::exchange(state.newPeerEndpoints, {});
    std::sort(targets.begin(), targets.end());
    targets.erase(std::unique(targets.begin(), targets.end()), targets.end());
    send(state, reportOf(state, false), targets);
}

void sendDueReports(CookieState &state)
{
    const bool isRegular = state.now - state.lastRegularReportAt >= state.settings.reportInterval;
    const auto gap = state.hasUnreportedVerdict ? shortestVerdictGap : shortestReportGap;
    const bool isUrgent = !isRegular && state.isReportUrgent && state.now - state.lastReportAt >= gap;
    if (!isUrgent && !isRegular) {
        return;
    }
    const bool isNews = std::exchange(state.isReportUrgent, false);
    const bool isVerdict = std::exchange(state.hasUnreportedOwnVerdict, false);
    const auto reach = isVerdict ? ReportScope::ownProbeResult : (isNews ? ReportScope::urgent : ReportScope::regular);
    state.hasUnreportedVerdict = false;
    state.lastReportAt = state.now;
    state.lastRegularReportAt = isRegular ? state.now : state.lastRegularReportAt;
    auto targets = state.peers.selectReportTargets(reach, state.now, state.random);
    const auto seeds = seedPeers(state);
    targets.insert(targets.end(), seeds.begin(), seeds.end());
    if (targets.empty()) {
        return;
    }
    send(state, reportOf(state, isUrgent), targets);
}

void updateStoreWatch(CookieState &state)
{
    const bool isByRank = isFirstByRank(state);
    state.topRankedSince = isByRank ? std::optional(state.topRankedSince.value_or(state.now)) : std::nullopt;
    auto reason = WatchReason::none;
    if (!hasRoutesAndUpstreams(state)) {
        reason = state.now - state.startedAt >= patienceOf(state) ? WatchReason::initialLoad : reason;
    } else if (!state.leaveDeadline) {
        const bool goesOn = state.watchReason != WatchReason::none && state.watchReason != WatchReason::initialLoad
            && state.now - state.watchChangedAt < shortestWatch;
        if (isByRank && (state.watchReason == WatchReason::topRanked || isTakeoverDue(state))) {
            reason = WatchReason::topRanked;
        } else if (isOutOfTouch(state)) {
            reason = WatchReason::staleKnowledge;
        } else if (goesOn) {
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
