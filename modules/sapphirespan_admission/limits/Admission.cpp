#include "sapphirespan_admission/limits/Admission.h"

#include <algorithm>

namespace sapphirespan {

namespace {

/** @returns the slowdown at which half of a route's new flows are rejected. */
double limitOf(const ServiceLoad &load, RouteKey key, const AdmissionSettings &settings)
{
    const auto route = load.routes.find(key);
    if (!settings.sharesAmongRoutes || route == load.routes.end()) {
        return slowdownLimit;
    }
    const double shortfall = admittedShare(load) - admittedShare(route->second);
    return slowdownLimit + std::clamp(limitPerAdmittedShare * shortfall, -maxLimitChange, maxLimitChange);
}

} // namespace

double rejectedShare(const AdmissionDecision &decision)
{
    return std::clamp((*decision.slowdown - decision.limit + slowdownMargin) / (2 * slowdownMargin), 0.0, 1.0);
}

AdmissionDecision decideAdmission(ServiceLoad &load, RouteKey route, const AdmissionSettings &settings, double random, SteadyTime now)
{
    AdmissionDecision decision;
    decision.limit = limitOf(load, route, settings);
    decision.slowdown = expectedSlowdown(load, now);
    decision.age = load.recentResponses.empty() ? Microseconds(0) : now - load.recentResponses.back().at;
    const bool mayReject = settings.rejectsInOverload && decision.slowdown && mayBeQueueing(load);
    decision.isAdmitted = !mayReject || random >= rejectedShare(decision);
    noteRequest(load, route, decision.isAdmitted, now);
    return decision;
}

} // namespace sapphirespan
