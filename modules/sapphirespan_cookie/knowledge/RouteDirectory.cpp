#include "sapphirespan_cookie/knowledge/RouteDirectory.h"

#include <algorithm>
#include <cassert>

namespace sapphirespan {

namespace {

/** Limit of the distance by which a configuration is raised above a refused one, so that the generation is not touched. */
constexpr std::uint64_t maxVersionDistance = 1U << 20U;

} // namespace

bool RouteDirectory::apply(const RouteConfiguration &configuration)
{
    if (configuration.revision == 0) {
        return false;
    }
    if (configuration.version < m_configuration.version) {
        raiseAbove(configuration);
        return false;
    }
    if (configuration.version == m_configuration.version && configuration.revision <= m_configuration.revision) {
        return false;
    }
    const auto lowestRevision = m_configuration.revision + (configuration.version > m_configuration.version ? 1 : 0);
    m_configuration = configuration;
    m_configuration.revision = std::max(configuration.revision, lowestRevision);
    m_routeIndexByAddress.clear();
    for (std::size_t index = 0; index < m_configuration.routes.size(); ++index) {
        m_routeIndexByAddress[m_configuration.routes[index].address] = index;
    }
    return true;
}

/** The distance in versions keeps instances with different versions in order. */
void RouteDirectory::raiseAbove(const RouteConfiguration &refused)
{
    if (refused.revision >= m_configuration.revision) {
        m_configuration.revision = refused.revision + std::min(m_configuration.version - refused.version, maxVersionDistance);
    }
}

const Route *RouteDirectory::find(const Ipv4Endpoint &address) const
{
    const auto found = m_routeIndexByAddress.find(address);
    return found == m_routeIndexByAddress.end() ? nullptr : &m_configuration.routes[found->second];
}

const ServicePolicy *RouteDirectory::servicePolicy(const std::string &service) const
{
    const auto &services = m_configuration.services;
    const auto found = std::find_if(services.begin(), services.end(), [&](const ServicePolicy &item) { return item.service == service; });
    return found == services.end() ? nullptr : &*found;
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

bool RouteDirectory::mayPick(const Route &route, const std::string &service)
{
    const bool hasWeights
        = std::any_of(route.services.begin(), route.services.end(), [](const auto &weighted) { return weighted.weight > 0; });
    if (!hasWeights) {
        return !route.services.empty() && route.services.front().service == service;
    }
    return std::any_of(route.services.begin(), route.services.end(),
                       [&service](const auto &weighted) { return weighted.weight > 0 && weighted.service == service; });
}

} // namespace sapphirespan
