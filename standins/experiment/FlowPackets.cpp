#include "FlowPackets.h"

#include <algorithm>

namespace sapphirespan {

namespace {
constexpr std::size_t ipHeaderBytes = 20;
constexpr std::size_t tcpHeaderBytes = 20;
constexpr std::size_t portsPerHost = 50'000;
constexpr std::uint16_t firstPort = 10'000;

void putBigEndian16(std::uint8_t *out, std::size_t value)
{
    out[0] = static_cast<std::uint8_t>(value >> 8);
    out[1] = static_cast<std::uint8_t>(value);
}

std::uint8_t flagsOf(FlowPacket kind)
{
    constexpr std::uint8_t fin = 0x01;
    constexpr std::uint8_t syn = 0x02;
    constexpr std::uint8_t ack = 0x10;
    return kind == FlowPacket::opening ? syn : kind == FlowPacket::closing ? fin | ack : ack;
}
} // namespace

FlowKey flowKeyOf(std::size_t number, const Endpoint &service)
{
    const auto host = number / portsPerHost;
    FlowKey key;
    key.source.bytes
        = {172, static_cast<std::uint8_t>(16 + (host >> 16)), static_cast<std::uint8_t>(host >> 8), static_cast<std::uint8_t>(host)};
    key.sourcePort = static_cast<std::uint16_t>(firstPort + number % portsPerHost);
    key.destination = service.address;
    key.destinationPort = service.port;
    key.protocol = Protocol::tcp;
    return key;
}

std::size_t flowNumberOf(const FlowKey &key)
{
    const auto &bytes = key.source.bytes;
    const std::size_t host = (std::size_t {bytes[1]} - 16) << 16 | std::size_t {bytes[2]} << 8 | bytes[3];
    return host * portsPerHost + (key.sourcePort - firstPort);
}

std::vector<std::uint8_t> buildFlowPacket(const FlowKey &key, FlowPacket kind)
{
    std::vector<std::uint8_t> packet(ipHeaderBytes + tcpHeaderBytes);
    packet[0] = 0x45;
    putBigEndian16(&packet[2], packet.size());
    packet[8] = 64;
    packet[9] = static_cast<std::uint8_t>(key.protocol);
    std::copy_n(key.source.bytes.begin(), IpAddress::sizeV4, packet.begin() + 12);
    std::copy_n(key.destination.bytes.begin(), IpAddress::sizeV4, packet.begin() + 16);
    auto *tcp = packet.data() + ipHeaderBytes;
    putBigEndian16(tcp, key.sourcePort);
    putBigEndian16(tcp + 2, key.destinationPort);
    tcp[12] = (tcpHeaderBytes / 4) << 4;
    tcp[13] = flagsOf(kind);
    return packet;
}

} // namespace sapphirespan
