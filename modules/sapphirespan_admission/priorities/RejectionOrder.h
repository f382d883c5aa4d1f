#pragma once

#include "sapphirespan_admission/priorities/PriorityClasses.h"

namespace sapphirespan {

/** Recent work of one priority, as shares of the service's slots. */
struct ClassLoad {
    double offered = 0; ///< rejected requests included
    double openings = 0; ///< those of the offered that come on a new flow; the others cannot be rejected
    double admitted = 0;
};

/** Recent work by priority, most urgent first. */
using ClassLoads = std::map<std::uint32_t, ClassLoad>;

/** @returns the work by priority, from the requests offered lately and the floors of their routes. */
ClassLoads classLoadsOf(const ServiceLoad &load, const PriorityClasses &classes, SteadyTime now);

/** Divides capacity among the priorities: each gets `lowestShare` of its work, and the most urgent ones get the rest. Where even the lowest
   shares do not fit, all are cut alike.
    @param capacity as a share of the slots @returns the work that each priority may have admitted */
std::map<std::uint32_t, double> dividedCapacity(const ClassLoads &loads, double capacity, double lowestShare);

/** @returns the share of its openings that a priority would have to see rejected for all admitted work to fit the slots. A floor contains
    the time on the network, so this is somewhat too high and needs a correction by the slowdown. */
double rejectedShareByDemand(const ClassLoads &loads, std::uint32_t priority, double lowestShare);

/** @returns by how much less a priority has admitted than it would get of what is admitted altogether, as a share of its own work;
    negative if it has more. */
double shortfallOf(const ClassLoads &loads, std::uint32_t priority, double lowestShare);

} // namespace sapphirespan
