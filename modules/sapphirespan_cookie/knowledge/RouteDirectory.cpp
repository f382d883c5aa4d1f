#include "sapphirespan_cookie/knowledge/RouteDirectory.h"

#include <algorithm>
#include <cassert>

namespace sapphirespan {

namespace {

bool serves(const std::vector<WeightedService> &services, const std::string &service)
{
    return std::any_of(services.begin(), services.end(), [&service](const WeightedService &item) { return item.service == service; });
}

} // namespace

bool RouteDirectory::apply(const RouteConfiguration &configuration)
{
    if (configuration.revision <= m_configuration.revision) {
        return false;
    }
    const auto previous = std::move(m_configuration);
    m_configuration = configuration;
    m_byAddress.clear();
    for (std::size_t index = 0; index < m_configuration.routes.size(); ++index) {
        m_byAddress[m_configuration.routes[index].address] = index;
    }
    for (const auto &route : previous.routes) {
        const auto *current = find(route.address);
        for (const auto &item : route.services) {
            auto &earlier = m_earlier[route.address];
            const bool isKnown = std::find(earlier.begin(), earlier.end(), item.service) != earlier.end();
            if ((current == nullptr || !serves(current->services, item.service)) && !isKnown) {
                earlier.push_back(item.service);
            }
        }
    }
    std::erase_if(m_earlier, [](const auto &item) { return item.second.empty(); });
    return true;
}

const Route *RouteDirectory::find(const Ipv4Endpoint &address) const
{
    const auto found = m_byAddress.find(address);
    return found == m_byAddress.end() ? nullptr : &m_configuration.routes[found->second];
}

bool RouteDirectory::mayHold(const Ipv4Endpoint &address, const std::string &service) const
{
    const auto *route = find(address);
    if (route == nullptr) {
        return false;
    }
    if (serves(route->services, service)) {
        return true;
    }
    const auto earlier = m_earlier.find(address);
    return earlier != m_earlier.end() && std::find(earlier->second.begin(), earlier->second.end(), service) != earlier->second.end();
}

const std::string &RouteDirectory::drawService(const Route &route, std::uint64_t random)
{
    assert(!route.services.empty());
    std::uint64_t total = 0;
    for (const auto &item : route.services) {
        total += item.weight;
    }
    std::uint64_t point = total > 0 ? random % total : 0;
    for (const auto &item : route.services) {
        if (point < item.weight) {
            return item.service;
        }
        point -= item.weight;
    }
    return route.services.front().service;
}

} // namespace sapphirespan
