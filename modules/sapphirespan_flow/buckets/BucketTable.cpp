#include "sapphirespan_flow/buckets/BucketTable.h"

#include <algorithm>
#include <cassert>
#include <map>
#include <numeric>

namespace sapphirespan {

namespace {

/** The buckets that one upstream holds and may hold. */
struct Holding {
    std::size_t quota = 0;
    std::vector<std::size_t> buckets;
};

using Holdings = std::map<UpstreamOrdinal, Holding>;

Holdings holdingsBefore(const std::vector<WeightedUpstream> &upstreams, const BucketTable &previous)
{
    Holdings holdings;
    for (const auto &upstream : upstreams) {
        if (upstream.weight > 0) {
            holdings[upstream.ordinal] = {};
        }
    }
    for (std::size_t bucket = 0; bucket < previous.size(); ++bucket) {
        if (const auto row = holdings.find(previous[bucket]); row != holdings.end()) {
            row->second.buckets.push_back(bucket);
        }
    }
    return holdings;
}

/** Sets quotas by largest remainders; among equal remainders, upstreams that hold more now come first. */
void setQuotas(Holdings &holdings, const std::vector<WeightedUpstream> &upstreams)
{
    struct Remainder {
        std::uint64_t remainder;
        std::size_t held;
        UpstreamOrdinal ordinal;
    };
    const auto totalWeight = std::accumulate(upstreams.begin(), upstreams.end(), std::uint64_t {0},
                                             [](std::uint64_t sum, const WeightedUpstream &upstream) { return sum + upstream.weight; });
    if (totalWeight == 0) {
        return;
    }
    std::vector<Remainder> remainders;
    std::size_t given = 0;
    for (const auto &[ordinal, weight] : upstreams) {
        if (weight == 0) {
            continue;
        }
        auto &holding = holdings[ordinal];
        holding.quota = bucketCount * weight / totalWeight;
        given += holding.quota;
        remainders.push_back({bucketCount * weight % totalWeight, holding.buckets.size(), ordinal});
    }
    std::sort(remainders.begin(), remainders.end(), [](const Remainder &a, const Remainder &b) {
        return std::tie(b.remainder, b.held, a.ordinal) < std::tie(a.remainder, a.held, b.ordinal);
    });
    for (std::size_t next = 0; given < bucketCount; ++next, ++given) {
        ++holdings[remainders[next].ordinal].quota;
    }
}

void releaseOverQuota(Holdings &holdings)
{
    for (auto &[ordinal, holding] : holdings) {
        const std::uint64_t candidate = ordinal;
        std::sort(holding.buckets.begin(), holding.buckets.end(),
                  [candidate](std::size_t a, std::size_t b) { return rendezvousRank(candidate, a) > rendezvousRank(candidate, b); });
        holding.buckets.resize(std::min(holding.buckets.size(), holding.quota));
    }
}

UpstreamOrdinal bestWithQuota(const Holdings &holdings, std::size_t bucket)
{
    UpstreamOrdinal best = noUpstream;
    std::uint64_t bestRank = 0;
    for (const auto &[ordinal, holding] : holdings) {
        const auto rank = rendezvousRank(ordinal, bucket);
        if (holding.buckets.size() < holding.quota && (best == noUpstream || rank > bestRank)) {
            best = ordinal;
            bestRank = rank;
        }
    }
    return best;
}

} // namespace

BucketTable assignBuckets(const std::vector<WeightedUpstream> &upstreams, const BucketTable &previous)
{
    assert(previous.empty() || previous.size() == bucketCount);
    BucketTable table(bucketCount, noUpstream);
    auto holdings = holdingsBefore(upstreams, previous);
    if (holdings.empty()) {
        return table;
    }
    setQuotas(holdings, upstreams);
    releaseOverQuota(holdings);
    for (const auto &[ordinal, holding] : holdings) {
        for (const auto bucket : holding.buckets) {
            table[bucket] = ordinal;
        }
    }
    for (std::size_t bucket = 0; bucket < bucketCount; ++bucket) {
        if (table[bucket] == noUpstream) {
            table[bucket] = bestWithQuota(holdings, bucket);
            holdings[table[bucket]].buckets.push_back(bucket);
        }
    }
    return table;
}

} // namespace sapphirespan
