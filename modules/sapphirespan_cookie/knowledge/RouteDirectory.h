#pragma once

#include "sapphirespan_cookie/packets/ClientPacket.h"

#include <string>
#include <unordered_map>
#include <vector>

namespace sapphirespan {

/** A service that new flows of a route may go to, with its share. */
struct WeightedService {
    std::string service;
    std::uint32_t weight = 1;

    bool operator==(const WeightedService &) const = default;
};

/** Where the flows of one service address go. */
struct Route {
    Ipv4Endpoint address;
    std::vector<WeightedService> services;

    bool operator==(const Route &) const = default;
};

/** One version of the configuration. */
struct RouteConfiguration {
    std::uint64_t revision = 0; ///< of the store, when this version was written; orders versions
    std::uint64_t version = 0; ///< the operator's number
    Milliseconds idleTimeout {15000}; ///< after which a silent flow may be forgotten
    std::vector<Route> routes;
};

/** The routes in force.

    The revision in force never falls. Thread safety: none.
*/
class RouteDirectory
{
public:
    /** Puts a configuration in force unless one with the same or a higher revision is. @returns whether it did */
    bool apply(const RouteConfiguration &configuration);

    /** @returns the route of an address, or nullptr. */
    const Route *find(const Ipv4Endpoint &address) const;

    /** @returns the service of a new flow, drawn by weight. @pre the route has a service @param random uniform */
    static const std::string &pickServiceByWeight(const Route &route, std::uint64_t random);

    /** @returns whether any configuration is in force. */
    bool isLoaded() const
    {
        return m_configuration.revision != 0;
    }

    const RouteConfiguration &configuration() const
    {
        return m_configuration;
    }

private:
    RouteConfiguration m_configuration;
    std::unordered_map<Ipv4Endpoint, std::size_t> m_routeIndexByAddress; ///< position in the routes
};

} // namespace sapphirespan
