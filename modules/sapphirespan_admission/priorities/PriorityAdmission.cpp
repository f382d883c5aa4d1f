#include "sapphirespan_admission/priorities/PriorityAdmission.h"

#include "sapphirespan_admission/priorities/CallerAnswer.h"
#include "sapphirespan_admission/priorities/RejectionOrder.h"

#include "sapphirespan_admission/locality/DataCentrePreference.h"

#include <algorithm>
#include <cmath>

namespace sapphirespan {

namespace {

const ServiceLoad &roomOf(const PriorityLoad &priorities, Room room)
{
    return priorities.rooms[static_cast<std::size_t>(room)];
}

/** @returns the load by which a flow is judged: that of the part that it may use, the less loaded one if it may use both. Where
    one is not known, responses do not tell of a queue there. */
const ServiceLoad &judgedLoad(const PriorityLoad &priorities, const ServiceLoad &load, RouteKey route, SteadyTime now)
{
    if (!hasReservedRoom(priorities)) {
        return load;
    }
    const auto &shared = roomOf(priorities, Room::shared);
    const auto &reserved = roomOf(priorities, Room::reserved);
    if (!isMostUrgent(priorities.classes, route) && !priorities.isLent) {
        return shared;
    }
    if (!mayBeQueueing(shared) || !mayBeQueueing(reserved)) {
        return mayBeQueueing(shared) ? reserved : shared;
    }
    const auto ofShared = expectedSlowdown(shared, now);
    const auto ofReserved = expectedSlowdown(reserved, now);
    return ofShared && ofReserved && *ofShared < *ofReserved ? shared : reserved;
}

/** @returns the share of the openings of a priority to reject. What has to be rejected is known from the demand; the slowdown corrects
    errors in that. A share that followed the slowdown alone would swing between none and all within a tenth of a second, so that a
    caller's number would not decide. */
double shareToReject(const ClassLoads &loads, const AdmissionDecision &decision, const PrioritySettings &settings)
{
    const double byDemand = settings.ordersRejections ? rejectedShareByDemand(loads, *decision.priority, settings.lowestShare) : 0;
    return std::clamp(byDemand + (*decision.slowdown - decision.limit) * rejectionPerSlowdown, 0.0, 1.0);
}

void setLimit(AdmissionDecision &decision, const ClassLoads &loads, const PrioritySettings &settings)
{
    const auto found = loads.find(*decision.priority);
    decision.admittedShare = found != loads.end() && found->second.offered > 0 ? found->second.admitted / found->second.offered : 1;
    const double shortfall = settings.ordersRejections ? shortfallOf(loads, *decision.priority, settings.lowestShare) : 0;
    decision.limit = slowdownLimit + priorityLimitOffset + std::clamp(limitPerAdmittedShare * shortfall, -maxLimitChange, maxLimitChange);
}

/** Moves a smoothed share towards a new value. @returns the result; 0 below a hundredth, so that it ends */
double smoothed(SmoothedShare &smoothed, double wanted, Microseconds timeConstant, SteadyTime now)
{
    constexpr double lowestShareThatCounts = 0.01;
    const double kept = std::exp(-std::chrono::duration<double>(now - smoothed.updatedAt) / std::chrono::duration<double>(timeConstant));
    smoothed.share = std::max(wanted, wanted + (smoothed.share - wanted) * kept);
    smoothed.updatedAt = now;
    return smoothed.share < lowestShareThatCounts ? 0 : smoothed.share;
}

/** @returns whether the expected response time is above the time-out of the route. */
bool wouldComeTooLate(const ServiceLoad &load, const PriorityRequest &request, const AdmissionDecision &decision)
{
    const auto route = load.routes.find(request.route);
    return request.timeout && route != load.routes.end()
        && route->second.floorMs * *decision.slowdown > static_cast<double>(request.timeout->count());
}

std::optional<RejectionReason> reasonToReject(const PriorityLoad &priorities, const ServiceLoad &load, const PriorityRequest &request,
                                              const AdmissionDecision &decision, const PrioritySettings &settings, double share,
                                              double number)
{
    if (settings.rejectsTooLate && wouldComeTooLate(load, request, decision)) {
        return RejectionReason::tooLate;
    }
    if (settings.limitsHeavyClients && share > 0 && isHeavyClient(priorities.clients, request.client)) {
        return RejectionReason::heavyClient;
    }
    return number < share ? std::optional(RejectionReason::overload) : std::nullopt;
}

} // namespace

bool hasReservedRoom(const PriorityLoad &priorities)
{
    return roomOf(priorities, Room::reserved).slots > 0 && roomOf(priorities, Room::shared).slots > 0;
}

double preferredReservedShare(const PriorityLoad &priorities, SteadyTime now)
{
    constexpr double calmRequestsPerSlot = 0.5; // below it nothing waits, and the response times need not be looked at
    if (!hasReservedRoom(priorities) || averageRequestsPerSlot(roomOf(priorities, Room::shared)) < calmRequestsPerSlot) {
        return 0;
    }
    const auto ofShared = slowdown(roomOf(priorities, Room::shared), now);
    const auto ofReserved = slowdown(roomOf(priorities, Room::reserved), now);
    if (!ofShared || !ofReserved) {
        return 0;
    }
    return movedShare(*ofShared, std::max(*ofReserved, 1.0));
}

AdmissionDecision decideByPriority(PriorityLoad &priorities, ServiceLoad &load, const PriorityRequest &request,
                                   const AdmissionSettings &settings, double random, WallTime wallNow, SteadyTime now)
{
    const auto &rules = settings.priorities;
    const auto loads = classLoadsOf(load, priorities.classes, now);
    priorities.isLent = hasReservedRoom(priorities)
        && isLent(demandOf(loads, priorities.classes), load, roomOf(priorities, Room::shared), roomOf(priorities, Room::reserved));
    const auto &judged = judgedLoad(priorities, load, request.route, now);
    AdmissionDecision decision;
    decision.priority = priorityOf(priorities.classes, request.route);
    setLimit(decision, loads, rules);
    decision.slowdown = expectedSlowdown(judged, now);
    decision.age = judged.recentResponses.empty() ? Microseconds(0) : now - judged.recentResponses.back().at;
    if (rules.limitsHeavyClients) {
        noteOpening(priorities.clients, request.client, now);
    }
    const double wanted = decision.slowdown && mayBeQueueing(judged) ? shareToReject(loads, decision, rules) : 0;
    const double share = smoothed(priorities.sharesToReject[*decision.priority], wanted, loadTimeConstant(judged), now);
    if (settings.rejectsInOverload && decision.slowdown && share > 0) {
        const double number = rules.givesCallersOneAnswer ? callerNumber(request.client, request.timeout, wallNow) : random;
        decision.reason = reasonToReject(priorities, load, request, decision, rules, share, number);
    }
    decision.isAdmitted = !decision.reason;
    if (decision.reason) {
        ++priorities.rejections[*decision.priority][static_cast<std::size_t>(*decision.reason)];
    }
    decision.weight = decision.isAdmitted || !rules.givesCallersOneAnswer ? 1 : 1 / triesOfRejectedCaller;
    noteRequest(load, request.route, decision.isAdmitted, now, decision.weight);
    load.routes[request.route].openings += decision.weight;
    return decision;
}

void noteRejectionWithheld(PriorityLoad &priorities, ServiceLoad &load, RouteKey route, const AdmissionDecision &decision)
{
    noteRejectionWithheld(load, route, decision.weight);
    load.routes[route].openings += 1 - decision.weight;
    if (decision.priority && decision.reason) {
        --priorities.rejections[*decision.priority][static_cast<std::size_t>(*decision.reason)];
    }
}

} // namespace sapphirespan
