#pragma once

#include "sapphirespan_fleet/membership/Member.h"
#include "sapphirespan_flow/sapphirespan_flow.h"

#include <algorithm>
#include <string>
#include <vector>

namespace sapphirespan {

/** Marks a bucket without an owner or backup. */
inline constexpr InstanceId noInstance = 0;

/** Most instances that hold one bucket's entries. */
inline constexpr std::size_t mostHolders = 8;

/** An instance that may own buckets, and where it stands. */
struct RankedInstance {
    InstanceId id = noInstance;
    std::string dataCentre;

    auto operator<=>(const RankedInstance &) const = default;
};

/** The instances that hold a bucket's entries: the owner, the next in rank, who succeeds it, and the highest-ranked of
    each further data centre, who becomes owner on its side when the data centres are cut off from each other.
*/
struct BucketHolders {
    InstanceId owner = noInstance;
    InstanceId backup = noInstance; ///< next in rank
    std::array<InstanceId, mostHolders> all {}; ///< owner and backup among them; unused places are noInstance

    bool contains(InstanceId id) const
    {
        return id != noInstance && std::find(all.begin(), all.end(), id) != all.end();
    }
};

/** The holders of every bucket, by rendezvous rank among the candidates.

    Buckets of the same number have the same holders in every service. Thread safety: none.
*/
class Ranking
{
public:
    Ranking() = default;

    /** @param candidates distinct ids; may be empty */
    explicit Ranking(std::vector<RankedInstance> candidates);

    const BucketHolders &holders(std::size_t bucket) const
    {
        return m_holders[bucket];
    }

    /** @returns the candidates in ascending order of id. */
    const std::vector<RankedInstance> &candidates() const
    {
        return m_candidates;
    }

    /** @returns whether an instance is among the candidates. */
    bool contains(InstanceId id) const;

private:
    std::vector<RankedInstance> m_candidates;
    std::vector<BucketHolders> m_holders = std::vector<BucketHolders>(bucketCount);
};

} // namespace sapphirespan
