#include "sapphirespan_cookie/evidence/UpstreamEvidence.h"

#include <algorithm>

namespace sapphirespan {

namespace {

/** Minimum interval between a probe of an upstream's port and one of its host, so that one burst of loss does not hit both. An answer
    usually arrives earlier and makes the second unnecessary. */
constexpr Milliseconds minProbeInterval {40};

/** Progress within this time before the end of a peer's silent probe outweighs it, since the peer may be cut off itself. */
constexpr Milliseconds recentProgressWindow {200};

void setState(UpstreamEvidence &evidence, Reachability state, SteadyTime now)
{
    evidence.state = state;
    evidence.stateSince = now;
}

/** @returns the exponential backoff before the next probe, with jitter from 0.75 to 1.5 times its length. */
Microseconds retryBackoff(const UpstreamEvidence &evidence, double jitter)
{
    const auto backoff = std::min(initialRetryBackoff * (1 << std::min<int>(evidence.retryBackoffExponent, 3)), maxRetryBackoff);
    return Microseconds(static_cast<std::int64_t>(static_cast<double>(Microseconds(backoff).count()) * (0.75 + 0.75 * jitter)));
}

void scheduleRetry(UpstreamEvidence &evidence, SteadyTime probedAt, double jitter)
{
    evidence.lastFailureAt = std::max(evidence.lastFailureAt, probedAt);
    evidence.unreachableUntil = probedAt + retryBackoff(evidence, jitter);
    evidence.retryBackoffExponent = static_cast<std::uint8_t>(std::min(evidence.retryBackoffExponent + 1, 8));
}

void resetToReachable(UpstreamEvidence &evidence, SteadyTime now)
{
    if (evidence.state != Reachability::reachable) {
        setState(evidence, Reachability::reachable, now);
        evidence.reducedPlacementUntil = now + reducedPlacementTime;
    }
    evidence.stalledFlows = 0;
    evidence.stalledOpenings = 0;
    evidence.stalledSince.reset();
    evidence.consecutiveFailedProbes = 0;
    evidence.unansweredOpeningSince.reset();
    evidence.isUnreachableWithoutProbe = false;
    evidence.isReportedUnreachable = false;
    evidence.isReportedHostSilent = false;
    evidence.isAvoidedWithDataCentre = false;
    evidence.avoidedUntil = {};
    evidence.peerVerdictCheckAt.reset();
    forgetHostSilence(evidence);
}

/** @returns the minimum time between two probes of the upstream's host: exponential backoff while they are inconclusive. */
Milliseconds hostProbeInterval(const UpstreamEvidence &evidence)
{
    return std::min(minProbeInterval * (1 << evidence.inconclusiveHostProbes), maxRetryBackoff);
}

bool isSince(const std::optional<SteadyTime> &time, SteadyTime since)
{
    return time && *time >= since;
}

/** Makes a suspect upstream unreachable if enough probes of its port and its host have failed. @returns whether it became so */
bool checkFailures(UpstreamEvidence &evidence, bool isRefused, SteadyTime now, double jitter)
{
    const int failures = evidence.consecutiveFailedProbes + (isSince(evidence.lastHostSilenceAt, evidence.stateSince) ? 1 : 0);
    const int requiredFailures = evidence.stalledFlows >= minStallsToTrustOneProbe || evidence.isReportedUnreachable ? 1 : 2;
    if (evidence.state != Reachability::suspect || (!isRefused && failures < requiredFailures)) {
        return false;
    }
    setState(evidence, Reachability::unreachable, now);
    scheduleRetry(evidence, now, jitter);
    return true;
}

} // namespace

bool noteProgress(UpstreamEvidence &evidence, SteadyTime now)
{
    const bool hasRecovered = evidence.state != Reachability::reachable;
    resetToReachable(evidence, now);
    evidence.retryBackoffExponent = 0;
    evidence.answeredProbesWithoutProgress = 0;
    evidence.lastProgressAt = now;
    return hasRecovered;
}

void noteOpening(UpstreamEvidence &evidence, SteadyTime now)
{
    if (!evidence.unansweredOpeningSince) {
        evidence.unansweredOpeningSince = now;
    }
}

bool isOpeningOverdue(const UpstreamEvidence &evidence, SteadyTime now)
{
    return evidence.unansweredOpeningSince && now - *evidence.unansweredOpeningSince > openingOverdueAfter;
}

void noteStall(UpstreamEvidence &evidence, bool isOpening, SteadyTime now)
{
    if (!isOpening) {
        evidence.stalledSince = evidence.stalledSince.value_or(now); // a lost opening says nothing about open flows
    }
    auto &count = isOpening ? evidence.stalledOpenings : evidence.stalledFlows;
    count = static_cast<std::uint16_t>(std::min(count + 1, 0xffff));
}

bool updateReachability(UpstreamEvidence &evidence, SteadyTime now)
{
    if (evidence.isUnreachableWithoutProbe && now >= evidence.unreachableUntil) {
        resetToReachable(evidence, now); // no new failure verdict arrived in time
    }
    const int stalled = evidence.stalledFlows + evidence.stalledOpenings;
    const bool isStalled = stalled >= minStallsToSuspect && now - evidence.lastProgressAt >= suspectAfterNoProgress;
    const bool isUnanswered = evidence.unansweredOpeningSince && now - *evidence.unansweredOpeningSince >= suspectAfterUnansweredOpening;
    const bool isCheckDue = evidence.peerVerdictCheckAt && now >= *evidence.peerVerdictCheckAt;
    if (evidence.state != Reachability::reachable || (!isStalled && !isUnanswered && !isCheckDue)) {
        return false;
    }
    evidence.peerVerdictCheckAt.reset();
    setState(evidence, Reachability::suspect, now);
    return true;
}

bool noteProbeResult(UpstreamEvidence &evidence, ProbeResult result, SteadyTime now, double jitter)
{
    evidence.pendingProbes = static_cast<std::uint8_t>(std::max(evidence.pendingProbes - 1, 0));
    if (result != ProbeResult::silent) {
        noteHostAnswer(evidence, now);
    }
    if (result == ProbeResult::connected) {
        resetToReachable(evidence, now);
        evidence.lastProgressAt = now;
        evidence.retryBackoffExponent = 0;
        evidence.answeredProbesWithoutProgress = static_cast<std::uint8_t>(std::min(evidence.answeredProbesWithoutProgress + 1, 8));
        return false;
    }
    evidence.answeredProbesWithoutProgress = 0;
    if (evidence.state == Reachability::reachable) {
        return false; // progress was seen while the probe was in flight
    }
    evidence.consecutiveFailedProbes = static_cast<std::uint8_t>(std::min(evidence.consecutiveFailedProbes + 1, 8));
    if (evidence.isUnreachableWithoutProbe) {
        extendUnreachablePeriod(evidence, now); // the peers go on deciding when it is back
    } else if (evidence.state == Reachability::unreachable) {
        scheduleRetry(evidence, now, jitter);
    }
    return checkFailures(evidence, result == ProbeResult::refused, now, jitter);
}

bool noteHostProbeResult(UpstreamEvidence &evidence, ProbeResult result, SteadyTime startedAt, SteadyTime now, double jitter)
{
    evidence.isHostProbePending = false;
    evidence.inconclusiveHostProbes = 0;
    if (result != ProbeResult::silent) {
        noteHostAnswer(evidence, now);
        evidence.isHostSilenceRefuted = false;
        return false;
    }
    const bool isContradicted = evidence.lastProgressAt >= startedAt || isSince(evidence.lastHostAnswerAt, startedAt);
    if (evidence.state == Reachability::reachable || isContradicted) {
        return false;
    }
    evidence.lastHostSilenceAt = now;
    evidence.lastFailureAt = std::max(evidence.lastFailureAt, now);
    return checkFailures(evidence, false, now, jitter);
}

void noteConfirmationAsked(UpstreamEvidence &evidence, SteadyTime now)
{
    evidence.confirmationAskedAt = now;
}

bool isConfirmationDue(const UpstreamEvidence &evidence, SteadyTime now)
{
    const bool isSilent
        = isSince(evidence.lastHostSilenceAt, now - failureValidity) && *evidence.lastHostSilenceAt > evidence.lastProgressAt;
    return evidence.state == Reachability::unreachable && isSilent && !evidence.isHostSilenceRefuted && !evidence.confirmationAskedAt
        && !evidence.isHostProbePending && !isSince(evidence.hostSilenceConfirmedAt, *evidence.lastHostSilenceAt);
}

bool isControlDue(const UpstreamEvidence &evidence, SteadyTime now)
{
    return evidence.confirmationAskedAt && now - *evidence.confirmationAskedAt >= hostAnswerTime;
}

bool concludeConfirmation(UpstreamEvidence &evidence, SteadyTime answeredSentAt, SteadyTime now)
{
    if (!evidence.confirmationAskedAt || evidence.isHostProbePending) {
        return false;
    }
    const auto askedAt = *evidence.confirmationAskedAt;
    if (answeredSentAt - askedAt >= hostAnswerTime) {
        const bool isSecond
            = isSince(evidence.lastHostSilenceAt, now - failureValidity) && *evidence.lastHostSilenceAt > evidence.lastProgressAt;
        evidence.confirmationAskedAt.reset();
        (isSecond ? evidence.hostSilenceConfirmedAt : evidence.lastHostSilenceAt) = now;
        return true;
    }
    if (now - askedAt >= maxConfirmationTime) {
        evidence.confirmationAskedAt.reset();
    }
    return false;
}

void giveUpConfirmation(UpstreamEvidence &evidence)
{
    evidence.isHostProbePending = false;
    evidence.confirmationAskedAt.reset();
}

void noteHostAnswer(UpstreamEvidence &evidence, SteadyTime now)
{
    evidence.lastHostAnswerAt = now;
    evidence.lastHostSilenceAt.reset();
    forgetHostSilence(evidence);
}

void forgetHostSilence(UpstreamEvidence &evidence)
{
    evidence.confirmationAskedAt.reset();
    evidence.hostSilenceConfirmedAt.reset();
}

void noteInconclusiveHostProbe(UpstreamEvidence &evidence)
{
    evidence.isHostProbePending = false;
    evidence.inconclusiveHostProbes = static_cast<std::uint8_t>(std::min(evidence.inconclusiveHostProbes + 1, 8));
}

bool isHostKnownUp(const UpstreamEvidence &evidence, SteadyTime now)
{
    return isSince(evidence.lastHostAnswerAt, now - failureValidity) && !evidence.lastHostSilenceAt;
}

void noteHostSilenceAtPeers(UpstreamEvidence &evidence, SteadyTime foundAt)
{
    if (!isSince(evidence.lastHostAnswerAt, foundAt)) {
        evidence.lastHostSilenceAt = std::max(evidence.lastHostSilenceAt.value_or(foundAt), foundAt);
        evidence.hostSilenceConfirmedAt = std::max(evidence.hostSilenceConfirmedAt.value_or(foundAt), foundAt);
    }
}

bool noteUnreachableVerdict(UpstreamEvidence &evidence, const Verdict &verdict, SteadyTime now, double jitter)
{
    const auto foundAt = verdict.foundAt;
    const auto margin = verdict.result == ProbeResult::refused ? Milliseconds(0) : recentProgressWindow;
    if (evidence.state == Reachability::unreachable) {
        if (evidence.isUnreachableWithoutProbe) {
            extendUnreachablePeriod(evidence, foundAt);
        } else if (foundAt - evidence.lastFailureAt > initialRetryBackoff / 2) {
            scheduleRetry(evidence, foundAt, jitter);
        }
        return true;
    }
    if (evidence.lastProgressAt > foundAt - margin || now - foundAt > verdictLifetime) {
        return false;
    }
    evidence.isReportedUnreachable = true;
    evidence.isReportedHostSilent = evidence.isReportedHostSilent || verdict.isHostSilent;
    evidence.isAvoidedWithDataCentre = false;
    evidence.avoidedSince = std::max(evidence.avoidedSince, foundAt);
    evidence.avoidedUntil = std::max(evidence.avoidedUntil, foundAt + verdictLifetime);
    return true;
}

void scheduleCheck(UpstreamEvidence &evidence, SteadyTime now, double jitter)
{
    if (evidence.state == Reachability::reachable) {
        const auto delay = static_cast<double>(Microseconds(maxCheckDelay).count()) * jitter;
        const auto checkAt = now + Microseconds(static_cast<std::int64_t>(delay));
        evidence.peerVerdictCheckAt = std::min(evidence.peerVerdictCheckAt.value_or(checkAt), checkAt);
    }
}

bool markUnreachableWithoutProbe(UpstreamEvidence &evidence, SteadyTime foundAt, SteadyTime now)
{
    if (evidence.state == Reachability::unreachable) {
        return false;
    }
    evidence.lastFailureAt = std::max(evidence.lastFailureAt, foundAt);
    setState(evidence, Reachability::unreachable, now);
    evidence.isUnreachableWithoutProbe = true;
    evidence.unreachableUntil = now + verdictLifetime;
    return true;
}

void extendUnreachablePeriod(UpstreamEvidence &evidence, SteadyTime foundAt)
{
    if (evidence.isUnreachableWithoutProbe) {
        evidence.lastFailureAt = std::max(evidence.lastFailureAt, foundAt);
        evidence.unreachableUntil = std::max(evidence.unreachableUntil, foundAt + verdictLifetime);
    }
}

bool noteReachableVerdict(UpstreamEvidence &evidence, SteadyTime foundAt, bool isSameDataCentre, SteadyTime now)
{
    if (evidence.state == Reachability::unreachable && foundAt > evidence.lastFailureAt && foundAt > evidence.stateSince) {
        if (evidence.isUnreachableWithoutProbe || isSameDataCentre) {
            resetToReachable(evidence, now);
            evidence.retryBackoffExponent = 0;
            return true;
        }
        evidence.unreachableUntil = std::min(evidence.unreachableUntil, now);
    }
    if (foundAt > evidence.avoidedSince) {
        evidence.isAvoidedWithDataCentre = false;
        evidence.avoidedUntil = {};
        evidence.peerVerdictCheckAt.reset();
    }
    return false;
}

void avoidDuringDataCentreCheck(UpstreamEvidence &evidence, SteadyTime now)
{
    evidence.avoidedSince = now;
    evidence.avoidedUntil = std::max(evidence.avoidedUntil, now + dataCentreCheckAvoidance);
}

void avoidWithDataCentre(UpstreamEvidence &evidence, SteadyTime foundAt)
{
    if (evidence.lastProgressAt > foundAt - recentProgressWindow) {
        return;
    }
    evidence.isAvoidedWithDataCentre = true;
    evidence.avoidedSince = std::max(evidence.avoidedSince, foundAt);
    evidence.avoidedUntil = std::max(evidence.avoidedUntil, foundAt + verdictLifetime);
}

void endAvoidanceWithDataCentre(UpstreamEvidence &evidence)
{
    if (evidence.isAvoidedWithDataCentre) {
        evidence.isAvoidedWithDataCentre = false;
        evidence.avoidedUntil = {};
    }
}

void bringForwardRetry(UpstreamEvidence &evidence, SteadyTime now)
{
    if (evidence.state == Reachability::unreachable && !evidence.isUnreachableWithoutProbe) {
        evidence.unreachableUntil = std::min(evidence.unreachableUntil, now);
    }
}

bool isAvoided(const UpstreamEvidence &evidence, SteadyTime now)
{
    return now < evidence.avoidedUntil && evidence.lastProgressAt <= evidence.avoidedSince;
}

bool isCheckDueWithDataCentre(const UpstreamEvidence &evidence, SteadyTime now)
{
    return evidence.isAvoidedWithDataCentre && isAvoided(evidence, now) && evidence.state == Reachability::reachable
        && evidence.pendingProbes == 0 && now - evidence.lastProbeAt >= minVerificationInterval;
}

bool mayResetFlows(const UpstreamEvidence &evidence, SteadyTime now)
{
    if (evidence.state != Reachability::unreachable || evidence.isHostSilenceRefuted || !evidence.hostSilenceConfirmedAt) {
        return false;
    }
    const auto confirmedAt = *evidence.hostSilenceConfirmedAt;
    return now - confirmedAt < failureValidity && confirmedAt > evidence.lastProgressAt;
}

bool isVerificationDue(const UpstreamEvidence &evidence, SteadyTime now)
{
    const bool isHostKnown
        = isSince(evidence.lastHostSilenceAt, now - failureValidity) || isSince(evidence.lastHostAnswerAt, now - failureValidity);
    return evidence.state == Reachability::unreachable && !evidence.isHostSilenceRefuted && !isHostKnown && !evidence.isHostProbePending
        && now - evidence.lastHostProbeAt >= std::max<Milliseconds>(minVerificationInterval, hostProbeInterval(evidence));
}

bool isProbeDue(const UpstreamEvidence &evidence, SteadyTime now)
{
    const auto backoff = evidence.answeredProbesWithoutProgress > 0
        ? std::min(initialAnsweredProbeBackoff * (1 << std::min<int>(evidence.answeredProbesWithoutProgress - 1, 5)), maxRetryBackoff)
        : minProbeInterval;
    if (evidence.pendingProbes > 0 || evidence.isUnreachableWithoutProbe || now - evidence.lastProbeAt < backoff) {
        return false;
    }
    const bool isHostProbedFirst
        = evidence.isReportedHostSilent && !evidence.isHostSilenceRefuted && !isSince(evidence.lastHostAnswerAt, evidence.stateSince);
    return (evidence.state == Reachability::suspect && !isHostProbedFirst)
        || (evidence.state == Reachability::unreachable && now >= evidence.unreachableUntil);
}

bool isHostProbeDue(const UpstreamEvidence &evidence, SteadyTime now)
{
    if (evidence.state != Reachability::suspect || evidence.isHostProbePending || evidence.isHostSilenceRefuted
        || now - evidence.lastHostProbeAt < hostProbeInterval(evidence) || isSince(evidence.lastHostAnswerAt, evidence.stateSince)
        || isSince(evidence.lastHostSilenceAt, evidence.stateSince)) {
        return false;
    }
    const bool isAnswerOverdue = evidence.lastProbeAt >= evidence.stateSince && now - evidence.lastProbeAt >= minProbeInterval;
    return isAnswerOverdue || evidence.stalledFlows >= minStallsToTrustOneProbe || evidence.isReportedHostSilent;
}

bool needsEvaluation(const UpstreamEvidence &evidence)
{
    return evidence.state != Reachability::reachable || evidence.confirmationAskedAt || evidence.unansweredOpeningSince
        || evidence.peerVerdictCheckAt || evidence.stalledFlows > 0 || evidence.stalledOpenings > 0;
}

void resetEvidence(UpstreamEvidence &evidence, SteadyTime now)
{
    evidence.lastProgressAt = now;
    evidence.stalledFlows = 0;
    evidence.stalledOpenings = 0;
    evidence.stalledSince.reset();
    evidence.unansweredOpeningSince.reset();
    evidence.peerVerdictCheckAt.reset();
    forgetHostSilence(evidence);
    if (evidence.state == Reachability::suspect) {
        setState(evidence, Reachability::reachable, now);
    }
}

} // namespace sapphirespan
