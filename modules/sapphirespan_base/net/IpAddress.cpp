#include "sapphirespan_base/net/IpAddress.h"

#include <arpa/inet.h>

#include <algorithm>

namespace sapphirespan {

std::optional<IpAddress> IpAddress::parse(const std::string &text)
{
    if (text.find('\0') != std::string::npos) {
        return std::nullopt; // inet_pton() reads up to there
    }
    IpAddress address;
    if (inet_pton(AF_INET, text.c_str(), address.bytes.data()) == 1) {
        return address;
    }
    if (inet_pton(AF_INET6, text.c_str(), address.bytes.data()) == 1) {
        address.family = familyV6;
        return address;
    }
    return std::nullopt;
}

IpAddress IpAddress::fromBytes(std::span<const std::uint8_t> raw)
{
    IpAddress address;
    address.family = raw.size() == sizeV4 ? familyV4 : familyV6;
    std::copy(raw.begin(), raw.end(), address.bytes.begin());
    return address;
}

std::string IpAddress::toText() const
{
    std::array<char, INET6_ADDRSTRLEN> text {};
    inet_ntop(family == familyV4 ? AF_INET : AF_INET6, bytes.data(), text.data(), text.size());
    return text.data();
}

} // namespace sapphirespan
