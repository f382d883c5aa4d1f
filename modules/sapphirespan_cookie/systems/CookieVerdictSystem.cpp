#include "sapphirespan_cookie/systems/CookieVerdictSystem.h"

#include "sapphirespan_cookie/evidence/SuspicionText.h"
#include "sapphirespan_cookie/systems/CookieDataCentreSystem.h"
#include "sapphirespan_cookie/systems/CookieFlowEndSystem.h"
#include "sapphirespan_cookie/systems/CookieWarmUpSystem.h"

namespace sapphirespan {

namespace {

/** Stores a verdict and requests that it is reported at once if it is new. @returns whether it is new */
bool recordVerdict(CookieState &state, const Verdict &verdict)
{
    const bool isNew = state.verdicts.insert(verdict);
    state.isReportUrgent = state.isReportUrgent || isNew;
    state.hasUnreportedVerdict = state.hasUnreportedVerdict || isNew;
    return isNew;
}

/** Applies an unreachable verdict reached from this instance's data centre or from that of the upstream. In a small fleet an instance
    probes the upstream itself before it resets flows, whatever the number of verdicts: one peer whose clock stood still relays
    those of several. */
void applyUnreachableVerdict(CookieState &state, UpstreamRow &row, const Verdict &verdict)
{
    if (!noteUnreachableVerdict(row.evidence, verdict, state.now, uniformRandom(state))) {
        return;
    }
    const auto witnesses
        = state.verdicts.countUnreachableVerdicts(verdict.subject, {state.settings.dataCentre, row.entry.dataCentre}, state.now);
    if (witnesses >= unreachableQuorum && state.peers.isFullMesh()) {
        scheduleCheck(row.evidence, state.now, 0);
        state.upstreamsToEvaluate.insert(row.cookie);
    } else if (witnesses >= unreachableQuorum) {
        if (markUnreachableWithoutProbe(row.evidence, verdict.foundAt, state.now)) {
            state.upstreamsToEvaluate.insert(row.cookie);
            announce(state, CookieEventKind::upstreamUnreachable, row.cookie,
                     "several peers found it so; " + suspicionText(row.evidence, state.now));
        }
        const auto lastSignOfLife = std::max(row.evidence.lastProgressAt, row.evidence.lastHostAnswerAt.value_or(SteadyTime {}));
        const bool isHostSilent = verdict.isHostSilent
            && state.verdicts.countHostSilentVerdicts(verdict.subject, {state.settings.dataCentre, row.entry.dataCentre}, lastSignOfLife,
                                                      state.now)
                >= unreachableQuorum;
        if (isHostSilent && !isRunningLate(state)) {
            noteHostSilenceAtPeers(row.evidence, verdict.foundAt);
            endFlowsOfGoneUpstreams(state);
        }
    } else if (hasFlows(row)) {
        scheduleCheck(row.evidence, state.now, uniformRandom(state));
        state.upstreamsToEvaluate.insert(row.cookie);
    }
}

/** Applies a verdict reached from a data centre that is neither this instance's nor the upstream's. */
void applyVerdictFromOtherDataCentre(CookieState &state, UpstreamRow &row, const Verdict &verdict)
{
    const bool isInOtherDataCentre = row.entry.dataCentre != state.settings.dataCentre;
    if (isFailure(verdict.result) && isInOtherDataCentre && row.evidence.state == Reachability::reachable) {
        noteUnreachableVerdict(row.evidence, verdict, state.now, 0);
    }
}

} // namespace

bool hasFlows(const UpstreamRow &row)
{
    return row.load.activeFlows > 0 || row.evidence.unansweredOpeningSince || row.evidence.stalledFlows > 0;
}

ProberId ownProberId(const CookieState &state)
{
    return static_cast<ProberId>(rankKey(state.settings.name));
}

void recordOwnVerdict(CookieState &state, const VerdictSubject &subject, ProbeResult result, bool isHostSilent)
{
    if (isFailure(result) && state.now < state.ownLinkSuspectUntil) {
        return;
    }
    const bool isNew = recordVerdict(state, {subject, ownProberId(state), state.settings.dataCentre, result, state.now, isHostSilent});
    state.hasUnreportedOwnVerdict = state.hasUnreportedOwnVerdict || isNew;
}

void handlePeerVerdict(CookieState &state, const Verdict &verdict)
{
    const bool isFromOwnDataCentre = verdict.proberDataCentre == state.settings.dataCentre;
    if (verdict.subject.upstream == 0) {
        if (isFromOwnDataCentre && verdict.subject.dataCentre != state.settings.dataCentre) {
            recordVerdict(state, verdict);
            handleDataCentreVerdict(state, verdict);
        }
        return;
    }
    auto *row = state.upstreams.find(verdict.subject.upstream);
    if (row == nullptr || row->entry.phase == RegistrationPhase::departed) {
        return;
    }
    recordVerdict(state, verdict);
    if (!isFromOwnDataCentre && verdict.proberDataCentre != row->entry.dataCentre) {
        applyVerdictFromOtherDataCentre(state, *row, verdict);
    } else if (isFailure(verdict.result)) {
        applyUnreachableVerdict(state, *row, verdict);
    } else if (noteReachableVerdict(row->evidence, verdict.foundAt, isFromOwnDataCentre, state.now)) {
        noteAnswersAgain(state, *row);
        announce(state, CookieEventKind::upstreamRecovered, row->cookie, "a peer reached it");
    }
}

} // namespace sapphirespan
