#include "sapphirespan_cookie/systems/CookieProbing.h"

#include <algorithm>
#include <array>

namespace sapphirespan {

namespace {

/** Upstreams with progress within this time are preferred as targets of self-check probes. */
constexpr Milliseconds recentProgressWindow {1000};

bool isUsableAsControl(const CookieState &state, const UpstreamRow &row)
{
    const auto &evidence = row.evidence;
    return isReady(row, state.now) && evidence.state == Reachability::reachable && evidence.pendingProbes == 0
        && !isAvoided(evidence, state.now) && !isOpeningOverdue(evidence, state.now);
}

} // namespace

void requestProbe(CookieState &state, UpstreamRow &row, ProbePurpose purpose)
{
    row.evidence.lastProbeAt = state.now;
    ++state.counters.probes;
    state.probeRequests.push_back({row.cookie, row.address, state.now, purpose});
}

void probeUpstream(CookieState &state, UpstreamRow &row)
{
    ++row.evidence.pendingProbes;
    requestProbe(state, row, ProbePurpose::upstream);
}

bool isSilenceConclusive(const CookieState &state, SteadyTime startedAt)
{
    return state.lastAnsweredProbeStartedAt + selfCheckValidity >= startedAt;
}

void requestSelfCheckProbe(CookieState &state)
{
    if (isSilenceConclusive(state, state.now)) {
        return;
    }
    std::array<std::vector<UpstreamRow *>, 3> candidates; // best first: local with recent progress, other local, remote
    for (auto &[cookie, row] : state.upstreams.rows()) {
        if (isUsableAsControl(state, row)) {
            const bool isLocal = row.entry.dataCentre == state.settings.dataCentre;
            const bool hasRecentProgress = state.now - row.evidence.lastProgressAt < recentProgressWindow;
            candidates[isLocal ? (hasRecentProgress ? 0 : 1) : 2].push_back(&row);
        }
    }
    const auto bestCandidates = std::find_if(candidates.begin(), candidates.end(), [](const auto &list) { return !list.empty(); });
    if (bestCandidates == candidates.end()) {
        return;
    }
    std::sort(bestCandidates->begin(), bestCandidates->end(), [](const auto *a, const auto *b) { return a->cookie < b->cookie; });
    const auto candidateIndex = state.peers.rankInDataCentre(state.now) + state.nextSelfCheckIndex++;
    requestProbe(state, *(*bestCandidates)[candidateIndex % bestCandidates->size()], ProbePurpose::selfCheck);
}

} // namespace sapphirespan
