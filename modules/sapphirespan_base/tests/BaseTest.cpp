#include "sapphirespan_base/sapphirespan_base.h"

#include <boost/test/unit_test.hpp>

#include <ctime>

using namespace sapphirespan;

BOOST_AUTO_TEST_CASE(endpointsAreReadAndWritten)
{
    for (const std::string text : {"10.1.2.3:80", "[fd00::1]:443"}) {
        const auto endpoint = Endpoint::parse(text);
        BOOST_REQUIRE(endpoint);
        BOOST_TEST(endpoint->toText() == text);
    }
    for (const std::string text : {"host:80", "10.1.2.3", "10.1.2.3:0", "10.1.2.3:70000", "fd00::1:80", "10.1.2.3:8a"}) {
        BOOST_TEST(!Endpoint::parse(text).has_value(), text);
    }
}

/** What follows a NUL was ignored. */
BOOST_AUTO_TEST_CASE(anAddressWithANulIsNone)
{
    using namespace std::string_literals;
    for (const auto &text : {"10.1.2.3\0x:80"s, "10.1.2.3\0:80"s, "[fd00::1\0]:443"s, "10.1.2.3:80\0"s}) {
        BOOST_TEST(!Endpoint::parse(text).has_value());
    }
    BOOST_TEST(!IpAddress::parse("10.1.2.3\0"s).has_value());
}

BOOST_AUTO_TEST_CASE(findingsAreSortedByPlace)
{
    FindingList findings;
    findings.add({"b.yaml", 1, 1}, "x", "y");
    findings.add({"a.yaml", 9, 2}, "a number", "'z'");
    const auto sorted = findings.sorted();
    BOOST_REQUIRE(sorted.size() == 2);
    BOOST_TEST(toText(sorted[0]) == "a.yaml:9:2: expected a number, found 'z'");
}

BOOST_AUTO_TEST_CASE(brokenInvariantsAreCountedAndAnnounced)
{
    InvariantLog log;
    std::string heard;
    log.signalBreach.connect(
        [&heard](Invariant invariant, const std::string &detail) { heard = std::string(nameOf(invariant)) + " " + detail; });
    log.check(true, Invariant::flowPlacedOnce, [] { return std::string("unused"); });
    log.check(false, Invariant::flowPlacedOnce, [] { return std::string("detail"); });
    BOOST_TEST(log.totalBreaches() == 1U);
    BOOST_TEST(heard == "flow_placed_once detail");
}

/** Guards against ages that are too low after a suspension of the machine, which CLOCK_MONOTONIC does not count. */
BOOST_AUTO_TEST_CASE(theSteadyClockCountsSuspensions)
{
    const auto bootTime = [] {
        timespec now {};
        ::clock_gettime(CLOCK_BOOTTIME, &now);
        return SteadyTime(std::chrono::seconds(now.tv_sec) + std::chrono::microseconds(now.tv_nsec / 1000));
    };
    const auto before = bootTime();
    const auto now = SystemClock().steadyNow();
    BOOST_TEST((before <= now && now <= bootTime()));
}
