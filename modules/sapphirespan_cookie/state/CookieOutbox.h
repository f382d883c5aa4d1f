#pragma once

#include "sapphirespan_cookie/packets/ClientPacket.h"

#include <deque>

namespace sapphirespan {

/** By which socket a datagram leaves. */
enum class CookieOutputKind : std::uint8_t {
    forward, ///< a client's packet to an upstream
    reset, ///< the end of a flow, to its client
    report, ///< a message to a peer
    count
};

template<>
struct NameTable<CookieOutputKind> {
    static constexpr std::array<std::string_view, enumCount<CookieOutputKind>> names {"forward", "reset", "report"};
};

/** One datagram to send: the header, if any, followed by the payload. */
struct CookieOutput {
    CookieOutputKind kind = CookieOutputKind::forward;
    Endpoint destination;
    std::array<std::uint8_t, PacketFormat::forwardHeaderBytes> header {};
    std::span<const std::uint8_t> payload; ///< the client's bytes, or bytes that the outbox keeps until cleared

    std::span<const std::uint8_t> headerBytes() const
    {
        return kind == CookieOutputKind::forward ? std::span<const std::uint8_t>(header) : std::span<const std::uint8_t>();
    }
};

/** Datagrams that one instance wants sent, in order.

    Payloads of forwarded packets point into the bytes that were passed in, so outputs are to be sent or copied before
    those bytes go away. Thread safety: none.
*/
class CookieOutbox
{
public:
    void addForward(const Endpoint &to, const std::array<std::uint8_t, PacketFormat::forwardHeaderBytes> &header,
                    std::span<const std::uint8_t> packet)
    {
        m_outputs.push_back({CookieOutputKind::forward, to, header, packet});
    }

    void addOwned(CookieOutputKind kind, const Endpoint &to, std::vector<std::uint8_t> bytes)
    {
        m_ownedBuffers.push_back(std::move(bytes));
        m_outputs.push_back({kind, to, {}, m_ownedBuffers.back()});
    }

    /** Keeps bytes that outputs may point into until the outbox is cleared. @returns where they are */
    std::span<std::uint8_t> retainBytes(std::vector<std::uint8_t> bytes)
    {
        return m_ownedBuffers.emplace_back(std::move(bytes));
    }

    const std::vector<CookieOutput> &outputs() const
    {
        return m_outputs;
    }

    /** Forgets all outputs, after they were sent. */
    void clear()
    {
        m_outputs.clear();
        m_ownedBuffers.clear();
    }

private:
    std::vector<CookieOutput> m_outputs;
    std::deque<std::vector<std::uint8_t>> m_ownedBuffers;
};

} // namespace sapphirespan
