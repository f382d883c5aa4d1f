#pragma once

#include "sapphirespan_admission/priorities/HeavyClients.h"
#include "sapphirespan_admission/priorities/ReservedRoom.h"

namespace sapphirespan {

/** The two parts of a service's upstreams. */
enum class Room : std::uint8_t {
    shared,
    reserved, ///< for the most urgent routes
    count
};

/** Rejected openings of one priority, by RejectionReason. */
using RejectionCounts = std::array<std::uint64_t, enumCount<RejectionReason>>;

/** Share of the openings of one priority to reject. It rises at once and falls with the time constant of the load, so that the further
   tries of a caller, which follow within that time, meet about the share that rejected the first. */
struct SmoothedShare {
    double share = 0;
    SteadyTime updatedAt {};
};

/** What an instance knows of a service whose routes differ in priority, in addition to its ServiceLoad. */
struct PriorityLoad {
    PriorityClasses classes;
    ReservedRoom reserved;
    bool isLent = false; ///< less urgent flows may use reserved upstreams, by the latest opening
    std::array<ServiceLoad, enumCount<Room>> rooms; ///< load of each part by itself; unused where nothing is reserved
    ClientCounts clients;
    std::map<std::uint32_t, SmoothedShare> sharesToReject; ///< by priority
    std::map<std::uint32_t, RejectionCounts> rejections; ///< likewise
    double announcedShare = 0; ///< of the latest event about it
    SteadyTime announcedAt {};
};

/** A new flow about which is decided. */
struct PriorityRequest {
    RouteKey route = 0;
    std::uint32_t client = 0; ///< address, without its port
    std::optional<Milliseconds> timeout; ///< of the route
};

/** Change of the share of rejected openings for a slowdown of one above or below the limit. */
inline constexpr double rejectionPerSlowdown = 0.5;

/** Difference of the limit from slowdownLimit. The rejected share changes over a slowdown of two here, over half of one there; with the
    same limit it would begin to grow before requests wait. */
inline constexpr double priorityLimitOffset = 0.5;

/** Tries that a caller makes whose opening is rejected. Where all of them get the same answer, each counts as a part of one request. */
inline constexpr double triesOfRejectedCaller = 3;

/** @returns whether upstreams are reserved, so that both parts have slots. */
bool hasReservedRoom(const PriorityLoad &priorities);

/** @returns the share of the most urgent flows that prefers reserved upstreams over the others, by how much slower the others are. */
double preferredReservedShare(const PriorityLoad &priorities, SteadyTime now);

/** Decides about a new flow of a service whose routes differ in priority, and records it. Differs from decideAdmission() in this:
    - less urgent routes are rejected first, down to the lowest share of the settings;
    - the load of the part that the flow may use counts; the most urgent ones may use both;
    - what decides is a number of the caller that all instances share;
    - while anything is rejected, heavy clients are;
    - what would be answered after the time-out of its route is rejected.

    @param random uniformly distributed in [0, 1); used in place of the caller's number if the settings say so
    Thread safety: none; changes only `priorities` and `load`.
*/
AdmissionDecision decideByPriority(PriorityLoad &priorities, ServiceLoad &load, const PriorityRequest &request,
                                   const AdmissionSettings &settings, double random, WallTime wallNow, SteadyTime now);

/** Records that the flow about which decideByPriority() decided last is placed although it decided to reject it: it is one admitted
    request, and no rejection. */
void noteRejectionWithheld(PriorityLoad &priorities, ServiceLoad &load, RouteKey route, const AdmissionDecision &decision);

} // namespace sapphirespan
