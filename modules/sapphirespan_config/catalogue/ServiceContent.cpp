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

/** Whether all flows of the defaults' time have ended or were seen by owners, who remember what they see. */
bool mayMoveDefaults(const ServiceContent &content, WallTime now)
{
    const auto &traffic = content.service.traffic;
    return now - content.changedAt > std::max(traffic.idleTimeout, traffic.drainLimit);
}

void holdMovedBuckets(ServiceContent &content)
{
    for (std::size_t bucket = 0; bucket < bucketCount; ++bucket) {
        content.held[bucket] = content.held[bucket] || content.defaults[bucket] != content.targets[bucket];
    }
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
    content.held.resize(bucketCount);
    if (previous != nullptr) {
        holdMovedBuckets(content);
        if (mayMoveDefaults(*previous, now)) {
            content.defaults = content.targets;
        }
    }
    content.service = file;
    content.service.upstreams.clear();
    content.heldSteeredPermille = std::max(content.heldSteeredPermille, file.traffic.steeredPermille);
    content.number = number;
    content.changedAtGeneration = generation;
    auto table = assignBuckets(weightsOf(content.upstreams), content.targets);
    if (previous == nullptr) {
        content.defaults = table;
    }
    if (table != content.targets) {
        content.targets = std::move(table);
        content.changedAt = now;
    }
    return content;
}

bool isInTransition(const ServiceContent &content, std::size_t bucket)
{
    return content.held[bucket] || content.defaults[bucket] != content.targets[bucket];
}

} // namespace sapphirespan
