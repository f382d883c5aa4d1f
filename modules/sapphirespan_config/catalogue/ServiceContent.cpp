#include "sapphirespan_config/catalogue/ServiceContent.h"

#include <algorithm>
#include <set>

namespace sapphirespan {

namespace {

/** Marks as removed every upstream that the file no longer lists, and updates those that it does. */
void updateListed(const ServiceFile &file, std::vector<CatalogueUpstream> &upstreams)
{
    for (auto &upstream : upstreams) {
        const auto listed = std::find_if(file.upstreams.begin(), file.upstreams.end(),
                                         [&upstream](const UpstreamSpec &spec) { return spec.tunnel == upstream.spec.tunnel; });
        if (listed == file.upstreams.end()) {
            upstream.isRemoved = true;
        } else if (!upstream.isRemoved) {
            upstream.spec = *listed;
        }
    }
}

/** An upstream that comes back after removal keeps its ordinal, since the endpoint is the same server. */
void addNewlyListed(const ServiceFile &file, std::uint64_t generation, std::vector<CatalogueUpstream> &upstreams)
{
    for (const auto &spec : file.upstreams) {
        const auto known = std::find_if(upstreams.begin(), upstreams.end(),
                                        [&spec](const CatalogueUpstream &upstream) { return upstream.spec.tunnel == spec.tunnel; });
        if (known == upstreams.end()) {
            upstreams.push_back({spec, false, generation});
        } else if (known->isRemoved) {
            *known = {spec, false, generation};
        }
    }
}

std::vector<WeightedUpstream> weightsOf(const std::vector<CatalogueUpstream> &upstreams)
{
    std::vector<WeightedUpstream> weights;
    for (std::size_t ordinal = 0; ordinal < upstreams.size(); ++ordinal) {
        if (!upstreams[ordinal].isRemoved) {
            weights.push_back({static_cast<UpstreamOrdinal>(ordinal), upstreams[ordinal].spec.weight});
        }
    }
    return weights;
}

} // namespace

std::optional<ServiceContent> contentAfterPublish(const ServiceFile &file, const ServiceContent *previous, ServiceNumber number,
                                                  std::uint64_t generation, WallTime now, LastReason &reason)
{
    ServiceContent content = previous != nullptr ? *previous : ServiceContent {};
    updateListed(file, content.upstreams);
    addNewlyListed(file, generation, content.upstreams);
    if (content.upstreams.size() >= noUpstream) {
        reason.set("service " + file.name + " has used up its upstream ordinals");
        return std::nullopt;
    }
    content.service = file;
    content.service.upstreams.clear();
    content.heldSteeredPermille = std::max(content.heldSteeredPermille, file.traffic.steeredPermille);
    content.number = number;
    content.changedAtGeneration = generation;
    auto table = assignBuckets(weightsOf(content.upstreams), previous != nullptr ? previous->targets() : BucketTable {});
    if (content.tables.empty() || table != content.targets()) {
        content.tables.push_back(std::move(table));
        content.changedAt = now;
    }
    if (content.tables.size() > mostTables) {
        reason.set("service " + file.name + " has " + std::to_string(mostTables) + " changes whose older flows may still live");
        return std::nullopt;
    }
    return content;
}

bool mayConfirmTransition(const ServiceContent &content, WallTime now)
{
    const auto &traffic = content.service.traffic;
    return content.tables.size() > 1 && now - content.changedAt > std::max(traffic.idleTimeout, traffic.drainLimit);
}

ServiceContent contentAfterConfirm(const ServiceContent &content, std::uint64_t generation, WallTime now)
{
    auto confirmed = content;
    confirmed.changedAtGeneration = generation;
    confirmed.changedAt = now;
    if (content.defaults() != content.targets()) {
        std::rotate(confirmed.tables.begin(), confirmed.tables.end() - 1, confirmed.tables.end());
        confirmed.tables.push_back(confirmed.tables.front());
    } else {
        confirmed.tables.resize(1);
        confirmed.heldSteeredPermille = content.service.traffic.steeredPermille;
    }
    return confirmed;
}

bool isInTransition(const ServiceContent &content, std::size_t bucket)
{
    return std::any_of(content.tables.begin() + 1, content.tables.end(),
                       [&](const BucketTable &table) { return table[bucket] != content.defaults()[bucket]; });
}

} // namespace sapphirespan
