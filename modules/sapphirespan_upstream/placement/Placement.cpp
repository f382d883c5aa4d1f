#include "sapphirespan_upstream/placement/Placement.h"

#include <algorithm>
#include <limits>

namespace sapphirespan {

namespace {

constexpr double lowestSlowStartFactor = 0.05;
constexpr double oneFlow = 1.0;

bool isEligible(const PlacementCandidate &candidate)
{
    const bool isBelowCap = candidate.connectionCap == 0 || candidate.connections + oneFlow <= candidate.connectionCap;
    return candidate.isOpen && isBelowCap && candidate.weight > 0;
}

/** The load that each unit of weight would bear if the open upstreams shared it evenly, with the new flow. */
double evenLoadPerWeight(const std::vector<PlacementCandidate> &candidates)
{
    double connections = oneFlow;
    double weight = 0;
    for (const auto &candidate : candidates) {
        if (candidate.isOpen) {
            connections += candidate.connections;
            weight += candidate.weight;
        }
    }
    return weight > 0 ? connections / weight : 0;
}

double lackOf(const PlacementCandidate &candidate, double perWeight)
{
    return isEligible(candidate) ? std::max(0.0, perWeight * candidate.weight - candidate.connections) : 0;
}

std::optional<UpstreamOrdinal> leastLoaded(const std::vector<PlacementCandidate> &candidates)
{
    std::optional<UpstreamOrdinal> best;
    double bestLoad = std::numeric_limits<double>::max();
    for (const auto &candidate : candidates) {
        const double load = isEligible(candidate) ? candidate.connections / candidate.weight : bestLoad;
        if (load < bestLoad) {
            best = candidate.ordinal;
            bestLoad = load;
        }
    }
    return best;
}

} // namespace

std::optional<UpstreamOrdinal> chooseUpstream(const std::vector<PlacementCandidate> &candidates, UpstreamOrdinal preferred,
                                              double tolerance, std::uint64_t random)
{
    const double perWeight = evenLoadPerWeight(candidates);
    double totalLack = 0;
    for (const auto &candidate : candidates) {
        const double limit = std::max(perWeight * candidate.weight * (1 + tolerance), oneFlow);
        if (candidate.ordinal == preferred && isEligible(candidate) && candidate.connections + oneFlow <= limit) {
            return preferred;
        }
        totalLack += lackOf(candidate, perWeight);
    }
    double drawn = totalLack * (static_cast<double>(random >> 11) / static_cast<double>(1ULL << 53));
    for (const auto &candidate : candidates) {
        const double lack = lackOf(candidate, perWeight);
        if (lack > 0 && drawn < lack) {
            return candidate.ordinal;
        }
        drawn -= lack;
    }
    return leastLoaded(candidates);
}

double slowStartFactor(Microseconds sinceOpened, Milliseconds slowStart)
{
    if (sinceOpened >= slowStart) {
        return 1;
    }
    const double progress = static_cast<double>(sinceOpened.count()) / static_cast<double>(Microseconds(slowStart).count());
    return std::max(lowestSlowStartFactor, progress);
}

} // namespace sapphirespan
