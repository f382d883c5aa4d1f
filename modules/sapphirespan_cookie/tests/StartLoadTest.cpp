/** @file
    Instances that start, alone and in crowds, with and without the store, on the model of a fleet.
*/
#include "model/FleetChecks.h"

#include <cstring>
#include <set>

using namespace sapphirespan;
using namespace sapphirespan::model;
using namespace std::chrono_literals;

/** All instances lose their memory at once, while the store is away: peers know nothing either. */
BOOST_AUTO_TEST_CASE(aFleetThatRestartsWithoutItsStoreServesOnceItIsBack)
{
    auto fleet = warmFleet(withSeed(1));
    fleet->isStoreAway = true;
    for (std::size_t index = 0; index < fleet->instances.size(); ++index) {
        fleet->stopInstance(index);
    }
    fleet->run(100ms);
    for (std::size_t index = 0; index < fleet->instances.size(); ++index) {
        fleet->startInstance(index);
    }
    fleet->run(2s);
    for (const auto &instance : fleet->instances) {
        BOOST_TEST(!instance.decisions->isReady());
    }
    fleet->isStoreAway = false;
    fleet->run(1s);
    checkSafety(fleet->takeCounts());
    fleet->run(3s);
    const auto counts = fleet->takeCounts();
    checkSafety(counts);
    BOOST_TEST(counts.share() > 0.98);
}

/** One instance restarts while the store is away: its peers tell it all, departed upstreams too. */
BOOST_AUTO_TEST_CASE(anInstanceThatRestartsWithoutTheStoreLearnsFromPeers)
{
    auto fleet = warmFleet(withSeed(1));
    fleet->remove(2); // its flows go on
    fleet->run(500ms);
    fleet->isStoreAway = true;
    fleet->startInstance(0);
    fleet->run(500ms);
    BOOST_TEST(fleet->instances[0].decisions->isReady());
    const auto &rows = fleet->instances[0].decisions->state().upstreams.rows();
    BOOST_TEST(rows.contains(cookieOf(fleet->upstreams[2].entry.id, fleet->upstreams[2].entry.startedAt)));
    fleet->run(2s);
    const auto counts = fleet->takeCounts();
    checkSafety(counts);
    BOOST_TEST(counts.failed == 0);
}

/** Many instances of a large fleet are restarted at once: those that know all are asked alike, not the seeds alone, which
    could not answer so many. */
BOOST_AUTO_TEST_CASE(aStartingCrowdAsksAllWhoKnow)
{
    for (const std::uint64_t seed : {1, 2, 3}) {
        auto settings = withSeed(seed);
        settings.instancesPerDataCentre = 30;
        settings.instancesAnswerAtATime = 2;
        auto fleet = warmFleet(settings);
        fleet->isStoreAway = true;
        for (std::size_t index = 0; index < fleet->instances.size(); ++index) {
            if (index % 3 != 0) {
                fleet->startInstance(index);
            }
        }
        fleet->run(2s);
        const auto ready = std::count_if(fleet->instances.begin(), fleet->instances.end(),
                                         [](const auto &instance) { return instance.decisions->isReady(); });
        BOOST_TEST(ready == static_cast<std::ptrdiff_t>(fleet->instances.size()));
    }
}

/** A configuration grows while many upstreams change: no peer is asked by the whole fleet. */
BOOST_AUTO_TEST_CASE(snapshotsAreSpreadOverPeers)
{
    auto settings = withSeed(1);
    settings.instancesPerDataCentre = 10;
    auto fleet = warmFleet(settings);
    auto routes = fleet->routes;
    for (std::uint16_t index = 0; index < 300; ++index) {
        routes.push_back({{0xc6120100U + index, 80}, {{"orders", 1}}});
    }
    fleet->configure(routes);
    for (int round = 0; round < 10; ++round) {
        fleet->remove(static_cast<std::size_t>(round));
        fleet->addUpstream("a", "orders");
        fleet->run(300ms);
    }
    int most = 0;
    for (const auto &instance : fleet->instances) {
        most = std::max(most, instance.snapshotsServed);
        BOOST_TEST(instance.decisions->state().routes.configuration().routes.size() == routes.size());
    }
    BOOST_TEST(most <= static_cast<int>(fleet->instances.size()) / 2);
}

/** A starting instance that has heard of many peers asks now one, now another. */
BOOST_AUTO_TEST_CASE(aStartingInstanceSpreadsWhatItAsks)
{
    const ModelFormat format;
    ManualClock clock;
    CookieInstanceSettings settings;
    settings.name = "entry-new";
    settings.dataCentre = "a";
    CookieInstance instance(settings, format, clock);
    std::set<Endpoint> asked;
    constexpr int peers = 10;
    for (std::uint64_t round = 1; round <= 30; ++round) {
        for (std::uint32_t number = 0; number < peers; ++number) {
            PeerReport report;
            const auto endpoint = toEndpoint({0x0a000001 + number, 7720});
            report.sender = {"entry-" + std::to_string(number), 1, "a", endpoint, endpoint};
            report.sequenceNumber = round;
            report.phase = PeerPhase::serving;
            instance.beginBatch();
            instance.peerDatagramArrived(encode(report));
        }
        instance.tick();
        for (const auto &request : instance.takeSnapshotRequests()) {
            asked.insert(request.controlEndpoint);
        }
        clock.advance(200ms);
    }
    BOOST_TEST(asked.size() >= peers / 2U);
}

namespace {

ClientPacket openingOf(std::uint16_t clientPort)
{
    ClientPacket packet;
    packet.ends = {{0x64400001, clientPort}, {0xc6120001, 443}};
    packet.isOpening = true;
    packet.sequence = clientPort;
    return packet;
}

/** An instance that has just started, and what it learns a moment later. */
struct StartingInstance {
    ModelFormat format;
    ManualClock clock;
    CookieInstance instance {CookieInstanceSettings {}, format, clock};

    void receive(std::uint16_t clientPort)
    {
        auto bytes = format.reset({}, 0);
        const auto packet = openingOf(clientPort);
        std::memcpy(bytes.data(), &packet, sizeof packet);
        instance.beginBatch();
        instance.packetArrived(bytes);
    }

    std::size_t learnAndForward()
    {
        instance.beginBatch();
        UpstreamEntry entry;
        entry.id = 7;
        entry.revision = 1;
        entry.service = "orders";
        entry.address = {0x0a800001, 8080};
        instance.upstreamsListed({1, {entry}, {}});
        instance.routesArrived({1, 1, 15s, {{{0xc6120001, 443}, {{"orders", 1}}}}});
        instance.storeConfirmed(StoreDataKind::routes, 1);
        instance.storeConfirmed(StoreDataKind::upstreams, 1);
        instance.tick();
        const auto &outputs = instance.outbox().outputs();
        return static_cast<std::size_t>(std::count_if(outputs.begin(), outputs.end(),
                                                      [](const CookieOutput &output) { return output.kind == CookieOutputKind::forward; }));
    }
};

} // namespace

/** All instances have lost power and clients repeat ever more rarely: what comes while an instance is still learning is not
    lost, but sent on as soon as it knows. */
BOOST_AUTO_TEST_CASE(packetsThatComeDuringTheStartAreSentOn)
{
    StartingInstance start;
    start.receive(1);
    start.clock.advance(60ms);
    start.receive(2);
    BOOST_TEST(start.instance.outbox().outputs().empty());
    start.clock.advance(30ms);
    BOOST_TEST(start.learnAndForward() == 2U);
}

BOOST_AUTO_TEST_CASE(packetsAreHeldNeitherForLongNorInAnyNumber)
{
    StartingInstance old;
    old.receive(1);
    old.clock.advance(heldPacketLifetime + 1ms);
    old.receive(2);
    BOOST_TEST(old.learnAndForward() == 1U);
    StartingInstance full;
    for (std::uint16_t port = 1; port <= 3 * maxHeldPackets; ++port) {
        full.receive(port);
    }
    BOOST_TEST(full.learnAndForward() == maxHeldPackets);
    BOOST_TEST(full.instance.counters().droppedNoRoute == 2 * maxHeldPackets);
}

namespace {

UpstreamEntry listedEntry(UpstreamId id, std::uint64_t revision)
{
    UpstreamEntry entry;
    entry.id = id;
    entry.startedAt = 100;
    entry.revision = revision;
    entry.service = "orders";
    entry.address = {0x0a800000 + static_cast<std::uint32_t>(id), 8080};
    entry.dataCentre = "a";
    return entry;
}

RegistrationPhase phaseOf(const CookieInstance &instance, const UpstreamEntry &entry)
{
    return instance.state().upstreams.rows().at(cookieOf(entry.id, entry.startedAt)).entry.phase;
}

} // namespace

/** An instance learned from a peer that had been cut off for minutes. Those who heard of a departure meanwhile have
    forgotten the upstream by now, so their snapshots say nothing of it: it is gone all the same. */
BOOST_AUTO_TEST_CASE(anUpstreamThatEverybodyElseHasForgottenIsNotUsedAgain)
{
    const ModelFormat format;
    ManualClock clock;
    CookieInstance instance(CookieInstanceSettings {}, format, clock);
    const auto gone = listedEntry(1, 10);
    const auto other = listedEntry(2, 20);
    const auto young = listedEntry(3, 120);
    instance.beginBatch();
    StoreDataSnapshot old;
    old.routes = {5, 1, 15s, {{{0xc6120001, 443}, {{"orders", 1}}}}};
    old.upstreams = {gone, other, young};
    old.storeRevisions = {25, 25};
    old.storeDataAgeMs = 200000;
    instance.snapshotArrived(old);
    BOOST_TEST((phaseOf(instance, gone) == RegistrationPhase::ready));

    StoreDataSnapshot recent; // of some upstreams only
    recent.upstreams = {other};
    recent.storeRevisions = {100, 100};
    recent.hasRecentUpstreamsOnly = true;
    instance.snapshotArrived(recent);
    BOOST_TEST((phaseOf(instance, gone) == RegistrationPhase::ready));

    StoreDataSnapshot whole = recent;
    whole.hasRecentUpstreamsOnly = false;
    instance.snapshotArrived(whole);
    BOOST_TEST((phaseOf(instance, gone) == RegistrationPhase::departed));
    BOOST_TEST((phaseOf(instance, other) == RegistrationPhase::ready));
    BOOST_TEST((phaseOf(instance, young) == RegistrationPhase::ready)); // the peer has not heard of it yet
    BOOST_TEST(instance.state().confirmedRevisions.upstreams == 100U);

    instance.snapshotArrived(old); // late
    BOOST_TEST((phaseOf(instance, gone) == RegistrationPhase::departed));
    BOOST_TEST(instance.state().confirmedRevisions.upstreams == 100U);
}
