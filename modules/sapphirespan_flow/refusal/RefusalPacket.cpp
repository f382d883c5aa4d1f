#include "sapphirespan_flow/refusal/RefusalPacket.h"

#include <tins/icmp.h>
#include <tins/icmpv6.h>
#include <tins/ip.h>
#include <tins/ipv6.h>
#include <tins/rawpdu.h>
#include <tins/tcp.h>

#include <algorithm>
#include <cassert>

namespace sapphirespan {

namespace {

constexpr std::size_t quotedBytes = 64;
constexpr std::uint8_t icmpPortUnreachableCode = 3;
constexpr std::uint8_t icmpv6PortUnreachableCode = 4;
constexpr std::uint8_t hopLimit = 64;

Tins::TCP resetFor(const PacketView &view)
{
    Tins::TCP reset(view.flow.sourcePort, view.flow.destinationPort);
    reset.flags(Tins::TCP::RST | Tins::TCP::ACK);
    reset.ack_seq(view.tcpSequence + 1);
    reset.window(0);
    return reset;
}

template<typename Network, typename Icmp>
std::vector<std::uint8_t> buildWith(Network network, Icmp icmp, const PacketView &view, std::span<const std::uint8_t> bytes)
{
    if (view.flow.protocol == Protocol::tcp) {
        network /= resetFor(view);
        return network.serialize();
    }
    network /= icmp;
    network /= Tins::RawPDU(bytes.data(), static_cast<std::uint32_t>(std::min(bytes.size(), quotedBytes)));
    return network.serialize();
}

} // namespace

std::vector<std::uint8_t> buildRefusal(const PacketView &view, std::span<const std::uint8_t> bytes)
{
    assert(!view.isQuoted);
    const auto caller = view.flow.source.toText();
    const auto service = view.flow.destination.toText();
    if (view.flow.source.family == IpAddress::familyV4) {
        Tins::IP network {Tins::IPv4Address(caller), Tins::IPv4Address(service)};
        network.ttl(hopLimit);
        Tins::ICMP icmp(Tins::ICMP::DEST_UNREACHABLE);
        icmp.code(icmpPortUnreachableCode);
        return buildWith(network, icmp, view, bytes);
    }
    Tins::IPv6 network {Tins::IPv6Address(caller), Tins::IPv6Address(service)};
    network.hop_limit(hopLimit);
    Tins::ICMPv6 icmp(Tins::ICMPv6::DEST_UNREACHABLE);
    icmp.code(icmpv6PortUnreachableCode);
    return buildWith(network, icmp, view, bytes);
}

} // namespace sapphirespan
