#pragma once

#include "sapphirespan_admission/sapphirespan_admission.h"

#include <map>
#include <string>
#include <vector>

namespace sapphirespan {

/** Traffic of one route of a service, and the share of its new flows that leaves. Sums decay exponentially. */
struct RouteLocality {
    double workMs = 0; ///< of all requests; decays by offeredLoadTimeConstant
    double bytes = 0; ///< of requests and responses; decays by trafficTimeConstant
    double requests = 0; ///< behind `bytes`
    double share = 0; ///< of new flows that leaves because of load
};

/** What the clients of this instance offer to the upstreams of one data centre. Decays by offeredLoadTimeConstant. */
struct OfferedLoad {
    double workMs = 0; ///< of all requests
    double requests = 0;
};

/** Another data centre as the latest decision saw it. */
struct DestinationChoice {
    Destination figures;
    double weight = 0; ///< of the new flows that leave
    double room = 0; ///< slots for flows that home would reject
};

/** What one instance knows of a service that decides whether its new flows leave the data centre. */
struct ServiceLocality {
    std::map<RouteKey, RouteLocality> routes;
    std::map<std::string, OfferedLoad> offered; ///< by data centre of the upstreams
    DataCentreFigures home; ///< of the latest decision
    std::vector<DestinationChoice> destinations; ///< of the latest decision; empty if nothing is known of other data centres
    double homeForecastMs = 0; ///< wait if no new flow left
    double share = 0; ///< of new flows of all routes that leaves
    double meanPriceMs = 0; ///< of the routes, by their new flows
    double overflowShare = 0; ///< of the new flows that home would reject, for which others have room
    double announcedShare = 0;
    SteadyTime announcedAt {};
};

/** @returns the part of the flows that leave which goes to a destination. */
inline double weightShare(const ServiceLocality &locality, const DestinationChoice &destination)
{
    double total = 0;
    for (const auto &other : locality.destinations) {
        total += other.weight;
    }
    return total > 0 ? destination.weight / total : 0;
}

/** Time from the placement of an opening to its confirmation. */
struct PathTime {
    double ms = 0;
    SteadyTime sampledAt {};
};

/** Time constant by which the rates of requests decay. An instance sees a few dozen requests a second, so that a shorter one would
    give a rate that differs by more than a quarter from one decision to the next. */
inline constexpr Milliseconds offeredLoadTimeConstant {1000};

/** Time constant of the mean size of a route's requests, which hardly changes. */
inline constexpr Milliseconds trafficTimeConstant {30000};

} // namespace sapphirespan
