#include "sapphirespan_cookie/systems/CookieProbing.h"

#include <algorithm>
#include <array>

namespace sapphirespan {

namespace {

/** Upstreams with progress within this time are preferred as targets of self-check probes. */
constexpr Milliseconds recentProgressWindow {1000};

/** Number of candidates with progress a moment ago below which those with recent progress are considered too, so that the instances of a
    large fleet, each with few flows, do not probe the same few upstreams. */
constexpr std::size_t minFreshCandidates = 4;

bool isUsableAsControl(const CookieState &state, const UpstreamRow &row)
{
    const auto &evidence = row.evidence;
    return isReady(row, state.now) && evidence.state == Reachability::reachable && evidence.pendingProbes == 0
        && !isAvoided(evidence, state.now) && !isOpeningOverdue(evidence, state.now);
}

/** Chooses the upstream to probe next as a control: preferably a local one, which remains reachable when the path to another data centre is
    cut, and of these one with progress a moment ago, since others may have fallen silent together.
    @param excludedHost host of which a control has to be independent, or nullptr @returns nullptr if none qualifies */
UpstreamRow *nextControl(CookieState &state, const IpAddress *excludedHost)
{
    std::array<std::vector<UpstreamRow *>, 4> candidates; // best first: local with progress just now, or recently, other local, remote
    for (auto &[cookie, row] : state.upstreams.rows()) {
        if (isUsableAsControl(state, row) && (excludedHost == nullptr || row.address.address != *excludedHost)) {
            const bool isLocal = row.entry.dataCentre == state.settings.dataCentre;
            const auto timeSinceProgress = state.now - row.evidence.lastProgressAt;
            const int progressRank = timeSinceProgress < suspectAfterNoProgress ? 0 : timeSinceProgress < recentProgressWindow ? 1 : 2;
            candidates[isLocal ? progressRank : 3].push_back(&row);
        }
    }
    if (candidates[0].size() < minFreshCandidates) {
        candidates[0].insert(candidates[0].end(), candidates[1].begin(), candidates[1].end());
    }
    const auto best = std::find_if(candidates.begin(), candidates.end(), [](const auto &list) { return !list.empty(); });
    if (best == candidates.end()) {
        return nullptr;
    }
    std::sort(best->begin(), best->end(), [](const auto *a, const auto *b) { return a->cookie < b->cookie; });
    const auto index = state.peers.isFullMesh() ? state.peers.rankInDataCentre(state.now) + state.nextSelfCheckIndex++ : state.random();
    return (*best)[index % best->size()];
}

/** @returns a peer of this data centre that was heard of lately, or nullptr if there is none. Takes them in turn, each instance from
   another one on. */
const PeerRow *nextPeerControl(CookieState &state)
{
    std::vector<const PeerRow *> candidates;
    for (const auto &[name, peer] : state.peers.rows()) {
        if (peer.descriptor.dataCentre == state.settings.dataCentre && isAlive(peer, state.now)) {
            candidates.push_back(&peer);
        }
    }
    if (candidates.empty()) {
        return nullptr;
    }
    return candidates[(state.peers.rankInDataCentre(state.now) + state.nextPeerControlIndex++) % candidates.size()];
}

} // namespace

void requestProbe(CookieState &state, UpstreamRow &row, ProbePurpose purpose)
{
    const bool isOfHost = purpose == ProbePurpose::host || purpose == ProbePurpose::hostSelfCheck;
    (isOfHost ? row.evidence.lastHostProbeAt : row.evidence.lastProbeAt) = state.now;
    ++state.counters.probes;
    state.counters.hostProbes += isOfHost ? 1 : 0;
    const Endpoint address {row.address.address, isOfHost ? state.settings.hostProbePort : row.address.port};
    state.probeRequests.push_back({row.cookie, address, state.now, purpose});
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

bool isHostSilenceConclusive(const CookieState &state, SteadyTime startedAt)
{
    return state.lastAnsweredHostProbeStartedAt + selfCheckValidity >= startedAt;
}

void probeHost(CookieState &state, UpstreamRow &row)
{
    row.evidence.isHostProbePending = true;
    requestProbe(state, row, ProbePurpose::host);
    if (isHostSilenceConclusive(state, state.now)) {
        return;
    }
    if (auto *control = nextControl(state, &row.address.address); control != nullptr) {
        requestProbe(state, *control, ProbePurpose::hostSelfCheck);
    }
}

void askForConfirmation(CookieState &state, UpstreamRow &row)
{
    row.evidence.isHostProbePending = true;
    noteConfirmationAsked(row.evidence, state.now);
    requestProbe(state, row, ProbePurpose::host);
    state.upstreamsToEvaluate.insert(row.cookie);
}

void requestConfirmationControl(CookieState &state, const UpstreamRow &silent)
{
    if (state.now - state.lastConfirmationControlAt < hostAnswerTime) {
        return;
    }
    state.lastConfirmationControlAt = state.now;
    if (const auto *peer = nextPeerControl(state); peer != nullptr) {
        ++state.counters.probes;
        state.probeRequests.push_back({0, peer->descriptor.controlEndpoint, state.now, ProbePurpose::peerSelfCheck});
    } else if (auto *control = nextControl(state, &silent.address.address); control != nullptr) {
        requestProbe(state, *control, ProbePurpose::hostSelfCheck);
    }
}

void requestSelfCheckProbe(CookieState &state)
{
    if (isSilenceConclusive(state, state.now)) {
        return;
    }
    if (auto *control = nextControl(state, nullptr); control != nullptr) {
        requestProbe(state, *control, ProbePurpose::selfCheck);
    }
}

} // namespace sapphirespan
