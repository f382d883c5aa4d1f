#pragma once

/** @file
    What a FleetModel is made of; private to its source files.
*/
#include "FleetModel.h"

namespace sapphirespan {

inline constexpr Microseconds withinDataCentre {200};
inline constexpr Microseconds betweenDataCentres {1500};
inline constexpr Microseconds callerDelay = std::chrono::milliseconds(3);
inline constexpr Milliseconds tickPeriod {20};
inline constexpr Milliseconds samplePeriod = std::chrono::seconds(1);
inline constexpr Microseconds stallLimit = std::chrono::seconds(15);
inline constexpr Milliseconds firstRetransmission {200};
inline constexpr Milliseconds longestRetransmission = std::chrono::seconds(2);
inline constexpr Milliseconds synRetransmission = std::chrono::seconds(1);
inline constexpr Milliseconds drainNewsLimit = std::chrono::seconds(3);
inline constexpr Microseconds fetchTime = std::chrono::milliseconds(20);
inline constexpr Microseconds slowJoin = std::chrono::seconds(8);
inline constexpr std::uint64_t mostBrokenNoted = 3;
inline constexpr std::size_t longestBacklog = 4096; ///< datagrams that a frozen process's socket keeps

/** @returns the endpoint of a host in one of the model's networks. */
inline Endpoint endpointOf(unsigned network, std::size_t host, std::uint16_t port)
{
    Endpoint endpoint;
    endpoint.address.bytes
        = {10, static_cast<std::uint8_t>(network), static_cast<std::uint8_t>(host >> 8), static_cast<std::uint8_t>(host)};
    endpoint.port = port;
    return endpoint;
}

/** One instance with what surrounds it. */
struct FleetModel::Node {
    std::size_t number = 0;
    std::size_t dataCentre = 0;
    EntryInstanceSettings settings;
    std::unique_ptr<InvariantLog> invariants;
    std::unique_ptr<EntryInstance> instance;
    std::unique_ptr<BaselineDecider> baseline;
    std::vector<std::function<void()>> backlog; ///< while frozen
    std::uint64_t life = 0; ///< counts starts; timers of an earlier life do nothing
    Milliseconds newsLag {0}; ///< by which this instance learns of changes later than the first
    bool isRunning = false;
    bool isFrozen = false;
    bool isLeaving = false;
    bool isSeenByFabric = false;
    bool isFetching = false;
    std::optional<Microseconds> joiningSince; ///< until it is admitted
    bool isSlowJoinNoted = false;
};

/** One server. */
struct FleetModel::Upstream {
    Endpoint tunnel;
    std::set<std::size_t> flows; ///< numbers of flows that it knows
    std::vector<std::pair<Microseconds, std::size_t>> history; ///< connections over time, for late reports
    std::uint64_t requests = 0; ///< since the counts began; each holds a slot for the same mean time
    bool wasAlwaysOpen = true; ///< since the counts began
    std::optional<Microseconds> openSince; ///< it counts towards imbalance once its slow start is over
    std::optional<Microseconds> drainingSince;
    std::optional<Microseconds> drainNewsAt; ///< when the first instance learned of it
    bool isAlive = true;
    bool isShedding = false;
    bool isStatusSilent = false;
};

struct FleetModel::Service {
    ServiceSetup setup;
    ServiceFile file;
    std::shared_ptr<const ServiceContent> content;
    std::vector<std::unique_ptr<Upstream>> upstreams; ///< by ordinal
};

/** One connection of a caller. */
struct FleetModel::Flow {
    std::size_t number = 0;
    std::size_t service = 0;
    FlowKey key;
    std::optional<std::size_t> upstream; ///< ordinal that first took the opening packet
    Microseconds openedAt {0}; ///< when it did
    Microseconds endsAt {0};
    Microseconds waitingSince {0}; ///< when the packet that waits for delivery was first sent
    Milliseconds nextRetransmission {0};
    bool isWaiting = false;
    bool isOver = false;
};

} // namespace sapphirespan
