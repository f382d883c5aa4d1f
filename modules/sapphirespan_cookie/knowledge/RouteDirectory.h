#pragma once

#include "sapphirespan_cookie/knowledge/ServicePolicy.h"
#include "sapphirespan_cookie/packets/ClientPacket.h"

#include <string>
#include <unordered_map>
#include <vector>

namespace sapphirespan {

/** A service that new flows of a route may be sent to, with its weight relative to the route's other services. */
struct WeightedService {
    std::string service;
    std::uint32_t weight = 1;

    bool operator==(const WeightedService &) const = default;
};

/** Maps one service address to the services that its flows are distributed over. */
struct Route {
    Ipv4Endpoint address;
    std::vector<WeightedService> services;
    RoutePolicy policy {};

    bool operator==(const Route &) const = default;
};

/** One version of the route configuration. */
struct RouteConfiguration {
    std::uint64_t revision = 0; ///< ordered store revision at which this version was written, or a higher one; see RouteDirectory
    std::uint64_t version = 0; ///< version number assigned by the operator; orders configurations
    Milliseconds idleTimeout {15000}; ///< a flow without packets for longer than this is removed
    std::vector<Route> routes;
    std::vector<ServicePolicy> services {}; ///< of the services for which something is stated
    std::vector<std::string> listedServices {}; ///< names of all services that the operator lists; peers do not send them
};

/** The active route configuration, indexed by service address.

    Neither the active version nor its revision ever decreases. Instances compare revisions to find out who has the later
    configuration, and a store that was restored from a copy lists an older configuration at a higher ordered revision. The
    active one is therefore raised above an older one that is refused, and above the one that it replaces.

    Thread safety: none.
*/
class RouteDirectory
{
public:
    /** Activates a configuration if its version is higher than the active one, or is the same at a higher revision.
        @returns whether it was activated */
    bool apply(const RouteConfiguration &configuration);

    /** @returns the route of a service address, or nullptr if it has none. Valid until the next apply(). */
    const Route *find(const Ipv4Endpoint &address) const;

    /** @returns what is stated about a service, or nullptr if that is nothing. Valid until the next apply(). */
    const ServicePolicy *servicePolicy(const std::string &service) const;

    /** Selects a service for a new flow at random by weight; the first one if all weights are 0. @pre the route has a service
        @param random uniformly distributed over all 64-bit values */
    static const std::string &pickServiceByWeight(const Route &route, std::uint64_t random);

    /** @returns whether pickServiceByWeight() may select a service. */
    static bool mayPick(const Route &route, const std::string &service);

    /** @returns whether a configuration is active. */
    bool isLoaded() const
    {
        return m_configuration.revision != 0;
    }

    const RouteConfiguration &configuration() const
    {
        return m_configuration;
    }

private:
    void raiseAbove(const RouteConfiguration &refused);

    RouteConfiguration m_configuration;
    std::unordered_map<Ipv4Endpoint, std::size_t> m_routeIndexByAddress; ///< index into m_configuration.routes
};

} // namespace sapphirespan
