#include "sapphirespan_cookie/knowledge/RouteDirectory.h"

#include <cassert>

namespace sapphirespan {

bool RouteDirectory::apply(const RouteConfiguration &configuration)
{
    if (configuration.revision <= m_configuration.revision) {
        return false;
    }
    m_configuration = configuration;
    m_routeIndexByAddress.clear();
    for (std::size_t index = 0; index < m_configuration.routes.size(); ++index) {
        m_routeIndexByAddress[m_configuration.routes[index].address] = index;
    }
    return true;
}

const Route *RouteDirectory::find(const Ipv4Endpoint &address) const
{
    const auto found = m_routeIndexByAddress.find(address);
    return found == m_routeIndexByAddress.end() ? nullptr : &m_configuration.routes[found->second];
}

const std::string &RouteDirectory::pickServiceByWeight(const Route &route, std::uint64_t random)
{
    assert(!route.services.empty());
    std::uint64_t totalWeight = 0;
    for (const auto &weighted : route.services) {
        totalWeight += weighted.weight;
    }
    std::uint64_t remaining = totalWeight > 0 ? random % totalWeight : 0;
    for (const auto &weighted : route.services) {
        if (remaining < weighted.weight) {
            return weighted.service;
        }
        remaining -= weighted.weight;
    }
    return route.services.front().service;
}

} // namespace sapphirespan
