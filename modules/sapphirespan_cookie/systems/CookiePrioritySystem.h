#pragma once

#include "sapphirespan_cookie/state/CookieState.h"

namespace sapphirespan {

/** Recomputes which services have routes that differ in priority, and which of their upstreams are reserved for the most urgent ones.
    Called by the periodic work; takes a pass over the upstreams. */
void updatePriorities(CookieState &state);

/** @returns whether the routes of a service differ in priority, so that decisions about its flows go by that. */
bool hasPriorities(const CookieState &state, const std::string &service);

/** Decides about a new flow of a service with priorities. @param client address of the client, without its port
    @param instances that share the slots of the service, including this one */
AdmissionDecision admitByPriority(CookieState &state, const std::string &service, const Route &route, std::uint32_t client,
                                  double instances);

/** @returns for ChoiceContext::isReservedForOthers: which upstreams a new flow of a route leaves to others; empty if none.
    @param route service address of the flow */
std::function<bool(const UpstreamRow &)> reservationFor(CookieState &state, const std::string &service, const Ipv4Endpoint &route);

/** Records a response for the part of the service's upstreams to which this one belongs. @param route service address of the flow */
void noteResponseByPriority(CookieState &state, const UpstreamRow &row, const Ipv4Endpoint &route, const ResponseSample &sample);

/** @returns the reason of a rejection by priority for logs, with its inputs and their age. */
std::string describeByPriority(const AdmissionDecision &decision);

} // namespace sapphirespan
