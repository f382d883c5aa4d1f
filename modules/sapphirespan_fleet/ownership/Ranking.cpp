#include "sapphirespan_fleet/ownership/Ranking.h"

#include <algorithm>

namespace sapphirespan {

namespace {
BucketHolders holdersOf(const std::vector<InstanceId> &candidates, std::size_t bucket)
{
    BucketHolders holders;
    std::uint64_t ownerRank = 0;
    std::uint64_t backupRank = 0;
    for (const auto candidate : candidates) {
        const auto rank = rendezvousRank(candidate, bucket);
        if (holders.owner == noInstance || rank > ownerRank) {
            holders.backup = holders.owner;
            backupRank = ownerRank;
            holders.owner = candidate;
            ownerRank = rank;
        } else if (holders.backup == noInstance || rank > backupRank) {
            holders.backup = candidate;
            backupRank = rank;
        }
    }
    return holders;
}
} // namespace

Ranking::Ranking(std::vector<InstanceId> candidates)
    : m_candidates(std::move(candidates))
{
    std::sort(m_candidates.begin(), m_candidates.end());
    for (std::size_t bucket = 0; bucket < bucketCount; ++bucket) {
        m_holders[bucket] = holdersOf(m_candidates, bucket);
    }
}

} // namespace sapphirespan
