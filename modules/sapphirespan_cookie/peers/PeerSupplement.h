#pragma once

#include "sapphirespan_cookie/knowledge/EvacuationEntry.h"

#include "sapphirespan_base/sapphirespan_base.h"

#include <optional>
#include <span>

namespace sapphirespan {

/** Load of one service at the upstreams of the sender's data centre, as the sender sees it. */
struct ServiceLoadReport {
    std::string service;
    double slots = 0; ///< of the upstreams there that can take new flows
    double offeredLoad = 0; ///< requests a second of the whole data centre times work in seconds, per slot
    double meanWaitMs = 0; ///< mean response time less the time without queueing
    double responses = 0; ///< number of responses that this rests on, decayed
    std::uint32_t ageMs = 0; ///< of the latest of them, when the supplement is sent
};

/** Load that the clients of the sender's data centre offer to the upstreams of another one. */
struct OutflowReport {
    std::string service;
    std::string dataCentre; ///< of the upstreams
    double load = 0; ///< slots that it keeps busy, for all instances of the sender's data centre
};

/** Upper limit of outflows in a supplement; keeps it within one datagram with all else that it may carry. */
inline constexpr std::size_t maxOutflowsPerSupplement = 12;

/** Upper limit of services in a supplement; those with most responses are sent. */
inline constexpr std::size_t maxServiceLoadsPerSupplement = 8;

/** Message that accompanies reports to peers and carries what PeerReport has no field for. Earlier releases do not know its
    magic number and ignore it; PeerReport keeps its format, so that releases can run side by side. */
struct PeerSupplement {
    std::string sender;
    std::uint64_t incarnation = 0; ///< of the sender
    std::uint64_t sequenceNumber = 0; ///< increases with each supplement of an incarnation
    std::string dataCentre; ///< of the sender
    std::uint32_t knownInstances = 0; ///< instances that the sender has heard of in the last minute, itself included
    EvacuationList evacuations;
    std::vector<ServiceLoadReport> loads;
    std::vector<OutflowReport> outflows {}; ///< largest first
};

/** Encodes a supplement as msgpack. Thread safety: pure function, as is decodeSupplement(). */
std::vector<std::uint8_t> encode(const PeerSupplement &supplement);

/** Decodes a supplement. @param bytes untrusted input
    @returns the supplement, or nullopt if the bytes are not one or a number in it is not finite or negative */
std::optional<PeerSupplement> decodeSupplement(std::span<const std::uint8_t> bytes);

} // namespace sapphirespan
