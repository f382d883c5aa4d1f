/** @file
    Log lines about failed connection attempts to upstreams.
*/
#include "ProbeLog.h"

#include "sapphirespan_base/time/ManualClock.h"

#include <boost/test/unit_test.hpp>

#include <cerrno>
#include <cstring>

using namespace sapphirespan;
using namespace std::chrono_literals;

namespace {

ConnectionResult refusedAfter(Microseconds duration)
{
    return {ConnectionOutcome::refused, ECONNREFUSED, duration};
}

} // namespace

/** Guards against lines on refused attempts that cannot tell a listener that ended from one that never was. */
BOOST_AUTO_TEST_CASE(aFailedAttemptTellsHowEarlierOnesWereAnswered)
{
    ManualClock clock;
    ProbeLog log;
    const ProbeRequest request {7, {*IpAddress::parse("10.0.0.1"), 8080}, clock.steadyNow(), ProbePurpose::upstream};
    auto members = log.record(request, refusedAfter(312us), true, clock.steadyNow());
    BOOST_REQUIRE(members.has_value());
    BOOST_TEST((*members)["address"].asString() == "10.0.0.1:8080");
    BOOST_TEST((*members)["purpose"].asString() == "upstream");
    BOOST_TEST((*members)["result"].asString() == "refused");
    BOOST_TEST((*members)["error"].asString() == std::strerror(ECONNREFUSED));
    BOOST_TEST((*members)["took_us"].asInt() == 312);
    BOOST_TEST((*members)["last_connected"].asString() == "never");
    BOOST_TEST((*members)["last_refused"].asString() == "never");
    clock.advance(500ms);
    BOOST_TEST(!log.record(request, {ConnectionOutcome::connected, 0, 200us}, true, clock.steadyNow()).has_value());
    clock.advance(1500ms);
    members = log.record(request, {ConnectionOutcome::silent, 0, 60ms}, true, clock.steadyNow());
    BOOST_REQUIRE(members.has_value());
    BOOST_TEST((*members)["error"].asString() == "none");
    BOOST_TEST((*members)["last_connected"].asString() == "1500 ms ago");
    BOOST_TEST((*members)["last_refused"].asString() == "2000 ms ago");
    log.forgetUnknown({});
    clock.advance(1s);
    members = log.record(request, refusedAfter(1us), true, clock.steadyNow());
    BOOST_REQUIRE(members.has_value());
    BOOST_TEST((*members)["last_connected"].asString() == "never");
}

/** Guards against a line for each attempt while many fail, and against lines on attempts that served their purpose. */
BOOST_AUTO_TEST_CASE(linesOnFailedAttemptsAreBounded)
{
    ManualClock clock;
    ProbeLog log;
    const auto linesOf = [&](ProbePurpose purpose, const ConnectionResult &result, bool isBounded) {
        int lines = 0;
        for (FlowCookie cookie = 1; cookie <= 100; ++cookie) {
            const ProbeRequest request {cookie, {*IpAddress::parse("10.0.0.1"), 8080}, clock.steadyNow(), purpose};
            lines += log.record(request, result, isBounded, clock.steadyNow()) ? 1 : 0;
        }
        return lines;
    };
    const int written = linesOf(ProbePurpose::upstream, refusedAfter(1us), true);
    BOOST_TEST(written > 0);
    BOOST_TEST(written <= 5);
    BOOST_TEST(log.takeLeftOut() == static_cast<std::uint64_t>(100 - written));
    BOOST_TEST(linesOf(ProbePurpose::upstream, refusedAfter(1us), false) == 100);
    BOOST_TEST(linesOf(ProbePurpose::selfCheck, refusedAfter(1us), false) == 0);
    BOOST_TEST(linesOf(ProbePurpose::upstream, {ConnectionOutcome::notMade, EMFILE, 1us}, false) == 0);
    BOOST_TEST(log.takeLeftOut() == 0U);
}
