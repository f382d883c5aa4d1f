/** @file
    Imbalance and control traffic at today's sizes, against the bounds that the users' target sets.
*/
#include "Scenarios.h"

#include <boost/test/unit_test.hpp>

using namespace sapphirespan;
using namespace std::chrono_literals;

namespace {

constexpr double evennessBound = 1.05;
constexpr double steadinessBound = 1.15;
constexpr double controlBound = 4096; ///< bytes a second an instance

ModelCounts steadyRun(const std::string &deployment, std::uint64_t seed, Milliseconds slowReportLag)
{
    auto settings = *deploymentSettings(deployment);
    settings.seed = seed;
    for (auto &service : settings.services) {
        service.slowReportLag = slowReportLag;
    }
    return runThroughChanges(settings, {Change::none}, 60s);
}

} // namespace

BOOST_AUTO_TEST_CASE(evennessKeepsConnectionsEven)
{
    for (const std::uint64_t seed : {1, 2, 3}) {
        const auto counts = steadyRun("hinoki", seed, 0s);
        BOOST_TEST_CONTEXT("hinoki seed " << seed)
        {
            BOOST_TEST(counts.worstImbalance <= evennessBound);
            BOOST_TEST(counts.slotImbalance <= evennessBound);
            BOOST_TEST(counts.controlBytesPerSecond <= controlBound);
        }
    }
}

BOOST_AUTO_TEST_CASE(steadinessKeepsConnectionsFairlyEven)
{
    for (const std::uint64_t seed : {1, 2, 3}) {
        const auto counts = steadyRun("brookshell", seed, 0s);
        BOOST_TEST_CONTEXT("brookshell seed " << seed)
        {
            BOOST_TEST(counts.worstImbalance <= steadinessBound);
            BOOST_TEST(counts.slotImbalance <= steadinessBound);
            BOOST_TEST(counts.controlBytesPerSecond <= controlBound);
        }
    }
}

BOOST_AUTO_TEST_CASE(controlStaysWithinItsBoundAtTwoThousandNewFlowsAnInstance)
{
    auto settings = *deploymentSettings("hinoki");
    settings.seed = 1;
    settings.instances = 9;
    settings.warmUp = 33s;
    for (auto &service : settings.services) {
        service.newPerSecond = 9000; // two services over nine instances
    }
    const auto counts = runThroughChanges(settings, {Change::none}, 8s);
    BOOST_TEST(counts.broken() == 0U);
    BOOST_TEST(counts.worstImbalance <= evennessBound);
    BOOST_TEST(counts.controlBytesPerSecond <= controlBound);
}
