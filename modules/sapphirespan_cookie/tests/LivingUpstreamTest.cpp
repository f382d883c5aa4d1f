/** @file
    Open flows of upstreams that live, while their ports refuse connections or leave them unanswered, on the model of a fleet.
*/
#include "model/FleetChecks.h"

using namespace sapphirespan;
using namespace sapphirespan::model;
using namespace std::chrono_literals;

namespace {

/** Instances in each of three data centres: a fleet in which each reports to all, and one in which quorums of peers decide. */
constexpr std::array<int, 2> fleetSizes {2, 5};

/** Flows that outlive a stall: their clients wait longer than it lasts. */
std::unique_ptr<CookieFleetModel> patientFleet(std::uint64_t seed, int instancesPerDataCentre)
{
    auto settings = withSeed(seed);
    settings.instancesPerDataCentre = instancesPerDataCentre;
    settings.kinds[0].deadline = 6s;
    return warmFleet(settings);
}

/** Lets one upstream after the other read nothing for a while. */
void letThemReadLate(CookieFleetModel &fleet, Milliseconds time)
{
    for (std::size_t index = 0; index < fleet.upstreams.size(); ++index) {
        fleet.stopReading(index);
        fleet.run(time);
        fleet.readAll(index);
        fleet.run(400ms);
    }
}

} // namespace

/** Guards against resets of open flows because an upstream on which nothing listens for connections reads its packets late. */
BOOST_AUTO_TEST_CASE(anUpstreamThatRefusesConnectionsAndReadsLateKeepsItsFlows)
{
    for (const int size : fleetSizes) {
        for (const auto time : {900ms, 2500ms}) {
            auto fleet = patientFleet(1, size);
            for (auto &upstream : fleet->upstreams) {
                upstream.isProbeRefused = true;
            }
            letThemReadLate(*fleet, time);
            checkSafety(fleet->takeCounts());
        }
    }
}

/** Guards against the same where the upstream accepted connections until a moment before. */
BOOST_AUTO_TEST_CASE(anUpstreamWhoseListenerEndsAndThatReadsLateKeepsItsFlows)
{
    for (const int size : fleetSizes) {
        auto fleet = patientFleet(2, size);
        for (std::size_t index = 0; index < fleet->upstreams.size(); ++index) {
            fleet->upstreams[index].isProbeRefused = true;
            fleet->stopReading(index);
            fleet->run(900ms);
            fleet->readAll(index);
            fleet->run(400ms);
        }
        checkSafety(fleet->takeCounts());
    }
}

/** Guards against resets of open flows because an upstream's queue of new connections is full while it reads late. */
BOOST_AUTO_TEST_CASE(anUpstreamWithAFullConnectionQueueThatReadsLateKeepsItsFlows)
{
    for (const int size : fleetSizes) {
        auto fleet = patientFleet(3, size);
        for (std::size_t index = 0; index < fleet->upstreams.size(); index += 3) {
            fleet->upstreams[index].isProbeSilent = true;
        }
        letThemReadLate(*fleet, 900ms);
        checkSafety(fleet->takeCounts());
    }
}

/** Guards against resets of open flows because upstreams on which nothing listens get slow all at once. */
BOOST_AUTO_TEST_CASE(slowUpstreamsThatRefuseConnectionsKeepTheirFlows)
{
    for (const int size : fleetSizes) {
        auto fleet = patientFleet(4, size);
        for (int round = 0; round < 4; ++round) {
            for (auto &upstream : fleet->upstreams) {
                upstream.isProbeRefused = true;
                upstream.slowness = 20;
            }
            fleet->run(4s);
            for (auto &upstream : fleet->upstreams) {
                upstream.slowness = 1;
            }
            fleet->run(2s);
        }
        checkSafety(fleet->takeCounts());
    }
}

/** Guards against resets of open flows by a host that drops attempts to ports on which nothing listens: it says nothing about an
    upstream that goes on serving. */
BOOST_AUTO_TEST_CASE(upstreamsWhoseHostsNeverAnswerKeepTheirFlows)
{
    for (const int size : fleetSizes) {
        auto fleet = patientFleet(5, size);
        for (auto &upstream : fleet->upstreams) {
            upstream.isProbeSilent = true;
            upstream.isHostSilent = true;
        }
        letThemReadLate(*fleet, 900ms);
        checkSafety(fleet->takeCounts());
    }
}

/** Guards against resets of open flows because instances end together: their ports refuse connections as a cut that refuses does. */
BOOST_AUTO_TEST_CASE(upstreamsBesideEndedInstancesKeepTheirFlows)
{
    for (const int size : fleetSizes) {
        for (const std::uint64_t seed : {1, 2, 3, 4, 5}) {
            auto fleet = patientFleet(seed, size);
            const auto forEachInC = [&fleet](const auto &action) {
                for (std::size_t index = 0; index < fleet->upstreams.size(); ++index) {
                    if (fleet->upstreams[index].entry.dataCentre == "c") {
                        action(index);
                    }
                }
            };
            for (auto &upstream : fleet->upstreams) {
                upstream.isProbeRefused = true;
            }
            fleet->run(6s);
            for (std::size_t index = 0; index < fleet->instances.size(); ++index) {
                if (fleet->instances[index].dataCentre == "c") {
                    fleet->stopInstance(index);
                }
            }
            forEachInC([&fleet](std::size_t index) { fleet->stopReading(index); });
            fleet->run(1500ms);
            forEachInC([&fleet](std::size_t index) { fleet->readAll(index); });
            fleet->run(1s);
            checkSafety(fleet->takeCounts());
        }
    }
}

/** Guards against resets of open flows by one unanswered probe of the host, after the host has shown by refusing connections at the
    upstream's port that it is up: some hosts drop attempts to ports on which nothing listens. */
BOOST_AUTO_TEST_CASE(aHostThatDropsProbesBesideARefusingPortEndsNoFlow)
{
    for (const int size : fleetSizes) {
        for (const std::uint64_t seed : {1, 2, 3}) {
            auto fleet = patientFleet(seed, size);
            for (std::size_t index = 0; index < fleet->upstreams.size(); index += 3) {
                fleet->upstreams[index].isProbeRefused = true;
                fleet->upstreams[index].isHostSilent = true;
            }
            letThemReadLate(*fleet, 2500ms);
            checkSafety(fleet->takeCounts());
        }
    }
}

/** Guards against requests that go on failing behind a cut that refuses connections: flows there are left to their clients, but new ones
    go elsewhere, also when the cut comes a second time. */
BOOST_AUTO_TEST_CASE(newFlowsAvoidACutThatRefuses)
{
    for (const std::uint64_t seed : {1, 2, 3}) {
        auto settings = withSeed(seed);
        settings.kinds[0].isIdempotent = false;
        auto fleet = warmFleet(settings);
        fleet->doCutsRefuse = true;
        for (int cut = 0; cut < 2; ++cut) {
            fleet->isCut = [](const std::string &from, const std::string &to) { return (from == "c") != (to == "c"); };
            fleet->run(2s); // until each client has given up the flow that it had
            fleet->takeCounts();
            fleet->run(3s);
            const auto counts = fleet->takeCounts();
            checkSafety(counts);
            BOOST_TEST(counts.failed <= 0.01 * counts.asked);
            fleet->isCut = [](const std::string &, const std::string &) { return false; };
            fleet->run(8s);
            checkSafety(fleet->takeCounts());
        }
    }
}
