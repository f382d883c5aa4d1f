#include "sapphirespan_flow/sapphirespan_flow.h"

#include <boost/test/unit_test.hpp>
#include <rapidcheck/boost_test.h>

#include <algorithm>
#include <map>

using namespace sapphirespan;

namespace {
FlowEntry entryOf(std::uint64_t key, UpstreamOrdinal upstream, std::uint32_t placedAtMs = 0)
{
    FlowEntry entry;
    entry.key = key;
    entry.upstream = upstream;
    entry.placedAtMs = placedAtMs;
    return entry;
}
} // namespace

RC_BOOST_PROP(behavesLikeAMapUnderInsertAndRemove, ())
{
    FlowTable table(4096);
    std::map<std::uint64_t, UpstreamOrdinal> model;
    const auto steps
        = *rc::gen::container<std::vector<std::pair<bool, std::uint16_t>>>(rc::gen::arbitrary<std::pair<bool, std::uint16_t>>());
    for (const auto &[isInsert, number] : steps) {
        const std::uint64_t key = (std::uint64_t {number % 64U} << 10) + 1 + number / 8192U; // few home slots, so that probes collide
        if (isInsert && !model.contains(key)) {
            RC_ASSERT(table.insert(entryOf(key, number)) != nullptr);
            model[key] = number;
        } else if (!isInsert) {
            table.remove(key);
            model.erase(key);
        }
    }
    RC_ASSERT(table.size() == model.size());
    for (const auto &[key, upstream] : model) {
        RC_ASSERT(table.find(key) != nullptr);
        RC_ASSERT(table.find(key)->upstream == upstream);
    }
}

RC_BOOST_PROP(mergeDoesNotDependOnOrder, ())
{
    auto entries
        = *rc::gen::map(rc::gen::container<std::vector<std::uint32_t>>(rc::gen::arbitrary<std::uint32_t>()), [](const auto &numbers) {
              std::vector<FlowEntry> made;
              made.reserve(numbers.size());
              for (const auto number : numbers) {
                  made.push_back(entryOf(1 + number % 8, static_cast<UpstreamOrdinal>(number / 8 % 5), number / 64 % 4));
              }
              return made;
          });
    FlowTable forwards(64);
    FlowTable backwards(64);
    std::for_each(entries.begin(), entries.end(), [&](const FlowEntry &entry) { forwards.merge(entry); });
    std::for_each(entries.rbegin(), entries.rend(), [&](const FlowEntry &entry) { backwards.merge(entry); });
    RC_ASSERT(forwards.size() == backwards.size());
    forwards.forEach([&](FlowEntry &entry) { RC_ASSERT(backwards.find(entry.key)->upstream == entry.upstream); });
}

BOOST_AUTO_TEST_CASE(aFullTableKeepsWhatItHas)
{
    FlowTable table(2);
    BOOST_TEST(table.insert(entryOf(1, 1)) != nullptr);
    BOOST_TEST(table.insert(entryOf(2, 1)) != nullptr);
    BOOST_TEST(table.insert(entryOf(3, 1)) == nullptr);
    BOOST_CHECK(table.merge(entryOf(4, 1)) == MergeOutcome::tableFull);
    BOOST_TEST(table.find(1) != nullptr);
}

BOOST_AUTO_TEST_CASE(sweepRemovesWhatIsOverAndNothingElse)
{
    FlowTable table(10000);
    for (std::uint64_t key = 1; key <= 5000; ++key) {
        table.insert(entryOf(key << 7, static_cast<UpstreamOrdinal>(key % 2)));
    }
    for (int round = 0; round < 40; ++round) {
        table.sweep(table.slotCount() / 8, [](FlowEntry &entry) { return entry.upstream == 1; });
    }
    BOOST_TEST(table.size() == 2500U);
}
