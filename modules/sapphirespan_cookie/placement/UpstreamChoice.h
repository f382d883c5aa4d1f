#pragma once

#include "sapphirespan_cookie/knowledge/UpstreamDirectory.h"

#include <functional>

namespace sapphirespan {

/** Inputs to the choice of an upstream other than the upstreams themselves. */
struct ChoiceContext {
    SteadyTime now {};
    const std::string &service;
    const std::string &dataCentre; ///< whose upstreams are preferred
    FlowCookie unansweredUpstream = 0; ///< upstream that did not answer this flow's opening; 0 for none
    std::uint64_t tieBreakSeed = 0; ///< random, so that instances with the same data do not all choose the same upstream
    std::function<bool(const UpstreamRow &)> mayTake {}; ///< whether an upstream may get this flow at all; empty if all may
    std::function<bool(const UpstreamRow &)> isReservedForOthers {}; ///< whether it gets this flow only if no other can take it
    bool hasSlotOfUnanswered = false; ///< the opening used up a slot of `unansweredUpstream`, so that a copy needs none
    bool staysInDataCentre = false; ///< upstreams elsewhere get this flow only if none in `dataCentre` can take it
};

/** Adds a condition that an upstream has to meet to get the flow, beside those that were added before. */
void addCondition(ChoiceContext &context, std::function<bool(const UpstreamRow &)> condition);

/** Flows per slot added to the load of upstreams in data centres other than the preferred one. */
inline constexpr double remoteLoadOffset = 1.0;

/** Time over which the load of a newly learned upstream is raised to that of the others. */
inline constexpr Milliseconds slowStartTime {3000};

/** Share of its slots with which an upstream is counted while it warms up. */
inline constexpr double warmUpSlotShare = 0.5;

/** @returns the load of an upstream in flows of this instance per slot. A request that awaits its
    response counts in addition to its flow; upstreams in slow start or recovery count as fuller than they are.
    @param averageLoad mean flows per slot of the service's reachable upstreams */
double loadPerSlot(const UpstreamRow &row, const ChoiceContext &context, double averageLoad);

/** @returns whether an upstream may take an opening, a first one or a copy, however it compares with others: it has the service and is
    ready, and the conditions of the context hold. Thread safety: pure function. */
bool mayTakeOpening(const UpstreamRow &row, const ChoiceContext &context);

/** Chooses the upstream for a new flow: the least loaded one that is ready and reachable, in the preferred data centre unless an
    upstream elsewhere has clearly less load. Suspect and unreachable upstreams are chosen only if no other is
    ready; draining ones never.

    @returns nullptr if no ready upstream of the service is known. Thread safety: pure function.
*/
UpstreamRow *chooseUpstream(UpstreamDirectory &directory, const ChoiceContext &context);

} // namespace sapphirespan
