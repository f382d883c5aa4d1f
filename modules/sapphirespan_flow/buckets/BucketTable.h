#pragma once

#include <cstdint>
#include <vector>

namespace sapphirespan {

/** Number of buckets into which the hash space of each service is cut; a power of two. */
inline constexpr std::size_t bucketCount = 1024;

/** Position of an upstream in its service's table; stable while the upstream is listed and never reused meanwhile. */
using UpstreamOrdinal = std::uint16_t;

/** Marks a bucket that no upstream serves. */
inline constexpr UpstreamOrdinal noUpstream = 0xffff;

/** The upstream of each bucket; `bucketCount` long. */
using BucketTable = std::vector<UpstreamOrdinal>;

/** An upstream with its share of the buckets. */
struct WeightedUpstream {
    UpstreamOrdinal ordinal = 0;
    std::uint32_t weight = 1;
};

/** @returns the bucket of a flow hash. */
constexpr std::size_t bucketOf(std::uint64_t flowHash)
{
    return flowHash & (bucketCount - 1);
}

/** Mixes two numbers into a rank; equal inputs rank equally on every instance.
    Source: the finaliser of splitmix64 (Steele, Lea and Flood, 2014).
*/
constexpr std::uint64_t rendezvousRank(std::uint64_t candidate, std::uint64_t item)
{
    std::uint64_t mixed = candidate * 0x9e3779b97f4a7c15ULL + item + 0x632be59bd9b4e019ULL;
    mixed = (mixed ^ (mixed >> 30)) * 0xbf58476d1ce4e5b9ULL;
    mixed = (mixed ^ (mixed >> 27)) * 0x94d049bb133111ebULL;
    return mixed ^ (mixed >> 31);
}

/** Spreads the buckets over upstreams in proportion to weight, to within one bucket, moving as few as possible.

    Each upstream keeps its highest-ranked buckets of `previous` up to its quota (largest remainders); freed buckets
    go to the highest-ranked upstream (rendezvous hashing, Thaler and Ravishankar, 1998) that has quota left.

    @param upstreams ordinals are distinct; weight 0 takes no bucket
    @param previous the table before the change, or empty
    @returns a table of `bucketCount`, all `noUpstream` when no upstream has weight. Thread safety: pure function.
*/
BucketTable assignBuckets(const std::vector<WeightedUpstream> &upstreams, const BucketTable &previous);

} // namespace sapphirespan
