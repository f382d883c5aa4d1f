#include "sapphirespan_flow/packets/PacketView.h"

#include <netinet/icmp6.h>
#include <netinet/in.h>
#include <netinet/ip.h>
#include <netinet/ip6.h>
#include <netinet/ip_icmp.h>
#include <netinet/tcp.h>
#include <netinet/udp.h>

#include <cstring>

namespace sapphirespan {

namespace {

constexpr std::size_t wordBytes = 4;
constexpr std::size_t extensionUnitBytes = 8;
constexpr std::size_t icmpHeaderBytes = 8;
constexpr std::size_t portsBytes = 4;
constexpr int maximumExtensionHeaders = 4;
constexpr std::uint8_t tcpFinFlag = 0x01;
constexpr std::uint8_t tcpSynFlag = 0x02;
constexpr std::uint8_t tcpResetFlag = 0x04;
constexpr std::uint8_t tcpAckFlag = 0x10;
constexpr std::size_t tcpSequenceOffset = 4;
constexpr std::size_t tcpFlagsOffset = 13;

using Bytes = std::span<const std::uint8_t>;

/** The network layer of a packet: addresses, the transport protocol number and where the transport header starts. */
struct NetworkLayer {
    IpAddress source;
    IpAddress destination;
    std::uint8_t protocol = 0;
    Bytes payload;
};

template<typename Header>
std::optional<Header> headerAt(Bytes bytes, std::size_t offset)
{
    if (bytes.size() < offset + sizeof(Header)) {
        return std::nullopt;
    }
    Header header;
    std::memcpy(&header, bytes.data() + offset, sizeof(Header));
    return header;
}

std::uint16_t bigEndian16(Bytes bytes, std::size_t offset)
{
    return static_cast<std::uint16_t>((bytes[offset] << 8) | bytes[offset + 1]);
}

std::nullopt_t dropFor(DropReason why, DropReason &reason)
{
    reason = why;
    return std::nullopt;
}

std::optional<NetworkLayer> parseV4(Bytes bytes, bool isQuote, DropReason &reason)
{
    const auto header = headerAt<iphdr>(bytes, 0);
    if (!header) {
        return dropFor(DropReason::truncated, reason);
    }
    const std::size_t headerBytes = header->ihl * wordBytes;
    const std::size_t totalBytes = ntohs(header->tot_len);
    if (headerBytes < sizeof(iphdr) || totalBytes < headerBytes) {
        return dropFor(DropReason::malformed, reason);
    }
    if (bytes.size() < headerBytes || (!isQuote && bytes.size() < totalBytes)) {
        return dropFor(DropReason::truncated, reason);
    }
    if ((ntohs(header->frag_off) & (IP_MF | IP_OFFMASK)) != 0) {
        return dropFor(DropReason::fragment, reason);
    }
    NetworkLayer layer;
    layer.source = IpAddress::fromBytes({reinterpret_cast<const std::uint8_t *>(&header->saddr), IpAddress::sizeV4});
    layer.destination = IpAddress::fromBytes({reinterpret_cast<const std::uint8_t *>(&header->daddr), IpAddress::sizeV4});
    layer.protocol = header->protocol;
    layer.payload = bytes.subspan(headerBytes, std::min(bytes.size(), totalBytes) - headerBytes);
    return layer;
}

bool isExtensionHeader(std::uint8_t protocol)
{
    return protocol == IPPROTO_HOPOPTS || protocol == IPPROTO_ROUTING || protocol == IPPROTO_DSTOPTS;
}

/** Moves past the extension headers that carry no part of the decision. */
bool skipExtensionHeaders(NetworkLayer &layer, DropReason &reason)
{
    for (int skipped = 0; isExtensionHeader(layer.protocol); ++skipped) {
        if (skipped == maximumExtensionHeaders) {
            reason = DropReason::unsupportedProtocol;
            return false;
        }
        const auto extension = headerAt<ip6_ext>(layer.payload, 0);
        const std::size_t extensionBytes = extension ? (extension->ip6e_len + 1U) * extensionUnitBytes : 0;
        if (!extension || layer.payload.size() < extensionBytes) {
            reason = DropReason::truncated;
            return false;
        }
        layer.protocol = extension->ip6e_nxt;
        layer.payload = layer.payload.subspan(extensionBytes);
    }
    return true;
}

std::optional<NetworkLayer> parseV6(Bytes bytes, bool isQuote, DropReason &reason)
{
    const auto header = headerAt<ip6_hdr>(bytes, 0);
    if (!header) {
        return dropFor(DropReason::truncated, reason);
    }
    const std::size_t totalBytes = sizeof(ip6_hdr) + ntohs(header->ip6_plen);
    if (!isQuote && bytes.size() < totalBytes) {
        return dropFor(DropReason::truncated, reason);
    }
    NetworkLayer layer;
    layer.source = IpAddress::fromBytes({header->ip6_src.s6_addr, IpAddress::sizeV6});
    layer.destination = IpAddress::fromBytes({header->ip6_dst.s6_addr, IpAddress::sizeV6});
    layer.protocol = header->ip6_nxt;
    layer.payload = bytes.subspan(sizeof(ip6_hdr), std::min(bytes.size(), totalBytes) - sizeof(ip6_hdr));
    if (!skipExtensionHeaders(layer, reason)) {
        return std::nullopt;
    }
    if (layer.protocol == IPPROTO_FRAGMENT) {
        return dropFor(DropReason::fragment, reason);
    }
    return layer;
}

std::optional<NetworkLayer> parseNetworkLayer(Bytes bytes, bool isQuote, DropReason &reason)
{
    if (bytes.empty()) {
        return dropFor(DropReason::truncated, reason);
    }
    switch (bytes[0] >> 4) {
    case IpAddress::familyV4:
        return parseV4(bytes, isQuote, reason);
    case 6:
        return parseV6(bytes, isQuote, reason);
    default:
        return dropFor(DropReason::malformed, reason);
    }
}

FlowKey flowOf(const NetworkLayer &layer)
{
    return {layer.source, layer.destination, bigEndian16(layer.payload, 0), bigEndian16(layer.payload, 2),
            static_cast<Protocol>(layer.protocol)};
}

std::optional<PacketView> parseTcp(const NetworkLayer &layer, DropReason &reason)
{
    if (layer.payload.size() < sizeof(tcphdr)) {
        return dropFor(DropReason::truncated, reason);
    }
    const std::size_t headerBytes = (layer.payload[tcpFlagsOffset - 1] >> 4) * wordBytes;
    if (headerBytes < sizeof(tcphdr)) {
        return dropFor(DropReason::malformed, reason);
    }
    if (layer.payload.size() < headerBytes) {
        return dropFor(DropReason::truncated, reason);
    }
    const auto flags = layer.payload[tcpFlagsOffset];
    PacketView view;
    view.flow = flowOf(layer);
    view.isSyn = (flags & tcpSynFlag) != 0 && (flags & tcpAckFlag) == 0;
    view.isFin = (flags & tcpFinFlag) != 0;
    view.isReset = (flags & tcpResetFlag) != 0;
    if (view.isSyn && (view.isFin || view.isReset)) {
        return dropFor(DropReason::malformed, reason);
    }
    view.tcpSequence
        = (std::uint32_t {bigEndian16(layer.payload, tcpSequenceOffset)} << 16) | bigEndian16(layer.payload, tcpSequenceOffset + 2);
    return view;
}

std::optional<PacketView> parseUdp(const NetworkLayer &layer, DropReason &reason)
{
    if (layer.payload.size() < sizeof(udphdr)) {
        return dropFor(DropReason::truncated, reason);
    }
    if (bigEndian16(layer.payload, 4) < sizeof(udphdr)) {
        return dropFor(DropReason::malformed, reason);
    }
    PacketView view;
    view.flow = flowOf(layer);
    return view;
}

bool isIcmpError(const NetworkLayer &layer)
{
    const auto type = layer.payload[0];
    if (layer.protocol == IPPROTO_ICMP) {
        return type == ICMP_DEST_UNREACH || type == ICMP_TIME_EXCEEDED || type == ICMP_PARAMETERPROB;
    }
    return type == ICMP6_DST_UNREACH || type == ICMP6_PACKET_TOO_BIG || type == ICMP6_TIME_EXCEEDED || type == ICMP6_PARAM_PROB;
}

/** Reads an ICMP error: the packet that it quotes went from the service to the caller, so its flow is reversed. */
std::optional<PacketView> parseIcmp(const NetworkLayer &layer, DropReason &reason)
{
    if (layer.payload.size() < icmpHeaderBytes) {
        return dropFor(DropReason::truncated, reason);
    }
    if (!isIcmpError(layer)) {
        return dropFor(DropReason::unsupportedProtocol, reason);
    }
    const auto quoted = parseNetworkLayer(layer.payload.subspan(icmpHeaderBytes), true, reason);
    if (!quoted) {
        return std::nullopt;
    }
    if (quoted->protocol != IPPROTO_TCP && quoted->protocol != IPPROTO_UDP) {
        return dropFor(DropReason::unsupportedProtocol, reason);
    }
    if (quoted->payload.size() < portsBytes) {
        return dropFor(DropReason::truncated, reason);
    }
    if (quoted->source != layer.destination) {
        return dropFor(DropReason::malformed, reason);
    }
    const auto sent = flowOf(*quoted);
    PacketView view;
    view.isQuoted = true;
    view.flow = {sent.destination, sent.source, sent.destinationPort, sent.sourcePort, sent.protocol};
    return view;
}

} // namespace

std::optional<PacketView> parsePacket(std::span<const std::uint8_t> bytes, DropReason &reason)
{
    const auto layer = parseNetworkLayer(bytes, false, reason);
    if (!layer) {
        return std::nullopt;
    }
    const int icmpProtocol = layer->source.family == IpAddress::familyV4 ? int {IPPROTO_ICMP} : int {IPPROTO_ICMPV6};
    if (layer->protocol == IPPROTO_TCP) {
        return parseTcp(*layer, reason);
    }
    if (layer->protocol == IPPROTO_UDP) {
        return parseUdp(*layer, reason);
    }
    if (layer->protocol == icmpProtocol) {
        return parseIcmp(*layer, reason);
    }
    return dropFor(DropReason::unsupportedProtocol, reason);
}

} // namespace sapphirespan
