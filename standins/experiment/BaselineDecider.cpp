#include "BaselineDecider.h"

namespace sapphirespan {

void BaselineDecider::learn(const ServiceContent &content, const std::vector<bool> &isClosed)
{
    auto &view = m_views[content.service.addresses.front().endpoint];
    view.tunnels.clear();
    view.open.clear();
    for (std::size_t ordinal = 0; ordinal < content.upstreams.size(); ++ordinal) {
        const auto &upstream = content.upstreams[ordinal];
        view.tunnels.push_back(upstream.spec.tunnel);
        if (!upstream.isRemoved && !isClosed[ordinal]) {
            view.open.push_back({static_cast<UpstreamOrdinal>(ordinal), upstream.spec.weight});
        }
    }
    view.table = assignBuckets(view.open, view.table);
}

std::optional<Endpoint> BaselineDecider::decide(const PacketView &view)
{
    const auto service = m_views.find({view.flow.destination, view.flow.destinationPort});
    if (service == m_views.end()) {
        return std::nullopt;
    }
    const auto key = m_hasher.hash(view.flow);
    if (const auto cached = m_cache.find(key); m_hasCache && cached != m_cache.end() && !view.isSyn) {
        return cached->second;
    }
    const auto ordinal = service->second.table[bucketOf(key)];
    if (ordinal == noUpstream) {
        return std::nullopt;
    }
    if (m_hasCache) {
        m_cache[key] = service->second.tunnels[ordinal];
    }
    return service->second.tunnels[ordinal];
}

} // namespace sapphirespan
