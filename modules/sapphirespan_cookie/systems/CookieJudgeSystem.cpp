#include "sapphirespan_cookie/systems/CookieJudgeSystem.h"

#include "sapphirespan_cookie/evidence/SuspicionText.h"
#include "sapphirespan_cookie/systems/CookieAdmissionSystem.h"
#include "sapphirespan_cookie/systems/CookieDataCentreSystem.h"
#include "sapphirespan_cookie/systems/CookieFlowEndSystem.h"
#include "sapphirespan_cookie/systems/CookiePrioritySystem.h"
#include "sapphirespan_cookie/systems/CookieProbing.h"
#include "sapphirespan_cookie/systems/CookieSupplementSystem.h"
#include "sapphirespan_cookie/systems/CookieVerdictSystem.h"
#include "sapphirespan_cookie/systems/CookieWarmUpSystem.h"

#include <algorithm>
#include <utility>

namespace sapphirespan {

namespace {

/** Time for which departed upstreams are kept beyond the flow lifetime. */
constexpr Milliseconds departedRetentionMargin {5000};

/** Time after an unanswered self-check probe in which this instance records no unreachable verdicts of its own, and so reports
    none to its peers. */
constexpr Milliseconds verdictSuppressionTime {1500};

/** Age of the store's data up to which an upstream that is still listed counts as still there. */
constexpr Milliseconds trustedDataAge {2500};

/** @returns what peers are told of an unreachable upstream whose port was probed with the given result: one whose host answers is not
    silent to them, so that those of earlier releases do not reset its flows at once. */
ProbeResult verdictOn(const UpstreamEvidence &evidence, ProbeResult result, SteadyTime now)
{
    return isFailure(result) && isHostKnownUp(evidence, now) ? ProbeResult::refused : result;
}

/** Handles the result of a probe for `ProbePurpose::upstream`. A failure is ignored if it is inconclusive, or if the probe
    started before the upstream became unreachable. */
void handleUpstreamProbeResult(CookieState &state, UpstreamRow &row, const ProbeRequest &request, ProbeResult result)
{
    auto &evidence = row.evidence;
    const bool isAlreadyUnreachable = evidence.state == Reachability::unreachable && request.startedAt < evidence.stateSince;
    const bool isResultConclusive = result != ProbeResult::silent || isSilenceConclusive(state, request.startedAt);
    // Inconclusive: no other probe was answered lately either, so the fault may be on this side.
    if (isFailure(result) && (isAlreadyUnreachable || !isResultConclusive)) {
        evidence.pendingProbes = static_cast<std::uint8_t>(std::max(evidence.pendingProbes - 1, 0));
        return;
    }
    if (result == ProbeResult::silent) {
        markDataCentreSuspectIfStalled(state, row);
    } else {
        noteAnswerFromDataCentre(state, row);
    }
    const auto previousState = evidence.state;
    const bool wasAvoided = isAvoided(evidence, state.now);
    if (noteProbeResult(evidence, result, state.now, uniformRandom(state))) {
        announce(state, CookieEventKind::upstreamUnreachable, row.cookie,
                 std::string(nameOf(result)) + "; " + suspicionText(evidence, state.now));
    }
    if (evidence.state == Reachability::unreachable) {
        recordOwnVerdict(state, {row.cookie, {}}, verdictOn(row.evidence, result, state.now), mayResetFlows(row.evidence, state.now));
    } else if (evidence.state == Reachability::reachable && previousState != Reachability::reachable) {
        announce(state, CookieEventKind::upstreamRecovered, row.cookie, "a connection attempt succeeded");
        if (previousState == Reachability::unreachable || wasAvoided) {
            recordOwnVerdict(state, {row.cookie, {}}, ProbeResult::connected);
        }
        if (previousState == Reachability::unreachable) {
            noteAnswersAgain(state, row);
        }
    }
}

/** Asks silent hosts once more whose upstreams have open flows here. Idle flows count too: their clients may send on them later, and may
    not repeat what they sent. */
void askForDueConfirmations(CookieState &state)
{
    std::unordered_map<FlowCookie, UpstreamRow *> due;
    for (const auto cookie : state.upstreamsToEvaluate) {
        auto *row = state.upstreams.find(cookie);
        if (row != nullptr && !row->evidence.isUnreachableWithoutProbe && isConfirmationDue(row->evidence, state.now)) {
            due.emplace(cookie, row);
        }
    }
    if (due.empty()) {
        return;
    }
    for (const auto &[ends, flow] : state.flows) {
        if (const auto found = due.find(flow.cookie); found != due.end() && flow.phase == FlowPhase::open) {
            askForConfirmation(state, *found->second);
            due.erase(found);
        }
    }
}

/** Handles the result of a probe for `ProbePurpose::host`. Silence is ignored if it is inconclusive, or if packets wait in the link of
    this instance: a control that was answered while the queue was short says nothing of a probe that met a long one. */
void handleHostProbeResult(CookieState &state, UpstreamRow &row, const ProbeRequest &request, ProbeResult result)
{
    auto &evidence = row.evidence;
    if (result == ProbeResult::silent && evidence.confirmationAskedAt == request.startedAt) {
        evidence.isHostProbePending = false; // it waits for a control that is sent later, see confirmHostSilences()
        return;
    }
    const bool isConclusive = isHostSilenceConclusive(state, request.startedAt) && !isLinkSlow(state.linkDelay, state.now);
    if (result == ProbeResult::silent && !isConclusive) {
        noteInconclusiveHostProbe(evidence);
        return;
    }
    const bool isContested = std::exchange(evidence.isHostSilenceContested, false);
    if (result != ProbeResult::silent) {
        noteAnswerFromDataCentre(state, row);
    } else if (isContested && evidence.state == Reachability::reachable) {
        evidence.isHostSilenceRefuted = true;
    }
    if (noteHostProbeResult(evidence, result, request.startedAt, state.now, uniformRandom(state))) {
        announce(state, CookieEventKind::upstreamUnreachable, row.cookie, "its host is silent; " + suspicionText(evidence, state.now));
    }
    if (result == ProbeResult::silent && evidence.state == Reachability::unreachable) {
        recordOwnVerdict(state, {row.cookie, {}}, ProbeResult::silent, mayResetFlows(evidence, state.now));
    }
    const bool wasAskedForAPacket = evidence.isUnreachableWithoutProbe;
    if ((wasAskedForAPacket || hasFlows(row)) && isConfirmationDue(evidence, state.now)) {
        askForConfirmation(state, row);
    }
}

/** Confirms the silence of hosts, ends the flows of those that are gone, and requests the control that a confirmation needs. */
void confirmHostSilences(CookieState &state)
{
    if (isRunningLate(state)) {
        return; // packets that would show progress may be unread
    }
    bool isResetDue = false;
    const UpstreamRow *waiting = nullptr;
    for (const auto cookie : state.upstreamsToEvaluate) {
        auto *row = state.upstreams.find(cookie);
        if (row == nullptr || !row->evidence.confirmationAskedAt) {
            continue;
        }
        if (concludeConfirmation(row->evidence, state.lastAnsweredProbeStartedAt, state.now)) {
            if (row->evidence.hostSilenceConfirmedAt != state.now) {
                askForConfirmation(state, *row);
                continue;
            }
            recordOwnVerdict(state, {cookie, {}}, ProbeResult::silent, mayResetFlows(row->evidence, state.now));
            isResetDue = true;
        } else if (isControlDue(row->evidence, state.now)) {
            waiting = row;
        }
    }
    if (isResetDue) {
        endFlowsOfGoneUpstreams(state);
    }
    askForDueConfirmations(state);
    if (waiting != nullptr) {
        requestConfirmationControl(state, *waiting);
    }
}

/** Handles the result of a probe whose upstream is known. */
void handleProbeResultOf(CookieState &state, UpstreamRow &row, const ProbeRequest &request, ProbeResult result)
{
    if (request.purpose == ProbePurpose::upstream) {
        handleUpstreamProbeResult(state, row, request, result);
    } else if (request.purpose == ProbePurpose::host) {
        handleHostProbeResult(state, row, request, result);
    } else if (request.purpose == ProbePurpose::dataCentre) {
        handleSampleProbeResult(state, row, result, isSilenceConclusive(state, request.startedAt));
    }
}

/** @returns whether the next probe of an unreachable upstream is still left to peers. A few of the instances that found it
    unreachable probe it as soon as its retry is due; the others wait for `backupRetryDelay` longer and probe only if those
    did not. */
bool isRetryLeftToPeers(const CookieState &state, const UpstreamRow &row)
{
    return row.evidence.state == Reachability::unreachable && state.now < row.evidence.unreachableUntil + backupRetryDelay
        && !state.verdicts.isRetryProber({row.cookie, {}}, ownProberId(state), state.settings.dataCentre);
}

/** @returns whether a probe of the port of an upstream needs no control of its own: if it stays unanswered, the host is probed next, and
    the control for that serves both. */
bool isControlledByHostProbe(const CookieState &state, const UpstreamRow &row)
{
    return row.evidence.state == Reachability::suspect && !row.evidence.isHostSilenceRefuted && !state.isLastHostControlSilent;
}

} // namespace

void evaluateUpstreams(CookieState &state)
{
    std::erase_if(state.upstreamsToEvaluate, [&state](FlowCookie cookie) {
        const auto *row = state.upstreams.find(cookie);
        return row == nullptr || !needsEvaluation(row->evidence);
    });
    evaluateDataCentres(state);
    confirmHostSilences(state);
    bool isSelfCheckDue = false;
    for (const auto cookie : state.upstreamsToEvaluate) {
        auto &row = *state.upstreams.find(cookie);
        const bool wasUnreachable = row.evidence.state == Reachability::unreachable;
        if (updateReachability(row.evidence, state.now)) {
            announce(state, CookieEventKind::upstreamSuspect, cookie, suspicionText(row.evidence, state.now));
        }
        if (wasUnreachable && row.evidence.state != Reachability::unreachable) {
            noteAnswersAgain(state, row); // nothing speaks against it any more
        }
        const bool isProbeAllowed = row.entry.phase != RegistrationPhase::departed && !isProbeLeftToDataCentreCheck(state, row);
        if (isProbeAllowed && isHostProbeDue(row.evidence, state.now)) {
            probeHost(state, row);
        }
        if (isProbeAllowed && isProbeDue(row.evidence, state.now) && !isRetryLeftToPeers(state, row)) {
            probeUpstream(state, row);
            isSelfCheckDue = isSelfCheckDue || !isControlledByHostProbe(state, row);
        }
    }
    if (isSelfCheckDue) {
        requestSelfCheckProbe(state);
    }
}

void handleProbeResult(CookieState &state, const ProbeRequest &request, ProbeResult result)
{
    if (isFailure(result) && state.resumedAt && request.startedAt < *state.resumedAt) {
        handleProbeNotMade(state, request); // found before the pause, or missed because of it
        return;
    }
    if (result != ProbeResult::silent) {
        noteRoundTrip(state.linkDelay, RoundTripKind::probe, state.now - request.startedAt, state.now);
        state.lastAnsweredProbeStartedAt = std::max(state.lastAnsweredProbeStartedAt, request.startedAt);
    }
    if (result == ProbeResult::silent && request.purpose == ProbePurpose::selfCheck) {
        state.ownLinkSuspectUntil = state.now + verdictSuppressionTime;
    }
    const bool isOfHost = request.purpose == ProbePurpose::host || request.purpose == ProbePurpose::hostSelfCheck;
    if (request.purpose == ProbePurpose::hostSelfCheck) {
        state.isLastHostControlSilent = result == ProbeResult::silent;
    }
    if (isOfHost && result != ProbeResult::silent) {
        state.lastAnsweredHostProbeStartedAt = std::max(state.lastAnsweredHostProbeStartedAt, request.startedAt);
    }
    if (auto *row = state.upstreams.find(request.cookie); row != nullptr) {
        handleProbeResultOf(state, *row, request, result);
    }
    confirmHostSilences(state);
}

void handleLateProbeAnswer(CookieState &state, const ProbeRequest &request, ProbeResult result)
{
    noteRoundTrip(state.linkDelay, RoundTripKind::probe, state.now - request.startedAt, state.now);
    auto *row = state.upstreams.find(request.cookie);
    if (row == nullptr) {
        return;
    }
    noteHostAnswer(row->evidence, state.now);
    noteAnswerFromDataCentre(state, *row);
    if (request.purpose == ProbePurpose::upstream && result == ProbeResult::connected) {
        bringForwardRetry(row->evidence, state.now);
    }
}

void handleProbeNotMade(CookieState &state, const ProbeRequest &request)
{
    auto *row = state.upstreams.find(request.cookie);
    if (row == nullptr) {
        return;
    }
    if (request.purpose == ProbePurpose::upstream) {
        row->evidence.pendingProbes = static_cast<std::uint8_t>(std::max(row->evidence.pendingProbes - 1, 0));
    } else if (request.purpose == ProbePurpose::host) {
        giveUpConfirmation(row->evidence);
    } else if (request.purpose == ProbePurpose::dataCentre) {
        handleSampleProbeResult(state, *row, ProbeResult::silent, false);
    }
}

void recountLoadAndExpireState(CookieState &state)
{
    state.lastFlowSweepAt = state.now;
    std::erase_if(state.unroutedFlows, [&state](const auto &item) {
        return state.now - item.second > state.routes.configuration().idleTimeout || state.routes.find(item.first.service) != nullptr;
    });
    removeExpiredFlows(state.flows, state.routes.configuration().idleTimeout, state.now);
    for (auto &[cookie, row] : state.upstreams.rows()) {
        row.load.activeFlows = 0;
        row.load.waitingRequests = 0;
    }
    for (const auto &[ends, flow] : state.flows) {
        const auto timeSinceLastPacket = state.now - flow.lastPacketAt;
        if (flow.phase == FlowPhase::closed || timeSinceLastPacket > activeFlowTimeout) {
            continue;
        }
        if (auto *row = state.upstreams.find(flow.cookie); row != nullptr) {
            ++row->load.activeFlows;
            row->load.waitingRequests += flow.isAwaitingResponse && timeSinceLastPacket < waitingFlowTimeout ? 1 : 0;
        }
    }
    if (storeDataAge(state) > trustedDataAge) {
        state.upstreams.prolongHoldBack(state.now);
    }
    expireServiceLoads(state);
    updatePriorities(state);
    state.upstreams.removeDepartedBefore(state.now - state.settings.flowLifetime - departedRetentionMargin);
    state.verdicts.removeExpired(state.now);
    state.peers.evictSilent(state.now);
    expireSupplements(state);
    updateWarmUp(state);
}

} // namespace sapphirespan
