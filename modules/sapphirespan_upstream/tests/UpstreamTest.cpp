#include "sapphirespan_upstream/sapphirespan_upstream.h"

#include <boost/test/unit_test.hpp>
#include <rapidcheck/boost_test.h>

#include <algorithm>
#include <random>

using namespace sapphirespan;
using namespace std::chrono_literals;

namespace {

UpstreamRegister arbitraryRegister()
{
    return {*rc::gen::inRange<std::uint32_t>(0, 4), *rc::gen::inRange<std::uint32_t>(0, 3),
            static_cast<UpstreamPhase>(*rc::gen::inRange<int>(0, static_cast<int>(UpstreamPhase::count))), *rc::gen::arbitrary<bool>()};
}

ProbeOutcome answered(UpstreamPhase claimed)
{
    ProbeOutcome outcome;
    outcome.isAnswered = true;
    outcome.claimed = claimed;
    return outcome;
}

} // namespace

RC_BOOST_PROP(registersMergeInAnyOrder, ())
{
    const auto a = arbitraryRegister();
    const auto b = arbitraryRegister();
    const auto fromA = supersedes(b, a) ? b : a;
    const auto fromB = supersedes(a, b) ? a : b;
    RC_ASSERT(fromA == fromB);
}

BOOST_AUTO_TEST_CASE(oneFailedProbeClosesNothing)
{
    HealthOpinion opinion;
    recordProbe(opinion, {});
    recordProbe(opinion, {});
    BOOST_CHECK(opinion.phase == UpstreamPhase::open);
    recordProbe(opinion, {});
    BOOST_CHECK(opinion.phase == UpstreamPhase::down);
    recordProbe(opinion, answered(UpstreamPhase::open));
    BOOST_CHECK(opinion.phase == UpstreamPhase::down);
    recordProbe(opinion, answered(UpstreamPhase::open));
    BOOST_CHECK(opinion.phase == UpstreamPhase::open);
}

BOOST_AUTO_TEST_CASE(drainingCountsAtOnce)
{
    HealthOpinion opinion;
    recordProbe(opinion, answered(UpstreamPhase::draining));
    BOOST_CHECK(opinion.phase == UpstreamPhase::draining);
}

BOOST_AUTO_TEST_CASE(anEndpointThatLiesIsOutweighedByFlows)
{
    HealthOpinion opinion;
    const SteadyTime now {10s};
    for (int flow = 0; flow < 10; ++flow) {
        recordFlowOutcome(opinion, false, now);
    }
    recordProbe(opinion, answered(UpstreamPhase::open));
    BOOST_CHECK(opinion.phase == UpstreamPhase::down);
}

BOOST_AUTO_TEST_CASE(aLateReportIsCorrectedByWhatWasCountedSince)
{
    LoadEstimate load;
    SteadyTime now {100s};
    for (int second = 0; second < 5; ++second) {
        for (int flow = 0; flow < 10; ++flow) {
            load.count(+1);
        }
        load.setPeerSum(0, now);
        now += 1s;
    }
    // Counted: 10 after the first second, 50 now. The upstream had 12 open four seconds ago.
    load.report(12, 5000ms, now);
    BOOST_TEST(load.connections(1) == 52);
}

BOOST_AUTO_TEST_CASE(theDefaultIsKeptWithinTolerance)
{
    std::vector<PlacementCandidate> candidates {{0, 1, 104, 0, true}, {1, 1, 96, 0, true}};
    BOOST_TEST(chooseUpstream(candidates, 0, 0.10, 1).value() == 0);
    BOOST_TEST(chooseUpstream(candidates, 0, 0.01, 1).value() == 1);
}

/** An upstream was added: the others are within their tolerance of the even load, and nothing would reach it. */
BOOST_AUTO_TEST_CASE(anAddedUpstreamIsFilledThoughOthersAreWithinTolerance)
{
    std::vector<PlacementCandidate> candidates;
    for (UpstreamOrdinal ordinal = 0; ordinal < 9; ++ordinal) {
        candidates.push_back({ordinal, 1, 99.0 - ordinal % 3, 0, true});
    }
    candidates.push_back({9, 1, 60, 0, true});
    std::mt19937_64 random(20261204);
    int filled = 0;
    for (int flow = 0; flow < 1000; ++flow) {
        filled += chooseUpstream(candidates, static_cast<UpstreamOrdinal>(flow % 9), 0.06, random()).value() == 9 ? 1 : 0;
    }
    BOOST_TEST(filled > 900);
}

RC_BOOST_PROP(closedOrFullUpstreamsAreNeverChosen, ())
{
    std::vector<PlacementCandidate> candidates;
    const auto count = *rc::gen::inRange<std::size_t>(0, 12);
    for (std::size_t index = 0; index < count; ++index) {
        candidates.push_back({static_cast<UpstreamOrdinal>(index), double(*rc::gen::inRange(1, 5)), double(*rc::gen::inRange(0, 50)),
                              *rc::gen::inRange<std::uint32_t>(0, 40), *rc::gen::arbitrary<bool>()});
    }
    const auto isTakeable
        = [](const PlacementCandidate &c) { return c.isOpen && (c.connectionCap == 0 || c.connections + 1 <= c.connectionCap); };
    const auto chosen = chooseUpstream(candidates, *rc::gen::inRange<UpstreamOrdinal>(0, 12), 0.05, *rc::gen::arbitrary<std::uint64_t>());
    RC_ASSERT(chosen.has_value() == std::any_of(candidates.begin(), candidates.end(), isTakeable));
    if (chosen) {
        RC_ASSERT(isTakeable(candidates[*chosen]));
    }
}

BOOST_AUTO_TEST_CASE(ownersWithTheSameNewsDoNotHerd)
{
    std::vector<PlacementCandidate> candidates;
    for (UpstreamOrdinal ordinal = 0; ordinal < 10; ++ordinal) {
        candidates.push_back({ordinal, 1, ordinal < 5 ? 100.0 : 110.0, 0, true});
    }
    std::mt19937_64 random(20261204);
    std::array<int, 10> chosen {};
    for (int flow = 0; flow < 1000; ++flow) {
        ++chosen[chooseUpstream(candidates, 9, 0.01, random()).value()];
    }
    BOOST_TEST(*std::max_element(chosen.begin(), chosen.end()) < 300);
}

BOOST_AUTO_TEST_CASE(slowStartRisesToFullSize)
{
    BOOST_TEST(slowStartFactor(0s, 30s) == 0.05);
    BOOST_TEST(slowStartFactor(15s, 30s) == 0.5);
    BOOST_TEST(slowStartFactor(31s, 30s) == 1.0);
    BOOST_TEST(slowStartFactor(0s, 0ms) == 1.0);
}
