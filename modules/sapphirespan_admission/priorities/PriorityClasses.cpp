#include "sapphirespan_admission/priorities/PriorityClasses.h"

#include <algorithm>

namespace sapphirespan {

PriorityClasses classesOf(const std::vector<StatedPriority> &routes, std::optional<std::uint32_t> leastUrgent)
{
    PriorityClasses classes;
    for (const auto &route : routes) {
        const auto priority = route.priority.value_or(leastUrgent.value_or(0));
        classes.mostUrgent = classes.byRoute.empty() ? priority : std::min(classes.mostUrgent, priority);
        classes.leastUrgent = classes.byRoute.empty() ? priority : std::max(classes.leastUrgent, priority);
        classes.byRoute[route.route] = priority;
    }
    return classes;
}

bool doDiffer(const PriorityClasses &classes)
{
    return classes.mostUrgent != classes.leastUrgent;
}

std::uint32_t priorityOf(const PriorityClasses &classes, RouteKey route)
{
    const auto found = classes.byRoute.find(route);
    return found == classes.byRoute.end() ? classes.leastUrgent : found->second;
}

bool isMostUrgent(const PriorityClasses &classes, RouteKey route)
{
    return priorityOf(classes, route) == classes.mostUrgent;
}

} // namespace sapphirespan
