/** @file
    Upstreams and data centres that crash, fall silent or only seem to, on the model of a fleet.
*/
#include "model/FleetChecks.h"

using namespace sapphirespan;
using namespace sapphirespan::model;
using namespace std::chrono_literals;

/** Hosts of crashed upstreams answer openings with resets, of which an instance sees nothing. */
BOOST_AUTO_TEST_CASE(crashedUpstreamsThatRefuseCostNoTries)
{
    for (std::uint64_t seed = 1; seed <= 10; ++seed) {
        auto settings = withSeed(seed);
        settings.kinds[0].usesLongFlows = false;
        auto fleet = warmFleet(settings);
        for (const std::size_t upstream : {0, 1, 2, 5}) {
            fleet->crash(upstream, false);
        }
        fleet->run(1s);
        const auto counts = fleet->takeCounts();
        checkAllIsJudged(*fleet);
        checkSafety(counts);
        BOOST_TEST(counts.failed <= 0.02 * counts.asked);
        BOOST_TEST(counts.shareOfEnded() > 0.96);
    }
}

/** Dark upstreams answer nothing; clients repeat after 200 ms and give up after 800 ms. */
BOOST_AUTO_TEST_CASE(darkUpstreamsAreLeftBeforeClientsGiveUp)
{
    for (const std::uint64_t seed : {1, 2, 3}) {
        auto fleet = warmFleet(withSeed(seed));
        for (const std::size_t upstream : {0, 1, 5}) {
            fleet->crash(upstream, true);
        }
        fleet->run(1s);
        checkAllIsJudged(*fleet);
        checkSafety(fleet->takeCounts());
        fleet->run(2s);
        const auto later = fleet->takeCounts();
        checkSafety(later);
        BOOST_TEST(later.failed <= 0.005 * later.asked);
        BOOST_TEST(later.share() > 0.97);
    }
}

/** Instances of a data centre that is cut off reach only its own upstreams; clients still reach the instances. */
BOOST_AUTO_TEST_CASE(aCutDataCentreServesFromItsOwnUpstreams)
{
    for (const std::uint64_t seed : {1, 2, 3}) {
        auto fleet = warmFleet(withSeed(seed));
        fleet->isCut = [](const std::string &from, const std::string &to) { return (from == "c") != (to == "c"); };
        fleet->run(1s);
        checkAllIsJudged(*fleet);
        checkSafety(fleet->takeCounts());
        fleet->run(3s);
        const auto during = fleet->takeCounts();
        checkSafety(during);
        BOOST_TEST(during.share() > 0.95);
        fleet->isCut = [](const std::string &, const std::string &) { return false; };
        fleet->run(4s);
        const auto healed = fleet->takeCounts();
        checkSafety(healed);
        BOOST_TEST(healed.share() > 0.95);
        checkFewProbes(*fleet);
    }
}

/** A data centre is cut off from clients' instances elsewhere, and each of its upstreams has only a flow or two: together
    they show that it is out of reach, and idle flows are ended before their clients send on them. */
BOOST_AUTO_TEST_CASE(flowsAcrossACutAreEndedTogether)
{
    for (const std::uint64_t seed : {1, 2, 3}) {
        auto settings = withSeed(seed);
        settings.usersPerDataCentre = 20;
        settings.kinds[0].isIdempotent = false;
        auto fleet = warmFleet(settings);
        fleet->isCut = [](const std::string &from, const std::string &to) { return (from == "c") != (to == "c"); };
        fleet->run(800ms);
        fleet->takeCounts();
        fleet->run(3s);
        const auto counts = fleet->takeCounts();
        checkSafety(counts);
        BOOST_TEST(counts.failed <= 0.01 * counts.asked);
    }
}

/** Packets wait at the link of one instance for longer than clients do, and its connection attempts too: everything seems
    silent to it, and nothing is. */
BOOST_AUTO_TEST_CASE(anInstanceBehindASlowLinkEndsNoFlow)
{
    for (const std::uint64_t seed : {1, 2, 3}) {
        auto fleet = warmFleet(withSeed(seed));
        fleet->instances[0].hasSlowLink = true;
        fleet->run(4s);
        checkSafety(fleet->takeCounts());
        BOOST_TEST(fleet->instances[0].decisions->counters().resetUpstreamUnreachable == 0U);
    }
}

/** An instance that stood still sends on what waited in its sockets and judges nobody by what it missed. */
BOOST_AUTO_TEST_CASE(anInstanceThatWakesEndsNoFlow)
{
    for (const std::uint64_t seed : {1, 2, 3}) {
        auto fleet = warmFleet(withSeed(seed));
        fleet->freezeInstance(0);
        fleet->run(3500ms);
        fleet->thawInstance(0);
        fleet->run(2s);
        checkSafety(fleet->takeCounts());
        BOOST_TEST(fleet->instances[0].decisions->counters().resetUpstreamUnreachable == 0U);
    }
}

/** An upstream that is cut off from the store lapses from its list while it goes on serving: its flows stay. */
BOOST_AUTO_TEST_CASE(anUpstreamThatLapsesAndLivesKeepsItsFlows)
{
    for (const std::uint64_t seed : {1, 2, 3}) {
        auto fleet = warmFleet(withSeed(seed));
        fleet->remove(0);
        fleet->run(9s);
        const auto counts = fleet->takeCounts();
        checkSafety(counts);
        BOOST_TEST(counts.failed == 0);
    }
}
