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

/** What one generation of the catalogue says of one service.

    The tables are the durable part of steering. The first is the default upstream of each bucket, the last the
    upstream that new flows go to. Tables between them stand for changes accepted while older flows may live. A bucket
    is in transition where any two tables differ.
*/
struct ServiceContent {
    ServiceFile service; ///< as published; `upstreams` is empty here and stands in the list below
    ServiceNumber number = 0;
    std::uint64_t changedAtGeneration = 0;
    std::vector<CatalogueUpstream> upstreams; ///< by ordinal
    std::vector<BucketTable> tables; ///< at least one
    std::uint32_t heldSteeredPermille = 0; ///< largest steered share since the latest settlement; at least the present one
    WallTime changedAt {}; ///< calendar time of the latest change of a table

    bool operator==(const ServiceContent &) const = default;

    const BucketTable &defaults() const
    {
        return tables.front();
    }

    const BucketTable &targets() const
    {
        return tables.back();
    }
};

/** Most tables that stand beside each other; a further change waits until older flows have ended. */
inline constexpr std::size_t mostTables = 16;

/** Builds the content that follows from publishing a service file.

    @param previous the content in force, or nullptr for a new service
    @param generation the generation that will carry the result @param now calendar time of the change
    @returns the content, or nothing when too many changes are in transition
*/
std::optional<ServiceContent> contentAfterPublish(const ServiceFile &file, const ServiceContent *previous, ServiceNumber number,
                                                  std::uint64_t generation, WallTime now, LastReason &reason);

/** @returns whether all flows of the first table's time have ended or are known to owners: the idle time has passed. */
bool mayConfirmTransition(const ServiceContent &content, WallTime now);

/** Ends part of a transition. A content with several tables moves its default to the target but keeps the steering of
    moved buckets by repeating the tables; one whose default is already the target keeps that table alone.

    @pre mayConfirmTransition(content, now)
*/
ServiceContent contentAfterConfirm(const ServiceContent &content, std::uint64_t generation, WallTime now);

/** @returns whether the tables disagree about a bucket. */
bool isInTransition(const ServiceContent &content, std::size_t bucket);

} // namespace sapphirespan
