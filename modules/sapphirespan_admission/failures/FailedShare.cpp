#include "sapphirespan_admission/failures/FailedShare.h"

#include <cmath>

namespace sapphirespan {

namespace {

double keptShare(const ResponseOutcomes &outcomes, SteadyTime now)
{
    return std::exp(-std::chrono::duration<double>(now - outcomes.lastResponseAt) / std::chrono::duration<double>(outcomeTimeConstant));
}

} // namespace

void noteOutcome(ResponseOutcomes &outcomes, bool isFailed, SteadyTime now)
{
    const double kept = keptShare(outcomes, now);
    outcomes.failed = outcomes.failed * kept + (isFailed ? 1 : 0);
    outcomes.total = outcomes.total * kept + 1;
    outcomes.lastResponseAt = now;
}

double failedShare(const ResponseOutcomes &outcomes, SteadyTime now)
{
    return outcomes.total * keptShare(outcomes, now) >= minOutcomes ? outcomes.failed / outcomes.total : 0;
}

bool failsMoreThanOthers(double share, double middleShare)
{
    return share >= 2 * middleShare + minExcessFailedShare;
}

} // namespace sapphirespan
