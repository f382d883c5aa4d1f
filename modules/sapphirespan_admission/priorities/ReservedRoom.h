#pragma once

#include "sapphirespan_admission/limits/Admission.h"
#include "sapphirespan_admission/priorities/RejectionOrder.h"

#include <vector>

namespace sapphirespan {

/** Work that the routes of a service ask for, as shares of its slots; rejected requests are included. */
struct PriorityDemand {
    double urgent = 0; ///< of the most urgent routes
    double others = 0;
};

/** Part of the upstreams of each data centre that gets no new flows of less urgent routes. */
struct ReservedRoom {
    double share = 0; ///< of the upstreams of a data centre; 0 before the first update
    double wantedShare = 0; ///< that it moves to
    PriorityDemand demand; ///< from which that follows
    SteadyTime updatedAt {};
};

/** Part of the demand by which the reserved part is larger than that, so that urgent requests hardly wait there. */
inline constexpr double reservedHeadroom = 0.25;

/** Largest changes of the share in a second. It grows faster than it shrinks: what is given up is filled by flows that stay, so it has
    to be there before the next burst. */
inline constexpr double maxShareRisePerSecond = 0.1;
inline constexpr double maxShareFallPerSecond = 0.01;

/** Requests in progress for each slot of the whole service up to which it has room, so that reserved upstreams are lent. Below capacity
    there is about one, as the time on the network counts; a burst beyond it exceeds this within a tenth of a second. */
inline constexpr double maxLendingRequestsPerSlot = 1.2;

/** Number of upstreams of a data centre below which none is reserved; of two, one would be half. */
inline constexpr std::size_t minUpstreamsToReserve = 3;

/** @returns the work that the most urgent class and the others ask for. */
PriorityDemand demandOf(const ClassLoads &loads, const PriorityClasses &classes);

/** @returns the share that the demand asks for, within the bounds of the settings. */
double wantedShare(const PriorityDemand &demand, const PrioritySettings &settings);

/** Moves the share towards what the demand asks for. */
void updateRoom(ReservedRoom &room, const PriorityDemand &demand, const PrioritySettings &settings, SteadyTime now);

/** @returns whether less urgent flows may use reserved upstreams: requests wait at the others, and the service as a whole has room. In an
    overload nothing is lent, since flows that stay would fill what is kept for urgent requests.
    @param load of the whole service @param shared, reserved load of its two parts */
bool isLent(const PriorityDemand &demand, const ServiceLoad &load, const ServiceLoad &shared, const ServiceLoad &reserved);

/** Selects the reserved ones of the upstreams of one data centre, by a hash that all instances share. A larger share contains all of a
    smaller one, so instances that differ in it agree on most. @returns their number is rounded down */
std::vector<std::uint32_t> reservedOf(std::vector<std::uint32_t> upstreamCookies, double share);

} // namespace sapphirespan
