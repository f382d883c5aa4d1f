#pragma once

#include "sapphirespan_cookie/state/CookieState.h"

namespace sapphirespan {

/** Requests of this instance in progress at some upstreams of a service, and the slots of these. */
struct RequestSum {
    double requests = 0;
    double slots = 0;
};

/** Adds an upstream. */
inline void add(RequestSum &sum, const UpstreamRow &row)
{
    sum.slots += row.entry.slots;
    sum.requests += row.load.waitingRequests;
}

/** @returns the key of a route by its service address. */
RouteKey keyOf(const Ipv4Endpoint &route);

/** Decides whether a new flow is admitted or rejected because its service is overloaded.
    @param route of the flow @param client address of its client, without the port */
AdmissionDecision admitRequest(CookieState &state, const std::string &service, const Route &route, std::uint32_t client);

/** Records that the flow about which admitRequest() decided last is placed although it decided to reject it. */
void noteRejectionWithheld(CookieState &state, const std::string &service, const Ipv4Endpoint &route, const AdmissionDecision &decision);

/** @returns the data centre whose upstreams a new flow of the service prefers: this instance's own unless it is slower than
    another. */
std::string preferredDataCentre(CookieState &state, const std::string &service);

/** Records a request on a flow that has carried one before. @param route service address of the flow */
void noteRequestOnOpenFlow(CookieState &state, const std::string &service, const Ipv4Endpoint &route);

/** Records a response of an upstream of the service. @param route service address of the flow */
void noteServiceResponse(CookieState &state, const std::string &service, const Ipv4Endpoint &route, const ResponseSample &sample);

/** Forgets services and routes that have had no request for a while. */
void expireServiceLoads(CookieState &state);

/** @returns the reason of a rejection for logs: the limit, the slowdown and its age. */
std::string describe(const AdmissionDecision &decision);

} // namespace sapphirespan
