#include "sapphirespan_config/sapphirespan_config.h"

#include <boost/test/unit_test.hpp>
#include <rapidcheck/boost_test.h>

#include <algorithm>

using namespace sapphirespan;

namespace {

ServiceFile fileWith(std::initializer_list<int> hosts)
{
    ServiceFile file;
    file.name = "desk";
    file.addresses = {{*Endpoint::parse("10.80.0.1:443"), Protocol::tcp}};
    for (const int host : hosts) {
        UpstreamSpec spec;
        spec.tunnel = *Endpoint::parse("10.1.0." + std::to_string(host) + ":6080");
        spec.dataCentre = "kurume";
        file.upstreams.push_back(spec);
    }
    return file;
}

std::size_t bucketsInTransition(const ServiceContent &content)
{
    std::size_t count = 0;
    for (std::size_t bucket = 0; bucket < bucketCount; ++bucket) {
        count += isInTransition(content, bucket) ? 1 : 0;
    }
    return count;
}

const WallTime start {std::chrono::hours(1000)};

} // namespace

BOOST_AUTO_TEST_CASE(defaultsStayUntilOlderFlowsHaveEnded)
{
    LastReason reason;
    const auto first = contentAfterPublish(fileWith({1, 2, 3}), nullptr, 7, 1, start, reason);
    BOOST_REQUIRE(first);
    const auto second = contentAfterPublish(fileWith({1, 2, 3, 4}), &*first, 7, 2, start, reason);
    BOOST_REQUIRE(second);
    BOOST_CHECK(second->defaults == first->defaults);
    BOOST_TEST(bucketsInTransition(*second) == 256U);

    const auto soon = contentAfterPublish(fileWith({1, 2, 3, 4}), &*second, 7, 3, start + std::chrono::hours(1), reason);
    BOOST_CHECK(soon->defaults == first->defaults);
    const auto later = contentAfterPublish(fileWith({1, 2, 3, 4}), &*second, 7, 3, start + std::chrono::hours(5), reason);
    BOOST_CHECK(later->defaults == second->targets);
    BOOST_TEST(bucketsInTransition(*later) == 256U); // flows known to owners may still be elsewhere
}

BOOST_AUTO_TEST_CASE(aChangeTakenBackKeepsItsBucketsInTransition)
{
    LastReason reason;
    const auto first = contentAfterPublish(fileWith({1, 2, 3}), nullptr, 7, 1, start, reason);
    const auto second = contentAfterPublish(fileWith({1, 2, 3, 4}), &*first, 7, 2, start, reason);
    const auto third = contentAfterPublish(fileWith({1, 2, 3}), &*second, 7, 3, start, reason);
    BOOST_TEST(bucketsInTransition(*third) >= 256U); // new flows went to the fourth upstream meanwhile
}

RC_BOOST_PROP(anyNumberOfChangesIsAccepted, ())
{
    LastReason reason;
    auto content = contentAfterPublish(fileWith({1, 2, 3}), nullptr, 7, 1, start, reason);
    const auto defaults = content->defaults;
    for (std::uint64_t generation = 2; generation < 60; ++generation) {
        const int host = *rc::gen::inRange(1, 12);
        content = contentAfterPublish(fileWith({host, host + 1, host + 2}), &*content, 7, generation, start, reason);
        RC_ASSERT(content.has_value());
    }
    RC_ASSERT(content->defaults == defaults);
}

BOOST_AUTO_TEST_CASE(aRemovedUpstreamKeepsItsOrdinal)
{
    LastReason reason;
    const auto first = contentAfterPublish(fileWith({1, 2}), nullptr, 7, 1, start, reason);
    const auto second = contentAfterPublish(fileWith({2, 3}), &*first, 7, 2, start, reason);
    BOOST_REQUIRE(second->upstreams.size() == 3U);
    BOOST_TEST(second->upstreams[0].isRemoved);
    BOOST_CHECK(std::find(second->targets.begin(), second->targets.end(), 0) == second->targets.end());
    const auto third = contentAfterPublish(fileWith({1, 2, 3}), &*second, 7, 3, start, reason);
    BOOST_TEST(!third->upstreams[0].isRemoved);
    BOOST_TEST(third->upstreams.size() == 3U);
}

BOOST_AUTO_TEST_CASE(objectsReadBackAsWritten)
{
    LastReason reason;
    const auto content = contentAfterPublish(fileWith({1, 2, 3}), nullptr, 7, 1, start, reason);
    const auto text = toJson(*content);
    const auto back = serviceContentFromJson(text, reason);
    BOOST_REQUIRE_MESSAGE(back, reason.text());
    BOOST_CHECK(*back == *content);
    BOOST_TEST(toJson(*back) == text);
    CatalogueIndex index;
    index.generation = 3;
    index.hashKey[0] = 0xab;
    index.services["desk"] = {7, digestOf(text)};
    BOOST_CHECK(catalogueIndexFromJson(toJson(index), reason) == index);
    const CatalogueHead head {3, digestOf(toJson(index))};
    BOOST_CHECK(catalogueHeadFromJson(toJson(head), reason) == head);
}

RC_BOOST_PROP(mangledObjectsNeverCrash, ())
{
    LastReason reason;
    auto text = toJson(*contentAfterPublish(fileWith({1}), nullptr, 7, 1, start, reason));
    const auto edits = *rc::gen::inRange(0, 5);
    for (int edit = 0; edit < edits; ++edit) {
        text[*rc::gen::inRange<std::size_t>(0, text.size())] = *rc::gen::arbitrary<char>();
    }
    text.resize(*rc::gen::inRange<std::size_t>(0, text.size()));
    serviceContentFromJson(text, reason);
    catalogueIndexFromJson(text, reason);
    catalogueHeadFromJson(text, reason);
}
