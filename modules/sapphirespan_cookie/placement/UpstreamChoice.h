#pragma once

#include "sapphirespan_cookie/knowledge/UpstreamDirectory.h"

namespace sapphirespan {

/** What the choice of an upstream depends on beside the upstreams. */
struct ChoiceContext {
    SteadyTime now {};
    const std::string &service;
    const std::string &dataCentre; ///< of the instance that chooses
    FlowCookie unansweredUpstream = 0; ///< an upstream that did not answer this flow's opening; 0 for none
    std::uint64_t tieBreakSeed = 0; ///< seed of the tie-break, so that instances with the same news do not herd
};

/** Load beyond which an upstream of another data centre is preferred, as a multiple of that upstream's load. */
inline constexpr double remoteLoadFactor = 1.6;

/** Flows per slot that are added to the load of an upstream of another data centre. */
inline constexpr double remoteLoadOffset = 1.0;

/** Time over which an upstream that has just appeared is brought up to the others' load. */
inline constexpr Milliseconds slowStartTime {3000};

/** Share of its slots that a warming upstream is taken to have. */
inline constexpr double warmUpSlotShare = 0.5;

/** @returns flows per slot at an upstream, those known of at peers included. */
double loadPerSlot(const UpstreamRow &row, const ChoiceContext &context, double usualLoad);

/** Chooses the upstream of a new flow: the least loaded that is ready and reachable, in the own data centre unless one
    elsewhere has clearly less to do. Suspect and dark upstreams are chosen only if no other is ready; draining ones never.

    @returns nullptr when no ready upstream of the service is known. Thread safety: pure function.
*/
UpstreamRow *chooseUpstream(UpstreamDirectory &directory, const ChoiceContext &context);

} // namespace sapphirespan
