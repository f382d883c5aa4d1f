#include "sapphirespan_cookie/evidence/SuspicionText.h"

namespace sapphirespan {

namespace {

std::string millisecondsText(SteadyTime::duration time)
{
    return std::to_string(std::chrono::duration_cast<Milliseconds>(time).count()) + " ms";
}

} // namespace

std::string suspicionText(const UpstreamEvidence &evidence, SteadyTime now)
{
    auto text = "no progress for " + millisecondsText(now - evidence.lastProgressAt);
    if (evidence.stalledFlows > 0) {
        text += ", stalled flows: " + std::to_string(evidence.stalledFlows);
    }
    if (evidence.stalledOpenings > 0) {
        text += ", stalled openings: " + std::to_string(evidence.stalledOpenings);
    }
    if (evidence.unansweredOpeningSince) {
        text += ", an opening unanswered for " + millisecondsText(now - *evidence.unansweredOpeningSince);
    }
    if (evidence.isReportedUnreachable) {
        text += ", a peer found it dark";
    }
    if (evidence.isAvoidedWithDataCentre) {
        text += ", its data centre is dark";
    }
    return text;
}

} // namespace sapphirespan
