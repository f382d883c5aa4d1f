#pragma once

#include "sapphirespan_config/service/ServiceFile.h"

namespace sapphirespan {

/** An upstream with its stable ordinal. */
struct CatalogueUpstream {
    UpstreamSpec spec;
    bool isRemoved = false; ///< no longer in the service file, but still the default of buckets or flows
    std::uint64_t addedAtGeneration = 0;

    bool operator==(const CatalogueUpstream &) const = default;
};

/** Marks buckets; `bucketCount` long. */
using BucketSet = std::vector<bool>;

/** What one generation of the catalogue says of one service.

    The tables are the durable part of steering: the default upstream of each bucket, where flows are that no owner
    knows, and the target, where new flows go. A bucket is in transition where the two differ, and stays so when it is
    held: flows may be on upstreams that were its target in between.
*/
struct ServiceContent {
    ServiceFile service; ///< as published; `upstreams` is empty here and stands in the list below
    ServiceNumber number = 0;
    std::uint64_t changedAtGeneration = 0;
    std::vector<CatalogueUpstream> upstreams; ///< by ordinal
    BucketTable defaults;
    BucketTable targets;
    BucketSet held;
    std::uint32_t heldSteeredPermille = 0; ///< largest steered share that the service ever had; at least the present one
    WallTime changedAt {}; ///< calendar time of the latest change of a target

    bool operator==(const ServiceContent &) const = default;
};

/** Builds the content that follows from publishing a service file.

    Defaults stay as they are until older flows have ended or are known to owners, which is when the idle time and the
    drain limit have passed since the latest change; the next publication then moves them to the targets.

    @param previous the content in force, or nullptr for a new service
    @param generation the generation that will carry the result @param now calendar time of the change
    @returns the content, or nothing when the service has used up its ordinals
*/
std::optional<ServiceContent> contentAfterPublish(const ServiceFile &file, const ServiceContent *previous, ServiceNumber number,
                                                  std::uint64_t generation, WallTime now, LastReason &reason);

/** @returns whether flows of the bucket may be elsewhere than on its default upstream, by the catalogue's own changes. */
bool isInTransition(const ServiceContent &content, std::size_t bucket);

} // namespace sapphirespan
