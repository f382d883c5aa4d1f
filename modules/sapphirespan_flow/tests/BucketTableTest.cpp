#include "sapphirespan_flow/sapphirespan_flow.h"

#include <boost/test/unit_test.hpp>
#include <rapidcheck/boost_test.h>

#include <map>
#include <numeric>

using namespace sapphirespan;

namespace {

std::vector<WeightedUpstream> arbitraryUpstreams(std::size_t fewest)
{
    const auto weights = *rc::gen::suchThat(rc::gen::container<std::vector<std::uint32_t>>(rc::gen::inRange<std::uint32_t>(1, 10)),
                                            [fewest](const auto &list) { return list.size() >= fewest && list.size() <= 40; });
    std::vector<WeightedUpstream> upstreams;
    upstreams.reserve(weights.size());
    for (const auto weight : weights) {
        upstreams.push_back({static_cast<UpstreamOrdinal>(upstreams.size()), weight});
    }
    return upstreams;
}

std::map<UpstreamOrdinal, std::size_t> countsOf(const BucketTable &table)
{
    std::map<UpstreamOrdinal, std::size_t> counts;
    for (const auto ordinal : table) {
        ++counts[ordinal];
    }
    return counts;
}

std::size_t movedBetween(const BucketTable &a, const BucketTable &b)
{
    return std::inner_product(a.begin(), a.end(), b.begin(), std::size_t {0}, std::plus<>(), std::not_equal_to<>());
}

} // namespace

RC_BOOST_PROP(bucketsFollowWeightToWithinOne, ())
{
    const auto upstreams = arbitraryUpstreams(1);
    auto counts = countsOf(assignBuckets(upstreams, {}));
    const auto total
        = std::accumulate(upstreams.begin(), upstreams.end(), 0U, [](auto sum, const auto &upstream) { return sum + upstream.weight; });
    for (const auto &[ordinal, weight] : upstreams) {
        const auto exact = double(bucketCount) * weight / total;
        RC_ASSERT(std::abs(double(counts[ordinal]) - exact) <= 1.0);
    }
}

RC_BOOST_PROP(removingAnUpstreamMovesOnlyItsBuckets, ())
{
    auto upstreams = arbitraryUpstreams(2);
    const auto before = assignBuckets(upstreams, {});
    const auto gone = *rc::gen::inRange<std::size_t>(0, upstreams.size());
    const auto goneCount = countsOf(before)[upstreams[gone].ordinal];
    upstreams.erase(upstreams.begin() + static_cast<std::ptrdiff_t>(gone));
    const auto after = assignBuckets(upstreams, before);
    RC_ASSERT(movedBetween(before, after) <= goneCount + upstreams.size());
}

RC_BOOST_PROP(addingAnUpstreamMovesOnlyItsQuota, ())
{
    auto upstreams = arbitraryUpstreams(1);
    const auto before = assignBuckets(upstreams, {});
    upstreams.push_back({static_cast<UpstreamOrdinal>(upstreams.size()), *rc::gen::inRange<std::uint32_t>(1, 10)});
    const auto after = assignBuckets(upstreams, before);
    RC_ASSERT(movedBetween(before, after) <= countsOf(after)[upstreams.back().ordinal] + upstreams.size());
}

BOOST_AUTO_TEST_CASE(noUpstreamMeansNoBucket)
{
    BOOST_TEST(countsOf(assignBuckets({}, {}))[noUpstream] == bucketCount);
    BOOST_TEST(countsOf(assignBuckets({{3, 0}}, {}))[noUpstream] == bucketCount);
}
