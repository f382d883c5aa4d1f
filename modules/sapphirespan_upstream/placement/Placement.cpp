#include "sapphirespan_upstream/placement/Placement.h"

#include <algorithm>
#include <limits>

namespace sapphirespan {

namespace {

constexpr double lowestSlowStartFactor = 0.05;
constexpr double oneFlow = 1.0;

/** Part of its share that an upstream may lack, as after it was added, before the others give up what they have of theirs:
    beyond the widest tolerance in use, so that ordinary differences do not count. */
constexpr double farBelow = 0.1;

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

/** @returns the chance, unscaled, that a candidate is drawn. While one is far below its share the chance grows faster than
    what is lacking, so that small differences between the others do not keep flows from it. */
double needOf(const PlacementCandidate &candidate, double perWeight, bool isFarBelow)
{
    const double lack = lackOf(candidate, perWeight);
    return isFarBelow ? lack * lack * lack : lack;
}

/** @returns whether an upstream lacks so much of its share that the others should take nothing for now. */
bool isOneFarBelow(const std::vector<PlacementCandidate> &candidates, double perWeight)
{
    return std::any_of(candidates.begin(), candidates.end(), [perWeight](const PlacementCandidate &candidate) {
        return lackOf(candidate, perWeight) > std::max(farBelow * perWeight * candidate.weight, 2 * oneFlow);
    });
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
    double totalNeed = 0;
    const bool isFarBelow = isOneFarBelow(candidates, perWeight);
    const double allowance = isFarBelow ? -farBelow : tolerance;
    for (const auto &candidate : candidates) {
        const double limit = std::max(perWeight * candidate.weight * (1 + allowance), oneFlow);
        if (candidate.ordinal == preferred && isEligible(candidate) && candidate.connections + oneFlow <= limit) {
            return preferred;
        }
        totalNeed += needOf(candidate, perWeight, isFarBelow);
    }
    double drawn = totalNeed * (static_cast<double>(random >> 11) / static_cast<double>(1ULL << 53));
    for (const auto &candidate : candidates) {
        const double need = needOf(candidate, perWeight, isFarBelow);
        if (need > 0 && drawn < need) {
            return candidate.ordinal;
        }
        drawn -= need;
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
