#pragma once

#include "sapphirespan_config/settings/KeyRing.h"

namespace sapphirespan {

/** Durations that govern one instance's protocols. */
struct InstanceTiming {
    Milliseconds heartbeat {500}; ///< between heartbeats to each peer
    Milliseconds lease {2000}; ///< silence after which a peer is taken to be out
    Milliseconds probe {1000}; ///< between probes of one upstream
    Milliseconds leaveLimit {20000}; ///< longest time for which a leaving instance goes on forwarding
    Milliseconds quiet {1000}; ///< time without packets after which a leaving instance ends
    Milliseconds synHorizon {64000}; ///< longest time over which a caller repeats its SYN
};

/** Everything that a settings file of sapphirespand says. */
struct InstanceSettings {
    std::string name;
    std::string dataCentre;
    Endpoint ingress; ///< UDP: packets from the fabric
    Endpoint peer; ///< UDP: messages and relayed packets from peers
    Endpoint control; ///< TCP: HTTP for operators, peers and metrics
    Endpoint returnPath; ///< UDP: where packets for callers (refusals) are sent
    std::optional<Endpoint> platform; ///< TCP: the platform's object API
    std::vector<Endpoint> seeds; ///< peer endpoints of other instances
    std::string keyFile;
    std::string logLevel = "info";
    std::uint32_t mostFlowEntries = 1U << 20;
    InstanceTiming timing;
};

/** Reads a settings file. @returns nothing after recording findings. Thread safety: pure but for `findings`. */
std::optional<InstanceSettings> parseInstanceSettings(const std::string &path, const std::string &text, FindingList &findings);

} // namespace sapphirespan
