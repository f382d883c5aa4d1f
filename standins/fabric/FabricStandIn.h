#pragma once

#include "sapphirespan_net/sapphirespan_net.h"

#include <random>

namespace sapphirespan {

/** One instance as the fabric knows it. */
struct FabricTarget {
    Endpoint ingress;
    Endpoint control;
    bool isReady = false;
};

/** Hands each packet to a random instance among those whose control endpoint says that they are ready.

    Thread safety: none.
*/
class FabricStandIn
{
public:
    FabricStandIn(EventLoop &loop, std::unique_ptr<UdpSocket> socket, std::vector<FabricTarget> targets, std::uint64_t seed);

    /** @returns packets handed over, and packets lost because no instance was ready. */
    std::pair<std::uint64_t, std::uint64_t> counts() const
    {
        return {m_handedOver, m_lost};
    }

private:
    void spray(std::span<const std::uint8_t> packet);
    void probeAll();

    EventLoop &m_loop;
    HttpClient m_client;
    std::unique_ptr<UdpSocket> m_socket;
    std::vector<FabricTarget> m_targets;
    std::mt19937_64 m_random;
    std::uint64_t m_handedOver = 0;
    std::uint64_t m_lost = 0;
    std::vector<OutgoingDatagram> m_batch;
    EventHandle m_timer;
};

} // namespace sapphirespan
