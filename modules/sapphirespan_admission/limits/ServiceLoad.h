#pragma once

#include "sapphirespan_base/sapphirespan_base.h"

#include <deque>
#include <map>
#include <string>

namespace sapphirespan {

/** Identifies a route; chosen by the caller. */
using RouteKey = std::uint64_t;

/** Response times of one route, and how many of its requests were admitted. */
struct RouteLoad {
    double averageBytes = 0; ///< moving average of the size of responses; 0 before the first
    double floorMs = 0; ///< mean response time without queueing; 0 before the first full window
    double windowSumMs = 0; ///< sum of the response times in the current window
    int windowSamples = 0;
    SteadyTime windowStartedAt {};
    double offered = 0; ///< recent requests, rejected ones included; decays exponentially
    double openings = 0; ///< those of the offered that came on a new flow; counted only where routes differ in priority
    double admitted = 0; ///< those of the offered that were not rejected
    SteadyTime requestsDecayedAt {};
};

/** One response by which load is judged. */
struct RecentResponse {
    SteadyTime at {};
    double slowdown = 0; ///< response time divided by the floor of the route
    double timeMs = 0;
};

/** Recent responses of the upstreams of one data centre. */
struct DataCentreLoad {
    double slowdownSum = 0; ///< decays exponentially
    double waitSumMs = 0; ///< response times less the floors of their routes; decays likewise
    double responses = 0; ///< their number; decays likewise
    SteadyTime lastResponseAt {};
};

/** Load of one service as one instance sees it. */
struct ServiceLoad {
    std::map<RouteKey, RouteLoad> routes;
    std::map<std::string, DataCentreLoad> dataCentres; ///< by name
    std::deque<RecentResponse> recentResponses; ///< oldest first; at most maxRecentResponses
    double slots = 0; ///< of the service, as far as they fall to this instance
    double requestsInProgress = 0; ///< of this instance
    double averageRequestsInProgress = 0; ///< moving average of it
    SteadyTime requestsCountedAt {};
};

/** Shortest window over which a mean response time is taken, and the number of samples that it needs. */
inline constexpr Milliseconds responseWindow {500};
inline constexpr int minWindowSamples = 30;

/** Shortest time constant by which observations of the load decay. Where responses take longer, it is their mean time: an
    average over less would mix requests that met different queues. */
inline constexpr Milliseconds minLoadTimeConstant {100};

/** Share of the average size of a route's responses below which a response is ignored. */
inline constexpr double minResponseSizeShare = 0.3;

/** Number of responses that are kept of each service. */
inline constexpr std::size_t maxRecentResponses = 256;

/** Age of a response, in time constants of the load, above which it no longer counts, and the number of younger ones without
    which the slowdown is not known; the upstreams may then be unreachable rather than overloaded. */
inline constexpr int maxResponseAgeInTimeConstants = 3;
inline constexpr std::size_t minSlowdownSamples = 3;

/** Upper limit of the factor by which the load is taken to have grown since the latest responses. */
inline constexpr double maxLoadChange = 2;

/** Number of requests added to both numbers when the present one is compared with the average, so that the chance differences
    of small numbers hardly count. */
inline constexpr double loadChangePrior = 10;

/** Upper limit of the slowdown of a single response in the mean of its data centre, so that one that was delayed by a lost packet
    does not pass for load. */
inline constexpr double maxSampleSlowdown = 20;

/** Time constant by which the responses of a data centre decay. Longer than that of the load: how much slower one is than
    another changes less, and each has only a part of the responses. */
inline constexpr Milliseconds dataCentreTimeConstant {500};

/** Time constant by which counts of requests decay. */
inline constexpr Milliseconds requestCountTimeConstant {1000};

/** Requests in progress per slot from which requests may be waiting for a slot. Below it slow responses are slow work, not
    load. */
inline constexpr double minQueueingRequestsPerSlot = 1;

/** Share by which the floor of a route may rise per second; adapts it to work that became slower. */
inline constexpr double floorRisePerSecond = 0.05;

/** Records how many requests of this instance are in progress. @param slots of the service, divided by the number of instances
    Thread safety: none, as for the other functions. */
void noteRequestsInProgress(ServiceLoad &load, double requests, double slots, SteadyTime now);

/** @returns the average number of requests in progress for each slot; 0 if there is no slot. */
double averageRequestsPerSlot(const ServiceLoad &load);

/** One response of an upstream. */
struct ResponseSample {
    Microseconds time {0}; ///< from the end of the request to the first byte of the response
    std::uint32_t bytes = 0; ///< that the client acknowledged first
    std::string dataCentre {}; ///< of the upstream
};

/** Records a response. One that is far shorter than those of its route usually are is ignored: an upstream that rejects
    requests answers fast, and would pass for one without load. */
void noteResponse(ServiceLoad &load, RouteKey route, const ResponseSample &sample, SteadyTime now);

/** Records a request that was offered. @param isAdmitted whether it was passed on, as are all requests on open flows
    @param weight part of a request that it counts as; below 1 if it is one of several tries */
void noteRequest(ServiceLoad &load, RouteKey route, bool isAdmitted, SteadyTime now, double weight = 1);

/** Records that the latest request of a route, noted as rejected, is passed on after all. @param weight with which it was noted */
void noteRejectionWithheld(ServiceLoad &load, RouteKey route, double weight = 1);

/** @returns the number of recent responses of a data centre, with decayed weight. */
double weightOfResponses(const DataCentreLoad &dataCentre, SteadyTime now);

/** @returns the time constant by which observations of the load decay. */
Microseconds loadTimeConstant(const ServiceLoad &load);

/** @returns by what factor recent responses took longer than without queueing, or nothing if there were too few. Their median
    counts, newer ones with a greater weight, so that some upstreams that are slow, while others have room, do not pass for an overloaded
   service. */
std::optional<double> slowdown(const ServiceLoad &load, SteadyTime now);

/** @returns the slowdown that a request offered now would see, or nothing if it is not known. Responses tell of the queue that
    their requests met; it has grown or shrunk since in proportion to the number of requests in progress. */
std::optional<double> expectedSlowdown(const ServiceLoad &load, SteadyTime now);

/** @returns whether requests may be waiting for a slot, by the number of requests in progress now and on average. */
bool mayBeQueueing(const ServiceLoad &load);

/** @returns the share of a route's recent requests that were admitted; 1 if there were none. */
double admittedShare(const RouteLoad &route);

/** @returns the share of all recent requests of the service that were admitted; 1 if there were none. */
double admittedShare(const ServiceLoad &load);

/** Removes routes without a request since the given time. */
void removeRoutesIdleSince(ServiceLoad &load, SteadyTime since);

} // namespace sapphirespan
