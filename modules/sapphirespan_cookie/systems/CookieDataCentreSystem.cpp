#include "sapphirespan_cookie/systems/CookieDataCentreSystem.h"

#include "sapphirespan_cookie/systems/CookiePacketSystem.h"
#include "sapphirespan_cookie/systems/CookieProbing.h"
#include "sapphirespan_cookie/systems/CookieVerdictSystem.h"

#include <algorithm>
#include <functional>

namespace sapphirespan {

namespace {

/** @returns whether an upstream is left out when stalls and progress in its data centre are evaluated. */
bool isDepartedOrUnreachable(const UpstreamRow &row)
{
    return row.entry.phase == RegistrationPhase::departed || row.evidence.state == Reachability::unreachable;
}

/** Visits the upstreams of a data centre that have not departed. */
template<typename Visit>
void forEachListedUpstream(CookieState &state, const std::string &dataCentre, Visit visit)
{
    for (auto &[cookie, row] : state.upstreams.rows()) {
        if (row.entry.dataCentre == dataCentre && row.entry.phase != RegistrationPhase::departed) {
            visit(row);
        }
    }
}

/** Time after a data centre became unreachable in which progress does not count: clients may still acknowledge the last
    packets that its upstreams sent before. */
constexpr Milliseconds lateAcknowledgementTime {500};

bool hasProgressSince(CookieState &state, const std::string &dataCentre, SteadyTime since)
{
    bool hasProgress = false;
    forEachListedUpstream(state, dataCentre, [&](const UpstreamRow &row) {
        hasProgress = hasProgress || (!isDepartedOrUnreachable(row) && row.evidence.lastProgressAt > since);
    });
    return hasProgress;
}

bool hasRecentProgress(CookieState &state, const std::string &dataCentre)
{
    return hasProgressSince(state, dataCentre, state.now - suspectAfterNoProgress);
}

void setDataCentreReachability(DataCentreEvidence &evidence, Reachability reachability, SteadyTime now)
{
    evidence.state = reachability;
    evidence.stateSince = now;
}

void markDataCentreReachable(CookieState &state, const std::string &name, DataCentreEvidence &evidence, std::string_view reason);

/** @returns whether an upstream was found unreachable by a probe of its own, and not only by verdicts of peers. */
bool isFoundUnreachable(const UpstreamRow *row)
{
    return row->evidence.state == Reachability::unreachable && !row->evidence.isUnreachableWithoutProbe;
}

/** @returns the upstreams of a data centre to probe as a sample: those that were not found unreachable by a probe of their own come
    first, and of these the one with the latest sign of life; the others in random order. */
std::vector<UpstreamRow *> chooseSample(CookieState &state, const std::string &name)
{
    std::vector<UpstreamRow *> sample;
    forEachListedUpstream(state, name, [&sample](UpstreamRow &row) { sample.push_back(&row); });
    std::shuffle(sample.begin(), sample.end(), state.random);
    const auto firstFound = std::stable_partition(sample.begin(), sample.end(), std::not_fn(isFoundUnreachable));
    const auto latest = std::max_element(sample.begin(), firstFound, [](const UpstreamRow *a, const UpstreamRow *b) {
        return a->evidence.lastProgressAt < b->evidence.lastProgressAt;
    });
    if (latest != firstFound) {
        std::iter_swap(sample.begin(), latest);
    }
    sample.resize(std::min(sample.size(), dataCentreSampleSize));
    return sample;
}

/** Probes a sample of a data centre's upstreams, and queues a self-check probe. If each upstream of a suspect data centre was found
    unreachable by a probe of its own, which is repeated, there is nothing to sample, and the data centre is no longer evaluated. */
void startSampleProbes(CookieState &state, const std::string &name, DataCentreEvidence &evidence)
{
    const auto candidates = chooseSample(state, name);
    const bool hasNothingToSample
        = candidates.empty() || (evidence.state == Reachability::suspect && isFoundUnreachable(candidates.front()));
    if (hasNothingToSample) {
        markDataCentreReachable(state, name, evidence, "each of its upstreams is probed by itself");
        return;
    }
    evidence.pendingSampleProbes = static_cast<std::uint8_t>(candidates.size());
    evidence.isSampleInconclusive = false;
    for (auto *row : candidates) {
        requestProbe(state, *row, ProbePurpose::dataCentre);
    }
    requestSelfCheckProbe(state);
}

/** Marks a data centre as suspect, steers new flows away from its upstreams without recent progress, and probes a sample. Does
    nothing for the own data centre, one that is not reachable, or one that answered within `dataCentreAnswerValidity`. */
void markDataCentreSuspect(CookieState &state, const std::string &name)
{
    if (name == state.settings.dataCentre) {
        return;
    }
    auto &evidence = state.dataCentreEvidence[name];
    if (evidence.state != Reachability::reachable || state.now - evidence.lastAnswerAt < dataCentreAnswerValidity) {
        return;
    }
    setDataCentreReachability(evidence, Reachability::suspect, state.now);
    evidence.consecutiveSilentSamples = 0;
    evidence.peerVerdictCheckAt.reset();
    forEachListedUpstream(state, name, [&state](UpstreamRow &row) {
        if (state.now - row.evidence.lastProgressAt >= suspectAfterNoProgress) {
            avoidDuringDataCentreCheck(row.evidence, state.now);
        }
    });
    startSampleProbes(state, name, evidence);
}

/** Marks a data centre as unreachable and steers new flows away from its upstreams without recent progress. Open flows there stay
    until a probe of their own upstream has failed: a sample says nothing about the upstreams that are not in it.
    @pre evidence.lastFailureAt is the time of the sample that says so */
void markDataCentreUnreachable(CookieState &state, const std::string &name, DataCentreEvidence &evidence, std::string_view reason)
{
    if (evidence.state != Reachability::unreachable) {
        setDataCentreReachability(evidence, Reachability::unreachable, state.now);
        announce(state, CookieEventKind::dataCentreUnreachable, 0, name + ": " + std::string(reason));
    }
    forEachListedUpstream(state, name,
                          [foundAt = evidence.lastFailureAt](UpstreamRow &row) { avoidWithDataCentre(row.evidence, foundAt); });
}

/** @returns the share of `maxCheckDelay` after which this instance probes an upstream by itself: none in a small fleet, and the more at
    random the larger the fleet is, so that the verdicts of the first few instances spare the others theirs. */
double checkDelayShare(CookieState &state)
{
    constexpr double fleetSizeForMaxDelay = 100;
    const auto fleetSize = 1.0 + static_cast<double>(state.peers.rows().size());
    return state.peers.isFullMesh() ? 0 : uniformRandom(state) * std::min(1.0, fleetSize / fleetSizeForMaxDelay);
}

/** Probes each upstream of a data centre by itself that has open flows here and made no progress lately. Idle flows count too: their
    clients may send on them later, and may not repeat what they sent. */
void checkUpstreamsWithOpenFlows(CookieState &state, const std::string &name)
{
    for (const auto &[ends, flow] : state.flows) {
        if (flow.phase != FlowPhase::open) {
            continue;
        }
        auto *row = state.upstreams.find(flow.cookie);
        if (row == nullptr || row->entry.dataCentre != name || isDepartedOrUnreachable(*row)
            || state.now - row->evidence.lastProgressAt < suspectAfterNoProgress || row->evidence.peerVerdictCheckAt) {
            continue;
        }
        const auto delayShare = checkDelayShare(state);
        scheduleCheck(row->evidence, state.now, delayShare);
        state.upstreamsToEvaluate.insert(row->cookie);
        if (delayShare == 0 && updateReachability(row->evidence, state.now)) {
            probeUpstream(state, *row); // at once; the evaluation of the next tick adds the second probe
        }
    }
}

/** Schedules the next sample: exponential backoff from `initialRetryBackoff` to `maxRetryBackoff`, times a random factor from
    0.75 to 1.5 so that instances do not probe at the same moment. */
void scheduleDataCentreRetry(CookieState &state, DataCentreEvidence &evidence, SteadyTime probedAt)
{
    evidence.lastFailureAt = probedAt;
    const auto backoff = std::min(initialRetryBackoff * (1 << std::min<int>(evidence.retryBackoffExponent, 3)), maxRetryBackoff);
    evidence.unreachableUntil = probedAt
        + Microseconds(static_cast<std::int64_t>(static_cast<double>(Microseconds(backoff).count())
                                                 * (0.75 + 0.75 * uniformRandom(state))));
    evidence.retryBackoffExponent = static_cast<std::uint8_t>(std::min(evidence.retryBackoffExponent + 1, 8));
}

/** Marks a data centre as reachable. Its upstreams take flows again, but for those that were found unreachable by probes of their
    own; if the data centre was unreachable, these are probed again at once. Each is evaluated separately from then on. */
void markDataCentreReachable(CookieState &state, const std::string &name, DataCentreEvidence &evidence, std::string_view reason)
{
    const bool wasUnreachable = evidence.state == Reachability::unreachable;
    setDataCentreReachability(evidence, Reachability::reachable, state.now);
    evidence.isUnreachableByPeerVerdicts = false;
    evidence.isReportedUnreachable = false;
    evidence.retryBackoffExponent = 0;
    evidence.consecutiveSilentSamples = 0;
    evidence.peerVerdictCheckAt.reset();
    forEachListedUpstream(state, name, [](UpstreamRow &row) { endAvoidanceWithDataCentre(row.evidence); });
    if (wasUnreachable) {
        announce(state, CookieEventKind::dataCentreRecovered, 0, name + ": " + std::string(reason));
        forEachListedUpstream(state, name, [&state](UpstreamRow &row) { bringForwardRetry(row.evidence, state.now); });
    }
}

/** Handles a sample none of whose probes was answered. One such sample makes a suspect data centre unreachable if a peer
    reported it so, otherwise two in a row do; the first one also has the upstreams with open flows probed one by one. An
    inconclusive sample makes a suspect one reachable again. An unreachable one stays so and is probed again later in either case. */
void handleSilentSample(CookieState &state, const std::string &name, DataCentreEvidence &evidence)
{
    if (evidence.isSampleInconclusive) {
        if (evidence.state == Reachability::suspect) {
            setDataCentreReachability(evidence, Reachability::reachable, state.now);
        } else {
            scheduleDataCentreRetry(state, evidence, state.now);
        }
        return;
    }
    ++evidence.consecutiveSilentSamples;
    if (evidence.state == Reachability::suspect && evidence.consecutiveSilentSamples == 1) {
        checkUpstreamsWithOpenFlows(state, name);
    }
    const int requiredSilentSamples = evidence.isReportedUnreachable ? 1 : 2;
    if (evidence.state == Reachability::suspect && evidence.consecutiveSilentSamples < requiredSilentSamples) {
        startSampleProbes(state, name, evidence);
        return;
    }
    evidence.isUnreachableByPeerVerdicts = false;
    scheduleDataCentreRetry(state, evidence, state.now);
    markDataCentreUnreachable(state, name, evidence, "none of the probed upstreams there answered");
    recordOwnVerdict(state, {0, name}, ProbeResult::silent);
}

/** @returns whether the retry of an unreachable data centre is due. An instance that found it unreachable itself but is not
    one of its retry probers waits for `backupRetryDelay` longer, so that it probes only if those did not. */
bool isRetryDue(const CookieState &state, const std::string &name, const DataCentreEvidence &evidence)
{
    const bool isRetriedHere
        = evidence.isUnreachableByPeerVerdicts || state.verdicts.isRetryProber({0, name}, ownProberId(state), state.settings.dataCentre);
    return state.now >= evidence.unreachableUntil + (isRetriedHere ? Milliseconds(0) : backupRetryDelay);
}

} // namespace

void evaluateDataCentres(CookieState &state)
{
    std::map<std::string_view, int> stallsByDataCentre;
    for (const auto cookie : state.upstreamsToEvaluate) {
        const auto *row = state.upstreams.find(cookie);
        if (row != nullptr && !isDepartedOrUnreachable(*row)) {
            stallsByDataCentre[row->entry.dataCentre] += row->evidence.stalledFlows + row->evidence.stalledOpenings;
        }
    }
    for (const auto &[name, stalls] : stallsByDataCentre) {
        if (const std::string dataCentre(name); stalls >= minStallsToSuspectDataCentre && !hasRecentProgress(state, dataCentre)) {
            markDataCentreSuspect(state, dataCentre);
        }
    }
    for (auto &[name, evidence] : state.dataCentreEvidence) {
        const bool isUnreachable = evidence.state == Reachability::unreachable;
        if (evidence.peerVerdictCheckAt && state.now >= *evidence.peerVerdictCheckAt) {
            evidence.peerVerdictCheckAt.reset();
            markDataCentreSuspect(state, name);
        } else if (isUnreachable && hasProgressSince(state, name, evidence.stateSince + lateAcknowledgementTime)) {
            markDataCentreReachable(state, name, evidence, "a flow made progress");
            recordOwnVerdict(state, {0, name}, ProbeResult::connected);
        } else if (isUnreachable && evidence.pendingSampleProbes == 0 && isRetryDue(state, name, evidence)) {
            if (evidence.isUnreachableByPeerVerdicts) {
                markDataCentreReachable(state, name, evidence, "no peer reported it unreachable again");
            } else {
                startSampleProbes(state, name, evidence);
            }
        }
    }
}

void markDataCentreSuspectIfStalled(CookieState &state, const UpstreamRow &row)
{
    if (!hasRecentProgress(state, row.entry.dataCentre)) {
        markDataCentreSuspect(state, row.entry.dataCentre);
    }
}

void noteAnswerFromDataCentre(CookieState &state, const UpstreamRow &row)
{
    const auto found = state.dataCentreEvidence.find(row.entry.dataCentre);
    if (found == state.dataCentreEvidence.end() || found->second.state == Reachability::reachable) {
        return;
    }
    const bool wasUnreachable = found->second.state == Reachability::unreachable;
    found->second.lastAnswerAt = state.now;
    markDataCentreReachable(state, found->first, found->second, "a connection attempt was answered");
    if (wasUnreachable) {
        recordOwnVerdict(state, {0, found->first}, ProbeResult::connected);
    }
}

void handleSampleProbeResult(CookieState &state, UpstreamRow &row, ProbeResult result, bool isConclusive)
{
    const auto found = state.dataCentreEvidence.find(row.entry.dataCentre);
    if (found == state.dataCentreEvidence.end() || found->second.pendingSampleProbes == 0) {
        return;
    }
    auto &evidence = found->second;
    --evidence.pendingSampleProbes;
    if (result != ProbeResult::silent) {
        evidence.lastAnswerAt = state.now;
        noteAnswerFromDataCentre(state, row);
        return;
    }
    evidence.isSampleInconclusive = evidence.isSampleInconclusive || !isConclusive;
    if (evidence.pendingSampleProbes == 0 && evidence.state != Reachability::reachable) {
        handleSilentSample(state, found->first, evidence);
    }
}

void handleDataCentreVerdict(CookieState &state, const Verdict &verdict)
{
    const auto &name = verdict.subject.dataCentre;
    auto &evidence = state.dataCentreEvidence[name];
    if (!isFailure(verdict.result)) {
        if (evidence.state == Reachability::unreachable && verdict.foundAt > evidence.lastFailureAt
            && verdict.foundAt > evidence.stateSince) {
            markDataCentreReachable(state, name, evidence, "a peer reached it");
        }
        return;
    }
    if (evidence.state == Reachability::unreachable) {
        if (evidence.isUnreachableByPeerVerdicts) {
            evidence.lastFailureAt = std::max(evidence.lastFailureAt, verdict.foundAt);
            evidence.unreachableUntil = evidence.lastFailureAt + verdictLifetime;
        } else if (verdict.foundAt - evidence.lastFailureAt > initialRetryBackoff / 2) {
            scheduleDataCentreRetry(state, evidence, verdict.foundAt);
        }
        forEachListedUpstream(state, name, [&](UpstreamRow &row) { avoidWithDataCentre(row.evidence, verdict.foundAt); });
        return;
    }
    if (evidence.lastAnswerAt > verdict.foundAt || hasRecentProgress(state, name)) {
        return;
    }
    evidence.isReportedUnreachable = true;
    bool hasFlows = false;
    forEachListedUpstream(state, name, [&](UpstreamRow &row) {
        avoidWithDataCentre(row.evidence, verdict.foundAt);
        hasFlows = hasFlows || row.load.activeFlows > 0;
    });
    const bool isQuorum
        = state.verdicts.countUnreachableVerdicts(verdict.subject, {state.settings.dataCentre}, state.now) >= unreachableQuorum;
    if (isQuorum && state.peers.isFullMesh()) {
        markDataCentreSuspect(state, name);
    } else if (isQuorum) {
        evidence.isUnreachableByPeerVerdicts = true;
        evidence.lastFailureAt = verdict.foundAt;
        evidence.unreachableUntil = verdict.foundAt + verdictLifetime;
        markDataCentreUnreachable(state, name, evidence, "several peers found it so");
        checkUpstreamsWithOpenFlows(state, name);
    } else if (hasFlows && evidence.state == Reachability::reachable && !evidence.peerVerdictCheckAt) {
        evidence.peerVerdictCheckAt = state.now
            + Microseconds(static_cast<std::int64_t>(static_cast<double>(Microseconds(maxCheckDelay).count()) * uniformRandom(state)));
    }
}

bool isProbeLeftToDataCentreCheck(const CookieState &state, const UpstreamRow &row)
{
    const auto found = state.dataCentreEvidence.find(row.entry.dataCentre);
    if (found == state.dataCentreEvidence.end()) {
        return false;
    }
    const auto &evidence = found->second;
    const bool isFirstSamplePending = evidence.state == Reachability::suspect && evidence.consecutiveSilentSamples == 0;
    const bool isUrgent = row.evidence.stalledSince && state.peers.isFullMesh();
    return (isFirstSamplePending && !isUrgent)
        || (evidence.state == Reachability::unreachable && row.evidence.state == Reachability::unreachable);
}

} // namespace sapphirespan
