#pragma once

#include "sapphirespan_admission/limits/ServiceLoad.h"

namespace sapphirespan {

/** How the data centre is chosen whose upstreams a new flow prefers. */
enum class DataCentreChoice : std::uint8_t {
    own, ///< always that of the instance
    ratio, ///< another one in proportion to how much faster its responses are
    forecast, ///< another one if the forecast wait there, the way and the price of the bytes are less than the wait in the own one
    count
};

template<>
struct NameTable<DataCentreChoice> {
    static constexpr std::array<std::string_view, enumCount<DataCentreChoice>> names {"own", "ratio", "forecast"};
};

/** How routes of one service that differ in priority share it when it is short of room. */
struct PrioritySettings {
    bool isEnabled = false; ///< else all routes are treated alike
    double lowestShare = 0.4; ///< of the requests and upstreams, that is left to less urgent routes
    double reservedShare = 0.25; ///< of the upstreams of a data centre, that gets no new flows of less urgent routes, at least
    bool reservesRoom = true; ///< a part of the upstreams is kept for the most urgent routes
    bool ordersRejections = true; ///< less urgent routes are rejected first
    bool givesCallersOneAnswer = true; ///< the tries of one client get the same answer for a while
    bool limitsHeavyClients = true; ///< clients that ask far more than others are rejected first
    bool rejectsTooLate = true; ///< what would be answered after the time-out of its route is rejected

    bool operator==(const PrioritySettings &) const = default;
};

/** Which policies of admission are in use. */
struct AdmissionSettings {
    bool rejectsInOverload = true; ///< new flows are rejected while a service is overloaded
    bool sharesAmongRoutes = true; ///< routes with fewer admitted requests than others have a higher limit
    bool spillsToFasterDataCentres = true; ///< new flows prefer another data centre while the own one is slower
    DataCentreChoice dataCentreChoice = DataCentreChoice::ratio;
    double msPerMegabyte = 100; ///< wait that a request must save for each megabyte that it sends between data centres
    PrioritySettings priorities {};
    bool checksOpeningAge = true; ///< openings are rejected only if their flow cannot be open through another instance yet

    bool operator==(const AdmissionSettings &) const = default;
};

/** Slowdown at which half of the new flows are rejected: a response then takes this many times as long as without queueing. */
inline constexpr double slowdownLimit = 1.75;

/** Slowdown below and above the limit over which the share of rejected flows rises from none to all. */
inline constexpr double slowdownMargin = 0.25;

/** How much a route's limit is raised or lowered for a difference between its admitted share and that of the service, and the
    bound of this change. Flows that are open already take work whatever the limit is, so a route that opens a flow for each
    request would otherwise bear all rejections. */
inline constexpr double limitPerAdmittedShare = 10;
inline constexpr double maxLimitChange = 1.5;

/** Why a new flow is rejected. */
enum class RejectionReason : std::uint8_t {
    overload,
    heavyClient, ///< the service is overloaded, and the client asks far more than others
    tooLate, ///< the response would come after the time-out of its route
    count
};

template<>
struct NameTable<RejectionReason> {
    static constexpr std::array<std::string_view, enumCount<RejectionReason>> names {"overload", "heavy_client", "too_late"};
};

/** What was decided about a new flow, and why. */
struct AdmissionDecision {
    bool isAdmitted = true;
    double limit = slowdownLimit; ///< slowdown at which half of the route's new flows are rejected
    std::optional<double> slowdown; ///< that the request would see, if known
    Microseconds age {0}; ///< of the latest response
    std::optional<RejectionReason> reason; ///< if it was decided by priority; nothing if admitted
    std::optional<std::uint32_t> priority; ///< likewise
    double admittedShare = 1; ///< of the recent work of this priority; likewise
    double weight = 1; ///< part of a request as which it was recorded; likewise
};

/** @returns the share of new flows to reject: rises from 0 to 1 around the limit. @pre the slowdown is known */
double rejectedShare(const AdmissionDecision &decision);

/** Decides about a new flow and records it as a request of its route.

    A request that would wait for several times its work is of little use to its caller and delays all others; rejected at
    once, the caller can do something else. Flows that are open already are not affected.

    @param random uniformly distributed in [0, 1)
    Thread safety: none; changes only `load`.
*/
AdmissionDecision decideAdmission(ServiceLoad &load, RouteKey route, const AdmissionSettings &settings, double random, SteadyTime now);

} // namespace sapphirespan
