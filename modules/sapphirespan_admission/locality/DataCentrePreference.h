#pragma once

#include "sapphirespan_admission/limits/ServiceLoad.h"

#include <vector>

namespace sapphirespan {

/** A data centre other than this instance's own, with upstreams of a service that can take new flows. */
struct OtherDataCentre {
    std::string name;
    double slots = 0; ///< of these upstreams
};

/** Ratio of the slowdowns of two data centres from which new flows move to the faster one, and the difference above it at which
    all that may move do. In between the share grows in proportion, so that instances do not all move at once. */
inline constexpr double minSlowdownRatio = 1.1;
inline constexpr double slowdownRatioRange = 0.5;

/** Largest share of new flows that move; the others keep telling how slow the own data centre is. */
inline constexpr double maxMovedShare = 0.8;

/** Number of responses, with decayed weight, without which the slowdown of the own data centre is not known. */
inline constexpr double minDataCentreSamples = 5;

/** @returns the share of new flows that prefers the other one of two groups of upstreams, by how much slower the own one is. */
double movedShare(double ownSlowdown, double otherSlowdown);

/** @returns the mean slowdown of responses from a data centre; 1 if there were none lately. */
double dataCentreSlowdown(const ServiceLoad &load, const std::string &dataCentre, SteadyTime now);

/** @returns whether the own data centre is so slow that a faster one might be preferred. A cheap test, to be made first. */
bool isDataCentreSlow(const ServiceLoad &load, const std::string &own, SteadyTime now);

/** Chooses the data centre whose upstreams a new flow prefers: the own one, unless responses from it are slower than from another.

    Each instance sees only a few requests of each upstream, but enough of a data centre to tell which is overloaded.

    @param random uniformly distributed in [0, 1) @returns `own` or the name of one of `others`
    Thread safety: pure function.
*/
const std::string &preferredDataCentre(const ServiceLoad &load, const std::string &own, const std::vector<OtherDataCentre> &others,
                                       double random, SteadyTime now);

} // namespace sapphirespan
