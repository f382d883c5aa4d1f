/** @file
    Open flows of upstreams whose hosts alone leave all connection attempts unanswered, on the model of a fleet. See KNOWN-RED.txt.
*/
#include "model/FleetChecks.h"

using namespace sapphirespan;
using namespace sapphirespan::model;
using namespace std::chrono_literals;

/** Guards against resets of open flows by a host that, unlike others, drops attempts to the upstream's port and to that for probes of
    hosts, while the upstream lives and reads late. */
BOOST_AUTO_TEST_CASE(aHostThatDropsAllAttemptsKeepsItsFlows)
{
    auto settings = withSeed(1);
    settings.kinds[0].deadline = 6s;
    auto fleet = warmFleet(settings);
    for (std::size_t index = 0; index < fleet->upstreams.size(); index += 3) {
        fleet->upstreams[index].isProbeSilent = true;
        fleet->upstreams[index].isHostSilent = true;
        fleet->stopReading(index);
        fleet->run(900ms);
        fleet->readAll(index);
        fleet->run(400ms);
    }
    checkSafety(fleet->takeCounts());
}
