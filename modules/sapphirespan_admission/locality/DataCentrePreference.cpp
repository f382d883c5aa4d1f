#include "sapphirespan_admission/locality/DataCentrePreference.h"

#include <algorithm>
#include <numeric>

namespace sapphirespan {

double movedShare(double ownSlowdown, double otherSlowdown)
{
    return std::clamp((ownSlowdown / otherSlowdown - minSlowdownRatio) / slowdownRatioRange, 0.0, maxMovedShare);
}

double dataCentreSlowdown(const ServiceLoad &load, const std::string &dataCentre, SteadyTime now)
{
    const auto found = load.dataCentres.find(dataCentre);
    if (found == load.dataCentres.end() || weightOfResponses(found->second, now) < 1) {
        return 1;
    }
    return std::max(found->second.slowdownSum / found->second.responses, 1.0);
}

bool isDataCentreSlow(const ServiceLoad &load, const std::string &own, SteadyTime now)
{
    const auto found = load.dataCentres.find(own);
    return found != load.dataCentres.end() && weightOfResponses(found->second, now) >= minDataCentreSamples
        && dataCentreSlowdown(load, own, now) > minSlowdownRatio;
}

const std::string &preferredDataCentre(const ServiceLoad &load, const std::string &own, const std::vector<OtherDataCentre> &others,
                                       double random, SteadyTime now)
{
    const double totalSlots
        = std::accumulate(others.begin(), others.end(), 0.0, [](double sum, const OtherDataCentre &other) { return sum + other.slots; });
    if (totalSlots <= 0 || !isDataCentreSlow(load, own, now)) {
        return own;
    }
    const double ownSlowdown = dataCentreSlowdown(load, own, now);
    for (const auto &other : others) {
        const double share = other.slots / totalSlots * movedShare(ownSlowdown, dataCentreSlowdown(load, other.name, now));
        if (random < share) {
            return other.name;
        }
        random -= share;
    }
    return own;
}

} // namespace sapphirespan
