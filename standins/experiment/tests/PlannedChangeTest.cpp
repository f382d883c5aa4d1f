/** @file
    Planned changes, alone and in pairs, at today's sizes: no open flow may break, and nothing may be misdelivered.
*/
#include "Scenarios.h"

#include <boost/test/unit_test.hpp>

using namespace sapphirespan;
using namespace std::chrono_literals;

namespace {

// No rolling restart in pairs: it is long, and the random runs leave and join all the time.
constexpr std::array<Change, 10> plannedChanges {
    Change::none,        Change::upstreamDrain, Change::upstreamRemoval, Change::upstreamAddition, Change::weightChange,
    Change::shareChange, Change::instanceJoin,  Change::instanceLeave,   Change::rollingRestart,   Change::upstreamShedding,
};

ModelSettings settingsOf(const std::string &deployment, std::uint64_t seed)
{
    auto settings = *deploymentSettings(deployment);
    settings.seed = seed;
    settings.warmUp = 15s;
    return settings;
}

void checkNothingBroke(const ModelCounts &counts, const std::string &what)
{
    BOOST_TEST_CONTEXT(what)
    {
        for (const auto &detail : counts.breachDetails) {
            BOOST_TEST_MESSAGE(detail);
        }
        BOOST_TEST(counts.flowsOpened > 4000U);
        BOOST_TEST(counts.broken() == 0U);
        BOOST_TEST(counts.misdelivered == 0U);
        BOOST_TEST(counts.untrueRefusals == 0U);
        BOOST_TEST(counts.invariantBreaches == 0U);
        BOOST_TEST(counts.lateToDraining == 0U);
        BOOST_TEST(counts.unsettled == 0U);
    }
}

} // namespace

BOOST_AUTO_TEST_CASE(eachPlannedChangeAlone)
{
    for (const std::string deployment : {"brookshell", "hinoki"}) {
        for (const auto change : plannedChanges) {
            const std::uint64_t seed = 11;
            const auto what = deployment + " " + std::string(nameOf(change)) + " seed " + std::to_string(seed);
            checkNothingBroke(runThroughChanges(settingsOf(deployment, seed), {change}, 20s), what);
        }
    }
}

BOOST_AUTO_TEST_CASE(plannedChangesInPairs)
{
    for (std::size_t first = 1; first < plannedChanges.size(); ++first) {
        for (std::size_t second = first + 1; second < plannedChanges.size(); ++second) {
            if (plannedChanges[first] == Change::rollingRestart || plannedChanges[second] == Change::rollingRestart) {
                continue;
            }
            const std::string deployment = (first + second) % 2 == 0 ? "brookshell" : "hinoki";
            const std::uint64_t seed = 100 + 10 * first + second;
            const std::vector<Change> changes {plannedChanges[first], plannedChanges[second]};
            const auto what = deployment + " " + std::string(nameOf(changes[0])) + "," + std::string(nameOf(changes[1])) + " seed "
                + std::to_string(seed);
            checkNothingBroke(runThroughChanges(settingsOf(deployment, seed), changes, 15s), what);
        }
    }
}

BOOST_AUTO_TEST_CASE(randomPlannedChangesOverBadLinks)
{
    for (const std::uint64_t seed : {1, 107, 109, 205}) {
        auto settings = settingsOf(seed < 200 ? "brookshell" : "hinoki", seed);
        settings.links = {0.02, 0.02, 3ms};
        checkNothingBroke(runRandomly(settings, 30, false), "random planned changes, seed " + std::to_string(seed));
    }
}

BOOST_AUTO_TEST_CASE(defaultsMoveOnWithoutBreakingFlows)
{
    for (const std::string deployment : {"brookshell", "hinoki"}) {
        const std::uint64_t seed = 51;
        auto settings = settingsOf(deployment, seed);
        for (auto &service : settings.services) {
            service.traffic.idleTimeout = 20s;
            service.traffic.drainLimit = 20s;
        }
        FleetModel model(settings);
        model.warmUp();
        for (int round = 0; round < 3; ++round) {
            model.addUpstream(0);
            model.runFor(25s); // longer than the idle time, so that the next change moves the defaults
            model.leave(static_cast<std::size_t>(round));
            model.runFor(8s);
            model.restart(static_cast<std::size_t>(round));
        }
        model.runFor(20s);
        checkNothingBroke(model.counts(), deployment + " moving defaults, seed " + std::to_string(seed));
    }
}
