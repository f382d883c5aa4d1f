/** @file
    Copies of openings: what bars a first opening from an upstream bars them as well, and no copy that goes elsewhere breaks a flow.
*/
#include "model/FleetChecks.h"
#include "model/OneInstance.h"

#include "sapphirespan_cookie/systems/CookieEvacuationSystem.h"
#include "sapphirespan_cookie/systems/CookieWarmUpSystem.h"

using namespace sapphirespan;
using namespace sapphirespan::model;
using namespace std::chrono_literals;

namespace {

constexpr Ipv4Endpoint routeAddress {0xc6120001, 443};
constexpr std::uint32_t firstSequence = 500;

/** An instance of data centre "a" with one upstream there and one in "b", both of which make progress. */
struct Instance {
    ManualClock clock;
    ModelFormat format;
    CookieState state;
    FlowCookie inA = 0;
    FlowCookie inB = 0;

    Instance()
        : state(settings(), format, clock)
    {
        inA = listUpstream(state, 1, "a");
        inB = listUpstream(state, 2, "b");
        startServing(state);
        pass(slowStartTime);
        mergeStoreEvacuationList(state, {10, {}});
    }

    static CookieInstanceSettings settings()
    {
        CookieInstanceSettings result;
        result.name = "entry-0";
        result.dataCentre = "a";
        result.appliesEvacuations = true;
        result.warmUp.limitsColdUpstreams = true;
        return result;
    }

    /** Handles a packet. @returns the upstream that it was forwarded to, or 0. */
    UpstreamId handle(const ClientPacket &packet)
    {
        auto bytes = bytesOfPacket(packet);
        handleClientPacket(state, bytes);
        const auto &outputs = state.outbox.outputs();
        const bool isForwarded = !outputs.empty() && outputs.back().kind == CookieOutputKind::forward;
        UpstreamId upstream = 0;
        for (const auto &[cookie, row] : state.upstreams.rows()) {
            upstream = isForwarded && outputs.back().destination == toEndpoint(row.entry.address) ? row.entry.id : upstream;
        }
        if (isForwarded) { // as the client wrote it, but for the cookie
            auto sent = *format.decode(outputs.back().payload);
            sent.cookie = packet.cookie;
            BOOST_TEST((bytesOfPacket(sent) == bytesOfPacket(packet)));
        }
        state.outbox.clear();
        return upstream;
    }

    UpstreamId open(std::uint16_t port, std::uint32_t copy = 0)
    {
        ClientPacket packet;
        packet.ends = {{0x64400001, port}, routeAddress};
        packet.isOpening = true;
        packet.sequence = firstSequence;
        packet.acknowledged = copy;
        return handle(packet);
    }

    UpstreamId sendData(std::uint16_t port, FlowCookie cookie, std::uint32_t sequence, std::uint32_t acknowledged)
    {
        ClientPacket packet;
        packet.ends = {{0x64400001, port}, routeAddress};
        packet.cookie = cookie;
        packet.sequence = sequence;
        packet.acknowledged = acknowledged;
        packet.payloadBytes = 100;
        return handle(packet);
    }

    void pass(Milliseconds time)
    {
        clock.advance(time);
        state.now = state.lastTickAt = clock.steadyNow();
        state.upstreamsConfirmedAt = state.routesConfirmedAt = state.now;
        for (auto &[cookie, row] : state.upstreams.rows()) {
            row.evidence.lastProgressAt = state.now;
        }
    }

    void route(const std::vector<WeightedService> &services)
    {
        const auto revision = state.routes.configuration().revision + 1;
        state.routes.apply({revision, revision, 15s, {{routeAddress, services}}});
    }

    UpstreamRow &upstream(FlowCookie cookie)
    {
        return *state.upstreams.find(cookie);
    }
};

/** What bars the upstream in "a". */
struct Bar {
    const char *name;
    std::function<void(Instance &)> set;
};

void drain(Instance &instance)
{
    auto entry = instance.upstream(instance.inA).entry;
    entry.phase = RegistrationPhase::draining;
    ++entry.revision;
    instance.state.upstreams.merge(entry, instance.state.now);
}

void makeColdWithoutSlot(Instance &instance)
{
    RouteConfiguration configuration = instance.state.routes.configuration();
    ++configuration.revision;
    ++configuration.version;
    ServicePolicy policy;
    policy.service = "orders";
    policy.warmUpRequestsPerSecond = 0.001;
    configuration.services = {policy};
    instance.state.routes.apply(configuration);
    instance.upstream(instance.inA).warmUpEndsAt = instance.state.now + 1h;
}

const std::vector<Bar> bars {
    {"the route has moved to another service",
     [](Instance &instance) {
         instance.upstream(instance.inB).entry.service = "orders-next";
         instance.state.upstreams.merge(instance.upstream(instance.inB).entry, instance.state.now);
         instance.route({{"orders-next", 1}});
     }},
    {"the weight of its service is 0",
     [](Instance &instance) {
         instance.route({{"orders", 0}, {"orders-next", 1}});
     }},
    {"it drains", drain},
    {"it has departed", [](Instance &instance) { instance.state.upstreams.markDeparted(1, 100, instance.state.now); }},
    {"it is held back", [](Instance &instance) { instance.upstream(instance.inA).heldBackUntil = instance.state.now + 1h; }},
    {"its data centre is evacuated",
     [](Instance &instance) {
         mergeStoreEvacuationChanges(instance.state, {11, {{"a", 11, true}}});
     }},
    {"it is cold and this instance has no slot of it", makeColdWithoutSlot},
    {"its cookie is that of another one", [](Instance &instance) { instance.upstream(instance.inA).hasCookieCollision = true; }},
};

} // namespace

/** Guards against copies of openings that go on to an upstream which a first opening would not get any more: review/15, where a route
    had moved, and every other reason. */
BOOST_AUTO_TEST_CASE(whatBarsAFirstOpeningBarsItsCopies)
{
    for (const auto &bar : bars) {
        for (const auto pause : {50ms, 200ms}) {
            Instance instance;
            BOOST_TEST(instance.open(1000) == 1U);
            BOOST_TEST(instance.open(1001) == 1U);
            bar.set(instance);
            instance.pass(pause);
            for (std::uint16_t port = 2000; port < 2020; ++port) {
                BOOST_TEST(instance.open(port) != 1U, bar.name);
            }
            for (const std::uint32_t copy : {1, 2}) {
                BOOST_TEST(instance.open(1000, copy) != 1U, bar.name << ", copy " << copy << " after " << pause.count() << " ms");
                instance.pass(400ms);
            }
        }
    }
}

/** Guards against copies that are kept from an upstream which may take them, so that flows open at two. */
BOOST_AUTO_TEST_CASE(copiesStayWhereNothingBarsThem)
{
    Instance instance;
    BOOST_TEST(instance.open(1000) == 1U);
    instance.route({{"other", 1}, {"orders", 1}});
    instance.pass(200ms);
    BOOST_TEST(instance.open(1000, 1) == 1U);
    instance.pass(400ms);
    BOOST_TEST(instance.open(1000, 2) == 1U);
}

/** Guards against a second upstream that answers while the first one, barred a moment ago, answers as well: what comes that soon is no
    repetition by the client. */
BOOST_AUTO_TEST_CASE(aDuplicateOfAnOpeningOpensNoFlowElsewhere)
{
    Instance instance;
    BOOST_TEST(instance.open(1000) == 1U);
    drain(instance);
    instance.pass(20ms);
    BOOST_TEST(instance.open(1000) == 0U);
    BOOST_TEST(instance.state.counters.droppedBarredCopies == 1U);
}

/** Guards against packets of an open flow that follow the cookie of an upstream which answered a copy of the opening later, and resets
    the flow since it does not hold it. */
BOOST_AUTO_TEST_CASE(aLateAnswerMovesNoOpenFlow)
{
    constexpr std::uint32_t ofA = 0xfffffff0; // numbers of the upstreams; those of the first one wrap around
    constexpr std::uint32_t ofB = 0x30000000;
    for (const bool opensAtFirst : {true, false}) {
        Instance instance;
        BOOST_TEST(instance.open(1000) == 1U);
        drain(instance);
        instance.pass(200ms);
        BOOST_TEST(instance.open(1000, 1) == 2U);
        const auto [own, other] = opensAtFirst ? std::pair(instance.inA, instance.inB) : std::pair(instance.inB, instance.inA);
        const UpstreamId holder = opensAtFirst ? 1 : 2;
        const auto acknowledged = opensAtFirst ? ofA : ofB;
        BOOST_TEST(instance.sendData(1000, own, firstSequence + 1, acknowledged) == holder);
        BOOST_TEST(instance.sendData(1000, other, firstSequence + 1, acknowledged) == holder);
        BOOST_TEST(instance.sendData(1000, other, firstSequence + 101, acknowledged + 60000) == holder);
        BOOST_TEST(instance.open(1000, 2) == holder); // a copy that was held up
        BOOST_TEST(instance.sendData(1000, other, firstSequence + 201, acknowledged + 60000) == holder);
    }
}

/** Guards against packets that are kept from the upstream that their cookie names although nothing is certain: the end of the handshake
    passed through another instance, or the client's port is used again. */
BOOST_AUTO_TEST_CASE(withoutCertaintyTheCookieDecides)
{
    struct Packet {
        std::uint32_t sequence;
        std::uint32_t acknowledged;
    };
    constexpr std::uint32_t far = 0x40000000;
    const std::vector<std::pair<Packet, Packet>> pairs {
        {{firstSequence + 101, 77}, {firstSequence + 201, 77}},
        {{firstSequence + 1, 77}, {firstSequence + 1, 77 + far}},
        {{firstSequence + 1, 77}, {firstSequence + far, 77}},
    };
    for (const auto &[first, next] : pairs) {
        Instance instance;
        BOOST_TEST(instance.open(1000) == 1U);
        BOOST_TEST(instance.sendData(1000, instance.inA, first.sequence, first.acknowledged) == 1U);
        BOOST_TEST(instance.sendData(1000, instance.inB, next.sequence, next.acknowledged) == 2U);
    }
}

/** Guards against a copy of the opening of an open flow that goes to another upstream, or to none. */
BOOST_AUTO_TEST_CASE(copiesOfTheOpeningOfAnOpenFlowStay)
{
    Instance instance;
    BOOST_TEST(instance.open(1000) == 1U);
    BOOST_TEST(instance.sendData(1000, instance.inA, firstSequence + 1, 77) == 1U);
    drain(instance);
    instance.pass(200ms);
    BOOST_TEST(instance.open(1000, 1) == 1U);
    BOOST_TEST(instance.sendData(1000, instance.inA, firstSequence + 101, 177) == 1U);
}

namespace {

/** Clients open a flow for each request and repeat its data while they wait for the response. */
ModelSettings settingsOfRepeatedData(std::uint64_t seed)
{
    auto settings = withSeed(seed);
    auto &kind = settings.kinds[0];
    kind.usesLongFlows = false;
    kind.work = 300ms;
    kind.deadline = 4s;
    settings.slots = 50;
    return settings;
}

void moveRoutes(CookieFleetModel &fleet, const std::string &service)
{
    auto routes = fleet.routes;
    for (auto &route : routes) {
        route.services = {{service, 1}};
    }
    fleet.configure(routes);
}

/** What became of flows, over all runs. */
struct FlowCounts {
    int broken = 0; ///< by resets of instances or of other upstreams
    int stray = 0;
    int misdelivered = 0; ///< openings that came to a service of an earlier configuration, or to another upstream
};

void add(FlowCounts &sum, const ModelCounts &counts)
{
    sum.broken += counts.brokenFlows + counts.resetByOthers;
    sum.stray += counts.strayFlows;
    sum.misdelivered += counts.misdelivered;
}

/** Upstreams by turns read late, so that they answer openings after copies went elsewhere, while reasons come up that bar them: their
    route moves and moves back, they drain, their data centre is evacuated. Clients take the latest cookie.
    @param isRotating whether instances leave the rotation by turns, so that packets of a flow pass through several */
FlowCounts barredUpstreamsThatAnswerLate(bool isRotating)
{
    FlowCounts sum;
    for (std::uint64_t seed = 1; seed <= 5; ++seed) {
        auto settings = settingsOfRepeatedData(seed);
        settings.takeClientsLatestCookie = true;
        settings.appliesEvacuations = true;
        auto fleet = warmFleet(settings);
        for (const auto *dataCentre : {"a", "a", "b", "b", "c", "c"}) {
            fleet->addUpstream(dataCentre, "orders-next");
        }
        fleet->run(1s);
        fleet->takeCounts();
        for (std::size_t turn = 0; turn < 12; ++turn) {
            for (std::size_t index = 0; isRotating && index < fleet->instances.size(); ++index) {
                fleet->keepOutOfRotation(index, (index + turn) % 3 == 0);
            }
            for (std::size_t index = turn % 3; index < fleet->upstreams.size(); index += 3) {
                fleet->stopReading(index);
            }
            fleet->run(100ms);
            if (turn % 4 == 0) {
                moveRoutes(*fleet, turn % 8 == 0 ? "orders-next" : "orders");
            } else if (turn % 4 == 1) {
                fleet->order("c");
            } else if (turn % 4 == 2) {
                fleet->takeBack("c");
            } else {
                fleet->drain(turn % fleet->upstreams.size());
            }
            fleet->run(Milliseconds(50 + 70 * static_cast<int>(turn)));
            for (std::size_t index = turn % 3; index < fleet->upstreams.size(); index += 3) {
                fleet->readAll(index);
            }
            fleet->run(400ms);
        }
        add(sum, fleet->takeCounts());
    }
    BOOST_TEST_MESSAGE("broken " << sum.broken << ", stray " << sum.stray);
    return sum;
}

} // namespace

/** Guards against requests that run at the old service after its route has moved, because its only upstreams, which were full, took copies
    of openings when they had room again (review/15). */
BOOST_AUTO_TEST_CASE(copiesLeaveAServiceThatItsRouteHasLeft)
{
    FlowCounts sum;
    for (std::uint64_t seed = 1; seed <= 5; ++seed) {
        auto fleet = warmFleet(settingsOfRepeatedData(seed));
        for (auto &upstream : fleet->upstreams) {
            upstream.isFull = true;
        }
        for (const auto *dataCentre : {"a", "b", "c"}) {
            fleet->addUpstream(dataCentre, "orders-next");
        }
        fleet->run(2s);
        moveRoutes(*fleet, "orders-next");
        const auto &moved = fleet->routes.front().address;
        const auto doAllKnow = [&] {
            return std::all_of(fleet->instances.begin(), fleet->instances.end(), [&moved](const ModelInstance &instance) {
                return instance.decisions->state().routes.find(moved)->services.front().service == "orders-next";
            });
        };
        for (int step = 0; step < 100 && !doAllKnow(); ++step) {
            fleet->run(20ms);
        }
        BOOST_REQUIRE(doAllKnow());
        fleet->takeCounts();
        for (auto &upstream : fleet->upstreams) {
            upstream.isFull = false;
        }
        fleet->run(2s);
        add(sum, fleet->takeCounts());
    }
    BOOST_TEST_MESSAGE("openings at the old service: " << sum.misdelivered << ", broken " << sum.broken);
    BOOST_TEST(sum.misdelivered == 0);
    BOOST_TEST(sum.broken == 0);
}

/** Guards against flows that are reset by the upstream that got a copy of their opening, or the first one, and answers after the other
    one, if clients take the latest cookie. */
BOOST_AUTO_TEST_CASE(upstreamsThatAnswerLateBreakNoFlow)
{
    for (const bool isRotating : {false, true}) {
        const auto sum = barredUpstreamsThatAnswerLate(isRotating);
        BOOST_TEST(sum.broken == 0);
        BOOST_TEST(sum.stray == 0);
    }
}
