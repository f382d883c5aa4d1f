#include "sapphirespan_admission/priorities/RejectionOrder.h"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace sapphirespan {

namespace {

double admittedWork(const ClassLoads &loads)
{
    return std::accumulate(loads.begin(), loads.end(), 0.0, [](double sum, const auto &item) { return sum + item.second.admitted; });
}

} // namespace

ClassLoads classLoadsOf(const ServiceLoad &load, const PriorityClasses &classes, SteadyTime now)
{
    const double timeConstant = std::chrono::duration<double>(requestCountTimeConstant).count();
    ClassLoads loads;
    for (const auto &[key, route] : load.routes) {
        const double age = std::chrono::duration<double>(now - route.requestsDecayedAt).count();
        const double perSecond = std::exp(-age / timeConstant) / timeConstant;
        const double work = load.slots > 0 ? perSecond * route.floorMs / 1000 / load.slots : 0;
        auto &ofClass = loads[priorityOf(classes, key)];
        ofClass.offered += route.offered * work;
        ofClass.openings += route.openings * work;
        ofClass.admitted += route.admitted * work;
    }
    return loads;
}

std::map<std::uint32_t, double> dividedCapacity(const ClassLoads &loads, double capacity, double lowestShare)
{
    std::map<std::uint32_t, double> result;
    double sum = 0;
    for (const auto &[priority, load] : loads) {
        result[priority] = lowestShare * load.offered;
        sum += result[priority];
    }
    if (sum > capacity) {
        for (auto &[priority, work] : result) {
            work *= capacity / sum;
        }
        return result;
    }
    double left = capacity - sum;
    for (const auto &[priority, load] : loads) {
        const double more = std::min(left, load.offered - result[priority]);
        result[priority] += more;
        left -= more;
    }
    return result;
}

double rejectedShareByDemand(const ClassLoads &loads, std::uint32_t priority, double lowestShare)
{
    const auto found = loads.find(priority);
    if (found == loads.end() || found->second.openings <= 0) {
        return 0;
    }
    const double kept = dividedCapacity(loads, std::max(1.0, admittedWork(loads)), lowestShare).at(priority);
    return std::clamp((found->second.offered - kept) / found->second.openings, 0.0, 1.0);
}

double shortfallOf(const ClassLoads &loads, std::uint32_t priority, double lowestShare)
{
    const auto found = loads.find(priority);
    if (found == loads.end() || found->second.offered <= 0) {
        return 0;
    }
    return (dividedCapacity(loads, admittedWork(loads), lowestShare).at(priority) - found->second.admitted) / found->second.offered;
}

} // namespace sapphirespan
