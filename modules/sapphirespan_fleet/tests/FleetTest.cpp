#include "sapphirespan_fleet/sapphirespan_fleet.h"

#include <boost/test/unit_test.hpp>
#include <rapidcheck/boost_test.h>

#include <random>
#include <set>

using namespace sapphirespan;
using namespace std::chrono_literals;

namespace {

KeyRing ringOf(std::initializer_list<std::uint8_t> ids)
{
    KeyRing ring;
    for (const auto id : ids) {
        PeerKey key {id, {}};
        key.secret.fill(id);
        ring.keys.push_back(key);
    }
    return ring;
}

PeerMessage sampleHeartbeat()
{
    Heartbeat beat;
    beat.phase = MemberPhase::admitted;
    beat.generation = 12;
    beat.indexDigest = std::string(32, 'a');
    beat.registersDigest = ~0ULL;
    beat.readyForYou = 4;
    beat.opinions = {{{1, 2}, UpstreamPhase::draining}};
    beat.dependents = {{5, 6}};
    beat.carriesLoads = true;
    beat.loads = {{{1, 2}, -7}, {{1, 3}, 70000}};
    beat.card = MemberCard {"entry-1", "fen-a", *Endpoint::parse("127.0.0.1:1"), *Endpoint::parse("[::1]:2")};
    beat.knownPeers = {*Endpoint::parse("127.0.0.1:9")};
    return {{1, 2}, 3, beat};
}

} // namespace

std::vector<RankedInstance> rankedOf(const std::set<std::uint32_t> &ids)
{
    std::vector<RankedInstance> ranked;
    ranked.reserve(ids.size());
    for (const auto id : ids) {
        ranked.push_back({id, "dc-" + std::to_string(id % 3)});
    }
    return ranked;
}

RC_BOOST_PROP(theOwnerOnEachSideOfACutHoldsTheBucket, (std::set<std::uint32_t> ids))
{
    ids.erase(noInstance);
    RC_PRE(!ids.empty());
    const auto everyone = rankedOf(ids);
    const auto side = everyone[*rc::gen::inRange<std::size_t>(0, everyone.size())].dataCentre;
    auto isolated = everyone;
    std::erase_if(isolated, [&side](const RankedInstance &instance) { return instance.dataCentre != side; });
    const Ranking before(everyone);
    const Ranking after(isolated);
    for (std::size_t bucket = 0; bucket < bucketCount; ++bucket) {
        RC_ASSERT(before.holders(bucket).contains(after.holders(bucket).owner));
    }
}

BOOST_AUTO_TEST_CASE(messagesReadBackAsWritten)
{
    const std::vector<PeerMessage> messages {
        sampleHeartbeat(),
        {{1, 2}, 4, RegisterUpdate {{{{1, 2}, {3, 4, UpstreamPhase::down, true}}}}},
        {{1, 2},
         5,
         EntryCopy {
             9,
             2,
             1,
             {{EntryChange::placed, 77, 1, 2, 3}, {EntryChange::replaced, 79, 1, 2, 3}, {EntryChange::ended, 78, 0, noUpstream, 5}}}},
        {{1, 2}, 6, EntryAcknowledgement {9, 2, 64}},
    };
    const PeerCodec codec(ringOf({1}));
    for (const auto &message : messages) {
        DropReason reason {};
        const auto back = codec.open(codec.seal(message), reason);
        BOOST_REQUIRE(back);
        BOOST_CHECK(*back == message);
    }
}

BOOST_AUTO_TEST_CASE(keysRotateWithoutAGap)
{
    DropReason reason {};
    const PeerCodec before(ringOf({1}));
    const PeerCodec both(ringOf({1, 2}));
    const PeerCodec swapped(ringOf({2, 1}));
    const PeerCodec after(ringOf({2}));
    const std::vector<std::pair<const PeerCodec *, const PeerCodec *>> neighbours {{&before, &both}, {&both, &swapped}, {&swapped, &after}};
    for (const auto &[one, other] : neighbours) {
        BOOST_TEST(one->open(other->seal(sampleHeartbeat()), reason).has_value());
        BOOST_TEST(other->open(one->seal(sampleHeartbeat()), reason).has_value());
    }
    BOOST_TEST(!after.open(before.seal(sampleHeartbeat()), reason).has_value());
    BOOST_CHECK(reason == DropReason::unauthenticated);
}

RC_BOOST_PROP(changedDatagramsAreRejected, ())
{
    const PeerCodec codec(ringOf({1}));
    auto datagram = codec.seal(sampleHeartbeat());
    datagram[*rc::gen::inRange<std::size_t>(1, datagram.size())] ^= static_cast<std::uint8_t>(*rc::gen::inRange(1, 256));
    DropReason reason {};
    RC_ASSERT(!codec.open(datagram, reason).has_value());
}

RC_BOOST_PROP(changedRelaysAreRejected, (const std::vector<std::uint8_t> &tail))
{
    const PeerCodec codec(ringOf({1}));
    std::vector<std::uint8_t> datagram(relayHeaderBytes, 0);
    datagram.push_back(0x45);
    datagram.insert(datagram.end(), tail.begin(), tail.end());
    codec.sealRelay(7, 3, std::span(datagram).subspan(relayHeaderBytes), datagram.data());
    DropReason reason {};
    RC_ASSERT(codec.openRelay(datagram, reason)->sender == 7U);
    datagram[*rc::gen::inRange<std::size_t>(1, datagram.size())] ^= static_cast<std::uint8_t>(*rc::gen::inRange(1, 256));
    RC_ASSERT(!codec.openRelay(datagram, reason).has_value());
}

RC_BOOST_PROP(mangledBodiesNeverCrash, (const std::vector<std::uint8_t> &noise))
{
    unpackMessage(noise);
    auto body = packMessage(sampleHeartbeat());
    const auto edits = *rc::gen::inRange(1, 6);
    for (int edit = 0; edit < edits; ++edit) {
        body[*rc::gen::inRange<std::size_t>(0, body.size())] = *rc::gen::arbitrary<std::uint8_t>();
    }
    unpackMessage(body);
}

RC_BOOST_PROP(replaysAreRecognised, (const std::vector<std::uint8_t> &numbers))
{
    ReplayWindow window;
    std::set<std::uint64_t> accepted;
    for (const auto number : numbers) {
        if (window.accept(number + 1)) {
            RC_ASSERT(accepted.insert(number).second);
        }
    }
}

RC_BOOST_PROP(aLeaverMovesOnlyItsOwnBuckets, (std::set<std::uint32_t> ids))
{
    ids.erase(noInstance);
    RC_PRE(ids.size() >= 2);
    const Ranking before(rankedOf(ids));
    const auto gone = *rc::gen::elementOf(ids);
    ids.erase(gone);
    const Ranking after(rankedOf(ids));
    for (std::size_t bucket = 0; bucket < bucketCount; ++bucket) {
        const auto &holders = before.holders(bucket);
        const auto expected = holders.owner == gone ? holders.backup : holders.owner; // the backup takes over
        RC_ASSERT(after.holders(bucket).owner == expected);
    }
}

BOOST_AUTO_TEST_CASE(anUnansweredStreamRepeatsLess)
{
    EntryStreamSender sender;
    SteadyTime now {1s};
    for (std::uint64_t key = 1; key <= 4000; ++key) {
        sender.append({EntryChange::placed, key, 1, 1, 0}, now);
    }
    std::size_t messages = 0;
    for (int step = 0; step < 6000; ++step, now += 10ms) {
        messages += sender.takeDue(1, now, true).size();
    }
    BOOST_TEST(messages < 200U); // once or twice everything, then one message in 1.6 s
}

BOOST_AUTO_TEST_CASE(aConfirmationBeyondTheRepeatedPartCounts)
{
    EntryStreamSender sender;
    SteadyTime now {1s};
    for (std::uint64_t key = 1; key <= 500; ++key) {
        sender.append({EntryChange::placed, key, 1, 1, 0}, now);
    }
    sender.takeDue(1, now, true);
    for (int repetition = 0; repetition < 4; ++repetition) {
        now += 2s;
        sender.takeDue(1, now, true);
    }
    sender.confirm(1, 500, now); // of what was sent first, late
    BOOST_TEST(sender.isConfirmed());
}

BOOST_AUTO_TEST_CASE(aLostMessageIsRepeatedWhileNewEntriesKeepComing)
{
    EntryStreamSender sender;
    EntryStreamReceiver receiver;
    SteadyTime now {1s};
    std::uint64_t confirmed = 0;
    for (std::uint64_t key = 1; key <= 100; ++key, now += 10ms) {
        sender.append({EntryChange::placed, key, 1, 1, 0}, now);
        for (const auto &copy : sender.takeDue(1, now, true)) {
            if (key > 1) { // the first message is lost
                confirmed = receiver.receive(copy.epoch, copy.firstNumber, copy.entries.size());
                sender.confirm(copy.epoch, confirmed, now);
            }
        }
    }
    BOOST_TEST(confirmed == 100U);
}

BOOST_AUTO_TEST_CASE(entriesWaitForEachOther)
{
    EntryStreamSender sender;
    const SteadyTime now {1s};
    sender.append({EntryChange::placed, 1, 1, 1, 0}, now);
    sender.append({EntryChange::placed, 2, 1, 1, 0}, now + 1ms);
    BOOST_TEST(sender.takeDue(1, now + 9ms, false).empty());
    BOOST_TEST(sender.takeDue(1, now + 10ms, false).at(0).entries.size() == 2U);
    sender.append({EntryChange::ended, 1, 0, noUpstream, 0}, now + 11ms);
    BOOST_TEST(sender.takeDue(1, now + 90ms, false).empty());
    sender.append({EntryChange::placed, 3, 1, 1, 0}, now + 90ms);
    BOOST_TEST(sender.takeDue(1, now + 99ms, false).empty());
    BOOST_TEST(sender.takeDue(1, now + 100ms, false).at(0).entries.size() == 2U);
}

BOOST_AUTO_TEST_CASE(streamsDeliverEverythingOverLossyLinks)
{
    std::mt19937 random(20261204);
    EntryStreamSender sender;
    EntryStreamReceiver receiver;
    std::set<std::uint64_t> arrived;
    SteadyTime now {1s};
    for (std::uint64_t key = 1; key <= 5000; ++key) {
        sender.append({EntryChange::placed, key, 1, 1, 0}, now);
    }
    for (int step = 0; step < 3000 && !sender.isConfirmed(); ++step, now += 10ms) {
        auto due = sender.takeDue(1, now, true);
        std::shuffle(due.begin(), due.end(), random);
        for (const auto &copy : due) {
            if (random() % 3 == 0) {
                continue; // lost
            }
            for (const auto &entry : copy.entries) {
                arrived.insert(entry.key);
            }
            const auto confirmed = receiver.receive(copy.epoch, copy.firstNumber, copy.entries.size());
            if (random() % 3 != 0) {
                sender.confirm(copy.epoch, confirmed, now);
            }
        }
    }
    BOOST_TEST(sender.isConfirmed());
    BOOST_TEST(arrived.size() == 5000U);
}
