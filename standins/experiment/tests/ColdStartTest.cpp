/** @file
    Imbalance after an upstream was added: it starts cold, and counts once its slow start is over.
*/
#include "Scenarios.h"

#include <boost/test/unit_test.hpp>

using namespace sapphirespan;
using namespace std::chrono_literals;

BOOST_AUTO_TEST_CASE(aColdUpstreamDoesNotUnbalance)
{
    for (const std::string deployment : {"brookshell", "hinoki"}) {
        for (const std::uint64_t seed : {1, 2}) {
            auto settings = *deploymentSettings(deployment);
            settings.seed = seed;
            const auto counts = runThroughChanges(settings, {Change::upstreamAddition}, 60s);
            BOOST_TEST_CONTEXT(deployment << " seed " << seed)
            {
                BOOST_TEST(counts.worstImbalance <= (deployment == "hinoki" ? 1.05 : 1.15));
            }
        }
    }
}
