#include "sapphirespan_admission/priorities/ReservedRoom.h"

#include "sapphirespan_admission/priorities/CallerAnswer.h"

#include <algorithm>

namespace sapphirespan {

PriorityDemand demandOf(const ClassLoads &loads, const PriorityClasses &classes)
{
    PriorityDemand demand;
    for (const auto &[priority, load] : loads) {
        (priority == classes.mostUrgent ? demand.urgent : demand.others) += load.offered;
    }
    return demand;
}

double wantedShare(const PriorityDemand &demand, const PrioritySettings &settings)
{
    const double most = 1 - settings.lowestShare;
    return std::clamp(demand.urgent * (1 + reservedHeadroom), std::min(settings.reservedShare, most), most);
}

void updateRoom(ReservedRoom &room, const PriorityDemand &demand, const PrioritySettings &settings, SteadyTime now)
{
    const bool isFirst = room.updatedAt == SteadyTime {};
    const double seconds = isFirst ? 0 : std::chrono::duration<double>(now - room.updatedAt).count();
    const double lowest = std::min(settings.reservedShare, 1 - settings.lowestShare);
    const double before = isFirst ? lowest : room.share;
    room.demand = demand;
    room.wantedShare = wantedShare(demand, settings);
    room.share = std::clamp(room.wantedShare, before - maxShareFallPerSecond * seconds, before + maxShareRisePerSecond * seconds);
    room.updatedAt = now;
}

bool isLent(const PriorityDemand &demand, const ServiceLoad &load, const ServiceLoad &shared, const ServiceLoad &reserved)
{
    return demand.urgent + demand.others < 1 && averageRequestsPerSlot(load) < maxLendingRequestsPerSlot && mayBeQueueing(shared)
        && !mayBeQueueing(reserved);
}

std::vector<std::uint32_t> reservedOf(std::vector<std::uint32_t> upstreamCookies, double share)
{
    constexpr double roundingMargin = 1e-9; // a fourth of 8 is 2, not 1
    const auto count = static_cast<double>(upstreamCookies.size());
    const auto reserved = upstreamCookies.size() < minUpstreamsToReserve ? 0 : static_cast<std::size_t>(share * count + roundingMargin);
    std::sort(upstreamCookies.begin(), upstreamCookies.end(),
              [](std::uint32_t a, std::uint32_t b) { return std::pair(mixedBits(a), a) < std::pair(mixedBits(b), b); });
    upstreamCookies.resize(std::min(reserved, upstreamCookies.size()));
    return upstreamCookies;
}

} // namespace sapphirespan
