/** @file
    Imbalance while the load reports of one upstream are 5 s old and do not say so.
*/
#include "Scenarios.h"

#include <boost/test/unit_test.hpp>

using namespace sapphirespan;
using namespace std::chrono_literals;

BOOST_AUTO_TEST_CASE(aLateReportDoesNotUnbalance)
{
    for (const std::string deployment : {"brookshell", "hinoki"}) {
        for (const std::uint64_t seed : {1, 2}) {
            auto settings = *deploymentSettings(deployment);
            settings.seed = seed;
            for (auto &service : settings.services) {
                service.slowReportLag = 5s;
            }
            const auto counts = runThroughChanges(settings, {Change::none}, 60s);
            BOOST_TEST_CONTEXT(deployment << " seed " << seed)
            {
                BOOST_TEST(counts.worstImbalance <= (deployment == "hinoki" ? 1.05 : 1.15));
            }
        }
    }
}
