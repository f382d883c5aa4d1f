#include "sapphirespan_cookie/systems/CookieEvacuationSystem.h"

#include "sapphirespan_cookie/knowledge/StoreRevision.h"
#include "sapphirespan_cookie/systems/CookieKnowledgeSystem.h"

#include <algorithm>

namespace sapphirespan {

namespace {

CookieEventKind eventKindOf(EvacuationNewsKind kind)
{
    switch (kind) {
    case EvacuationNewsKind::started:
        return CookieEventKind::evacuationStarted;
    case EvacuationNewsKind::takenBack:
    case EvacuationNewsKind::held:
        return CookieEventKind::evacuationHeld;
    case EvacuationNewsKind::ended:
        return CookieEventKind::evacuationEnded;
    case EvacuationNewsKind::passedOver:
    case EvacuationNewsKind::count:
        break;
    }
    return CookieEventKind::evacuationPassedOver;
}

std::size_t countUpstreams(const CookieState &state, const std::string &dataCentre)
{
    const auto &rows = state.upstreams.rows();
    return static_cast<std::size_t>(std::count_if(rows.begin(), rows.end(), [&dataCentre](const auto &item) {
        return item.second.entry.phase != RegistrationPhase::departed && item.second.entry.dataCentre == dataCentre;
    }));
}

bool hasInstances(const CookieState &state, const std::string &dataCentre)
{
    const auto &peers = state.peers.rows();
    return dataCentre == state.settings.dataCentre || std::any_of(peers.begin(), peers.end(), [&dataCentre](const auto &item) {
               return item.second.descriptor.dataCentre == dataCentre;
           });
}

/** @returns how many upstreams an order concerns. Before the initial load that is not known. */
std::string extentOf(const CookieState &state, const std::string &dataCentre)
{
    const auto upstreams = countUpstreams(state, dataCentre);
    const bool isUnknown = upstreams == 0 && hasRoutesAndUpstreams(state) && !hasInstances(state, dataCentre);
    return isUnknown ? "warning: no upstream and no instance is known there" : std::to_string(upstreams) + " upstreams there";
}

std::string detailOf(const CookieState &state, const EvacuationNews &news)
{
    const auto order = news.dataCentre + ": generation " + std::to_string(storeGeneration(news.revision)) + " at revision "
        + std::to_string(revisionInGeneration(news.revision));
    switch (news.kind) {
    case EvacuationNewsKind::started:
        return order + ", " + extentOf(state, news.dataCentre);
    case EvacuationNewsKind::takenBack:
        return order + ", taken back; in force until upstreams are known up to then, now up to revision "
            + std::to_string(revisionInGeneration(state.confirmedRevisions.upstreams));
    case EvacuationNewsKind::held:
        return order + ", not listed by the restored store; in force until it is written again and removed";
    case EvacuationNewsKind::ended:
        return order + ", taken back " + std::to_string(news.delay.count()) + " ms ago; " + std::string(news.reason);
    case EvacuationNewsKind::passedOver:
    case EvacuationNewsKind::count:
        break;
    }
    return order + ", not applied: " + std::string(news.reason);
}

void announceNews(CookieState &state)
{
    for (const auto &news : state.evacuations.takeNews()) {
        announce(state, eventKindOf(news.kind), 0, detailOf(state, news));
    }
}

/** Number of urgent supplements after the first one that tell of a change. The first ones of all instances reach each peer with a
    probability of 0.998 (6 of 63 peers, drawn at random); the others would wait for a regular supplement. */
constexpr int changeRepeats = 1;

/** Age of the list at which nobody seems to watch the orders, and additional delay for each rank. A watch takes 2 s, and in a large
    fleet the regular supplements a few seconds more. */
constexpr Milliseconds unwatchedListAge {10000};
constexpr Milliseconds unwatchedDelayPerRank {150};

/** Tells peers and operators what was merged. @param wasComplete whether the initial load was complete before */
void finishMerge(CookieState &state, bool hasChanged, bool wasComplete, bool isFromPeer)
{
    if (hasChanged) {
        state.isSupplementUrgent = true;
        state.urgentSupplementRepeats = changeRepeats;
    }
    announceNews(state);
    recordInitialLoad(state, wasComplete, isFromPeer);
}

} // namespace

void mergeStoreEvacuationList(CookieState &state, const EvacuationList &list)
{
    if (state.settings.appliesEvacuations) {
        const bool wasComplete = isInitialLoadComplete(state);
        const bool hasChanged = state.evacuations.reconcileWithList(list, state.now);
        state.evacuationsConfirmedAt = state.now;
        finishMerge(state, hasChanged, wasComplete, false);
    }
}

void mergeStoreEvacuationChanges(CookieState &state, const EvacuationList &changes)
{
    if (state.settings.appliesEvacuations) {
        const bool wasComplete = isInitialLoadComplete(state);
        const bool hasChanged = state.evacuations.mergeChanges(changes, state.now);
        state.evacuationsConfirmedAt = state.now;
        finishMerge(state, hasChanged, wasComplete, false);
    }
}

void mergePeerEvacuations(CookieState &state, const EvacuationList &list)
{
    if (state.settings.appliesEvacuations) {
        const bool wasComplete = isInitialLoadComplete(state);
        const auto knownRevision = state.evacuations.revision();
        const bool hasChanged = state.evacuations.reconcileWithList(list, state.now);
        if (state.evacuations.revision() > knownRevision) {
            state.evacuationsConfirmedAt = state.now;
        }
        finishMerge(state, hasChanged, wasComplete, true);
    }
}

void updateEvacuations(CookieState &state)
{
    if (state.evacuations.isLoaded() && state.evacuations.revision() >= state.confirmedRevisions.upstreams) {
        state.evacuationsConfirmedAt = std::max(state.evacuationsConfirmedAt, state.upstreamsConfirmedAt);
    }
    if (state.evacuations.isAnyInForce()) {
        state.evacuations.endTakenBack(state.confirmedRevisions.upstreams, state.now);
        announceNews(state);
    }
}

void excludeEvacuated(const CookieState &state, ChoiceContext &context)
{
    if (!state.evacuations.isAnyInForce()) {
        return;
    }
    addCondition(context, [&state](const UpstreamRow &row) { return !isEvacuated(state, row); });
}

bool isOnlyEvacuatedLeft(const CookieState &state, const std::string &service)
{
    bool hasReady = false;
    for (const auto *row : state.upstreams.listedForService(service)) {
        if (isReady(*row, state.now)) {
            hasReady = true;
            if (!isEvacuated(state, *row)) {
                return false;
            }
        }
    }
    return hasReady;
}

std::string describeEvacuations(const CookieState &state)
{
    std::string names;
    for (const auto &name : state.evacuations.inForce()) {
        names += (names.empty() ? "" : ", ") + name;
    }
    return "all data centres with ready upstreams are evacuated: " + names + "; the list was confirmed "
        + std::to_string(evacuationListAge(state).count()) + " ms ago";
}

Milliseconds evacuationListAge(const CookieState &state)
{
    return std::chrono::duration_cast<Milliseconds>(state.now - state.evacuationsConfirmedAt);
}

/** The delay lets one instance after the other begin, and the first of them tells the others. */
bool isEvacuationWatchDue(const CookieState &state)
{
    if (!state.settings.appliesEvacuations || evacuationListAge(state) <= unwatchedListAge) {
        return false;
    }
    return evacuationListAge(state) > unwatchedListAge + unwatchedDelayPerRank * state.peers.rankForStoreQuery(state.now).index;
}

} // namespace sapphirespan
