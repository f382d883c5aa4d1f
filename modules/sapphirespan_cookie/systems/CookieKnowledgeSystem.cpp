#include "sapphirespan_cookie/systems/CookieKnowledgeSystem.h"

#include <algorithm>

namespace sapphirespan {

namespace {

/** Shortest time between two snapshots that an instance asks for. */
constexpr Milliseconds snapshotGap {150};

/** Time for which upstreams may differ from a peer's before a snapshot is fetched; reports usually bring the changes. */
constexpr Milliseconds differenceTolerance {600};

CookieEventKind eventOf(ListedPhase phase)
{
    switch (phase) {
    case ListedPhase::ready:
        return CookieEventKind::upstreamListed;
    case ListedPhase::draining:
        return CookieEventKind::upstreamDraining;
    case ListedPhase::unreadable:
        return CookieEventKind::upstreamUnreadable;
    case ListedPhase::departed:
    case ListedPhase::count:
        break;
    }
    return CookieEventKind::upstreamDeparted;
}

/** Reports go out at once for what changes where flows may go; warming up can wait for the next report. */
void passOn(CookieState &state, const UpstreamEntry &entry)
{
    std::erase_if(state.changes, [&entry](const RecentChange &change) { return change.entry.id == entry.id; });
    state.changes.push_back({entry, state.now});
    announce(state, eventOf(entry.phase), cookieOf(entry.id, entry.startedAt), entry.service);
    if (entry.phase != ListedPhase::ready || entry.warmUpLeftMs == 0) {
        state.isReportUrgent = true;
    }
}

void noteLoaded(CookieState &state, bool wasLoaded, std::string_view from)
{
    if (!wasLoaded && isLoaded(state)) {
        state.isReportUrgent = true;
        announce(state, CookieEventKind::knowledgeLoaded, 0, from);
    }
}

void askPeer(CookieState &state, const Endpoint &control)
{
    state.lastSnapshotRequest = state.now;
    ++state.accounts.snapshotsAsked;
    state.snapshotRequests.push_back({control});
}

void askSeed(CookieState &state)
{
    for (std::size_t tried = 0; tried < state.settings.seeds.size(); ++tried) {
        const auto &seed = state.settings.seeds[state.nextSeed++ % state.settings.seeds.size()];
        if (seed != state.settings.control) {
            askPeer(state, seed);
            return;
        }
    }
}

/** @returns whether a peer's snapshot would bring news. */
bool knowsBetter(CookieState &state, const std::string &name, const PeerRow &row)
{
    if (!isAlive(row, state.now) || row.phase == PeerPhase::starting) {
        return false;
    }
    if (row.stamp.routesRevision > state.routes.configuration().revision) {
        return true;
    }
    if (row.stamp.upstreamsDigest == state.upstreams.digest()) {
        state.differsSince.erase(name);
        return false;
    }
    const auto since = state.differsSince.emplace(name, state.now).first->second;
    if (state.now - since < differenceTolerance) {
        return false;
    }
    state.differsSince[name] = state.now;
    return true;
}

} // namespace

void learnUpstream(CookieState &state, const UpstreamEntry &entry)
{
    if (state.upstreams.merge(entry, state.now)) {
        passOn(state, entry);
    }
}

void learnList(CookieState &state, const UpstreamList &list)
{
    const bool wasLoaded = isLoaded(state);
    const auto changed = state.upstreams.replaceAll(list, state.now);
    if (state.areUpstreamsLoaded) {
        std::for_each(changed.begin(), changed.end(), [&state](const UpstreamEntry &entry) { passOn(state, entry); });
    }
    state.areUpstreamsLoaded = true;
    state.upstreamsConfirmedAt = state.now;
    noteLoaded(state, wasLoaded, "store");
}

void learnChanges(CookieState &state, const UpstreamChanges &changes)
{
    for (const auto &entry : changes.entries) {
        learnUpstream(state, entry);
    }
    for (const auto &[id, revision] : changes.unreadable) {
        if (const auto entry = state.upstreams.markUnreadable(id, revision, state.now)) {
            passOn(state, *entry);
        }
    }
    for (const auto &[id, revision] : changes.departed) {
        if (const auto entry = state.upstreams.depart(id, revision, state.now)) {
            passOn(state, *entry);
        }
    }
}

void learnRoutes(CookieState &state, const RouteConfiguration &configuration)
{
    const bool wasLoaded = isLoaded(state);
    if (!state.routes.apply(configuration)) {
        return;
    }
    state.isReportUrgent = true;
    announce(state, CookieEventKind::routesInForce, 0, std::to_string(configuration.version));
    noteLoaded(state, wasLoaded, "store");
}

void learnSnapshot(CookieState &state, const KnowledgeSnapshot &snapshot)
{
    const bool wasLoaded = isLoaded(state);
    const auto confirmedAt = state.now - Milliseconds(snapshot.knowledgeAgeMs);
    const bool areRoutesCurrent = snapshot.routes.revision >= state.routes.configuration().revision;
    if (state.routes.apply(snapshot.routes)) {
        state.isReportUrgent = true;
        announce(state, CookieEventKind::routesInForce, 0, std::to_string(snapshot.routes.version));
    }
    if (areRoutesCurrent) {
        state.routesConfirmedAt = std::max(state.routesConfirmedAt, confirmedAt);
    }
    for (const auto &entry : snapshot.upstreams) {
        if (state.upstreams.merge(entry, state.now) && state.areUpstreamsLoaded) {
            passOn(state, entry);
        }
    }
    if (!state.areUpstreamsLoaded) {
        state.areUpstreamsLoaded = true;
        state.upstreamsConfirmedAt = confirmedAt;
    }
    noteLoaded(state, wasLoaded, "peer");
}

void requestSnapshots(CookieState &state)
{
    if (state.now - state.lastSnapshotRequest < snapshotGap) {
        return;
    }
    for (const auto &[name, row] : state.peers.rows()) {
        if (knowsBetter(state, name, row)) {
            askPeer(state, row.card.control);
            return;
        }
    }
    if (!isLoaded(state)) {
        askSeed(state);
    }
}

} // namespace sapphirespan
