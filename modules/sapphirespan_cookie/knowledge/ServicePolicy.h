#pragma once

#include "sapphirespan_base/sapphirespan_base.h"

namespace sapphirespan {

/** What the configuration states about the requests of one route. Fields that it does not state are empty. */
struct RoutePolicy {
    std::optional<std::uint32_t> priority; ///< 0 is the most urgent
    std::optional<Milliseconds> targetLatency; ///< within which callers expect a response
    std::optional<Milliseconds> timeout; ///< after which a response is of no use
    bool isIdempotent = false; ///< whether a request may be repeated

    bool operator==(const RoutePolicy &) const = default;
};

/** What the configuration states about the upstreams of one service. Fields that it does not state are empty. */
struct ServicePolicy {
    std::string service;
    std::optional<Milliseconds> warmUpTime; ///< for which an upstream is cold after its start
    std::optional<double> warmUpRequestsPerSecond; ///< new flows that a cold upstream may get, from the whole fleet

    bool operator==(const ServicePolicy &) const = default;
};

} // namespace sapphirespan
