/** @file
    Open flows of upstreams that live, while probes of them or of their neighbours are left unanswered, on the model of a fleet.
    See KNOWN-RED.txt.
*/
#include "model/FleetChecks.h"

using namespace sapphirespan;
using namespace sapphirespan::model;
using namespace std::chrono_literals;

/** Guards against resets of open flows because an upstream's queue of new connections is full, so that it leaves probes unanswered. */
BOOST_AUTO_TEST_CASE(anUpstreamWithAFullConnectionQueueKeepsItsFlows)
{
    for (std::uint64_t seed = 1; seed <= 10; ++seed) {
        auto settings = withIdleFlows(seed);
        settings.kinds[0].work = 300ms;
        settings.kinds[0].deadline = 3s;
        settings.kinds[0].aim = 1s;
        auto fleet = warmFleet(settings);
        for (std::size_t index = 0; index < fleet->upstreams.size(); index += 4) {
            fleet->upstreams[index].isProbeSilent = true;
        }
        fleet->run(20s);
        checkSafety(fleet->takeCounts());
    }
}

/** Guards against resets of open flows because a sample of their upstream's data centre met only upstreams that are dark. */
BOOST_AUTO_TEST_CASE(theRestOfADataCentreThatIsPartlyDarkKeepsItsFlows)
{
    constexpr std::size_t perDataCentre = 8;
    constexpr std::size_t dark = 7;
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
        auto settings = withIdleFlows(seed);
        settings.upstreamsPerDataCentre = perDataCentre;
        auto fleet = warmFleet(settings);
        fleet->run(6s);
        for (std::size_t index = 0; index < perDataCentre; ++index) {
            fleet->drain(index); // so that clients there have flows elsewhere
        }
        fleet->run(12s);
        fleet->takeCounts();
        for (std::size_t index = 2 * perDataCentre; index < 2 * perDataCentre + dark; ++index) {
            fleet->upstreams[index].isDark = true;
        }
        fleet->run(10s);
        checkSafety(fleet->takeCounts());
    }
}
