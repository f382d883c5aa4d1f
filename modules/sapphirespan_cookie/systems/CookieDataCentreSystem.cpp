#include "sapphirespan_cookie/systems/CookieDataCentreSystem.h"

#include "sapphirespan_cookie/systems/CookiePacketSystem.h"
#include "sapphirespan_cookie/systems/CookieProbing.h"
#include "sapphirespan_cookie/systems/CookieVerdictSystem.h"

#include <algorithm>

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

/** Probes a random sample of a data centre's upstreams, and queues a self-check probe. If each of them is unreachable by probes of
    its own, which are repeated, there is nothing to sample, and the data centre as a whole is no longer evaluated. */
void startSampleProbes(CookieState &state, const std::string &name, DataCentreEvidence &evidence)
{
    std::vector<UpstreamRow *> candidates;
    forEachListedUpstream(state, name, [&candidates](UpstreamRow &row) {
        if (row.evidence.state != Reachability::unreachable || row.evidence.isUnreachableWithoutProbe) {
            candidates.push_back(&row);
        }
    });
    if (candidates.empty()) {
        markDataCentreReachable(state, name, evidence, "each of its upstreams is probed by itself");
        return;
    }
    std::shuffle(candidates.begin(), candidates.end(), state.random);
    candidates.resize(std::min(candidates.size(), dataCentreSampleSize));
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

/** Marks a data centre as unreachable, and its upstreams without recent progress with it; resets the flows to them.
    @pre evidence.lastFailureAt is the time of the sample that says so */
void markDataCentreUnreachable(CookieState &state, const std::string &name, DataCentreEvidence &evidence, std::string_view reason)
{
    if (evidence.state != Reachability::unreachable) {
        setDataCentreReachability(evidence, Reachability::unreachable, state.now);
        announce(state, CookieEventKind::dataCentreUnreachable, 0, name + ": " + std::string(reason));
    }
    forEachListedUpstream(state, name, [&state, foundAt = evidence.lastFailureAt](UpstreamRow &row) {
        if (state.now - row.evidence.lastProgressAt >= suspectAfterNoProgress) {
            extendUnreachablePeriod(row.evidence, foundAt);
            row.evidence.lastSilenceAt = foundAt;
            markUnreachableWithoutProbe(row.evidence, ProbeResult::silent, foundAt, state.now);
            state.upstreamsToEvaluate.insert(row.cookie);
        }
    });
    resetFlowsToUnreachableUpstreams(state);
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

/** Marks a data centre as reachable. If it was unreachable, its upstreams that were marked unreachable without a probe take
    flows again, and each is evaluated separately from then on. */
void markDataCentreReachable(CookieState &state, const std::string &name, DataCentreEvidence &evidence, std::string_view reason)
{
    const bool wasUnreachable = evidence.state == Reachability::unreachable;
    setDataCentreReachability(evidence, Reachability::reachable, state.now);
    evidence.isUnreachableByPeerVerdicts = false;
    evidence.isReportedUnreachable = false;
    evidence.retryBackoffExponent = 0;
    evidence.consecutiveSilentSamples = 0;
    evidence.peerVerdictCheckAt.reset();
    if (!wasUnreachable) {
        return;
    }
    announce(state, CookieEventKind::dataCentreRecovered, 0, name + ": " + std::string(reason));
    forEachListedUpstream(state, name, [&state](UpstreamRow &row) {
        if (row.evidence.isUnreachableWithoutProbe) {
            noteReachableVerdict(row.evidence, state.now, true, state.now);
        }
    });
}

/** Handles a sample none of whose probes was answered. One such sample makes a suspect data centre unreachable if a peer
    reported it so, otherwise two in a row do. An inconclusive sample makes a suspect one reachable again.
    An unreachable one stays so and is probed again later in either case. */
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
        const bool wasUnreachable = evidence.state == Reachability::unreachable;
        if (evidence.state != Reachability::reachable) {
            markDataCentreReachable(state, found->first, evidence, "a connection attempt was answered");
        }
        if (wasUnreachable) {
            recordOwnVerdict(state, {0, found->first}, ProbeResult::connected);
        }
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
        forEachListedUpstream(state, name, [&](UpstreamRow &row) { extendUnreachablePeriod(row.evidence, verdict.foundAt); });
        return;
    }
    if (evidence.lastAnswerAt > verdict.foundAt || hasRecentProgress(state, name)) {
        return;
    }
    evidence.isReportedUnreachable = true;
    bool hasFlows = false;
    forEachListedUpstream(state, name, [&](UpstreamRow &row) {
        const bool isAccepted = noteUnreachableVerdict(row.evidence, verdict, state.now, uniformRandom(state));
        hasFlows = hasFlows || (isAccepted && row.load.activeFlows > 0);
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
    } else if (hasFlows && evidence.state == Reachability::reachable && !evidence.peerVerdictCheckAt) {
        evidence.peerVerdictCheckAt = state.now
            + Microseconds(static_cast<std::int64_t>(static_cast<double>(Microseconds(maxCheckDelay).count()) * uniformRandom(state)));
    }
}

bool isDataCentreSuspectOrUnreachable(const CookieState &state, const std::string &dataCentre)
{
    const auto found = state.dataCentreEvidence.find(dataCentre);
    return found != state.dataCentreEvidence.end() && found->second.state != Reachability::reachable;
}

} // namespace sapphirespan
