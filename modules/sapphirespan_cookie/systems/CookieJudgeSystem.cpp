#include "sapphirespan_cookie/systems/CookieJudgeSystem.h"

#include "sapphirespan_cookie/systems/CookiePacketSystem.h"

#include <algorithm>

namespace sapphirespan {

namespace {

/** Time for which departed upstreams stay known beyond the longest life of a flow. */
constexpr Milliseconds departedMargin {5000};

/** Flows that stall in another data centre, at any of its upstreams, before all of them are probed. */
constexpr int stalledToSuspectDataCentre = 2;

/** Makes all upstreams of another data centre suspect that made no progress lately. */
void suspectDataCentre(CookieState &state, const std::string &dataCentre)
{
    if (dataCentre == state.settings.dataCentre) {
        return;
    }
    for (auto &[cookie, row] : state.upstreams.rows()) {
        const bool isMember = row.entry.dataCentre == dataCentre && row.entry.phase != ListedPhase::departed;
        if (isMember && suspectForOthers(row.evidence, state.now)) {
            state.toJudge.insert(cookie);
            announce(state, CookieEventKind::upstreamSuspect, cookie, "no flow to its data centre makes progress");
        }
    }
}

/** Known to be out of reach by itself, or not there any more. */
bool isSettled(const UpstreamRow &row)
{
    return row.entry.phase == ListedPhase::departed || row.evidence.state == Reachability::dark;
}

bool makesProgress(const CookieState &state, const std::string &dataCentre)
{
    const auto &rows = state.upstreams.rows();
    return std::any_of(rows.begin(), rows.end(), [&](const auto &item) {
        const auto &row = item.second;
        return !isSettled(row) && row.entry.dataCentre == dataCentre && state.now - row.evidence.lastProgress < suspectAfter;
    });
}

/** A data centre that is cut off makes no progress at any upstream; each alone may have too few flows to show it. */
void judgeDataCentres(CookieState &state)
{
    std::map<std::string_view, int> stalled;
    for (const auto cookie : state.toJudge) {
        const auto *row = state.upstreams.find(cookie);
        if (row != nullptr && !isSettled(*row)) {
            stalled[row->entry.dataCentre] += row->evidence.stalledFlows + row->evidence.stalledOpenings;
        }
    }
    for (const auto &[name, flows] : stalled) {
        if (const std::string dataCentre(name); flows >= stalledToSuspectDataCentre && !makesProgress(state, dataCentre)) {
            suspectDataCentre(state, dataCentre);
        }
    }
}

void startProbe(CookieState &state, UpstreamRow &row)
{
    row.evidence.lastProbe = state.now;
    ++state.accounts.probes;
    state.probeRequests.push_back({row.cookie, row.address, state.now});
}

/** Probes an upstream that should answer as well: if it does not, this instance's own link or loop is slow, and silence
    of the others proves nothing. */
void startControlProbe(CookieState &state)
{
    UpstreamRow *best = nullptr;
    for (auto &[cookie, row] : state.upstreams.rows()) {
        const bool isUsable
            = row.entry.phase != ListedPhase::departed && row.evidence.state == Reachability::fine && !row.evidence.isProbing;
        if (isUsable && (best == nullptr || row.evidence.lastProgress > best->evidence.lastProgress)) {
            best = &row;
        }
    }
    if (best != nullptr) {
        startProbe(state, *best);
    }
}

} // namespace

void judgeUpstreams(CookieState &state)
{
    std::erase_if(state.toJudge, [&state](FlowCookie cookie) {
        const auto *row = state.upstreams.find(cookie);
        return row == nullptr || !isOpenToJudge(row->evidence);
    });
    judgeDataCentres(state);
    for (const auto cookie : state.toJudge) {
        auto &row = *state.upstreams.find(cookie);
        if (judge(row.evidence, state.now)) {
            announce(state, CookieEventKind::upstreamSuspect, cookie, "flows repeat packets without progress");
        }
        if (row.entry.phase != ListedPhase::departed && isProbeDue(row.evidence, state.now)) {
            row.evidence.isProbing = true;
            startProbe(state, row);
        }
    }
    if (!state.probeRequests.empty()) {
        startControlProbe(state);
    }
}

void takeProbe(CookieState &state, const ProbeRequest &request, ProbeResult result)
{
    if (result != ProbeResult::silent) {
        state.lastAnsweredProbe = std::max(state.lastAnsweredProbe, request.startedAt);
    }
    auto *row = state.upstreams.find(request.cookie);
    if (row == nullptr || !row->evidence.isProbing) {
        return; // a control probe
    }
    if (result == ProbeResult::silent && state.lastAnsweredProbe < request.startedAt) {
        row->evidence.isProbing = false; // nobody answered: the fault may be on this side
        return;
    }
    if (result == ProbeResult::silent) {
        suspectDataCentre(state, row->entry.dataCentre);
    }
    const bool wasFine = row->evidence.state == Reachability::fine;
    if (noteProbe(row->evidence, result, state.now)) {
        announce(state, CookieEventKind::upstreamDark, request.cookie, nameOf(result));
        resetFlowsOf(state, *row);
        state.isReportUrgent = true;
        state.hasFinding = true;
    } else if (!wasFine && row->evidence.state == Reachability::fine) {
        announce(state, CookieEventKind::upstreamBack, request.cookie, "a connection attempt succeeded");
    }
}

void sweepFlows(CookieState &state)
{
    state.lastSweep = state.now;
    forgetFlows(state.flows, state.routes.configuration().idleTimeout, state.now);
    for (auto &[cookie, row] : state.upstreams.rows()) {
        row.load.activeFlows = 0;
        row.load.waitingRequests = 0;
    }
    for (const auto &[ends, flow] : state.flows) {
        const auto silence = state.now - flow.lastSeen;
        if (flow.phase == FlowPhase::closed || silence > activeFlowTime) {
            continue;
        }
        if (auto *row = state.upstreams.find(flow.cookie); row != nullptr) {
            ++row->load.activeFlows;
            row->load.waitingRequests += flow.isWaiting && silence < waitingFlowTime ? 1 : 0;
        }
    }
    state.upstreams.forgetDeparted(state.now - state.settings.flowLifetime - departedMargin);
    state.peers.forgetSilent(state.now);
}

} // namespace sapphirespan
