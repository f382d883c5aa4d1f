#pragma once

#include "sapphirespan_cookie/state/CookieState.h"

/** @file
    The only functions that end flows. Each of them sends a reset only with proof that no living upstream holds the flow; without it the
    packet is left to the caller, or dropped. FlowEndCallersTest lists their callers.
*/

namespace sapphirespan {

/** Why an opening is rejected. */
enum class OpeningRejection : std::uint8_t {
    noRoute,
    noUpstream,
    evacuated, ///< all data centres with ready upstreams are evacuated
    overload,
    count
};

template<>
struct NameTable<OpeningRejection> {
    static constexpr std::array<std::string_view, enumCount<OpeningRejection>> names {"no_route", "no_upstream", "evacuated", "overload"};
};

/** Rejects an opening that cannot be served, or drops it if its flow may be open through another instance. @param reason for the log */
void rejectOrDropOpening(CookieState &state, OpeningRejection rejection, const ClientPacket &packet, std::string_view reason);

/** Rejects a first opening because its service is overloaded. @returns whether it was rejected; if not, its flow may be open through
    another instance, and it is to be placed @param reason for the log */
bool tryRejectForOverload(CookieState &state, const ClientPacket &packet, std::string_view reason);

/** Ends the flow of a packet that is not an opening and whose route is not known, if it is known that the route was removed; else drops the
    packet, since the route may be one that this instance has not heard of yet. */
void endOrDropWithoutRoute(CookieState &state, const ClientPacket &packet);

/** Ends the flow of a packet with data if its upstream is proven gone: its host is silent, see mayResetFlows(), or the store no longer
    lists the upstream although it could be asked for long enough, and the upstream has left two copies of data unanswered.
    @param row the upstream of the flow @returns whether it was ended */
bool tryEndFlow(CookieState &state, const ClientPacket &packet, FlowRow &flow, const UpstreamRow &row);

/** Ends the open flows of all upstreams that are proven gone, see tryEndFlow(), so that their clients reconnect at once. Idle flows are
   ended too: their clients may send on them later, and may not repeat what they sent. */
void endFlowsOfGoneUpstreams(CookieState &state);

} // namespace sapphirespan
