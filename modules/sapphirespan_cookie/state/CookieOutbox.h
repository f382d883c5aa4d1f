#pragma once

#include "sapphirespan_cookie/packets/ClientPacket.h"

#include <deque>

namespace sapphirespan {

/** Kind of an outgoing datagram; determines the socket that sends it. */
enum class CookieOutputKind : std::uint8_t {
    forward, ///< a client's packet, sent to an upstream
    reset, ///< a reset packet, sent to the client of a flow
    report, ///< a report, sent to a peer instance
    count
};

template<>
struct NameTable<CookieOutputKind> {
    static constexpr std::array<std::string_view, enumCount<CookieOutputKind>> names {"forward", "reset", "report"};
};

/** One outgoing datagram: the header, if any, followed by the payload. */
struct CookieOutput {
    CookieOutputKind kind = CookieOutputKind::forward;
    Endpoint destination;
    std::array<std::uint8_t, PacketFormat::forwardHeaderBytes> header {};
    std::span<const std::uint8_t> payload; ///< not owned: points into the caller's buffer or into one of the outbox

    std::span<const std::uint8_t> headerBytes() const
    {
        return kind == CookieOutputKind::forward ? std::span<const std::uint8_t>(header) : std::span<const std::uint8_t>();
    }
};

/** Queue of the outgoing datagrams of one instance, in sending order.

    Payloads added by addForward() are not copied: send or copy the outputs before the caller's buffer becomes invalid.
    Thread safety: none.
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

    /** Takes ownership of bytes that outputs may point into. @returns the bytes, valid until clear() */
    std::span<std::uint8_t> retainBytes(std::vector<std::uint8_t> bytes)
    {
        return m_ownedBuffers.emplace_back(std::move(bytes));
    }

    const std::vector<CookieOutput> &outputs() const
    {
        return m_outputs;
    }

    /** Removes all outputs and frees the owned buffers; call it after the outputs were sent. */
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
