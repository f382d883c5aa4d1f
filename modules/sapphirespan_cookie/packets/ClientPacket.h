#pragma once

#include "sapphirespan_base/sapphirespan_base.h"

#include <functional>
#include <vector>

namespace sapphirespan {

/** Identifies one start of one upstream in every packet of a flow; 0 means "none". */
using FlowCookie = std::uint32_t;

/** Id that the forwarding header carries to address an upstream. */
using UpstreamId = std::uint64_t;

/** An IPv4 address and a port, both in host byte order. */
struct Ipv4Endpoint {
    std::uint32_t address = 0;
    std::uint16_t port = 0;

    auto operator<=>(const Ipv4Endpoint &) const = default;
};

/** Converts to the address-family-independent type that sockets use. */
Endpoint toEndpoint(const Ipv4Endpoint &endpoint);

/** @returns the endpoint, or nothing if its address is not IPv4. */
std::optional<Ipv4Endpoint> toIpv4(const Endpoint &endpoint);

/** Client and service address of a flow as they stand in the client's packets; identifies the flow. */
struct FlowEnds {
    Ipv4Endpoint client;
    Ipv4Endpoint service;

    auto operator<=>(const FlowEnds &) const = default;
};

/** @returns "client -> service", both as "a.b.c.d:port". */
std::string toText(const FlowEnds &ends);

/** A decoded client packet, independent of its transport protocol. */
struct ClientPacket {
    FlowEnds ends;
    bool isOpening = false; ///< opens a flow, or is a retransmission of the opening packet
    bool isReset = false;
    bool isClosing = false;
    std::uint32_t sequence = 0;
    std::uint32_t acknowledged
        = 0; ///< acknowledgement number for the upstream's bytes; in an opening packet, its retransmission count from 0
    std::uint16_t payloadBytes = 0;
    FlowCookie cookie = 0;
};

/** Parses and builds the packets of one transport protocol. Implemented outside this module.

    Thread safety: implementations are immutable.
*/
class PacketFormat
{
public:
    /** Size in bytes of the header that precedes a packet forwarded to an upstream. */
    static constexpr std::size_t forwardHeaderBytes = 8;

    virtual ~PacketFormat() = default;

    /** @returns the decoded packet, or nothing if the bytes are malformed. @param bytes untrusted input of any length */
    virtual std::optional<ClientPacket> decode(std::span<const std::uint8_t> bytes) const = 0;

    /** Writes a cookie into a packet in place. @pre decode() accepted the bytes */
    virtual void writeCookie(std::span<std::uint8_t> bytes, FlowCookie cookie) const = 0;

    /** @returns the header by which only this upstream accepts the packet. @pre upstream is not 0 */
    virtual std::array<std::uint8_t, forwardHeaderBytes> forwardHeader(UpstreamId upstream) const = 0;

    /** @returns a reset packet that ends a flow at its client. @param sequence a sequence number that the client accepts */
    virtual std::vector<std::uint8_t> reset(const FlowEnds &ends, std::uint32_t sequence) const = 0;
};

} // namespace sapphirespan

/** Hash for tables within one process; not part of any wire format. */
template<>
struct std::hash<sapphirespan::FlowEnds> {
    std::size_t operator()(const sapphirespan::FlowEnds &ends) const noexcept;
};

/** Hash for tables within one process; not part of any wire format. */
template<>
struct std::hash<sapphirespan::Ipv4Endpoint> {
    std::size_t operator()(const sapphirespan::Ipv4Endpoint &endpoint) const noexcept;
};
