#include "sapphirespan_cookie/evidence/UpstreamEvidence.h"

#include <algorithm>

namespace sapphirespan {

namespace {

/** Shortest time between two connection attempts to one upstream, so that one lost burst does not take both; an answer
    comes sooner, and makes the second unnecessary. */
constexpr Milliseconds shortestProbeGap {40};

/** Attempts on their way at a time; the second does not wait for the first to end. */
constexpr int mostOpenProbes = 2;

/** Progress so shortly before a silent attempt's end outweighs it, since the peer may be the one that is cut off. */
constexpr Milliseconds recentProgress {200};

void become(UpstreamEvidence &evidence, Reachability state, SteadyTime now)
{
    evidence.state = state;
    evidence.stateSince = now;
}

/** Pause before the next attempt, longer each time; from three quarters of it to half as long again by chance. */
Microseconds darkPause(const UpstreamEvidence &evidence, double jitter)
{
    const auto pause = std::min(initialRetryBackoff * (1 << std::min<int>(evidence.retryBackoffExponent, 3)), maxRetryBackoff);
    return Microseconds(static_cast<std::int64_t>(static_cast<double>(Microseconds(pause).count()) * (0.75 + 0.75 * jitter)));
}

void waitInTheDark(UpstreamEvidence &evidence, SteadyTime triedAt, double jitter)
{
    evidence.lastFailureAt = triedAt;
    evidence.unreachableUntil = triedAt + darkPause(evidence, jitter);
    evidence.retryBackoffExponent = static_cast<std::uint8_t>(std::min(evidence.retryBackoffExponent + 1, 8));
}

void clear(UpstreamEvidence &evidence, SteadyTime now)
{
    if (evidence.state != Reachability::reachable) {
        become(evidence, Reachability::reachable, now);
        evidence.reducedPlacementUntil = now + reducedPlacementTime;
    }
    evidence.stalledFlows = 0;
    evidence.stalledOpenings = 0;
    evidence.consecutiveFailedProbes = 0;
    evidence.unansweredOpeningSince.reset();
    evidence.isUnreachableWithoutProbe = false;
    evidence.isReportedUnreachable = false;
    evidence.avoidedUntil = {};
    evidence.peerVerdictCheckAt.reset();
}

} // namespace

bool noteProgress(UpstreamEvidence &evidence, SteadyTime now)
{
    const bool isNews = evidence.state != Reachability::reachable;
    clear(evidence, now);
    evidence.retryBackoffExponent = 0;
    evidence.answeredProbesWithoutProgress = 0;
    evidence.lastProgressAt = now;
    return isNews;
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

void noteStall(UpstreamEvidence &evidence, bool isOpening)
{
    auto &count = isOpening ? evidence.stalledOpenings : evidence.stalledFlows;
    count = static_cast<std::uint16_t>(std::min(count + 1, 0xffff));
}

bool updateReachability(UpstreamEvidence &evidence, SteadyTime now)
{
    if (evidence.isUnreachableWithoutProbe && now >= evidence.unreachableUntil) {
        clear(evidence, now); // nobody found it dark again
    }
    const int stalled = evidence.stalledFlows + evidence.stalledOpenings;
    const bool isStalled = stalled >= minStallsToSuspect && now - evidence.lastProgressAt >= suspectAfterNoProgress;
    const bool isUnanswered = evidence.unansweredOpeningSince && now - *evidence.unansweredOpeningSince >= suspectAfterUnansweredOpening;
    const bool isToCheck = evidence.peerVerdictCheckAt && now >= *evidence.peerVerdictCheckAt;
    if (evidence.state != Reachability::reachable || (!isStalled && !isUnanswered && !isToCheck)) {
        return false;
    }
    evidence.peerVerdictCheckAt.reset();
    become(evidence, Reachability::suspect, now);
    return true;
}

bool noteProbeResult(UpstreamEvidence &evidence, ProbeResult result, SteadyTime now, double jitter)
{
    evidence.pendingProbes = static_cast<std::uint8_t>(std::max(evidence.pendingProbes - 1, 0));
    if (result == ProbeResult::connected) {
        clear(evidence, now);
        evidence.lastProgressAt = now;
        evidence.retryBackoffExponent = 0;
        evidence.answeredProbesWithoutProgress = static_cast<std::uint8_t>(std::min(evidence.answeredProbesWithoutProgress + 1, 8));
        return false;
    }
    evidence.answeredProbesWithoutProgress = 0;
    if (evidence.state == Reachability::reachable) {
        return false; // progress was seen while the attempt was on its way
    }
    ++evidence.consecutiveFailedProbes;
    const int needed = evidence.stalledFlows >= minStallsToTrustOneProbe || evidence.isReportedUnreachable ? 1 : 2;
    if (evidence.state == Reachability::suspect && result != ProbeResult::refused && evidence.consecutiveFailedProbes < needed) {
        return false;
    }
    const bool isNews = evidence.state != Reachability::unreachable;
    become(evidence, Reachability::unreachable, now);
    waitInTheDark(evidence, now, jitter);
    return isNews;
}

bool noteUnreachableVerdict(UpstreamEvidence &evidence, const Verdict &verdict, SteadyTime now, double jitter)
{
    const auto foundAt = verdict.foundAt;
    const auto margin = verdict.result == ProbeResult::refused ? Milliseconds(0) : recentProgress;
    if (evidence.state == Reachability::unreachable) {
        if (evidence.isUnreachableWithoutProbe) {
            extendUnreachablePeriod(evidence, foundAt);
        } else if (foundAt - evidence.lastFailureAt > initialRetryBackoff / 2) {
            waitInTheDark(evidence, foundAt, jitter);
        }
        return true;
    }
    if (evidence.lastProgressAt > foundAt - margin || now - foundAt > verdictLifetime) {
        return false;
    }
    evidence.isReportedUnreachable = true;
    evidence.avoidedSince = std::max(evidence.avoidedSince, foundAt);
    evidence.avoidedUntil = std::max(evidence.avoidedUntil, foundAt + verdictLifetime);
    return true;
}

void scheduleCheck(UpstreamEvidence &evidence, SteadyTime now, double jitter)
{
    if (evidence.state == Reachability::reachable && !evidence.peerVerdictCheckAt) {
        const auto delay = static_cast<double>(Microseconds(maxCheckDelay).count()) * jitter;
        evidence.peerVerdictCheckAt = now + Microseconds(static_cast<std::int64_t>(delay));
    }
}

bool markUnreachableWithoutProbe(UpstreamEvidence &evidence, SteadyTime now)
{
    if (evidence.state == Reachability::unreachable) {
        return false;
    }
    become(evidence, Reachability::unreachable, now);
    evidence.isUnreachableWithoutProbe = true;
    evidence.unreachableUntil = now + verdictLifetime;
    return true;
}

void extendUnreachablePeriod(UpstreamEvidence &evidence, SteadyTime foundAt)
{
    if (evidence.isUnreachableWithoutProbe) {
        evidence.unreachableUntil = std::max(evidence.unreachableUntil, foundAt + verdictLifetime);
    }
}

bool noteReachableVerdict(UpstreamEvidence &evidence, SteadyTime foundAt, bool isSameVantage, SteadyTime now)
{
    if (evidence.state == Reachability::unreachable && foundAt > evidence.lastFailureAt && foundAt > evidence.stateSince) {
        if (evidence.isUnreachableWithoutProbe || isSameVantage) {
            clear(evidence, now);
            evidence.retryBackoffExponent = 0;
            return true;
        }
        evidence.unreachableUntil = std::min(evidence.unreachableUntil, now);
    }
    if (foundAt > evidence.avoidedSince) {
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

bool isAvoided(const UpstreamEvidence &evidence, SteadyTime now)
{
    return now < evidence.avoidedUntil && evidence.lastProgressAt <= evidence.avoidedSince;
}

bool isProbeDue(const UpstreamEvidence &evidence, SteadyTime now)
{
    const auto pause = evidence.answeredProbesWithoutProgress > 0
        ? std::min(initialAnsweredProbeBackoff * (1 << std::min<int>(evidence.answeredProbesWithoutProgress - 1, 5)), maxRetryBackoff)
        : shortestProbeGap;
    const int most = evidence.state == Reachability::suspect && !evidence.isReportedUnreachable ? mostOpenProbes : 1;
    if (evidence.pendingProbes >= most || evidence.isUnreachableWithoutProbe || now - evidence.lastProbeAt < pause) {
        return false;
    }
    return evidence.state == Reachability::suspect || (evidence.state == Reachability::unreachable && now >= evidence.unreachableUntil);
}

bool needsEvaluation(const UpstreamEvidence &evidence)
{
    return evidence.state != Reachability::reachable || evidence.unansweredOpeningSince || evidence.peerVerdictCheckAt
        || evidence.stalledFlows > 0 || evidence.stalledOpenings > 0;
}

void resetEvidence(UpstreamEvidence &evidence, SteadyTime now)
{
    evidence.lastProgressAt = now;
    evidence.stalledFlows = 0;
    evidence.stalledOpenings = 0;
    evidence.unansweredOpeningSince.reset();
    evidence.peerVerdictCheckAt.reset();
    if (evidence.state == Reachability::suspect) {
        become(evidence, Reachability::reachable, now);
    }
}

} // namespace sapphirespan
