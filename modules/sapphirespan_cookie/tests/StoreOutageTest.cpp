/** @file
    A store that turns away the instances of some data centres, in silence, while it serves the others.
*/
#include "model/FleetChecks.h"

#include "sapphirespan_cookie/peers/PeerTable.h"
#include "sapphirespan_cookie/state/CookieState.h"

#include <cmath>
#include <set>

using namespace sapphirespan;
using namespace sapphirespan::model;
using namespace std::chrono_literals;

namespace {

/** A fleet whose instances have names that begin with their data centre. */
ModelSettings namedByDataCentre(const std::vector<int> &instances, std::uint64_t seed)
{
    auto settings = withSeed(seed);
    settings.dataCentres.clear();
    for (std::size_t index = 0; index < instances.size(); ++index) {
        settings.dataCentres.push_back("mid-" + std::string(1, static_cast<char>('a' + index)));
    }
    settings.instancesByDataCentre = instances;
    settings.areNamedByDataCentre = true;
    settings.usersPerDataCentre = 10;
    settings.kinds[0].usesLongFlows = false;
    return settings;
}

/** Begins an outage for the instances of some data centres. Calls that are on their way get no answer either. */
void turnAway(CookieFleetModel &fleet, const std::vector<std::string> &dataCentres)
{
    for (auto &instance : fleet.instances) {
        instance.isStoreSilent = std::find(dataCentres.begin(), dataCentres.end(), instance.dataCentre) != dataCentres.end();
    }
}

/** @returns how long after a change the last instance that the store serves learned of it; `limit` if one did not. */
Milliseconds timeToLearn(CookieFleetModel &fleet, const std::function<bool(const CookieState &)> &knowsChange, Milliseconds limit)
{
    constexpr Milliseconds step {20};
    Milliseconds passed {0};
    const auto doAllKnow = [&] {
        return std::all_of(fleet.instances.begin(), fleet.instances.end(), [&](const ModelInstance &instance) {
            return instance.isStoreSilent || !instance.isRunning || knowsChange(instance.decisions->state());
        });
    };
    while (passed < limit && !doAllKnow()) {
        fleet.run(step);
        passed += step;
    }
    return passed;
}

/** @returns the time in which a drain is known to all that the store serves; the last upstream of the fleet drains. */
Milliseconds timeToLearnOfADrain(CookieFleetModel &fleet, Milliseconds limit)
{
    const auto drained = fleet.upstreams.size() - 1;
    fleet.drain(drained);
    const auto cookie = cookieOf(fleet.upstreams[drained].entry.id, fleet.upstreams[drained].entry.startedAt);
    return timeToLearn(
        fleet,
        [cookie](const CookieState &state) {
            const auto &rows = state.upstreams.rows();
            const auto row = rows.find(cookie);
            return row != rows.end() && row->second.entry.phase == RegistrationPhase::draining;
        },
        limit);
}

/** @returns the time in which a further route, without traffic, is known to all that the store serves. */
Milliseconds timeToLearnOfARoute(CookieFleetModel &fleet, Milliseconds limit)
{
    auto routes = fleet.routes;
    auto added = routes.front();
    added.address.port = static_cast<std::uint16_t>(added.address.port + routes.size());
    routes.push_back(added);
    fleet.configure(routes);
    return timeToLearn(
        fleet, [&added](const CookieState &state) { return state.routes.find(added.address) != nullptr; }, limit);
}

constexpr Milliseconds drainBoundOfSmallFleets {3000};
constexpr Milliseconds boundOfLargeFleets {5000};

/** Fleets of the deployments, and some in between. */
const std::vector<std::vector<int>> fleetSizes {{3, 2, 2}, {3, 3, 3}, {4, 3, 3}, {6, 6, 6}, {16, 16, 16}, {18, 20, 15, 15}, {65, 65, 65}};

Milliseconds changeBoundOf(const CookieFleetModel &fleet)
{
    constexpr std::size_t largestSmallFleet = 12;
    return fleet.instances.size() <= largestSmallFleet ? drainBoundOfSmallFleets : boundOfLargeFleets;
}

/** In which order a store turns instances away. */
enum class TurningOrder : std::uint8_t {
    callers, ///< each instance that calls, with the first call
    onceServed, ///< each instance that calls, from its second call on
    random, ///< all at once, drawn at random
    byDataCentre, ///< all at once, one data centre after the other
    refused, ///< as callers, but calls fail at once
};

/** Turns away up to the largest share of a fleet, by silence unless the order says otherwise, as long as it exists. */
class TurningStore
{
public:
    explicit TurningStore(CookieFleetModel &fleet, TurningOrder order = TurningOrder::callers)
        : m_fleet(fleet)
        , m_order(order)
        , m_most(static_cast<std::size_t>(std::ceil(largestShare * static_cast<double>(fleet.instances.size()))))
    {
        std::vector<ModelInstance *> instances;
        for (auto &instance : fleet.instances) {
            instances.push_back(&instance);
        }
        if (order == TurningOrder::random) {
            std::shuffle(instances.begin(), instances.end(), std::mt19937_64(7));
        }
        if (order == TurningOrder::random || order == TurningOrder::byDataCentre) {
            for (std::size_t index = 0; index < m_most; ++index) {
                turnAway(*instances[index]);
            }
        }
        for (auto *instance : instances) { // also those whose call waits for its answer
            if (instance->decisions->shouldQueryStore() && takesCaller(*instance)) {
                turnAway(*instance);
            }
        }
        fleet.turnsAway = [this](const ModelInstance &instance) { return takesCaller(instance); };
    }

    ~TurningStore()
    {
        m_fleet.turnsAway = nullptr;
    }

    TurningStore(const TurningStore &) = delete;
    TurningStore &operator=(const TurningStore &) = delete;

    std::size_t turnedAway() const
    {
        return m_turnedAway.size();
    }

private:
    static constexpr double largestShare = 0.35;

    void turnAway(ModelInstance &instance)
    {
        m_turnedAway.insert(instance.name);
        (m_order == TurningOrder::refused ? instance.reachesStore : instance.isStoreSilent) = m_order != TurningOrder::refused;
    }

    /** @returns whether the store is silent to a caller from now on. */
    bool takesCaller(const ModelInstance &instance)
    {
        const bool isOrderOfCalls = m_order != TurningOrder::random && m_order != TurningOrder::byDataCentre;
        const bool isServedOnce = m_order == TurningOrder::onceServed && m_served.insert(instance.name).second;
        if (!isOrderOfCalls || isServedOnce || m_turnedAway.contains(instance.name) || m_turnedAway.size() >= m_most) {
            return false;
        }
        turnAway(m_fleet.instances[static_cast<std::size_t>(&instance - m_fleet.instances.data())]);
        return m_order != TurningOrder::refused;
    }

    CookieFleetModel &m_fleet;
    TurningOrder m_order;
    std::size_t m_most;
    std::set<std::string> m_turnedAway;
    std::set<std::string> m_served;
};

/** @returns a table of one instance that has heard from all others. */
PeerTable tableOf(const std::vector<PeerDescriptor> &fleet, std::size_t self, const std::function<bool(std::size_t)> &isEarlierRelease,
                  SteadyTime now)
{
    PeerTable table(fleet[self]);
    for (std::size_t index = 0; index < fleet.size(); ++index) {
        PeerReport report;
        report.sender = fleet[index];
        report.sequenceNumber = 1;
        report.phase = PeerPhase::serving;
        report.reachesStore = true;
        report.ranksAcrossDataCentres = !isEarlierRelease(index);
        table.merge(report, now);
    }
    return table;
}

std::vector<PeerDescriptor> descriptorsOf(const std::vector<std::pair<std::string, int>> &dataCentres)
{
    std::vector<PeerDescriptor> fleet;
    for (const auto &[dataCentre, count] : dataCentres) {
        for (int index = 1; index <= count; ++index) {
            auto &descriptor = fleet.emplace_back();
            descriptor.name = "frontend-" + dataCentre + "-" + std::to_string(index);
            descriptor.incarnation = 1;
            descriptor.dataCentre = dataCentre;
            descriptor.reportEndpoint.port = static_cast<std::uint16_t>(fleet.size());
        }
    }
    return fleet;
}

const std::vector<std::vector<std::pair<std::string, int>>> deployments {
    {{"fenmarsh-a", 3}, {"fenmarsh-b", 2}, {"fenmarsh-c", 2}},
    {{"kurume", 18}, {"tosu", 20}, {"fukuoka-dc", 15}, {"saga-yard", 15}},
    {{"mid-a", 9}, {"mid-b", 9}, {"mid-c", 9}},
    {{"north", 40}, {"south", 1}},
    {{"one", 1}, {"two", 30}, {"three", 2}, {"four", 1}, {"five", 12}, {"six", 3}},
};

} // namespace

/** Guards against watchers that are all in one data centre, because their names are alike: each of them loses the store with it. */
BOOST_AUTO_TEST_CASE(theWatchersAreInDifferentDataCentres)
{
    const SteadyTime now {1h};
    for (const auto &deployment : deployments) {
        const auto fleet = descriptorsOf(deployment);
        std::vector<std::string> watching;
        std::map<std::size_t, std::string> byRank;
        for (std::size_t self = 0; self < fleet.size(); ++self) {
            const auto table = tableOf(
                fleet, self, [](std::size_t) { return false; }, now);
            byRank[table.rankForStoreQuery(now).index] = fleet[self].dataCentre;
            if (table.shouldWatchStore(true, storeWatcherCount, now)) {
                watching.push_back(fleet[self].dataCentre);
            }
        }
        BOOST_TEST(byRank.size() == fleet.size());
        BOOST_TEST(watching.size() == storeWatcherCount);
        BOOST_TEST(watching.front() != watching.back());
        std::set<std::string> first;
        for (std::size_t rank = 0; rank < deployment.size(); ++rank) {
            first.insert(byRank[rank]);
        }
        BOOST_TEST(first.size() == deployment.size());
    }
}

/** Guards against a fleet in which nobody watches while instances of the last release, which rank by name only, run beside new ones. */
BOOST_AUTO_TEST_CASE(instancesOfTwoReleasesLeaveNoGapInTheWatch)
{
    const SteadyTime now {1h};
    for (const auto &deployment : deployments) {
        const auto fleet = descriptorsOf(deployment);
        for (std::uint64_t seed = 1; seed <= 20; ++seed) {
            std::mt19937_64 random(seed);
            std::vector<bool> isEarlier;
            for (std::size_t index = 0; index < fleet.size(); ++index) {
                isEarlier.push_back(random() % 4 < seed % 4);
            }
            auto byName = fleet;
            std::sort(byName.begin(), byName.end(), [](const auto &a, const auto &b) { return rankKey(a.name) < rankKey(b.name); });
            std::size_t watchers = 0;
            const auto newOnes = std::count(isEarlier.begin(), isEarlier.end(), false);
            std::set<std::string> dataCentresOfNewOnes;
            std::set<std::string> watchingByTurns;
            for (std::size_t self = 0; self < fleet.size(); ++self) {
                if (isEarlier[self]) {
                    continue;
                }
                dataCentresOfNewOnes.insert(fleet[self].dataCentre);
                const auto table = tableOf(
                    fleet, self, [&isEarlier](std::size_t index) { return isEarlier[index]; }, now);
                const bool isFirstByName = fleet[self].name == byName[0].name || fleet[self].name == byName[1].name;
                const bool isWatching = table.shouldWatchStore(true, storeWatcherCount, now);
                watchers += isWatching ? 1 : 0;
                const bool isMixed = newOnes < static_cast<std::ptrdiff_t>(fleet.size());
                BOOST_TEST((!isMixed || !isFirstByName || isWatching)); // instances of the last release rely on it
                if (isWatching) {
                    watchingByTurns.insert(fleet[self].dataCentre);
                }
            }
            BOOST_TEST(watchers >= std::min<std::size_t>(storeWatcherCount, static_cast<std::size_t>(newOnes)));
            BOOST_TEST(watchers <= 2 * storeWatcherCount);
            BOOST_TEST(watchingByTurns.size() >= std::min<std::size_t>(storeWatcherCount, dataCentresOfNewOnes.size()));
        }
    }
}

/** Guards against changes that come late to all data centres while the store turns away one of them. */
BOOST_AUTO_TEST_CASE(aDataCentreWithoutTheStoreDelaysNoChangeElsewhere)
{
    for (const auto &sizes : std::vector<std::vector<int>> {{9, 9, 9}, {3, 2, 2}, {16, 2, 1}, {4, 12}}) {
        for (std::size_t away = 0; away < sizes.size(); ++away) {
            for (const std::uint64_t seed : {1, 2, 3}) {
                auto settings = namedByDataCentre(sizes, seed);
                auto fleet = warmFleet(settings);
                turnAway(*fleet, {settings.dataCentres[away]});
                fleet->run(20ms);
                BOOST_TEST(timeToLearnOfADrain(*fleet, boundOfLargeFleets).count() < drainBoundOfSmallFleets.count());
                checkSafety(fleet->takeCounts());
            }
        }
    }
}

/** Guards against the same with the watchers that remain killed in that moment. */
BOOST_AUTO_TEST_CASE(watchersThatAreKilledBesideAnOutageAreReplacedInTime)
{
    for (const std::uint64_t seed : {1, 2, 3, 4, 5}) {
        auto settings = namedByDataCentre({9, 9, 9}, seed);
        auto fleet = warmFleet(settings);
        const auto &away = settings.dataCentres[seed % 3];
        turnAway(*fleet, {away});
        for (std::size_t index = 0; index < fleet->instances.size(); ++index) {
            if (!fleet->instances[index].isStoreSilent && fleet->instances[index].decisions->shouldQueryStore()) {
                fleet->stopInstance(index);
            }
        }
        fleet->run(20ms);
        BOOST_TEST(timeToLearnOfADrain(*fleet, 2 * boundOfLargeFleets).count() < boundOfLargeFleets.count());
    }
}

/** Guards against a watch that tries one data centre after the other while only one is in touch with the store. */
BOOST_AUTO_TEST_CASE(theOnlyDataCentreInTouchWithTheStoreLearnsOfChangesInTime)
{
    for (const auto &sizes : std::vector<std::vector<int>> {{9, 9, 9}, {6, 5, 4, 3, 2}, {12, 12, 2}}) {
        for (std::size_t inTouch = 0; inTouch < sizes.size(); ++inTouch) {
            auto settings = namedByDataCentre(sizes, inTouch + 1);
            auto fleet = warmFleet(settings);
            auto others = settings.dataCentres;
            others.erase(others.begin() + static_cast<std::ptrdiff_t>(inTouch));
            turnAway(*fleet, others);
            fleet->run(20ms);
            BOOST_TEST(timeToLearnOfADrain(*fleet, 2 * boundOfLargeFleets).count() < boundOfLargeFleets.count());
        }
    }
}

/** Guards against openings at draining upstreams (DRAIN) and at the services of earlier configurations (CONFIG) while the store turns away
    whoever calls it, up to the largest share of the fleet, and lets the others go on with what they know (review/12). */
BOOST_AUTO_TEST_CASE(changesComeInTimeWhoeverTheStoreTurnsAway)
{
    for (const auto &sizes : fleetSizes) {
        for (const std::uint64_t seed : {1, 2, 3}) {
            auto settings = namedByDataCentre(sizes, seed);
            auto fleet = warmFleet(settings);
            fleet->run(seed * 170ms); // at another time since the store was last asked
            TurningStore store(*fleet);
            Milliseconds latest {0};
            const auto bound = changeBoundOf(*fleet);
            for (int change = 0; change < 3; ++change) { // who asks after those that were turned away is put to the test as well
                latest = std::max({latest, timeToLearnOfADrain(*fleet, 2 * bound), timeToLearnOfARoute(*fleet, 2 * bound)});
            }
            BOOST_TEST_MESSAGE(fleet->instances.size()
                               << " instances, " << store.turnedAway() << " turned away: changes known after " << latest.count() << " ms");
            BOOST_TEST(latest.count() < bound.count());
            auto counts = fleet->takeCounts();
            if (bound > drainBoundOfSmallFleets) {
                counts.placedOnDraining = 0; // counted by the shorter bound
            }
            checkSafety(counts);
        }
    }
}

/** Guards against a bound that holds for one order only in which the store turns instances away. */
BOOST_AUTO_TEST_CASE(changesComeInTimeInWhicheverOrderTheStoreTurnsInstancesAway)
{
    for (const auto order : {TurningOrder::onceServed, TurningOrder::random, TurningOrder::byDataCentre, TurningOrder::refused}) {
        for (const auto &sizes : fleetSizes) {
            auto settings = namedByDataCentre(sizes, 4);
            auto fleet = warmFleet(settings);
            TurningStore store(*fleet, order);
            const auto bound = changeBoundOf(*fleet);
            Milliseconds latest {0};
            for (int change = 0; change < 3; ++change) {
                latest = std::max({latest, timeToLearnOfADrain(*fleet, 2 * bound), timeToLearnOfARoute(*fleet, 2 * bound)});
            }
            BOOST_TEST_MESSAGE(fleet->instances.size()
                               << " instances, order " << static_cast<int>(order) << ": " << latest.count() << " ms");
            BOOST_TEST(latest.count() < bound.count());
        }
    }
}

/** Guards against an instance that is cut off from its peers, but not from the store, and waits for them to ask. */
BOOST_AUTO_TEST_CASE(anInstanceThatHearsNobodyAsksTheStoreItself)
{
    for (const std::uint64_t seed : {1, 2, 3}) {
        auto fleet = warmFleet(namedByDataCentre({16, 16, 16}, seed));
        const auto rankOf = [](const ModelInstance &instance) {
            const auto &state = instance.decisions->state();
            return state.peers.rankForStoreQuery(state.now).index;
        };
        auto &instances = fleet->instances;
        const auto alone = std::max_element(instances.begin(), instances.end(),
                                            [&rankOf](const auto &a, const auto &b) { return rankOf(a) < rankOf(b); });
        alone->hearsPeers = false;
        fleet->run(1s);
        BOOST_TEST(timeToLearnOfADrain(*fleet, 2 * boundOfLargeFleets).count() < drainBoundOfSmallFleets.count());
    }
}

/** Guards against orders to empty a data centre that come late whoever the store turns away. */
BOOST_AUTO_TEST_CASE(ordersComeInTimeWhoeverTheStoreTurnsAway)
{
    for (const auto &sizes : std::vector<std::vector<int>> {{3, 2, 2}, {16, 16, 16}, {65, 65, 65}}) {
        auto settings = namedByDataCentre(sizes, 5);
        settings.appliesEvacuations = true;
        auto fleet = warmFleet(settings);
        TurningStore store(*fleet);
        const auto &evacuated = settings.dataCentres.back();
        fleet->order(evacuated);
        const auto passed = timeToLearn(
            *fleet, [&evacuated](const CookieState &state) { return state.evacuations.isInForce(evacuated); }, 2 * boundOfLargeFleets);
        BOOST_TEST_MESSAGE(fleet->instances.size() << " instances: an order is known after " << passed.count() << " ms");
        BOOST_TEST(passed.count() < boundOfLargeFleets.count());
    }
}

/** Guards against a fleet that presses on a store which is silent to all: only a few instances ask at a time, however many there are. */
BOOST_AUTO_TEST_CASE(aSilentStoreIsAskedByAFewInstancesOfEachDataCentre)
{
    const auto callsOf = [](int instances) {
        auto settings = namedByDataCentre({instances, instances, instances}, 1);
        auto fleet = warmFleet(settings);
        turnAway(*fleet, settings.dataCentres);
        const int before = totalStoreCalls(*fleet);
        fleet->run(9s);
        return totalStoreCalls(*fleet) - before;
    };
    const int small = callsOf(4);
    const int large = callsOf(24);
    BOOST_TEST_MESSAGE("calls in 9 s: " << small << " by 12 instances, " << large << " by 72");
    BOOST_TEST(large <= 2 * small);
}
