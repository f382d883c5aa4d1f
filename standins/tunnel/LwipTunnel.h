#pragma once

#include "sapphirespan_net/sapphirespan_net.h"

#include <atomic>
#include <memory>
#include <thread>

namespace sapphirespan {

/** An end of the path with a TCP stack of its own: whole IP packets arrive and leave inside UDP.

    lwIP runs a thread, and so does this class; both stay in the stand-ins. One object per process. Calls into lwIP
    from elsewhere hold lwIP's core lock.
*/
class LwipTunnel
{
public:
    /** @param tunnel UDP endpoint to bind @param peer where packets are sent @param address IPv4 address of this end
        @returns nothing, with the reason, when the endpoint cannot be bound
    */
    static std::unique_ptr<LwipTunnel> open(const Endpoint &tunnel, const Endpoint &peer, const IpAddress &address, LastReason &reason);

    ~LwipTunnel();
    LwipTunnel(const LwipTunnel &) = delete;
    LwipTunnel &operator=(const LwipTunnel &) = delete;

private:
    struct Interface;

    explicit LwipTunnel(std::unique_ptr<Interface> interface);
    void receive();

    std::unique_ptr<Interface> m_interface;
    std::atomic<bool> m_isStopping = false;
    std::thread m_receiver;
};

} // namespace sapphirespan
