#include "FabricStandIn.h"

namespace sapphirespan {

namespace {
using namespace std::chrono_literals;
constexpr Milliseconds probePeriod = 100ms;
constexpr Milliseconds probeDeadline = 300ms;
constexpr int statusOk = 200;
} // namespace

FabricStandIn::FabricStandIn(EventLoop &loop, std::unique_ptr<UdpSocket> socket, std::vector<FabricTarget> targets, std::uint64_t seed)
    : m_loop(loop)
    , m_client(loop)
    , m_socket(std::move(socket))
    , m_targets(std::move(targets))
    , m_random(seed)
{
    m_socket->start(
        m_loop, [] {}, [this](const Endpoint &, std::span<const std::uint8_t> packet) { spray(packet); },
        [this] {
            m_socket->send(m_batch);
            m_batch.clear();
        });
    m_timer = m_loop.every(probePeriod, [this] { probeAll(); });
}

void FabricStandIn::spray(std::span<const std::uint8_t> packet)
{
    std::vector<const FabricTarget *> ready;
    for (const auto &target : m_targets) {
        if (target.isReady) {
            ready.push_back(&target);
        }
    }
    if (ready.empty()) {
        ++m_lost;
        return;
    }
    ++m_handedOver;
    m_batch.push_back({ready[m_random() % ready.size()]->ingress, packet, {}});
}

void FabricStandIn::probeAll()
{
    for (auto &target : m_targets) {
        m_client.send(target.control, HttpMethod::get, "/ready", {}, "", probeDeadline,
                      [&target](const HttpOutcome &outcome) { target.isReady = outcome.response && outcome.response->status == statusOk; });
    }
}

} // namespace sapphirespan
