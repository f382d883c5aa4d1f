#pragma once

#include "sapphirespan_flow/sapphirespan_flow.h"

#include <optional>
#include <vector>

namespace sapphirespan {

/** An upstream that could take a new flow. */
struct PlacementCandidate {
    UpstreamOrdinal ordinal = 0;
    double weight = 1; ///< share it should have; already lowered during slow start
    double connections = 0; ///< estimated now
    std::uint32_t connectionCap = 0; ///< 0 means no cap
    bool isOpen = true;
};

/** Chooses the upstream of a new flow.

    The preferred upstream is kept while its load is within `tolerance` of its weighted share; this keeps flows on the
    default, where they need no entry. Otherwise one below its share is drawn with a chance in proportion to what it
    lacks, so that several owners with the same late news do not all choose the same one.

    @param candidates all upstreams of the service @param preferred ordinal, may be closed or absent
    @param tolerance fraction of the share, at least 0 @param random a uniformly random number
    @returns nothing when no upstream is open and below its cap. Thread safety: pure function.
*/
std::optional<UpstreamOrdinal> chooseUpstream(const std::vector<PlacementCandidate> &candidates, UpstreamOrdinal preferred,
                                              double tolerance, std::uint64_t random);

/** @returns the factor in [lowest, 1] by which slow start lowers a weight, `sinceOpened` after the upstream opened. */
double slowStartFactor(Microseconds sinceOpened, Milliseconds slowStart);

} // namespace sapphirespan
