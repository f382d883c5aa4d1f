#include "sapphirespan_cookie/systems/CookieJudgeSystem.h"

#include "sapphirespan_cookie/systems/CookieDataCentreSystem.h"
#include "sapphirespan_cookie/systems/CookiePacketSystem.h"
#include "sapphirespan_cookie/systems/CookieProbing.h"
#include "sapphirespan_cookie/systems/CookieVerdictSystem.h"

#include <algorithm>

namespace sapphirespan {

namespace {

/** Time for which departed upstreams stay known beyond the longest life of a flow. */
constexpr Milliseconds departedMargin {5000};

/** Time for which an instance whose control attempt was lost tells nobody that others are dark. */
constexpr Milliseconds unsoundTime {1500};

/** Takes in the outcome of an attempt at an upstream in question. */
void takeUpstreamAttempt(CookieState &state, UpstreamRow &row, const ProbeRequest &request, ProbeResult result)
{
    auto &evidence = row.evidence;
    const bool isSettled = evidence.state == Reachability::unreachable && request.startedAt < evidence.stateSince;
    const bool isValid = result != ProbeResult::silent || isSilenceConclusive(state, request.startedAt);
    if (isFailure(result) && (isSettled || !isValid)) { // not valid: nobody answered, so the fault may be on this side
        evidence.pendingProbes = static_cast<std::uint8_t>(std::max(evidence.pendingProbes - 1, 0));
        return;
    }
    if (result == ProbeResult::silent) {
        markDataCentreSuspectIfStalled(state, row);
    }
    const auto before = evidence.state;
    const bool wasAvoided = isAvoided(evidence, state.now);
    if (noteProbeResult(evidence, result, state.now, uniformRandom(state))) {
        announce(state, CookieEventKind::upstreamUnreachable, row.cookie, nameOf(result));
        resetFlowsToUnreachableUpstreams(state);
    }
    if (evidence.state == Reachability::unreachable) {
        recordOwnVerdict(state, {row.cookie, {}}, result);
    } else if (evidence.state == Reachability::reachable && before != Reachability::reachable) {
        announce(state, CookieEventKind::upstreamRecovered, row.cookie, "a connection attempt succeeded");
        if (before == Reachability::unreachable || wasAvoided) {
            recordOwnVerdict(state, {row.cookie, {}}, ProbeResult::connected);
        }
    }
}

/** A dark upstream is tried again by a few of those who found it dark, and by the others only if these do not. */
bool isLeftToOthers(const CookieState &state, const UpstreamRow &row)
{
    return row.evidence.state == Reachability::unreachable && state.now < row.evidence.unreachableUntil + backupRetryDelay
        && !state.verdicts.isRetryProber({row.cookie, {}}, ownWitnessId(state), state.settings.dataCentre);
}

} // namespace

void evaluateUpstreams(CookieState &state)
{
    std::erase_if(state.upstreamsToEvaluate, [&state](FlowCookie cookie) {
        const auto *row = state.upstreams.find(cookie);
        return row == nullptr || !needsEvaluation(row->evidence);
    });
    evaluateDataCentres(state);
    bool isProbing = false;
    for (const auto cookie : state.upstreamsToEvaluate) {
        auto &row = *state.upstreams.find(cookie);
        if (updateReachability(row.evidence, state.now)) {
            announce(state, CookieEventKind::upstreamSuspect, cookie, "flows repeat packets without progress, or a peer found it dark");
        }
        const bool isToProbe
            = row.entry.phase != RegistrationPhase::departed && !isDataCentreSuspectOrUnreachable(state, row.entry.dataCentre);
        if (isToProbe && isProbeDue(row.evidence, state.now) && !isLeftToOthers(state, row)) {
            ++row.evidence.pendingProbes;
            requestProbe(state, row, ProbePurpose::upstream);
            isProbing = true;
        }
    }
    if (isProbing) {
        requestControlProbe(state);
    }
}

void handleProbeResult(CookieState &state, const ProbeRequest &request, ProbeResult result)
{
    if (result != ProbeResult::silent) {
        state.lastAnsweredProbeStartedAt = std::max(state.lastAnsweredProbeStartedAt, request.startedAt);
    }
    if (result == ProbeResult::silent && request.purpose == ProbePurpose::selfCheck) {
        state.ownLinkSuspectUntil = state.now + unsoundTime;
    }
    auto *row = state.upstreams.find(request.cookie);
    if (row == nullptr) {
        return;
    }
    if (request.purpose == ProbePurpose::upstream) {
        takeUpstreamAttempt(state, *row, request, result);
    } else if (request.purpose == ProbePurpose::dataCentre) {
        handleSampleProbeResult(state, *row, result, isSilenceConclusive(state, request.startedAt));
    }
}

void recountLoadAndExpireState(CookieState &state)
{
    state.lastFlowSweepAt = state.now;
    removeExpiredFlows(state.flows, state.routes.configuration().idleTimeout, state.now);
    for (auto &[cookie, row] : state.upstreams.rows()) {
        row.load.activeFlows = 0;
        row.load.waitingRequests = 0;
    }
    for (const auto &[ends, flow] : state.flows) {
        const auto silence = state.now - flow.lastPacketAt;
        if (flow.phase == FlowPhase::closed || silence > activeFlowTimeout) {
            continue;
        }
        if (auto *row = state.upstreams.find(flow.cookie); row != nullptr) {
            ++row->load.activeFlows;
            row->load.waitingRequests += flow.isAwaitingResponse && silence < waitingFlowTimeout ? 1 : 0;
        }
    }
    state.upstreams.removeDepartedBefore(state.now - state.settings.flowLifetime - departedMargin);
    state.verdicts.removeExpired(state.now);
    state.peers.evictSilent(state.now);
}

} // namespace sapphirespan
