/** @file
    What one instance does with openings and flows while data centres are evacuated.
*/
#include "model/CookieFleetModelParts.h"
#include "model/OneInstance.h"

#include "sapphirespan_cookie/systems/CookieAdmissionSystem.h"
#include "sapphirespan_cookie/systems/CookieEvacuationSystem.h"
#include "sapphirespan_cookie/systems/CookieLocalityFigures.h"
#include "sapphirespan_cookie/systems/CookiePrioritySystem.h"

#include <boost/test/unit_test.hpp>

using namespace sapphirespan;
using namespace sapphirespan::model;
using namespace std::chrono_literals;

namespace {

/** An instance of data centre "a" with one upstream there and one in "b". */
struct Instance {
    ManualClock clock;
    ModelFormat format;
    CookieState state;
    FlowCookie inA = 0;
    FlowCookie inB = 0;
    std::vector<std::string> events;

    Instance()
        : state(settings(), format, clock)
    {
        inA = listUpstream(state, 1, "a");
        inB = listUpstream(state, 2, "b");
        startServing(state);
        state.signalEvent.connect(
            [this](const CookieEvent &event) { events.push_back(std::string(nameOf(event.kind)) + " " + std::string(event.detail)); });
        pass(slowStartTime);
        mergeStoreEvacuationList(state, {10, {}});
        events.clear();
    }

    static CookieInstanceSettings settings()
    {
        CookieInstanceSettings result;
        result.name = "entry-0";
        result.dataCentre = "a";
        result.appliesEvacuations = true;
        return result;
    }

    void evacuate(const std::vector<std::string> &dataCentres)
    {
        EvacuationList list {state.evacuations.revision() + 1, {}};
        for (const auto &name : dataCentres) {
            list.entries.push_back({name, list.revision, true});
        }
        mergeStoreEvacuationChanges(state, list);
    }

    /** @returns where an opening went: the cookie of its upstream, or 0 if it was rejected or dropped. */
    FlowCookie open(std::uint16_t port, std::uint32_t copy = 0)
    {
        ClientPacket packet;
        packet.ends = {{0x64400001, port}, {0xc6120001, 443}};
        packet.isOpening = true;
        packet.sequence = 5;
        packet.acknowledged = copy;
        auto bytes = bytesOf(packet);
        handleClientPacket(state, bytes);
        const auto &outputs = state.outbox.outputs();
        const bool isForwarded = !outputs.empty() && outputs.back().kind == CookieOutputKind::forward;
        const auto cookie = isForwarded ? format.decode(outputs.back().payload)->cookie : 0;
        state.outbox.clear();
        return cookie;
    }

    /** Lets time pass in which both upstreams make progress, ticks come in time and the store is heard. */
    void pass(Milliseconds time)
    {
        clock.advance(time);
        state.now = state.lastTickAt = clock.steadyNow();
        state.upstreamsConfirmedAt = state.routesConfirmedAt = state.now;
        for (auto &[cookie, row] : state.upstreams.rows()) {
            row.evidence.lastProgressAt = state.now;
        }
    }
};

} // namespace

BOOST_AUTO_TEST_SUITE(EvacuationTest)

/** An opening went home although home is being emptied. */
BOOST_AUTO_TEST_CASE(newFlowsGoElsewhereAndOpenOnesStay)
{
    Instance instance;
    BOOST_TEST(instance.open(1000) == instance.inA);
    instance.evacuate({"a"});
    BOOST_TEST(instance.open(1001) == instance.inB);
    handleData(instance.state, instance.inA, 1000, 6, 1);
    BOOST_TEST(instance.state.counters.forwarded == 3U);
    BOOST_TEST(instance.state.flows.at({{0x64400001, 1000}, {0xc6120001, 443}}).cookie == instance.inA);
}

/** A second copy opened a flow at an evacuated upstream when the first was lost. With nothing else left it is dropped, as a first opening
   is kept from there, and not rejected: the first copy may have opened the flow, and a reset would break it. */
BOOST_AUTO_TEST_CASE(aCopyOfAnOpeningLeavesAnEvacuatedUpstream)
{
    Instance instance;
    BOOST_TEST(instance.open(1000) == instance.inA);
    BOOST_TEST(instance.open(1001) == instance.inA);
    instance.evacuate({"a"});
    instance.pass(200ms);
    BOOST_TEST(instance.open(1000, 1) == instance.inB);
    instance.evacuate({"b"});
    const auto resets = instance.state.counters.resetEvacuated;
    BOOST_TEST(instance.open(1001, 1) == 0U);
    BOOST_TEST(instance.state.counters.resetEvacuated == resets);
    handleData(instance.state, instance.inA, 1001, 6, 1); // the first copy did open it
    BOOST_TEST(instance.state.flows.at({{0x64400001, 1001}, {0xc6120001, 443}}).cookie == instance.inA);
    instance.pass(1900ms); // an instance knows only by then that it has little to read, so that a first opening cannot be late
    BOOST_TEST(instance.open(1002) == 0U);
    BOOST_TEST(instance.state.counters.resetEvacuated == 1U);
    BOOST_TEST(instance.events.back()
               == "opening_rejected all data centres with ready upstreams are evacuated: a, b; the list was confirmed 1900 ms ago");
}

/** Idle slots of an evacuated data centre hid that the others were overloaded, and drew flows by their low load. */
BOOST_AUTO_TEST_CASE(evacuatedUpstreamsDoNotCountForAdmission)
{
    Instance instance;
    instance.state.upstreams.find(instance.inA)->load.waitingRequests = 3;
    instance.state.upstreams.find(instance.inB)->load.waitingRequests = 1;
    admitRequest(instance.state, "orders", Route {{0xc6120001, 443}, {}, {}}, 0);
    BOOST_TEST(instance.state.serviceLoads["orders"].slots == 4);
    instance.evacuate({"b"});
    admitRequest(instance.state, "orders", Route {{0xc6120001, 443}, {}, {}}, 0);
    BOOST_TEST(instance.state.serviceLoads["orders"].slots == 2);
    BOOST_TEST(instance.state.serviceLoads["orders"].requestsInProgress == 3);
}

/** An evacuated data centre was reported to peers as having room, and drew their new flows. */
BOOST_AUTO_TEST_CASE(evacuatedUpstreamsAreNoRoomForOtherDataCentres)
{
    Instance instance;
    BOOST_TEST(usableUpstreams(instance.state, "orders").size() == 2U);
    instance.evacuate({"b"});
    const auto usable = usableUpstreams(instance.state, "orders");
    BOOST_TEST(usable.contains("a"));
    BOOST_TEST(!usable.contains("b"));
}

/** Evacuated upstreams counted as reserved and as slots, so that the room for urgent routes looked larger than it was. */
BOOST_AUTO_TEST_CASE(evacuatedUpstreamsAreNoReservedRoom)
{
    Instance instance;
    auto &state = instance.state;
    state.settings.admission.priorities.isEnabled = true;
    state.settings.admission.priorities.reservesRoom = true;
    for (UpstreamId id = 3; id <= 10; ++id) {
        listUpstream(state, id, id % 2 == 0 ? "a" : "b");
    }
    Route urgent {{0xc6120001, 443}, {{"orders", 1}}, {}};
    Route other {{0xc6120001, 8443}, {{"orders", 1}}, {}};
    urgent.policy.priority = 1;
    other.policy.priority = 2;
    state.routes.apply({2, 2, 15s, {urgent, other}});
    const auto reservedIn = [&state](const std::string &dataCentre) {
        return std::count_if(state.upstreams.rows().begin(), state.upstreams.rows().end(), [&dataCentre](const auto &item) {
            return item.second.isReserved && item.second.entry.dataCentre == dataCentre;
        });
    };
    updatePriorities(state);
    BOOST_TEST(reservedIn("a") > 0);
    BOOST_TEST(reservedIn("b") > 0);
    instance.evacuate({"b"});
    updatePriorities(state);
    BOOST_TEST(reservedIn("a") > 0);
    BOOST_TEST(reservedIn("b") == 0);
    state.upstreams.find(instance.inB)->load.waitingRequests = 7;
    admitRequest(state, "orders", urgent, 0);
    BOOST_TEST(state.serviceLoads["orders"].slots == 10);
    BOOST_TEST(state.serviceLoads["orders"].requestsInProgress == 0);
}

/** An order with a mistyped name: operators must find it in the log, and nothing else may change. */
BOOST_AUTO_TEST_CASE(anOrderForAnUnknownDataCentreIsOnlyLogged)
{
    Instance instance;
    instance.evacuate({"A", "\"\\\n"});
    BOOST_REQUIRE(instance.events.size() == 2U);
    BOOST_TEST(instance.events[0].ends_with("warning: no upstream and no instance is known there"));
    BOOST_TEST(instance.open(1000) == instance.inA);
}

/** A fleet without the setting is served as before, whatever peers say. */
BOOST_AUTO_TEST_CASE(withoutTheSettingOrdersAreIgnored)
{
    Instance instance;
    instance.state.settings.appliesEvacuations = false;
    instance.evacuate({"a"});
    mergePeerEvacuations(instance.state, {30, {{"a", 20, true}}});
    BOOST_TEST(instance.open(1000) == instance.inA);
    BOOST_TEST(instance.state.evacuations.entries().entries.empty());
}

BOOST_AUTO_TEST_SUITE_END()
