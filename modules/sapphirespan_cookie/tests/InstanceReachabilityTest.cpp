/** @file
    What one instance concludes about upstreams and data centres, and when it resets their flows.
*/
#include "model/OneInstance.h"

#include "sapphirespan_cookie/systems/CookieJudgeSystem.h"
#include "sapphirespan_cookie/systems/CookieVerdictSystem.h"

#include <boost/test/unit_test.hpp>

#include <set>

using namespace sapphirespan;
using namespace sapphirespan::model;
using namespace std::chrono_literals;

namespace {

/** One instance in data centre a with two upstreams in b and two in a. */
struct OneInstance {
    ManualClock clock;
    ModelFormat format;
    std::unique_ptr<CookieState> state;
    std::vector<FlowCookie> inB;
    std::set<FlowCookie> silent;
    int probes = 0;

    OneInstance()
    {
        clock.advance(1h);
        CookieInstanceSettings settings;
        settings.name = "x";
        settings.dataCentre = "a";
        state = std::make_unique<CookieState>(settings, format, clock);
        state->now = clock.steadyNow();
        for (UpstreamId id = 1; id <= 2; ++id) {
            inB.push_back(listUpstream(*state, id, "b"));
        }
        listUpstream(*state, 3, "a");
        listUpstream(*state, 4, "a");
        startServing(*state);
    }

    void data(FlowCookie cookie, std::uint16_t port, std::uint32_t sequence, std::uint32_t acknowledged)
    {
        handleData(*state, cookie, port, sequence, acknowledged);
    }

    void run(Milliseconds time)
    {
        for (Milliseconds passed {0}; passed < time; passed += 50ms) {
            state->now += 50ms;
            state->upstreamsConfirmedAt = state->routesConfirmedAt = state->now;
            evaluateUpstreams(*state);
            state->outbox.clear();
            const auto requests = std::exchange(state->probeRequests, {});
            for (const bool isSilent : {false, true}) { // an answer comes before a deadline
                state->now += isSilent ? 40ms : 3ms;
                for (const auto &request : requests) {
                    if (silent.contains(request.cookie) == isSilent) {
                        ++probes;
                        handleProbeResult(*state, request, isSilent ? ProbeResult::silent : ProbeResult::connected);
                    }
                }
            }
            state->now -= 43ms;
            state->outbox.clear();
        }
    }
};

} // namespace

/** Guards against a data centre that stays unreachable after a cut, because packets of open flows had each of its upstreams probed
    by itself, and none was left to sample. */
BOOST_AUTO_TEST_CASE(aDataCentreIsSampledAgainAfterItsUpstreamsWereVerified)
{
    for (const bool isVerified : {false, true}) {
        OneInstance one;
        auto &state = *one.state;
        one.run(1s);
        one.silent = {one.inB.begin(), one.inB.end()};
        for (const auto cookie : one.inB) {
            auto &row = *state.upstreams.find(cookie);
            noteStall(row.evidence, false, state.now);
            noteStall(row.evidence, false, state.now);
            state.upstreamsToEvaluate.insert(cookie);
        }
        one.run(1s);
        BOOST_TEST((state.dataCentreEvidence["b"].state == Reachability::unreachable));
        std::uint16_t port = 2000;
        for (int round = 0; isVerified && round < 40; ++round) { // a packet every 100 ms, each of another flow that was not known here
            for (const auto cookie : one.inB) {
                one.data(cookie, port++, 100, 500);
            }
            one.run(100ms);
        }
        one.run(isVerified ? 0ms : 4s);
        one.probes = 0;
        one.run(10s);
        BOOST_TEST(one.probes < 60);
        one.silent.clear();
        one.run(20s);
        for (const auto cookie : one.inB) {
            BOOST_TEST((state.upstreams.find(cookie)->evidence.state == Reachability::reachable));
        }
        BOOST_TEST((state.dataCentreEvidence["b"].state == Reachability::reachable));
    }
}

/** Guards against a data centre that stays suspect after a quorum of peers, because each of its upstreams is probed by itself. */
BOOST_AUTO_TEST_CASE(aDataCentreWithNothingToSampleIsNotSuspectForEver)
{
    ManualClock clock;
    clock.advance(1h);
    ModelFormat format;
    CookieInstanceSettings settings;
    settings.name = "x";
    settings.dataCentre = "a";
    CookieState state(settings, format, clock);
    state.now = clock.steadyNow();
    listUpstream(state, 1, "b");
    listUpstream(state, 2, "b");
    for (auto &[cookie, row] : state.upstreams.rows()) {
        noteStall(row.evidence, false, state.now);
        updateReachability(row.evidence, state.now + 300ms);
        noteProbeResult(row.evidence, ProbeResult::refused, state.now + 310ms);
        BOOST_TEST((row.evidence.state == Reachability::unreachable));
        state.upstreamsToEvaluate.insert(cookie);
    }
    state.now += 2s;
    for (ProberId prober = 1; prober <= 3; ++prober) {
        Verdict verdict;
        verdict.subject.dataCentre = "b";
        verdict.prober = prober;
        verdict.proberDataCentre = "a";
        verdict.result = ProbeResult::silent;
        verdict.foundAt = state.now - 50ms;
        handlePeerVerdict(state, verdict);
    }
    state.probeRequests.clear();
    for (int step = 0; step < 1200; ++step) { // a minute; every probe would be answered
        state.now += 50ms;
        evaluateUpstreams(state);
        for (const auto &request : std::exchange(state.probeRequests, {})) {
            handleProbeResult(state, request, ProbeResult::connected);
        }
    }
    BOOST_TEST((state.dataCentreEvidence["b"].state == Reachability::reachable));
    for (const auto &[cookie, row] : state.upstreams.rows()) {
        BOOST_TEST((row.evidence.state == Reachability::reachable));
    }
}

/** Guards against resets by the verdict of one peer, when the own probe was refused and the flows do not stall. */
BOOST_AUTO_TEST_CASE(onePeersSilenceBesideARefusalEndsNoFlow)
{
    OneInstance one;
    auto &state = *one.state;
    const auto cookie = one.inB[0];
    one.data(cookie, 1000, 100, 500); // an open flow
    auto &row = *state.upstreams.find(cookie);
    noteOpening(row.evidence, state.now);
    state.upstreamsToEvaluate.insert(cookie);
    state.now += 100ms;
    updateReachability(row.evidence, state.now);
    handleProbeResult(state, {cookie, row.address, state.now, ProbePurpose::upstream}, ProbeResult::refused);
    BOOST_TEST((row.evidence.state == Reachability::unreachable));
    BOOST_TEST(state.counters.resetUpstreamUnreachable == 0U);
    state.now += 600ms;
    Verdict verdict;
    verdict.subject.upstream = cookie;
    verdict.prober = 7;
    verdict.proberDataCentre = "a";
    verdict.result = ProbeResult::silent;
    verdict.foundAt = state.now - 10ms;
    handlePeerVerdict(state, verdict);
    evaluateUpstreams(state);
    BOOST_TEST(state.counters.resetUpstreamUnreachable == 0U);
}

/** Guards against resets by a probe that began before a pause of the process and was missed because of it. */
BOOST_AUTO_TEST_CASE(aProbeFromBeforeAPauseIsNoFreshFailure)
{
    OneInstance one;
    auto &state = *one.state;
    const auto cookie = one.inB[0];
    auto &row = *state.upstreams.find(cookie);
    row.evidence.state = Reachability::unreachable; // found 2 s ago
    row.evidence.stateSince = row.evidence.lastFailureAt = state.now - 2s;
    row.evidence.lastHostSilenceAt = state.now - 2s;
    one.data(cookie, 1000, 100, 500); // verifies
    BOOST_TEST(state.probeRequests.size() >= 1U);
    const auto request = state.probeRequests.front();
    state.probeRequests.clear();
    state.lastAnsweredProbeStartedAt = state.lastAnsweredHostProbeStartedAt = state.now; // its self-check was answered
    state.now += 1s; // frozen; the upstream comes back meanwhile
    state.resumedAt = state.now;
    resetEvidence(row.evidence, state.now);
    handleProbeResult(state, request, ProbeResult::silent);
    BOOST_TEST(state.counters.resetUpstreamUnreachable == 0U);
}
