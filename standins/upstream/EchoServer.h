#pragma once

#include "tunnel/LwipTunnel.h"

namespace sapphirespan {

/** Answers each request line "REQ id" on its TCP connections with "ANS id service upstream".

    Runs on lwIP's thread; the counters may be read from any thread.
*/
class EchoServer
{
public:
    /** Listens on a port of the tunnel's address. */
    EchoServer(std::string service, std::string name, std::uint16_t port);

    /** @returns open connections. */
    std::uint32_t connections() const
    {
        return m_connections;
    }

    /** @returns requests answered. */
    std::uint64_t answers() const
    {
        return m_answers;
    }

private:
    friend struct EchoConnection;

    std::string m_service;
    std::string m_name;
    std::atomic<std::uint32_t> m_connections = 0;
    std::atomic<std::uint64_t> m_answers = 0;
};

} // namespace sapphirespan
