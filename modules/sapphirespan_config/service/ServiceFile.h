#pragma once

#include "sapphirespan_flow/sapphirespan_flow.h"

#include <string>
#include <vector>

namespace sapphirespan {

/** An address on which a service is reached. */
struct ServiceAddress {
    Endpoint endpoint;
    Protocol protocol = Protocol::tcp;

    auto operator<=>(const ServiceAddress &) const = default;
};

/** An upstream as its service file states it. */
struct UpstreamSpec {
    Endpoint tunnel; ///< where encapsulated packets are sent
    std::string dataCentre;
    std::uint32_t weight = 1;
    std::uint32_t slots = 1; ///< requests that it serves at once
    std::uint32_t connectionCap = 0; ///< most open connections; 0 means no cap
    std::optional<Endpoint> status; ///< HTTP endpoint that reports health and load

    bool operator==(const UpstreamSpec &) const = default;
};

/** How traffic reaches the upstreams of a service. */
struct TrafficPolicy {
    std::uint32_t steeredPermille = 250; ///< share of buckets whose owner may even out load
    std::uint32_t tolerancePermille = 50; ///< load above the mean up to which the default upstream is kept
    Milliseconds idleTimeout {std::chrono::hours(4)}; ///< silence after which a flow is over
    Milliseconds drainLimit {std::chrono::hours(4)}; ///< longest time for which a leaving upstream keeps its flows
    Milliseconds slowStart {std::chrono::seconds(30)}; ///< time over which a new upstream's share rises to its full size

    bool operator==(const TrafficPolicy &) const = default;
};

/** The service level that the service's team states. */
struct Objective {
    double level = 0.999; ///< share of new flows that must be placed
    Milliseconds window {std::chrono::hours(24 * 30)};

    bool operator==(const Objective &) const = default;
};

/** A whole service file. */
struct ServiceFile {
    std::string name;
    std::vector<ServiceAddress> addresses;
    std::vector<UpstreamSpec> upstreams;
    TrafficPolicy traffic;
    Objective objective;

    bool operator==(const ServiceFile &) const = default;
};

/** A service file with the places that later checks point to. */
struct ParsedServiceFile {
    ServiceFile service;
    Place namePlace;
    std::vector<Place> addressPlaces;
};

/** Reads one service file.

    @param path name for findings @param text content of any kind @param findings receives everything wrong
    @returns the service, or nothing when the content has a finding. Thread safety: pure but for `findings`.
*/
std::optional<ParsedServiceFile> parseServiceFile(const std::string &path, const std::string &text, FindingList &findings);

/** @returns whether the text is 1 to 63 lower-case letters, digits and inner hyphens. */
bool isValidName(const std::string &text);

} // namespace sapphirespan
