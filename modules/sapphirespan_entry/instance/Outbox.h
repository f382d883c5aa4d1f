#pragma once

#include "sapphirespan_fleet/sapphirespan_fleet.h"

#include <deque>
#include <vector>

namespace sapphirespan {

/** What a datagram in the outbox is. */
enum class OutputKind : std::uint8_t {
    forward, ///< a caller's packet to an upstream's tunnel endpoint
    relay, ///< a caller's packet to the owner of its bucket
    refusal, ///< a refusal to a caller, by way of the return path
    message, ///< a message to a peer
    count
};

template<>
struct NameTable<OutputKind> {
    static constexpr std::array<std::string_view, enumCount<OutputKind>> names {"forward", "relay", "refusal", "message"};
};

/** One datagram to send: the header, if any, followed by the payload. */
struct Output {
    OutputKind kind = OutputKind::forward;
    bool hasHeader = false;
    Endpoint to;
    std::array<std::uint8_t, relayHeaderBytes> header {};
    std::span<const std::uint8_t> payload; ///< the caller's bytes, or bytes that the outbox keeps until cleared
};

/** Datagrams that one instance wants sent, in order.

    Payloads of forwarded and relayed packets point into the bytes that were passed in, so outputs are to be sent or
    copied before those bytes go away. Thread safety: none.
*/
class Outbox
{
public:
    void addForward(const Endpoint &to, std::span<const std::uint8_t> packet);
    void addRelay(const Endpoint &to, const PeerCodec &codec, InstanceId sender, std::uint8_t hopsLeft,
                  std::span<const std::uint8_t> packet);
    void addOwned(OutputKind kind, const Endpoint &to, std::vector<std::uint8_t> bytes);

    const std::vector<Output> &outputs() const
    {
        return m_outputs;
    }

    /** Forgets all outputs, after they were sent. */
    void clear();

private:
    std::vector<Output> m_outputs;
    std::deque<std::vector<std::uint8_t>> m_owned;
};

/** @returns the bytes of an output as one datagram. */
std::vector<std::uint8_t> datagramOf(const Output &output);

} // namespace sapphirespan
