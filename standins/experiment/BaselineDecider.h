#pragma once

#include "ModelSettings.h"

#include <map>
#include <unordered_map>

namespace sapphirespan {

/** The baselines: buckets over the upstreams that an instance believes open, with or without a cache of flows seen. */
class BaselineDecider
{
public:
    explicit BaselineDecider(bool hasCache)
        : m_hasCache(hasCache)
    {
    }

    /** Tells what an instance now believes of a service. */
    void learn(const ServiceContent &content, const std::vector<bool> &isClosed);

    /** @returns where a packet goes, or nothing when no service has its address. */
    std::optional<Endpoint> decide(const PacketView &view);

private:
    struct View {
        std::vector<Endpoint> tunnels;
        std::vector<WeightedUpstream> open;
        BucketTable table;
    };

    bool m_hasCache;
    FlowHasher m_hasher;
    std::map<Endpoint, View> m_views;
    std::unordered_map<std::uint64_t, Endpoint> m_cache;
};

} // namespace sapphirespan
