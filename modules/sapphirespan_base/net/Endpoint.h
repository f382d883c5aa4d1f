#pragma once

#include "sapphirespan_base/net/IpAddress.h"

namespace sapphirespan {

/** An IP address and a TCP or UDP port. */
struct Endpoint {
    IpAddress address;
    std::uint16_t port = 0;

    /** @returns the endpoint of "a.b.c.d:port" or "[v6]:port", or nothing; port 0 is refused. */
    static std::optional<Endpoint> parse(const std::string &text);

    /** @returns "a.b.c.d:port" or "[v6]:port". */
    std::string toText() const;

    auto operator<=>(const Endpoint &) const = default;
};

} // namespace sapphirespan
