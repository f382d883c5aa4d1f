#include "sapphirespan_cookie/systems/CookieKnowledgeSystem.h"

#include "sapphirespan_cookie/knowledge/StoreRevision.h"
#include "sapphirespan_cookie/systems/CookieEvacuationSystem.h"
#include "sapphirespan_cookie/systems/CookieSupplementSystem.h"

#include <algorithm>

namespace sapphirespan {

namespace {

/** Minimum time between two snapshot requests of an instance. */
constexpr Milliseconds minSnapshotRequestInterval {150};

/** Upstreams that differ from a peer's are fetched once the peer's were confirmed by more than this after the ones here: then
    a change that reports usually deliver was lost. */
constexpr Milliseconds maxUpstreamConfirmationLag {800};

/** Minimum time between two fetches of upstreams, and age up to which an entry belongs in a snapshot of recent changes. */
constexpr Milliseconds minUpstreamFetchInterval {500};
constexpr Milliseconds recentEntryWindow {5000};

/** Number of consecutive fetches that request recent changes only; the next ones request all upstreams. */
constexpr int maxRecentOnlyFetches = 2;

CookieEventKind eventKindOf(RegistrationPhase phase)
{
    switch (phase) {
    case RegistrationPhase::ready:
        return CookieEventKind::upstreamListed;
    case RegistrationPhase::draining:
        return CookieEventKind::upstreamDraining;
    case RegistrationPhase::unreadable:
        return CookieEventKind::upstreamUnreadable;
    case RegistrationPhase::departed:
    case RegistrationPhase::count:
        break;
    }
    return CookieEventKind::upstreamDeparted;
}

/** Queues an entry for the next reports to peers. A change of phase affects where flows may go, so it makes a report urgent
    and is announced; other changes, such as of the warm-up time, wait for the next report.
    @param previousPhase std::nullopt to treat the entry as a change of phase in any case
*/
void queueForPeers(CookieState &state, const UpstreamEntry &entry, std::optional<RegistrationPhase> previousPhase)
{
    std::erase_if(state.recentChanges, [&entry](const RecentChange &change) { return change.entry.id == entry.id; });
    state.recentChanges.push_back({entry, state.now});
    if (previousPhase != entry.phase) {
        state.isReportUrgent = true;
        announce(state, eventKindOf(entry.phase), cookieOf(entry.id, entry.startedAt), entry.service);
    }
}

std::optional<RegistrationPhase> knownPhase(const CookieState &state, const UpstreamEntry &entry)
{
    const auto row = state.upstreams.rows().find(cookieOf(entry.id, entry.startedAt));
    return row != state.upstreams.rows().end() ? std::optional(row->second.entry.phase) : std::nullopt;
}

void requestSnapshot(CookieState &state, const Endpoint &peerControlEndpoint, const SnapshotScope &scope)
{
    state.lastSnapshotRequestAt = state.now;
    ++state.counters.snapshotsRequested;
    auto extendedScope = scope;
    extendedScope.includesPolicies = needsPolicies(state);
    state.snapshotRequests.push_back({peerControlEndpoint, extendedScope});
}

void requestSnapshotFromSeed(CookieState &state)
{
    for (std::size_t attempts = 0; attempts < state.settings.seeds.size(); ++attempts) {
        const auto &seed = state.settings.seeds[state.nextSeedIndex++ % state.settings.seeds.size()];
        if (seed != state.settings.controlEndpoint) {
            requestSnapshot(state, seed, {});
            return;
        }
    }
}

/** Requests a snapshot from a random candidate, so that the fleet does not load a single peer; prefers candidates in the own
    data centre. Peers that are starting or silent are no candidates.
    @returns whether there was a candidate
*/
template<typename Predicate>
bool requestSnapshotFromPeer(CookieState &state, const SnapshotScope &scope, Predicate isCandidate)
{
    std::vector<const PeerRow *> localPeers;
    std::vector<const PeerRow *> remotePeers;
    for (const auto &[name, row] : state.peers.rows()) {
        if (isAlive(row, state.now) && row.phase != PeerPhase::starting && isCandidate(row)) {
            (row.descriptor.dataCentre == state.settings.dataCentre ? localPeers : remotePeers).push_back(&row);
        }
    }
    const auto &candidates = localPeers.empty() ? remotePeers : localPeers;
    if (candidates.empty()) {
        return false;
    }
    requestSnapshot(state, candidates[state.random() % candidates.size()]->descriptor.controlEndpoint, scope);
    return true;
}

bool requestNewerRoutes(CookieState &state)
{
    const auto revision = state.routes.configuration().revision;
    return requestSnapshotFromPeer(state, {revision, true},
                                   [revision](const PeerRow &row) { return row.storeDataVersion.routesRevision > revision; });
}

bool requestDifferingUpstreams(CookieState &state)
{
    if (state.now - state.lastUpstreamFetchAt < minUpstreamFetchInterval) {
        return false;
    }
    const SnapshotScope scope {state.routes.configuration().revision, state.consecutiveUpstreamFetches < maxRecentOnlyFetches};
    const bool isRequested = requestSnapshotFromPeer(state, scope, [&state](const PeerRow &row) {
        return row.storeDataVersion.upstreamsDigest != state.upstreams.digest()
            && row.storeDataConfirmedAt - state.upstreamsConfirmedAt > maxUpstreamConfirmationLag;
    });
    state.consecutiveUpstreamFetches = isRequested ? state.consecutiveUpstreamFetches + 1 : 0;
    state.lastUpstreamFetchAt = isRequested ? state.now : state.lastUpstreamFetchAt;
    return isRequested;
}

/** Marks upstreams that a full snapshot omits as departed. The snapshot's revision must be newer than the one confirmed here:
    snapshots include departed upstreams, so the peer has already removed the departed entry. Entries newer than the snapshot
    are kept. */
void markMissingAsDeparted(CookieState &state, const StoreDataSnapshot &snapshot)
{
    std::unordered_set<UpstreamId> snapshotIds;
    for (const auto &entry : snapshot.upstreams) {
        snapshotIds.insert(entry.id);
    }
    std::vector<UpstreamId> missing;
    for (const auto &[cookie, row] : state.upstreams.rows()) {
        const bool isListed = row.entry.phase != RegistrationPhase::departed;
        if (isListed && row.entry.revision <= snapshot.storeRevisions.upstreams && !snapshotIds.contains(row.entry.id)) {
            missing.push_back(row.entry.id);
        }
    }
    for (const auto id : missing) {
        if (const auto entry = state.upstreams.markUnlisted(id, snapshot.storeRevisions.upstreams, state.now)) {
            queueForPeers(state, *entry, std::nullopt);
        }
    }
}

/** Applies a configuration, and announces it if its version is new here, or that it was refused if that raised the revision of
    the one in force. */
void applyRoutes(CookieState &state, const RouteConfiguration &configuration)
{
    const auto version = state.routes.configuration().version;
    const auto revision = state.routes.configuration().revision;
    state.routes.apply(configuration);
    if (state.routes.configuration().revision == revision) {
        return;
    }
    state.isReportUrgent = true;
    if (configuration.version < version) {
        announce(state, CookieEventKind::routesRefused, 0,
                 "version " + std::to_string(configuration.version) + " is older than " + std::to_string(version) + ", which is in force");
    } else if (configuration.version != version || revision == 0) {
        announce(state, CookieEventKind::routesInForce, 0, std::to_string(configuration.version));
    }
}

/** @returns the phases of all known starts, by cookie. */
std::unordered_map<FlowCookie, RegistrationPhase> knownPhases(const CookieState &state)
{
    std::unordered_map<FlowCookie, RegistrationPhase> result;
    for (const auto &[cookie, row] : state.upstreams.rows()) {
        result.emplace(cookie, row.entry.phase);
    }
    return result;
}

/** Queues what a list changed. The first list of a store generation changes all revisions; entries of the same phase are then
    left to peers to fetch, since they are too many for reports. */
void queueListChanges(CookieState &state, const std::vector<UpstreamEntry> &changed,
                      const std::unordered_map<FlowCookie, RegistrationPhase> &phasesBefore, bool isNewGeneration)
{
    for (const auto &entry : changed) {
        const auto before = phasesBefore.find(cookieOf(entry.id, entry.startedAt));
        if (!isNewGeneration || before == phasesBefore.end() || before->second != entry.phase) {
            queueForPeers(state, entry, std::nullopt);
        }
    }
}

} // namespace

void recordInitialLoad(CookieState &state, bool wasComplete, bool isFromPeer)
{
    if (!wasComplete && isInitialLoadComplete(state)) {
        ++(isFromPeer ? state.counters.initialLoadsFromPeer : state.counters.initialLoadsFromStore);
        state.isReportUrgent = true;
        announce(state, CookieEventKind::storeDataLoaded, 0, isFromPeer ? "peer" : "store");
    }
}

void mergeUpstreamEntry(CookieState &state, const UpstreamEntry &entry)
{
    const auto previousPhase = knownPhase(state, entry);
    if (state.upstreams.merge(entry, state.now)) {
        queueForPeers(state, entry, previousPhase);
    }
}

void mergeStoreList(CookieState &state, const UpstreamList &list)
{
    const bool wasComplete = isInitialLoadComplete(state);
    const bool isNewGeneration = storeGeneration(list.revision) > storeGeneration(state.confirmedRevisions.upstreams);
    const auto phasesBefore = knownPhases(state);
    const auto changed = state.upstreams.reconcileWithList(list, state.now);
    if (state.areUpstreamsLoaded) {
        queueListChanges(state, changed, phasesBefore, isNewGeneration);
    }
    state.areUpstreamsLoaded = true;
    recordInitialLoad(state, wasComplete, false);
}

void mergeStoreChanges(CookieState &state, const UpstreamChanges &changes)
{
    for (const auto &entry : changes.entries) {
        mergeUpstreamEntry(state, entry);
    }
    for (const auto &[id, revision] : changes.unreadable) {
        if (const auto entry = state.upstreams.markUnreadable(id, revision, state.now)) {
            queueForPeers(state, *entry, std::nullopt);
        }
    }
    for (const auto &[id, revision] : changes.departed) {
        if (const auto entry = state.upstreams.markDeparted(id, revision, state.now)) {
            queueForPeers(state, *entry, std::nullopt);
        }
    }
}

void applyRouteConfiguration(CookieState &state, const RouteConfiguration &configuration)
{
    const bool wasComplete = isInitialLoadComplete(state);
    applyRoutes(state, configuration);
    recordInitialLoad(state, wasComplete, false);
}

std::optional<StoreDataSnapshot> makeSnapshot(const CookieState &state, const SnapshotScope &scope)
{
    if (!hasRoutesAndUpstreams(state)) {
        return std::nullopt;
    }
    StoreDataSnapshot snapshot;
    if (state.routes.configuration().revision > scope.routesNewerThan) {
        snapshot.routes = state.routes.configuration();
    }
    for (const auto &[cookie, row] : state.upstreams.rows()) {
        if (!scope.hasRecentUpstreamsOnly || state.now - row.entryUpdatedAt < recentEntryWindow) {
            snapshot.upstreams.push_back(row.entry);
        }
    }
    snapshot.storeRevisions = state.confirmedRevisions;
    snapshot.hasRecentUpstreamsOnly = scope.hasRecentUpstreamsOnly;
    snapshot.hasPolicies = scope.includesPolicies;
    if (scope.includesPolicies) {
        snapshot.evacuations = state.evacuations.entries();
    }
    snapshot.storeDataAgeMs = static_cast<std::uint32_t>(storeDataAge(state).count());
    return snapshot;
}

void mergePeerSnapshot(CookieState &state, const StoreDataSnapshot &snapshot)
{
    mergePeerEvacuations(state, snapshot.evacuations);
    const bool wasComplete = isInitialLoadComplete(state);
    const auto confirmedAt = isReadingBacklog(state) ? SteadyTime {} : state.now - Milliseconds(snapshot.storeDataAgeMs);
    const bool areRoutesCurrent = snapshot.routes.revision != 0 && snapshot.routes.revision >= state.routes.configuration().revision;
    applyRoutes(state, snapshot.routes);
    if (areRoutesCurrent) {
        confirmStoreData(state, StoreDataKind::routes, snapshot.storeRevisions.routes, confirmedAt);
    }
    for (const auto &entry : snapshot.upstreams) {
        if (state.areUpstreamsLoaded) {
            mergeUpstreamEntry(state, entry);
        } else {
            state.upstreams.merge(entry, state.now);
        }
    }
    if (!state.areUpstreamsLoaded) {
        state.areUpstreamsLoaded = true;
        state.upstreamsConfirmedAt = confirmedAt;
    }
    if (!snapshot.hasRecentUpstreamsOnly && snapshot.storeRevisions.upstreams > state.confirmedRevisions.upstreams) {
        markMissingAsDeparted(state, snapshot);
        raiseConfirmedRevision(state, StoreDataKind::upstreams, snapshot.storeRevisions.upstreams);
    }
    recordInitialLoad(state, wasComplete, true);
}

void requestDueSnapshots(CookieState &state)
{
    if (state.now - state.lastSnapshotRequestAt < minSnapshotRequestInterval) {
        return;
    }
    if (hasRoutesAndUpstreams(state) && (requestNewerRoutes(state) || requestDifferingUpstreams(state))) {
        return;
    }
    if (!hasRoutesAndUpstreams(state) && !requestSnapshotFromPeer(state, {}, [](const PeerRow &) { return true; })) {
        requestSnapshotFromSeed(state);
    }
}

} // namespace sapphirespan
