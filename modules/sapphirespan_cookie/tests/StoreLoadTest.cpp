/** @file
    What a fleet asks of its store, and who asks, on the model of a fleet.
*/
#include "model/FleetChecks.h"

using namespace sapphirespan;
using namespace sapphirespan::model;
using namespace std::chrono_literals;

/** The store turns away exactly the instances that watch it, just before an upstream drains. */
BOOST_AUTO_TEST_CASE(watchersThatTheStoreTurnsAwayAreReplacedInTime)
{
    for (const std::uint64_t seed : {1, 2, 3}) {
        auto settings = withSeed(seed);
        settings.kinds[0].usesLongFlows = false;
        auto fleet = warmFleet(settings);
        int watchers = 0;
        for (auto &instance : fleet->instances) {
            const bool isWatching = instance.decisions->shouldQueryStore();
            watchers += isWatching ? 1 : 0;
            instance.reachesStore = !isWatching;
        }
        BOOST_TEST(watchers == static_cast<int>(storeWatcherCount));
        fleet->drain(0);
        fleet->run(6s);
        checkSafety(fleet->takeCounts());
    }
}

/** Calls to the store do not grow with the fleet once it has started. */
BOOST_AUTO_TEST_CASE(aLargerFleetAsksTheStoreNoMore)
{
    const auto callsOf = [](int instancesPerDataCentre) {
        ModelSettings settings;
        settings.instancesPerDataCentre = instancesPerDataCentre;
        CookieFleetModel fleet(settings);
        fleet.run(6s);
        int before = 0;
        int after = 0;
        for (const auto &instance : fleet.instances) {
            before += instance.storeCalls;
        }
        fleet.run(10s);
        for (const auto &instance : fleet.instances) {
            after += instance.storeCalls;
        }
        return after - before;
    };
    const int small = callsOf(2);
    const int large = callsOf(10);
    BOOST_TEST(small > 0);
    BOOST_TEST(large <= 1.2 * small);
}

/** In a large fleet each instance hears few others directly; all the same they agree on who watches the store. */
BOOST_AUTO_TEST_CASE(aLargeFleetKeepsItsWatchers)
{
    for (const std::uint64_t seed : {1, 2, 3}) {
        auto settings = withSeed(seed);
        settings.instancesPerDataCentre = 26;
        auto fleet = warmFleet(settings);
        constexpr int samples = 100;
        int watching = 0;
        for (int sample = 0; sample < samples; ++sample) {
            fleet->run(100ms);
            watching += static_cast<int>(std::count_if(fleet->instances.begin(), fleet->instances.end(),
                                                       [](const auto &instance) { return instance.decisions->shouldQueryStore(); }));
        }
        BOOST_TEST(watching >= static_cast<int>(storeWatcherCount) * samples * 9 / 10);
        BOOST_TEST(watching <= static_cast<int>(storeWatcherCount) * samples * 11 / 10);
    }
}

/** All instances lose their memory at once: each asks the store for what it lacks, and then leaves the watch to the first by
    rank, although none knows yet who they are. */
BOOST_AUTO_TEST_CASE(aFleetThatRestartsAsksTheStoreOnceEach)
{
    for (const std::uint64_t seed : {1, 2, 3}) {
        auto settings = withSeed(seed);
        settings.instancesPerDataCentre = 15;
        auto fleet = warmFleet(settings);
        for (std::size_t index = 0; index < fleet->instances.size(); ++index) {
            fleet->stopInstance(index);
        }
        fleet->run(100ms);
        const int before = totalStoreCalls(*fleet);
        for (std::size_t index = 0; index < fleet->instances.size(); ++index) {
            fleet->startInstance(index);
        }
        constexpr int seconds = 5;
        for (int step = 0; step < 5 * seconds; ++step) { // upstreams that warm up change several times a second
            fleet->addUpstream("a", "orders");
            fleet->run(200ms);
        }
        const int forWatchers = static_cast<int>(storeWatcherCount) * 6 * seconds; // at most one for each change and one a second
        BOOST_TEST(totalStoreCalls(*fleet) - before <= 2 * static_cast<int>(fleet->instances.size()) + forWatchers);
        for (const auto &instance : fleet->instances) {
            BOOST_TEST(storeDataAge(instance.decisions->state()).count() <= 2500);
        }
    }
}

/** All instances lose their memory at once: each lists the store at most once, and those that then watch go on from what
    they know. Until all have met, many take themselves for the first by rank. */
BOOST_AUTO_TEST_CASE(aFleetThatRestartsListsTheStoreOnceEach)
{
    for (const std::uint64_t seed : {1, 2, 3}) {
        auto settings = withSeed(seed);
        settings.instancesPerDataCentre = 65;
        auto fleet = warmFleet(settings);
        for (std::size_t index = 0; index < fleet->instances.size(); ++index) {
            fleet->stopInstance(index);
        }
        fleet->run(1600ms);
        int watches = 0;
        for (std::size_t index = 0; index < fleet->instances.size(); ++index) {
            fleet->run(3ms);
            fleet->startInstance(index);
            fleet->instances[index].storeLists = 0;
            fleet->instances[index].decisions->signalEvent().connect([&watches](const CookieEvent &event) {
                watches += event.kind == CookieEventKind::storeWatchStarted && event.detail == nameOf(WatchReason::topRanked) ? 1 : 0;
            });
        }
        fleet->run(6s);
        BOOST_TEST(watches <= 4 * static_cast<int>(storeWatcherCount));
        for (const auto &instance : fleet->instances) {
            BOOST_TEST(instance.storeLists <= 1);
            BOOST_TEST(storeDataAge(instance.decisions->state()).count() <= 2500);
        }
    }
}

/** Both sides of a cut have watchers of their own; when it heals they become two again, and nobody's knowledge goes back. */
BOOST_AUTO_TEST_CASE(afterACutTheSidesAgreeOnTheWatch)
{
    for (const std::uint64_t seed : {1, 2, 3}) {
        auto settings = withSeed(seed);
        settings.instancesPerDataCentre = 10;
        auto fleet = warmFleet(settings);
        fleet->isCut = [](const std::string &from, const std::string &to) { return (from == "c") != (to == "c"); };
        fleet->run(4s);
        fleet->drain(0);
        fleet->run(2s);
        fleet->isCut = [](const std::string &, const std::string &) { return false; };
        fleet->run(6s);
        const auto watching = std::count_if(fleet->instances.begin(), fleet->instances.end(),
                                            [](const auto &instance) { return instance.decisions->shouldQueryStore(); });
        BOOST_TEST(watching == static_cast<std::ptrdiff_t>(storeWatcherCount));
        const auto &first = fleet->instances.front().decisions->state();
        for (const auto &instance : fleet->instances) {
            BOOST_TEST(instance.decisions->state().upstreams.digest() == first.upstreams.digest());
        }
        checkSafety(fleet->takeCounts());
    }
}

/** The watchers are gone: others take over, and ask for what is new only. */
BOOST_AUTO_TEST_CASE(thoseWhoTakeOverTheWatchListNothing)
{
    for (const std::uint64_t seed : {1, 2, 3}) {
        auto settings = withSeed(seed);
        settings.instancesPerDataCentre = 26;
        auto fleet = warmFleet(settings);
        for (std::size_t index = 0; index < fleet->instances.size(); ++index) {
            if (!fleet->instances[index].decisions->shouldQueryStore()) {
                fleet->startInstance(index); // learns from peers
                fleet->run(150ms);
            }
        }
        for (std::size_t index = 0; index < fleet->instances.size(); ++index) {
            if (fleet->instances[index].decisions->shouldQueryStore()) {
                fleet->stopInstance(index);
            }
            fleet->instances[index].storeLists = 0;
        }
        fleet->drain(0);
        fleet->run(6s);
        checkSafety(fleet->takeCounts());
        for (const auto &instance : fleet->instances) {
            BOOST_TEST(instance.storeLists == 0);
        }
    }
}

/** A large data centre is cut off from the others and the store: a few of its instances try to reach the store, not all. */
BOOST_AUTO_TEST_CASE(aDataCentreWithoutTheStoreAsksItByAFewInstances)
{
    const auto callsOf = [](int instancesPerDataCentre, std::uint64_t seed) {
        auto settings = withSeed(seed);
        settings.instancesPerDataCentre = instancesPerDataCentre;
        auto fleet = warmFleet(settings);
        const auto isAway = [](const ModelInstance &instance) { return instance.dataCentre == "c"; };
        for (auto &instance : fleet->instances) {
            instance.reachesStore = !isAway(instance);
        }
        fleet->isCut = [](const std::string &from, const std::string &to) { return (from == "c") != (to == "c"); };
        int calls = 0;
        for (const auto &instance : fleet->instances) {
            calls -= isAway(instance) ? instance.storeCalls : 0;
        }
        fleet->run(6s);
        for (const auto &instance : fleet->instances) {
            calls += isAway(instance) ? instance.storeCalls : 0;
        }
        return calls;
    };
    for (const std::uint64_t seed : {1, 2, 3}) {
        const int small = callsOf(6, seed);
        const int large = callsOf(24, seed);
        BOOST_TEST(large <= 2 * small);
    }
}

/** An instance that hears neither store nor peers goes on serving, and knows how old its knowledge is. */
BOOST_AUTO_TEST_CASE(anInstanceOnItsOwnKnowsTheAgeOfItsKnowledge)
{
    auto settings = withSeed(1);
    settings.dataCentres = {"a", "b"};
    settings.instancesPerDataCentre = 1;
    auto fleet = warmFleet(settings);
    fleet->instances[0].reachesStore = false;
    fleet->isCut = [](const std::string &from, const std::string &to) { return from != to; };
    fleet->run(5s);
    const auto age = storeDataAge(fleet->instances[0].decisions->state());
    BOOST_TEST(age.count() >= 4000);
    BOOST_TEST(age.count() <= 6500);
    BOOST_TEST(storeDataAge(fleet->instances[1].decisions->state()).count() <= 2500);
    BOOST_TEST(fleet->instances[0].decisions->isReady());
    fleet->takeCounts();
    fleet->run(2s);
    BOOST_TEST(fleet->takeCounts().share() > 0.95);
}
