#include "sapphirespan_cookie/packets/ClientPacket.h"

namespace sapphirespan {

namespace {

/** Finalizer of SplitMix64 (Steele, Lea and Flood, 2014). */
std::uint64_t splitMix64Finalizer(std::uint64_t value)
{
    value = (value ^ (value >> 30)) * 0xbf58476d1ce4e5b9U;
    value = (value ^ (value >> 27)) * 0x94d049bb133111ebU;
    return value ^ (value >> 31);
}

std::uint64_t toUint64(const Ipv4Endpoint &endpoint)
{
    return (std::uint64_t(endpoint.address) << 16) | endpoint.port;
}

} // namespace

Endpoint toEndpoint(const Ipv4Endpoint &endpoint)
{
    const std::array<std::uint8_t, IpAddress::sizeV4> bytes {
        static_cast<std::uint8_t>(endpoint.address >> 24), static_cast<std::uint8_t>(endpoint.address >> 16),
        static_cast<std::uint8_t>(endpoint.address >> 8), static_cast<std::uint8_t>(endpoint.address)};
    return {IpAddress::fromBytes(bytes), endpoint.port};
}

std::optional<Ipv4Endpoint> toIpv4(const Endpoint &endpoint)
{
    if (endpoint.address.family != IpAddress::familyV4) {
        return std::nullopt;
    }
    const auto &bytes = endpoint.address.bytes;
    const auto address = (std::uint32_t(bytes[0]) << 24) | (std::uint32_t(bytes[1]) << 16) | (std::uint32_t(bytes[2]) << 8) | bytes[3];
    return Ipv4Endpoint {address, endpoint.port};
}

std::string toText(const FlowEnds &ends)
{
    return toEndpoint(ends.client).toText() + " -> " + toEndpoint(ends.service).toText();
}

} // namespace sapphirespan

std::size_t std::hash<sapphirespan::FlowEnds>::operator()(const sapphirespan::FlowEnds &ends) const noexcept
{
    return sapphirespan::splitMix64Finalizer(sapphirespan::toUint64(ends.client)
                                             ^ sapphirespan::splitMix64Finalizer(sapphirespan::toUint64(ends.service)));
}

std::size_t std::hash<sapphirespan::Ipv4Endpoint>::operator()(const sapphirespan::Ipv4Endpoint &endpoint) const noexcept
{
    return sapphirespan::splitMix64Finalizer(sapphirespan::toUint64(endpoint));
}
