#include "sapphirespan_upstream/health/HealthOpinion.h"

namespace sapphirespan {

namespace {

using namespace std::chrono_literals;

constexpr std::uint32_t failuresUntilDown = 3;
constexpr std::uint32_t successesUntilOpen = 2;
constexpr std::uint32_t fewestFlowsToJudge = 8;
constexpr auto outcomeWindow = 5s;

/** More than half of a window's flows got no answer. */
bool flowsAreFailing(const HealthOpinion &opinion)
{
    const auto judged = opinion.answeredFlows + opinion.unansweredFlows;
    return judged >= fewestFlowsToJudge && opinion.unansweredFlows * 2 > judged;
}

} // namespace

void recordProbe(HealthOpinion &opinion, const ProbeOutcome &outcome)
{
    if (!outcome.isAnswered) {
        opinion.successes = 0;
        ++opinion.failures;
        if (opinion.failures >= failuresUntilDown) {
            opinion.phase = UpstreamPhase::down;
        }
        return;
    }
    opinion.failures = 0;
    ++opinion.successes;
    if (outcome.claimed != UpstreamPhase::open) {
        opinion.phase = outcome.claimed;
        opinion.successes = 0;
    } else if (flowsAreFailing(opinion)) {
        opinion.phase = UpstreamPhase::down;
        opinion.successes = 0;
    } else if (opinion.successes >= successesUntilOpen) {
        opinion.phase = UpstreamPhase::open;
    }
}

void recordFlowOutcome(HealthOpinion &opinion, bool isAnswered, SteadyTime now)
{
    if (now - opinion.windowStart > outcomeWindow) {
        opinion.windowStart = now;
        opinion.answeredFlows = 0;
        opinion.unansweredFlows = 0;
    }
    ++(isAnswered ? opinion.answeredFlows : opinion.unansweredFlows);
}

} // namespace sapphirespan
