#pragma once

#include "sapphirespan_base/sapphirespan_base.h"

#include <functional>
#include <vector>

namespace sapphirespan {

/** Names one start of one upstream inside every packet of a flow; 0 means "none". */
using FlowCookie = std::uint32_t;

/** Number by which the data path addresses an upstream. */
using UpstreamId = std::uint64_t;

/** An IPv4 address and a port, both in host byte order. */
struct Ipv4Endpoint {
    std::uint32_t address = 0;
    std::uint16_t port = 0;

    auto operator<=>(const Ipv4Endpoint &) const = default;
};

/** @returns the endpoint in the form that sockets use. */
Endpoint toEndpoint(const Ipv4Endpoint &endpoint);

/** @returns the endpoint, or nothing when it is not IPv4. */
std::optional<Ipv4Endpoint> toIpv4(const Endpoint &endpoint);

/** Both ends of a flow, as the client sees them. */
struct FlowEnds {
    Ipv4Endpoint client;
    Ipv4Endpoint service;

    auto operator<=>(const FlowEnds &) const = default;
};

/** @returns "client -> service", both as "a.b.c.d:port". */
std::string toText(const FlowEnds &ends);

/** One packet from a client, decoded; whatever its transport. */
struct ClientPacket {
    FlowEnds ends;
    bool isOpening = false; ///< the packet opens a flow, or repeats the opening
    bool isReset = false;
    bool isClosing = false;
    std::uint32_t sequence = 0;
    std::uint32_t acknowledged = 0; ///< of the upstream's bytes; for an opening packet: which copy it is, from 0
    std::uint16_t payloadBytes = 0;
    FlowCookie cookie = 0;
};

/** Reads and writes the packets of one transport. The decisions own this interface; adapters implement it.

    Thread safety: implementations are immutable.
*/
class PacketFormat
{
public:
    /** Bytes of the header that stands before a packet on its way to an upstream. */
    static constexpr std::size_t forwardHeaderBytes = 8;

    virtual ~PacketFormat() = default;

    /** @returns the packet, or nothing for bytes that are none. @param bytes of any content */
    virtual std::optional<ClientPacket> decode(std::span<const std::uint8_t> bytes) const = 0;

    /** Writes a cookie into a packet. @pre decode() accepted the bytes */
    virtual void writeCookie(std::span<std::uint8_t> bytes, FlowCookie cookie) const = 0;

    /** @returns the header that makes only this upstream take the packet. @pre upstream is not 0 */
    virtual std::array<std::uint8_t, forwardHeaderBytes> forwardHeader(UpstreamId upstream) const = 0;

    /** @returns a packet that ends a flow at its client. @param sequence one that the client accepts */
    virtual std::vector<std::uint8_t> reset(const FlowEnds &ends, std::uint32_t sequence) const = 0;
};

} // namespace sapphirespan

/** Hashes flows for the tables of one process. */
template<>
struct std::hash<sapphirespan::FlowEnds> {
    std::size_t operator()(const sapphirespan::FlowEnds &ends) const noexcept;
};

/** Hashes endpoints for the tables of one process. */
template<>
struct std::hash<sapphirespan::Ipv4Endpoint> {
    std::size_t operator()(const sapphirespan::Ipv4Endpoint &endpoint) const noexcept;
};
