#pragma once

#include "sapphirespan_admission/limits/ServiceLoad.h"

#include <vector>

namespace sapphirespan {

/** What the configuration states about the priority of a route. */
struct StatedPriority {
    RouteKey route = 0;
    std::optional<std::uint32_t> priority; ///< 0 is the most urgent
};

/** Priorities of the routes of one service. */
struct PriorityClasses {
    std::map<RouteKey, std::uint32_t> byRoute;
    std::uint32_t mostUrgent = 0;
    std::uint32_t leastUrgent = 0;

    bool operator==(const PriorityClasses &) const = default;
};

/** @param leastUrgent lowest priority of the whole configuration, in which routes are that state none; nothing if no route states one
    @returns the classes of the routes of one service */
PriorityClasses classesOf(const std::vector<StatedPriority> &routes, std::optional<std::uint32_t> leastUrgent);

/** @returns whether routes of the service differ in priority. */
bool doDiffer(const PriorityClasses &classes);

/** @returns the priority of a route; that of the least urgent one if the route is not known. */
std::uint32_t priorityOf(const PriorityClasses &classes, RouteKey route);

/** @returns whether no route of the service is more urgent than this one. */
bool isMostUrgent(const PriorityClasses &classes, RouteKey route);

} // namespace sapphirespan
