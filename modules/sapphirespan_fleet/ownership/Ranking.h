#pragma once

#include "sapphirespan_fleet/membership/Member.h"
#include "sapphirespan_flow/sapphirespan_flow.h"

#include <vector>

namespace sapphirespan {

/** Marks a bucket without an owner or backup. */
inline constexpr InstanceId noInstance = 0;

/** The two highest-ranked instances of a bucket. */
struct BucketHolders {
    InstanceId owner = noInstance;
    InstanceId backup = noInstance;

    bool operator==(const BucketHolders &) const = default;

    bool contains(InstanceId id) const
    {
        return id != noInstance && (owner == id || backup == id);
    }
};

/** Owner and backup of every bucket, by rendezvous rank among the candidates.

    Buckets of the same number have the same holders in every service. Thread safety: none.
*/
class Ranking
{
public:
    Ranking() = default;

    /** @param candidates distinct ids; may be empty */
    explicit Ranking(std::vector<InstanceId> candidates);

    const BucketHolders &holders(std::size_t bucket) const
    {
        return m_holders[bucket];
    }

    /** @returns the candidates in ascending order. */
    const std::vector<InstanceId> &candidates() const
    {
        return m_candidates;
    }

private:
    std::vector<InstanceId> m_candidates;
    std::vector<BucketHolders> m_holders = std::vector<BucketHolders>(bucketCount);
};

} // namespace sapphirespan
