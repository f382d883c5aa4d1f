#include "sapphirespan_report/sapphirespan_report.h"

#include <boost/test/unit_test.hpp>

using namespace sapphirespan;

BOOST_AUTO_TEST_CASE(accountsAddUpOnlyWhenEachPacketHasOneFate)
{
    DecisionAccounts accounts;
    accounts.fromFabric = 3;
    accounts.fromPeers = 1;
    accounts.forwarded = 2;
    accounts.relayed = 1;
    BOOST_TEST(!accounts.addUp());
    ++accounts.dropped[static_cast<std::size_t>(DropReason::hopLimit)];
    BOOST_TEST(accounts.addUp());
}

namespace {
BurnSample sampleOf(const std::string &instance, int second, std::uint64_t good, std::uint64_t bad)
{
    return {"desk", instance, WallTime(std::chrono::seconds(second)), good, bad};
}
} // namespace

BOOST_AUTO_TEST_CASE(burnComparesBadEventsWithTheBudget)
{
    using namespace std::chrono_literals;
    const auto burn
        = computeBurn("desk", 0.99, 60s, 3600s, {sampleOf("a", 0, 0, 0), sampleOf("a", 1000, 9900, 100), sampleOf("a", 1010, 9998, 102)});
    BOOST_TEST(burn.longWindow.good == 9998U);
    BOOST_TEST(burn.longWindow.bad == 102U);
    BOOST_TEST(burn.shortWindow.bad == 2U);
    BOOST_TEST(burn.shortWindow.burnRate == 2.0, boost::test_tools::tolerance(1e-9));
    BOOST_TEST((burn.shortWindow.covered == 10s));
}

BOOST_AUTO_TEST_CASE(aRestartedInstanceCountsOn)
{
    using namespace std::chrono_literals;
    const auto burn
        = computeBurn("desk", 0.9, 60s, 3600s, {sampleOf("a", 0, 100, 10), sampleOf("a", 10, 110, 10), sampleOf("a", 20, 5, 1)});
    BOOST_TEST(burn.longWindow.good == 15U);
    BOOST_TEST(burn.longWindow.bad == 1U);
}

BOOST_AUTO_TEST_CASE(nothingSeenIsNotShownAsGood)
{
    using namespace std::chrono_literals;
    const auto burn = computeBurn("desk", 0.9, 60s, 3600s, {sampleOf("a", 0, 100, 10)});
    BOOST_TEST((burn.longWindow.covered == 0s));
    BOOST_TEST(burnPage({burn}, {"instance <b> not heard"}).find("&lt;b>") != std::string::npos);
}

BOOST_AUTO_TEST_CASE(histogramsAreCumulative)
{
    DurationHistogram histogram;
    histogram.record(Microseconds(5));
    histogram.record(Microseconds(50));
    histogram.record(std::chrono::minutes(1));
    const auto text = histogram.prometheusText("x_seconds", "help");
    BOOST_TEST(text.find("_bucket{le=\"+Inf\"} 3") != std::string::npos);
    BOOST_TEST(text.find("x_seconds_count 3") != std::string::npos);
}

BOOST_AUTO_TEST_CASE(aLogBudgetBoundsEachKindAndCountsTheRest)
{
    LogBudget budget(2, 3);
    const SteadyTime now(std::chrono::hours(1));
    int written = 0;
    for (int line = 0; line < 10; ++line) {
        written += budget.allows(0, now) ? 1 : 0;
    }
    BOOST_TEST(written == 3);
    BOOST_TEST(budget.allows(1, now));
    BOOST_TEST(budget.allows(0, now + std::chrono::seconds(1)));
    BOOST_TEST(budget.takeLeftOut() == (std::vector<std::uint64_t> {7, 0}), boost::test_tools::per_element());
    BOOST_TEST(budget.takeLeftOut() == (std::vector<std::uint64_t> {0, 0}), boost::test_tools::per_element());
}
