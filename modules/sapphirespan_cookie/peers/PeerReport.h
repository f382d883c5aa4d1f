#pragma once

#include "sapphirespan_cookie/evidence/VerdictTable.h"
#include "sapphirespan_cookie/knowledge/RouteDirectory.h"
#include "sapphirespan_cookie/knowledge/UpstreamDirectory.h"

namespace sapphirespan {

/** Life of an instance as it tells its peers. */
enum class PeerPhase : std::uint8_t {
    starting, ///< has not learned routes and upstreams yet
    serving,
    waitingToLeave, ///< serves, and will leave once fewer instances of its data centre are out
    leaving, ///< still forwards, and will end soon
    count
};

template<>
struct NameTable<PeerPhase> {
    static constexpr std::array<std::string_view, enumCount<PeerPhase>> names {"starting", "serving", "waiting", "leaving"};
};

/** Which state of the store an instance knows. */
struct StoreDataVersion {
    std::uint64_t routesRevision = 0;
    std::uint64_t upstreamsDigest = 0;

    bool operator==(const StoreDataVersion &) const = default;
};

/** Revisions of the store up to which an instance knows everything about routes and upstreams; 0 for nothing. */
struct StoreRevisions {
    std::uint64_t routes = 0;
    std::uint64_t upstreams = 0;

    bool operator==(const StoreRevisions &) const = default;
};

/** One instance and how to reach it. */
struct PeerDescriptor {
    std::string name;
    std::uint64_t incarnation = 0; ///< grows with each start
    std::string dataCentre;
    Endpoint reportEndpoint; ///< UDP
    Endpoint controlEndpoint; ///< TCP

    bool operator==(const PeerDescriptor &) const = default;
};

/** Load of one upstream at one instance. */
struct UpstreamLoadReport {
    FlowCookie cookie = 0;
    std::uint32_t activeFlows = 0;
    std::uint32_t waitingRequests = 0;
};

/** A verdict on its way between instances. */
struct VerdictReport {
    VerdictSubject subject;
    ProberId witness = 0;
    std::string vantage; ///< data centre of the witness
    ProbeResult result = ProbeResult::connected;
    std::uint32_t ageMs = 0;
};

/** Another instance that the sender knows of. */
struct KnownPeer {
    PeerDescriptor descriptor;
    std::uint32_t sinceLastAliveMs = 0; ///< since it was last heard
    PeerPhase phase = PeerPhase::serving; ///< as it said then
    bool reachesStore = true; ///< as it said then
};

/** What one instance tells another in one datagram. */
struct PeerReport {
    PeerDescriptor sender;
    std::uint64_t sequenceNumber = 0; ///< grows with each report of an incarnation
    PeerPhase phase = PeerPhase::starting;
    bool reachesStore = false;
    bool isWatchingStore = false;
    StoreDataVersion storeDataVersion;
    StoreRevisions storeRevisions;
    std::uint32_t storeDataAgeMs = 0; ///< since the store last confirmed what the stamp stands for
    bool hasLoads = false; ///< else the loads of the report before still hold
    std::vector<UpstreamLoadReport> upstreamLoads;
    std::vector<VerdictReport> verdicts; ///< of the sender and of others
    std::vector<UpstreamEntry> upstreamChanges; ///< learned lately
    std::vector<KnownPeer> knownPeers;
};

/** Everything that a starting or lagging instance needs from a peer. */
struct StoreDataSnapshot {
    RouteConfiguration routes;
    std::vector<UpstreamEntry> upstreams; ///< departed starts too
    StoreRevisions storeRevisions; ///< of the peer
    bool hasRecentUpstreamsOnly = false; ///< else an upstream that is missing is not listed, at the peer's revision
    std::uint32_t storeDataAgeMs = 0;
};

/** @returns the bytes of a report. */
std::vector<std::uint8_t> encode(const PeerReport &report);

/** @returns the bytes of a snapshot. */
std::string encode(const StoreDataSnapshot &snapshot);

/** @returns the report, or nothing for bytes that are none. @param bytes of any content */
std::optional<PeerReport> decodeReport(std::span<const std::uint8_t> bytes);

/** @returns the snapshot, or nothing for bytes that are none. @param bytes of any content */
std::optional<StoreDataSnapshot> decodeSnapshot(std::span<const std::uint8_t> bytes);

} // namespace sapphirespan
