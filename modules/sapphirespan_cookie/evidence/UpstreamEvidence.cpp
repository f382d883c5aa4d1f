#include "sapphirespan_cookie/evidence/UpstreamEvidence.h"

#include <algorithm>

namespace sapphirespan {

namespace {

/** Shortest time between two connection attempts to one upstream. */
constexpr Milliseconds shortestProbeGap {60};

/** Progress so recent outweighs a peer's finding, since the peer may be the one that is cut off. */
constexpr Milliseconds recentProgress {200};

void become(UpstreamEvidence &evidence, Reachability state, SteadyTime now)
{
    evidence.state = state;
    evidence.stateSince = now;
}

void becomeDark(UpstreamEvidence &evidence, SteadyTime now)
{
    become(evidence, Reachability::dark, now);
    evidence.darkUntil = now + std::min(firstDark * (1 << std::min<int>(evidence.darkRounds, 3)), longestDark);
    evidence.darkRounds = static_cast<std::uint8_t>(std::min(evidence.darkRounds + 1, 8));
}

void clear(UpstreamEvidence &evidence, SteadyTime now)
{
    if (evidence.state != Reachability::fine) {
        become(evidence, Reachability::fine, now);
        evidence.trickleUntil = now + trickleTime;
    }
    evidence.stalledFlows = 0;
    evidence.stalledOpenings = 0;
    evidence.failedProbes = 0;
    evidence.unansweredSince.reset();
}

} // namespace

bool noteProgress(UpstreamEvidence &evidence, SteadyTime now)
{
    const bool isNews = evidence.state != Reachability::fine;
    clear(evidence, now);
    evidence.darkRounds = 0;
    evidence.lastProgress = now;
    return isNews;
}

void noteOpening(UpstreamEvidence &evidence, SteadyTime now)
{
    if (!evidence.unansweredSince) {
        evidence.unansweredSince = now;
    }
}

bool isInDoubt(const UpstreamEvidence &evidence, SteadyTime now)
{
    return evidence.unansweredSince && now - *evidence.unansweredSince > doubtAfter;
}

void noteStall(UpstreamEvidence &evidence, bool isOpening)
{
    auto &count = isOpening ? evidence.stalledOpenings : evidence.stalledFlows;
    count = static_cast<std::uint16_t>(std::min(count + 1, 0xffff));
}

bool judge(UpstreamEvidence &evidence, SteadyTime now)
{
    const int stalled = evidence.stalledFlows + evidence.stalledOpenings;
    const bool isStalled = stalled >= stalledToSuspect && now - evidence.lastProgress >= suspectAfter;
    const bool isUnanswered = evidence.unansweredSince && now - *evidence.unansweredSince >= suspectOpeningAfter;
    if (evidence.state != Reachability::fine || (!isStalled && !isUnanswered)) {
        return false;
    }
    become(evidence, Reachability::suspect, now);
    return true;
}

bool suspectForOthers(UpstreamEvidence &evidence, SteadyTime now)
{
    if (evidence.state != Reachability::fine || now - evidence.lastProgress < suspectAfter) {
        return false;
    }
    become(evidence, Reachability::suspect, now);
    return true;
}

bool noteProbe(UpstreamEvidence &evidence, ProbeResult result, SteadyTime now)
{
    evidence.isProbing = false;
    if (result == ProbeResult::connected) {
        clear(evidence, now);
        evidence.lastProgress = now;
        evidence.darkRounds = 0;
        return false;
    }
    if (evidence.state == Reachability::fine) {
        return false; // progress was seen while the attempt was on its way
    }
    ++evidence.failedProbes;
    const int needed = evidence.stalledFlows >= stalledToTrustOneProbe ? 1 : 2;
    if (evidence.state == Reachability::suspect && result != ProbeResult::refused && evidence.failedProbes < needed) {
        return false;
    }
    const bool isNews = evidence.state != Reachability::dark;
    becomeDark(evidence, now);
    return isNews;
}

bool noteDarkAtPeer(UpstreamEvidence &evidence, Milliseconds age, SteadyTime now)
{
    const auto foundAt = now - age;
    if (evidence.state != Reachability::fine || evidence.lastProgress > foundAt - recentProgress || evidence.stateSince > foundAt) {
        return false;
    }
    return suspectForOthers(evidence, now);
}

bool isProbeDue(const UpstreamEvidence &evidence, SteadyTime now)
{
    if (evidence.isProbing || now - evidence.lastProbe < shortestProbeGap) {
        return false;
    }
    return evidence.state == Reachability::suspect || (evidence.state == Reachability::dark && now >= evidence.darkUntil);
}

bool isOpenToJudge(const UpstreamEvidence &evidence)
{
    return evidence.state != Reachability::fine || evidence.unansweredSince || evidence.stalledFlows > 0 || evidence.stalledOpenings > 0;
}

void forgetFindings(UpstreamEvidence &evidence, SteadyTime now)
{
    evidence.lastProgress = now;
    evidence.stalledFlows = 0;
    evidence.stalledOpenings = 0;
    evidence.unansweredSince.reset();
    if (evidence.state == Reachability::suspect) {
        become(evidence, Reachability::fine, now);
    }
}

} // namespace sapphirespan
