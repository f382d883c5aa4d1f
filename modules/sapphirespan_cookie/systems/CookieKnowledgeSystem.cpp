#include "sapphirespan_cookie/systems/CookieKnowledgeSystem.h"

#include <algorithm>

namespace sapphirespan {

namespace {

/** Shortest time between two snapshots that an instance asks for. */
constexpr Milliseconds snapshotGap {150};

/** Upstreams that differ from a peer's are fetched once this instance's were confirmed so much earlier: then something
    was lost that reports usually bring. */
constexpr Milliseconds staleness {800};

/** Shortest time between two fetches of upstreams, and time within which a change counts as recent. */
constexpr Milliseconds upstreamFetchGap {500};
constexpr Milliseconds recentTime {5000};

/** Recent changes are fetched so often before everything is. */
constexpr int recentFetches = 2;

CookieEventKind eventOf(RegistrationPhase phase)
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

/** Reports go out at once for what changes where flows may go; warming up can wait for the next report. */
void passOn(CookieState &state, const UpstreamEntry &entry, std::optional<RegistrationPhase> before)
{
    std::erase_if(state.recentChanges, [&entry](const RecentChange &change) { return change.entry.id == entry.id; });
    state.recentChanges.push_back({entry, state.now});
    if (before != entry.phase) {
        state.isReportUrgent = true;
        announce(state, eventOf(entry.phase), cookieOf(entry.id, entry.startedAt), entry.service);
    }
}

std::optional<RegistrationPhase> phaseOf(const CookieState &state, const UpstreamEntry &entry)
{
    const auto row = state.upstreams.rows().find(cookieOf(entry.id, entry.startedAt));
    return row != state.upstreams.rows().end() ? std::optional(row->second.entry.phase) : std::nullopt;
}

void noteLoaded(CookieState &state, bool wasLoaded, bool isFromPeer)
{
    if (!wasLoaded && hasRoutesAndUpstreams(state)) {
        ++(isFromPeer ? state.accounts.initialLoadsFromPeer : state.accounts.initialLoadsFromStore);
        state.isReportUrgent = true;
        announce(state, CookieEventKind::storeDataLoaded, 0, isFromPeer ? "peer" : "store");
    }
}

void askPeer(CookieState &state, const Endpoint &control, const SnapshotScope &scope)
{
    state.lastSnapshotRequestAt = state.now;
    ++state.accounts.snapshotsRequested;
    state.snapshotRequests.push_back({control, scope});
}

void askSeed(CookieState &state)
{
    for (std::size_t tried = 0; tried < state.settings.seeds.size(); ++tried) {
        const auto &seed = state.settings.seeds[state.nextSeedIndex++ % state.settings.seeds.size()];
        if (seed != state.settings.controlEndpoint) {
            askPeer(state, seed, {});
            return;
        }
    }
}

/** Asks one of the peers that know better, at random, so that the fleet does not ask the same one; those in the own data
    centre first. */
template<typename KnowsBetter>
bool askOneOf(CookieState &state, const SnapshotScope &scope, KnowsBetter knowsBetter)
{
    std::vector<const PeerRow *> inside;
    std::vector<const PeerRow *> outside;
    for (const auto &[name, row] : state.peers.rows()) {
        if (isAlive(row, state.now) && row.phase != PeerPhase::starting && knowsBetter(row)) {
            (row.descriptor.dataCentre == state.settings.dataCentre ? inside : outside).push_back(&row);
        }
    }
    const auto &candidates = inside.empty() ? outside : inside;
    if (candidates.empty()) {
        return false;
    }
    askPeer(state, candidates[state.random() % candidates.size()]->descriptor.controlEndpoint, scope);
    return true;
}

bool askForRoutes(CookieState &state)
{
    const auto revision = state.routes.configuration().revision;
    return askOneOf(state, {revision, true}, [revision](const PeerRow &row) { return row.storeDataVersion.routesRevision > revision; });
}

bool askForUpstreams(CookieState &state)
{
    if (state.now - state.lastUpstreamFetchAt < upstreamFetchGap) {
        return false;
    }
    const SnapshotScope scope {state.routes.configuration().revision, state.consecutiveUpstreamFetches < recentFetches};
    const bool isAsked = askOneOf(state, scope, [&state](const PeerRow &row) {
        return row.storeDataVersion.upstreamsDigest != state.upstreams.digest()
            && row.storeDataConfirmedAt - state.upstreamsConfirmedAt > staleness;
    });
    state.consecutiveUpstreamFetches = isAsked ? state.consecutiveUpstreamFetches + 1 : 0;
    state.lastUpstreamFetchAt = isAsked ? state.now : state.lastUpstreamFetchAt;
    return isAsked;
}

/** A peer that knows more and does not know an upstream at all has forgotten that it departed. */
void departMissing(CookieState &state, const StoreDataSnapshot &snapshot)
{
    std::unordered_set<UpstreamId> told;
    for (const auto &entry : snapshot.upstreams) {
        told.insert(entry.id);
    }
    std::vector<UpstreamId> missing;
    for (const auto &[cookie, row] : state.upstreams.rows()) {
        const bool isListed = row.entry.phase != RegistrationPhase::departed;
        if (isListed && row.entry.revision <= snapshot.storeRevisions.upstreams && !told.contains(row.entry.id)) {
            missing.push_back(row.entry.id);
        }
    }
    for (const auto id : missing) {
        if (const auto entry = state.upstreams.markDeparted(id, 0, state.now)) {
            passOn(state, *entry, std::nullopt);
        }
    }
}

} // namespace

void mergeUpstreamEntry(CookieState &state, const UpstreamEntry &entry)
{
    const auto before = phaseOf(state, entry);
    if (state.upstreams.merge(entry, state.now)) {
        passOn(state, entry, before);
    }
}

void mergeStoreList(CookieState &state, const UpstreamList &list)
{
    const bool wasLoaded = hasRoutesAndUpstreams(state);
    const auto changed = state.upstreams.reconcileWithList(list, state.now);
    if (state.areUpstreamsLoaded) {
        std::for_each(changed.begin(), changed.end(), [&state](const UpstreamEntry &entry) { passOn(state, entry, std::nullopt); });
    }
    state.areUpstreamsLoaded = true;
    noteLoaded(state, wasLoaded, false);
}

void mergeStoreChanges(CookieState &state, const UpstreamChanges &changes)
{
    for (const auto &entry : changes.entries) {
        mergeUpstreamEntry(state, entry);
    }
    for (const auto &[id, revision] : changes.unreadable) {
        if (const auto entry = state.upstreams.markUnreadable(id, revision, state.now)) {
            passOn(state, *entry, std::nullopt);
        }
    }
    for (const auto &[id, revision] : changes.departed) {
        if (const auto entry = state.upstreams.markDeparted(id, revision, state.now)) {
            passOn(state, *entry, std::nullopt);
        }
    }
}

void applyRouteConfiguration(CookieState &state, const RouteConfiguration &configuration)
{
    const bool wasLoaded = hasRoutesAndUpstreams(state);
    if (!state.routes.apply(configuration)) {
        return;
    }
    state.isReportUrgent = true;
    announce(state, CookieEventKind::routesInForce, 0, std::to_string(configuration.version));
    noteLoaded(state, wasLoaded, false);
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
        if (!scope.hasRecentUpstreamsOnly || state.now - row.entryUpdatedAt < recentTime) {
            snapshot.upstreams.push_back(row.entry);
        }
    }
    snapshot.storeRevisions = state.confirmedRevisions;
    snapshot.hasRecentUpstreamsOnly = scope.hasRecentUpstreamsOnly;
    snapshot.storeDataAgeMs = static_cast<std::uint32_t>(knowledgeAge(state).count());
    return snapshot;
}

void mergePeerSnapshot(CookieState &state, const StoreDataSnapshot &snapshot)
{
    const bool wasLoaded = hasRoutesAndUpstreams(state);
    const auto confirmedAt = state.now - Milliseconds(snapshot.storeDataAgeMs);
    const bool areRoutesCurrent = snapshot.routes.revision != 0 && snapshot.routes.revision >= state.routes.configuration().revision;
    if (state.routes.apply(snapshot.routes)) {
        state.isReportUrgent = true;
        announce(state, CookieEventKind::routesInForce, 0, std::to_string(snapshot.routes.version));
    }
    if (areRoutesCurrent) {
        state.routesConfirmedAt = std::max(state.routesConfirmedAt, confirmedAt);
        state.confirmedRevisions.routes = std::max(state.confirmedRevisions.routes, snapshot.storeRevisions.routes);
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
        departMissing(state, snapshot);
        state.confirmedRevisions.upstreams = snapshot.storeRevisions.upstreams;
    }
    noteLoaded(state, wasLoaded, true);
}

void requestDueSnapshots(CookieState &state)
{
    if (state.now - state.lastSnapshotRequestAt < snapshotGap) {
        return;
    }
    if (hasRoutesAndUpstreams(state) && (askForRoutes(state) || askForUpstreams(state))) {
        return;
    }
    if (!hasRoutesAndUpstreams(state) && !askOneOf(state, {}, [](const PeerRow &) { return true; })) {
        askSeed(state);
    }
}

} // namespace sapphirespan
