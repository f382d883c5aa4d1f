/** @file
    Services and upstreams of a FleetModel, and the changes that operators make to them.
*/
#include "FleetModelParts.h"

#include <algorithm>

namespace sapphirespan {

void FleetModel::startService(std::size_t number)
{
    auto service = std::make_unique<Service>();
    service->setup = m_settings.services[number];
    service->file.name = service->setup.name + std::to_string(number);
    service->file.addresses = {{endpointOf(80, number + 1, 443), Protocol::tcp}};
    service->file.traffic = service->setup.traffic;
    m_services.push_back(std::move(service));
    publishChange(number, [&](ServiceFile &file) {
        for (std::size_t upstream = 0; upstream < m_settings.services[number].upstreams; ++upstream) {
            UpstreamSpec spec;
            spec.tunnel = endpointOf(static_cast<unsigned>(100 + number), upstream + 1, 6080);
            spec.dataCentre = "dc";
            spec.status = spec.tunnel;
            file.upstreams.push_back(spec);
        }
    });
}

void FleetModel::publishChange(std::size_t number, const std::function<void(ServiceFile &)> &change)
{
    auto &service = *m_services[number];
    change(service.file);
    auto catalogue = std::make_shared<Catalogue>(*m_catalogue);
    ++catalogue->head.generation;
    catalogue->index.generation = catalogue->head.generation;
    catalogue->head.indexDigest = std::to_string(catalogue->head.generation);
    LastReason reason;
    const auto content = contentAfterPublish(service.file, service.content.get(), static_cast<ServiceNumber>(number),
                                             catalogue->head.generation, m_events.clock().wallNow(), reason);
    if (!content) {
        return; // too many changes in transition; a publisher would be refused
    }
    service.content = std::make_shared<const ServiceContent>(*content);
    catalogue->services.resize(m_services.size());
    catalogue->services[number] = service.content;
    m_catalogue = catalogue;
    for (auto ordinal = service.upstreams.size(); ordinal < content->upstreams.size(); ++ordinal) {
        service.upstreams.push_back(std::make_unique<Upstream>());
        service.upstreams.back()->tunnel = content->upstreams[ordinal].spec.tunnel;
        m_upstreamByTunnel[service.upstreams.back()->tunnel] = {number, ordinal};
    }
    for (const auto &node : m_nodes) {
        m_events.after(randomUpTo(m_settings.longestSkew), [this, catalogue, number = node->number, life = node->life] {
            auto &target = *m_nodes[number];
            if (target.isRunning && target.life == life) {
                handleBatch(target, [&target, catalogue] { target.instance->catalogueArrived(catalogue); });
            }
        });
    }
    teachBaselines(number, m_settings.longestSkew);
}

void FleetModel::teachBaselines(std::size_t number, Milliseconds longestDelay)
{
    std::vector<bool> isClosed;
    for (const auto &upstream : m_services[number]->upstreams) {
        isClosed.push_back(upstream->drainingSince || !upstream->isAlive || upstream->isShedding);
    }
    for (const auto &node : m_nodes) {
        m_events.after(randomUpTo(longestDelay), [&target = *node, content = m_services[number]->content, isClosed] {
            if (target.baseline) {
                target.baseline->learn(*content, isClosed);
            }
        });
    }
}

void FleetModel::drainUpstream(std::size_t service, std::size_t upstream)
{
    m_services[service]->upstreams[upstream]->drainingSince = m_events.clock().elapsed();
    m_services[service]->upstreams[upstream]->drainNewsAt.reset();
    teachBaselines(service, m_settings.longestSkew);
}

void FleetModel::undrainUpstream(std::size_t service, std::size_t upstream)
{
    m_services[service]->upstreams[upstream]->drainingSince.reset();
    teachBaselines(service, m_settings.longestSkew);
}

void FleetModel::setShedding(std::size_t service, std::size_t upstream, bool isShedding)
{
    m_services[service]->upstreams[upstream]->isShedding = isShedding;
    teachBaselines(service, m_settings.longestSkew);
}

void FleetModel::setStatusSilent(std::size_t service, std::size_t upstream, bool isSilent)
{
    m_services[service]->upstreams[upstream]->isStatusSilent = isSilent;
}

void FleetModel::killUpstream(std::size_t service, std::size_t upstream)
{
    auto &dead = *m_services[service]->upstreams[upstream];
    dead.isAlive = false;
    for (const auto flow : std::set<std::size_t>(dead.flows)) {
        endFlow(*m_flows[flow]);
    }
    teachBaselines(service, m_settings.longestSkew);
}

void FleetModel::addUpstream(std::size_t service)
{
    publishChange(service, [&](ServiceFile &file) {
        auto spec = file.upstreams.back();
        spec.tunnel = endpointOf(static_cast<unsigned>(100 + service), m_services[service]->upstreams.size() + 1, 6080);
        spec.status = spec.tunnel;
        file.upstreams.push_back(spec);
    });
}

void FleetModel::removeUpstream(std::size_t service, std::size_t upstream)
{
    const auto tunnel = m_services[service]->upstreams[upstream]->tunnel;
    publishChange(service, [&](ServiceFile &file) {
        std::erase_if(file.upstreams, [&](const UpstreamSpec &spec) { return spec.tunnel == tunnel && file.upstreams.size() > 1; });
    });
}

void FleetModel::changeWeight(std::size_t service, std::size_t upstream, std::uint32_t weight)
{
    const auto tunnel = m_services[service]->upstreams[upstream]->tunnel;
    publishChange(service, [&](ServiceFile &file) {
        for (auto &spec : file.upstreams) {
            spec.weight = spec.tunnel == tunnel ? weight : spec.weight;
        }
    });
}

void FleetModel::changeTraffic(std::size_t service, const TrafficPolicy &traffic)
{
    publishChange(service, [&](ServiceFile &file) { file.traffic = traffic; });
}

std::vector<std::size_t> FleetModel::connections(std::size_t service) const
{
    std::vector<std::size_t> result;
    for (const auto &upstream : m_services[service]->upstreams) {
        result.push_back(upstream->flows.size());
    }
    return result;
}

} // namespace sapphirespan
