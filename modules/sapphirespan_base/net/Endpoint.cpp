#include "sapphirespan_base/net/Endpoint.h"

#include <charconv>

namespace sapphirespan {

namespace {
std::optional<std::uint16_t> parsePort(std::string_view text)
{
    std::uint16_t port = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), port);
    if (error != std::errc() || end != text.data() + text.size() || port == 0) {
        return std::nullopt;
    }
    return port;
}
} // namespace

std::optional<Endpoint> Endpoint::parse(const std::string &text)
{
    const auto colon = text.rfind(':');
    if (colon == std::string::npos) {
        return std::nullopt;
    }
    auto host = text.substr(0, colon);
    const bool bracketed = host.size() > 2 && host.front() == '[' && host.back() == ']';
    if (bracketed) {
        host = host.substr(1, host.size() - 2);
    }
    const auto address = IpAddress::parse(host);
    const auto port = parsePort(std::string_view(text).substr(colon + 1));
    if (!address || !port || bracketed != (address->family == IpAddress::familyV6)) {
        return std::nullopt;
    }
    return Endpoint {*address, *port};
}

std::string Endpoint::toText() const
{
    const auto host = address.toText();
    return (address.family == IpAddress::familyV6 ? "[" + host + "]" : host) + ":" + std::to_string(port);
}

} // namespace sapphirespan
