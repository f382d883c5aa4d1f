#pragma once

#include "sapphirespan_base/sapphirespan_base.h"

namespace sapphirespan {

/** Transport protocols that services use; the values are the IP protocol numbers. */
enum class Protocol : std::uint8_t {
    tcp = 6,
    udp = 17,
};

/** Why a packet was dropped; each reason is counted. */
enum class DropReason : std::uint8_t {
    malformed, ///< a header field contradicts another or the standard
    truncated, ///< the packet ends before a header or before its stated length
    fragment, ///< a fragment, which bears no ports of its own or cannot be completed
    unsupportedProtocol, ///< neither TCP, UDP nor an ICMP error that quotes them
    unknownService, ///< no service has this address
    hopLimit, ///< relayed too often
    unauthenticated, ///< the tag of a relayed packet or peer message does not match
    foreignSender, ///< from an instance that is not a member
    noPeer, ///< must be relayed, and no instance is known that could take it
    noUpstream, ///< nothing may take the new flow, and a refusal would not be provably true
    replayed, ///< an old relayed packet or peer message
    stale, ///< an opening packet that may have waited while this instance was paused; its caller repeats it
    leaving, ///< arrived after the instance handed over and no successor is known
    count
};

template<>
struct NameTable<DropReason> {
    static constexpr std::array<std::string_view, enumCount<DropReason>> names {
        "malformed",       "truncated",      "fragment", "unsupported_protocol", "unknown_service", "hop_limit",
        "unauthenticated", "foreign_sender", "no_peer",  "no_upstream",          "replayed",        "stale",
        "leaving",
    };
};

/** What identifies a flow, as seen from the caller. */
struct FlowKey {
    IpAddress source;
    IpAddress destination;
    std::uint16_t sourcePort = 0;
    std::uint16_t destinationPort = 0;
    Protocol protocol = Protocol::tcp;

    bool operator==(const FlowKey &) const = default;
};

/** The parts of a caller's packet on which decisions depend. */
struct PacketView {
    FlowKey flow;
    bool isSyn = false; ///< a TCP segment that opens a connection (SYN without ACK)
    bool isFin = false;
    bool isReset = false;
    bool isQuoted = false; ///< an ICMP error; `flow` is the flow that it quotes
    std::uint32_t tcpSequence = 0;
};

/** Reads the headers of an IPv4 or IPv6 packet.

    @param bytes one whole packet, of any content and length
    @param reason set when nothing is returned
    @returns the parsed parts, or nothing when the packet must be dropped. Thread safety: pure function.
*/
std::optional<PacketView> parsePacket(std::span<const std::uint8_t> bytes, DropReason &reason);

} // namespace sapphirespan
