#include "sapphirespan_cookie/systems/CookieVerdictSystem.h"

#include "sapphirespan_cookie/systems/CookieDataCentreSystem.h"
#include "sapphirespan_cookie/systems/CookiePacketSystem.h"

namespace sapphirespan {

namespace {

bool record(CookieState &state, const Verdict &verdict)
{
    const bool isNews = state.verdicts.insert(verdict);
    state.isReportUrgent = state.isReportUrgent || isNews;
    state.hasUnreportedVerdict = state.hasUnreportedVerdict || isNews;
    return isNews;
}

bool hasFlows(const UpstreamRow &row)
{
    return row.load.activeFlows > 0 || row.evidence.unansweredOpeningSince || row.evidence.stalledFlows > 0;
}

void learnDark(CookieState &state, UpstreamRow &row, const Verdict &verdict)
{
    if (!noteUnreachableVerdict(row.evidence, verdict, state.now, uniformRandom(state))) {
        return;
    }
    if (state.verdicts.countUnreachableVerdicts(verdict.subject, {state.settings.dataCentre, row.entry.dataCentre}, state.now)
        >= unreachableQuorum) {
        if (markUnreachableWithoutProbe(row.evidence, state.now)) {
            state.upstreamsToEvaluate.insert(row.cookie);
            announce(state, CookieEventKind::upstreamUnreachable, row.cookie, "several peers found it so");
            resetFlowsToUnreachableUpstreams(state);
        }
    } else if (hasFlows(row)) {
        scheduleCheck(row.evidence, state.now, uniformRandom(state));
        state.upstreamsToEvaluate.insert(row.cookie);
    }
}

void learnFromElsewhere(CookieState &state, UpstreamRow &row, const Verdict &verdict)
{
    const bool isOutside = row.entry.dataCentre != state.settings.dataCentre;
    if (isFailure(verdict.result) && isOutside && row.evidence.state == Reachability::reachable) {
        noteUnreachableVerdict(row.evidence, verdict, state.now, 0);
    }
}

} // namespace

ProberId ownWitnessId(const CookieState &state)
{
    return static_cast<ProberId>(rankKey(state.settings.name));
}

void recordOwnVerdict(CookieState &state, const VerdictSubject &subject, ProbeResult result)
{
    if (isFailure(result) && state.now < state.ownLinkSuspectUntil) {
        return;
    }
    const bool isNews = record(state, {subject, ownWitnessId(state), state.settings.dataCentre, result, state.now});
    state.hasUnreportedOwnVerdict = state.hasUnreportedOwnVerdict || isNews;
}

void handlePeerVerdict(CookieState &state, const Verdict &verdict)
{
    const bool isSameVantage = verdict.proberDataCentre == state.settings.dataCentre;
    if (verdict.subject.upstream == 0) {
        if (isSameVantage && verdict.subject.dataCentre != state.settings.dataCentre) {
            record(state, verdict);
            handleDataCentreVerdict(state, verdict);
        }
        return;
    }
    auto *row = state.upstreams.find(verdict.subject.upstream);
    if (row == nullptr || row->entry.phase == RegistrationPhase::departed) {
        return;
    }
    record(state, verdict);
    if (!isSameVantage && verdict.proberDataCentre != row->entry.dataCentre) {
        learnFromElsewhere(state, *row, verdict);
    } else if (isFailure(verdict.result)) {
        learnDark(state, *row, verdict);
    } else if (noteReachableVerdict(row->evidence, verdict.foundAt, isSameVantage, state.now)) {
        announce(state, CookieEventKind::upstreamRecovered, row->cookie, "a peer reached it");
    }
}

} // namespace sapphirespan
