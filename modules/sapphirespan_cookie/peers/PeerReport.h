#pragma once

#include "sapphirespan_cookie/evidence/VerdictBook.h"
#include "sapphirespan_cookie/knowledge/EvacuationEntry.h"
#include "sapphirespan_cookie/knowledge/RouteDirectory.h"
#include "sapphirespan_cookie/knowledge/UpstreamDirectory.h"

namespace sapphirespan {

/** Lifecycle phase of an instance, as it reports it to its peers. */
enum class PeerPhase : std::uint8_t {
    starting, ///< has not loaded routes and upstreams yet
    serving,
    waitingToLeave, ///< still serves; will leave once fewer instances of its data centre are unavailable
    leaving, ///< still forwards packets, and will end soon
    count
};

template<>
struct NameTable<PeerPhase> {
    static constexpr std::array<std::string_view, enumCount<PeerPhase>> names {"starting", "serving", "waiting", "leaving"};
};

/** Identifies the version of the store's data that an instance holds. */
struct StoreDataVersion {
    std::uint64_t routesRevision = 0; ///< store revision of the routes in force
    std::uint64_t upstreamsDigest = 0; ///< UpstreamDirectory::digest()

    bool operator==(const StoreDataVersion &) const = default;
};

/** Store revisions up to which an instance has all changes of each kind of data; 0 if it has none. */
struct StoreRevisions {
    std::uint64_t routes = 0;
    std::uint64_t upstreams = 0;
    std::uint64_t evacuations = 0; ///< sent to no peer in reports and snapshots, which carry the first two only

    bool operator==(const StoreRevisions &) const = default;
};

/** Identity of an instance and the endpoints at which its peers reach it. */
struct PeerDescriptor {
    std::string name;
    std::uint64_t incarnation = 0; ///< increases with each start, unless the wall clock was stepped back
    std::string dataCentre;
    Endpoint reportEndpoint; ///< UDP; receives PeerReport datagrams
    Endpoint controlEndpoint; ///< TCP; serves snapshots

    bool operator==(const PeerDescriptor &) const = default;
};

/** A Verdict as sent between instances, with its age in place of a time. */
struct VerdictReport {
    VerdictSubject subject;
    ProberId prober = 0; ///< instance that made the connection attempts
    std::string proberDataCentre; ///< data centre of that instance
    ProbeResult result = ProbeResult::connected;
    std::uint32_t ageMs = 0; ///< time since the result was obtained, when the report is sent
    bool isHostSilent = false; ///< as in Verdict; false from earlier releases
};

/** What the sender of a report knows about another instance. */
struct KnownPeer {
    PeerDescriptor descriptor;
    std::uint32_t sinceLastAliveMs = 0; ///< time since its last known sign of life, when the report is sent
    PeerPhase phase = PeerPhase::serving; ///< as of that sign of life
    bool reachesStore = true; ///< as of that sign of life
};

/** Upper limit of an encoded report. A longer datagram than a jumbo frame is cut off when it is received, and one beyond 64 KB
    is not sent at all. */
inline constexpr std::size_t maxReportBytes = 8192;

/** Message from one instance to another, sent as one UDP datagram. */
struct PeerReport {
    PeerDescriptor sender;
    std::uint64_t sequenceNumber = 0; ///< increases with each report of an incarnation
    PeerPhase phase = PeerPhase::starting;
    bool reachesStore = false;
    bool isWatchingStore = false;
    bool ranksAcrossDataCentres = false; ///< whether the sender's ranks let data centres take turns, as PeerTable says
    StoreDataVersion storeDataVersion;
    StoreRevisions storeRevisions;
    std::uint32_t storeDataAgeMs = 0; ///< time since the store last confirmed storeDataVersion
    std::vector<VerdictReport> verdicts; ///< the sender's own and those of other instances
    std::vector<UpstreamEntry> upstreamChanges; ///< entries that the sender learned recently
    std::vector<KnownPeer> knownPeers;
};

/** Routes and upstreams that an instance which is starting, or has outdated data, fetches from a peer. */
struct StoreDataSnapshot {
    RouteConfiguration routes; ///< revision 0 if the peer left them out
    std::vector<UpstreamEntry> upstreams; ///< including starts that have departed
    StoreRevisions storeRevisions; ///< up to which the peer has all changes
    bool hasRecentUpstreamsOnly = false; ///< if false, an upstream missing here was not listed at storeRevisions.upstreams
    std::uint32_t storeDataAgeMs = 0; ///< time since the store last confirmed the peer's data
    /** Whether the policies of routes and services, and the evacuation orders, are included. Earlier releases do not read a snapshot
        with them, so they are sent only on request. */
    bool hasPolicies = false;
    EvacuationList evacuations {};
};

/** Encodes a report as msgpack. The caller limits its lists so that it fits into a datagram; the size is not checked.

    Thread safety: pure function, as are the others below.
*/
std::vector<std::uint8_t> encode(const PeerReport &report);

/** Encodes a snapshot as msgpack. */
std::string encode(const StoreDataSnapshot &snapshot);

/** Decodes a report. @param bytes untrusted input
    @returns the report, or nullopt if the bytes are not a valid report of this protocol version
*/
std::optional<PeerReport> decodeReport(std::span<const std::uint8_t> bytes);

/** Decodes a snapshot. @param bytes untrusted input
    @returns the snapshot, or nullopt if the bytes are not a valid snapshot of this protocol version
*/
std::optional<StoreDataSnapshot> decodeSnapshot(std::span<const std::uint8_t> bytes);

} // namespace sapphirespan
