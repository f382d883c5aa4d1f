#pragma once

#include "sapphirespan_base/sapphirespan_base.h"

namespace sapphirespan {

/** How many of an upstream's recent responses looked like failures. */
struct ResponseOutcomes {
    double failed = 0; ///< decays exponentially
    double total = 0; ///< decays likewise
    SteadyTime lastResponseAt {};
};

/** Time constant by which outcomes decay. An upstream that gets no new flows because it failed is tried again after a few of
    these. */
inline constexpr Milliseconds outcomeTimeConstant {4000};

/** Number of responses, with decayed weight, without which nothing is concluded. */
inline constexpr double minOutcomes = 2;

/** Failed share, beyond twice that of the service's middle upstream, from which an upstream fails more than others. While all
    upstreams reject because they are full, that says nothing against one of them. */
inline constexpr double minExcessFailedShare = 0.1;

/** Records a response. Thread safety: none. */
void noteOutcome(ResponseOutcomes &outcomes, bool isFailed, SteadyTime now);

/** @returns the share of failures among the recent responses; 0 if there were too few. */
double failedShare(const ResponseOutcomes &outcomes, SteadyTime now);

/** @returns whether an upstream fails more than others of its service.
    @param middleShare median of the failed shares of the service's upstreams */
bool failsMoreThanOthers(double share, double middleShare);

} // namespace sapphirespan
