/** @file
    Cost of decisions: packets a second a core on the direct and the steered path, and memory of a million entries.
*/
#include "sapphirespan_entry/sapphirespan_entry.h"

#include <benchmark/benchmark.h>

#include <algorithm>

namespace {

using namespace sapphirespan;

constexpr std::size_t flowCount = 4096;
constexpr std::size_t packetBytes = 40;

std::shared_ptr<const Catalogue> catalogueWith(std::uint32_t steeredPermille)
{
    ServiceFile file;
    file.name = "desk";
    file.addresses = {{*Endpoint::parse("10.80.0.1:443"), Protocol::tcp}};
    file.traffic.steeredPermille = steeredPermille;
    for (int host = 1; host <= 15; ++host) {
        UpstreamSpec spec;
        spec.tunnel = *Endpoint::parse("10.1.0." + std::to_string(host) + ":6080");
        file.upstreams.push_back(spec);
    }
    LastReason reason;
    auto catalogue = std::make_shared<Catalogue>();
    catalogue->head = {1, "digest"};
    catalogue->services = {std::make_shared<const ServiceContent>(*contentAfterPublish(file, nullptr, 0, 1, {}, reason))};
    return catalogue;
}

std::vector<std::uint8_t> packetOf(std::uint32_t flow, bool isSyn)
{
    std::vector<std::uint8_t> packet(packetBytes);
    packet[0] = 0x45;
    packet[3] = packetBytes;
    packet[9] = 6;
    packet[12] = 10;
    packet[13] = 9;
    packet[14] = static_cast<std::uint8_t>(flow >> 8);
    packet[15] = static_cast<std::uint8_t>(flow);
    std::copy_n(std::array<std::uint8_t, 4> {10, 80, 0, 1}.begin(), 4, packet.begin() + 16);
    packet[20] = 0x9c;
    packet[22] = 443 >> 8;
    packet[23] = 443 & 0xff;
    packet[32] = 0x50;
    packet[33] = isSyn ? 0x02 : 0x10;
    return packet;
}

/** One admitted instance, alone in its scope, so that it owns every bucket. */
class Fixture
{
public:
    explicit Fixture(std::uint32_t steeredPermille)
    {
        PeerKey key {1, {}};
        m_keys.keys.push_back(key);
        EntryInstanceSettings settings;
        settings.name = "entry-1";
        settings.dataCentre = "dc-1";
        settings.peer = *Endpoint::parse("10.2.0.1:1");
        m_instance = std::make_unique<EntryInstance>(settings, m_keys, m_clock, m_invariants);
        m_instance->catalogueArrived(catalogueWith(steeredPermille));
        for (int step = 0; step < 300; ++step) {
            m_clock.advance(std::chrono::milliseconds(20));
            m_instance->tick();
            m_instance->outbox().clear();
        }
        for (std::uint32_t flow = 0; flow < flowCount; ++flow) {
            m_packets.push_back(packetOf(flow, false));
            m_instance->packetArrived(packetOf(flow, true));
            m_instance->outbox().clear();
        }
    }

    void run(benchmark::State &state)
    {
        std::size_t next = 0;
        for (auto _ : state) {
            m_instance->packetArrived(m_packets[next]);
            next = (next + 1) % m_packets.size();
            if (next % 64 == 0) {
                m_instance->outbox().clear();
            }
        }
        state.SetItemsProcessed(state.iterations());
    }

private:
    ManualClock m_clock;
    InvariantLog m_invariants;
    KeyRing m_keys;
    std::unique_ptr<EntryInstance> m_instance;
    std::vector<std::vector<std::uint8_t>> m_packets;
};

void directPath(benchmark::State &state)
{
    Fixture(0).run(state);
}

void steeredPath(benchmark::State &state)
{
    Fixture(1000).run(state);
}

void relaySeal(benchmark::State &state)
{
    KeyRing keys;
    keys.keys.push_back({1, {}});
    const PeerCodec codec(keys);
    const std::vector<std::uint8_t> packet(static_cast<std::size_t>(state.range(0)), 0x45);
    std::array<std::uint8_t, relayHeaderBytes> header {};
    for (auto _ : state) {
        codec.sealRelay(1, 3, packet, header.data());
        benchmark::DoNotOptimize(header);
    }
    state.SetItemsProcessed(state.iterations());
}

void millionEntries(benchmark::State &state)
{
    constexpr std::uint64_t million = 1'000'000;
    for (auto _ : state) {
        FlowTable table(2 * million);
        for (std::uint64_t key = 1; key <= million; ++key) {
            FlowEntry entry;
            entry.key = rendezvousRank(key, 0) | 1;
            if (table.find(entry.key) == nullptr) {
                table.insert(entry);
            }
        }
        state.counters["bytes_per_entry"] = static_cast<double>(table.memoryBytes()) / static_cast<double>(table.size());
    }
    state.SetItemsProcessed(state.iterations() * static_cast<std::int64_t>(million));
}

} // namespace

BENCHMARK(directPath);
BENCHMARK(steeredPath);
BENCHMARK(relaySeal)->Arg(64)->Arg(1400);
BENCHMARK(millionEntries)->Unit(benchmark::kMillisecond);
BENCHMARK_MAIN();
