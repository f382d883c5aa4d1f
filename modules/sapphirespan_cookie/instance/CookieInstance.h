#pragma once

#include "sapphirespan_cookie/knowledge/RouteDirectory.h"
#include "sapphirespan_cookie/knowledge/UpstreamDirectory.h"
#include "sapphirespan_cookie/peers/PeerReport.h"

#include <sigc++/signal.h>

#include <memory>

namespace sapphirespan {

struct CookieState;
class CookieOutbox;

/** What the decisions of one instance need to know of its settings. */
struct CookieInstanceSettings {
    std::string name;
    std::string dataCentre;
    std::uint64_t incarnation = 0; ///< grows with each start of the instance
    Endpoint reportEndpoint; ///< UDP: reports from peers
    Endpoint controlEndpoint; ///< TCP: snapshots for peers
    std::uint16_t returnPort = 0; ///< UDP port at which clients take packets
    std::vector<Endpoint> seeds; ///< control endpoints of other instances; peers have the same ports as this instance
    bool isInitialFleetStart = false; ///< the whole fleet starts for the first time, before there is traffic
    bool isSeed = false; ///< other instances may ask this one when they start
    Milliseconds flowLifetime {60000}; ///< after which a flow may be forgotten
    Milliseconds reportInterval {400}; ///< between reports to peers
    std::uint64_t randomSeed = 0;
};

/** What was done with packets of clients. */
struct CookieCounters {
    std::uint64_t packets = 0;
    std::uint64_t forwarded = 0;
    std::uint64_t flowsPlaced = 0; ///< new flows given an upstream
    std::uint64_t flowsMoved = 0; ///< unanswered openings given another upstream
    std::uint64_t resetNoRoute = 0;
    std::uint64_t resetNoUpstream = 0;
    std::uint64_t resetUpstreamUnreachable = 0; ///< open flows ended because their upstream is dark
    std::uint64_t resetUpstreamDeparted = 0; ///< open flows ended because their upstream has departed
    std::uint64_t droppedMalformed = 0;
    std::uint64_t droppedUnknownCookie = 0;
    std::uint64_t droppedNoRoute = 0; ///< while routes are old, or unknown for too long
    std::uint64_t reportsSent = 0;
    std::uint64_t reportBytes = 0;
    std::uint64_t probes = 0;
    std::uint64_t snapshotsRequested = 0;
    std::uint64_t snapshotsServed = 0;
    std::uint64_t initialLoadsFromPeer = 0; ///< starts at which a peer told everything
    std::uint64_t initialLoadsFromStore = 0; ///< those at which the store had to
};

/** Something that operators may want to know; the names are stable and listed in docs/OPERATIONS.md. */
enum class CookieEventKind : std::uint8_t {
    routesInForce,
    storeDataLoaded,
    upstreamListed,
    upstreamDraining,
    upstreamUnreadable,
    upstreamDeparted,
    upstreamSuspect,
    upstreamUnreachable,
    upstreamRecovered,
    dataCentreUnreachable,
    dataCentreRecovered,
    peerDiscovered,
    storeWatchStarted,
    storeWatchStopped,
    instanceLeaving,
    instancePaused,
    flowPlaced,
    flowMoved,
    flowReset,
    openingRejected,
    packetDropped,
    count
};

template<>
struct NameTable<CookieEventKind> {
    static constexpr std::array<std::string_view, enumCount<CookieEventKind>> names {
        "routes_in_force",  "knowledge_loaded", "upstream_listed",  "upstream_draining", "upstream_unreadable", "upstream_departed",
        "upstream_suspect", "upstream_dark",    "upstream_back",    "data_centre_dark",  "data_centre_back",    "peer_appeared",
        "watch_started",    "watch_stopped",    "instance_leaving", "instance_paused",   "flow_placed",         "flow_moved",
        "flow_reset",       "opening_rejected", "packet_dropped"};
};

/** One event: the flow or upstream that it is about, and what happened to it. Texts are left to whoever listens. */
struct CookieEvent {
    CookieEventKind kind = CookieEventKind::count;
    std::optional<FlowEnds> flow;
    FlowCookie upstream = 0; ///< 0 when it is about none
    std::string_view detail; ///< valid during the signal only
};

/** Changes that the store reported together. */
struct UpstreamChanges {
    std::vector<UpstreamEntry> entries;
    std::vector<std::pair<UpstreamId, std::uint64_t>> departed; ///< with the revision of the entry that went
    std::vector<std::pair<UpstreamId, std::uint64_t>> unreadable; ///< with the revision of the entry
};

/** Which part of the store's knowledge an answer confirms. */
enum class StoreDataKind : std::uint8_t {
    routes,
    upstreams,
    count
};

template<>
struct NameTable<StoreDataKind> {
    static constexpr std::array<std::string_view, enumCount<StoreDataKind>> names {"routes", "upstreams"};
};

/** What a connection attempt is to show. */
enum class ProbePurpose : std::uint8_t {
    upstream, ///< whether the upstream can be reached
    dataCentre, ///< whether any of its data centre can be
    selfCheck, ///< whether this instance reaches anything
    count
};

template<>
struct NameTable<ProbePurpose> {
    static constexpr std::array<std::string_view, enumCount<ProbePurpose>> names {"upstream", "data_centre", "control"};
};

/** Asks the driver to try a connection to an upstream. */
struct ProbeRequest {
    FlowCookie cookie = 0;
    Endpoint address;
    SteadyTime startedAt {};
    ProbePurpose purpose = ProbePurpose::upstream;
};

/** Which part of its knowledge a peer is asked for. */
struct SnapshotScope {
    std::uint64_t routesNewerThan = 0; ///< routes are sent only if their revision is higher
    bool hasRecentUpstreamsOnly = false; ///< only upstreams about which the peer learned something lately
};

/** Asks the driver to fetch a snapshot from a peer's control endpoint. */
struct SnapshotRequest {
    Endpoint controlEndpoint;
    SnapshotScope scope;
};

/** All decisions of one entry instance with cookie steering, without input or output.

    The instance that places a flow writes a cookie into its opening packet; both ends repeat it, so every instance that
    knows the same upstreams sends each later packet to the same place. No table of flows is shared.

    A driver calls beginBatch(), then any number of input methods, then sends outbox().outputs(), clears it, and carries
    out takeProbeRequests() and takeSnapshotRequests(). It calls tick() every 50 ms. The same inputs at the same times
    give the same outputs.

    Thread safety: none; one instance belongs to one thread.
*/
class CookieInstance
{
public:
    /** @param format, clock outlive the instance */
    CookieInstance(const CookieInstanceSettings &settings, const PacketFormat &format, const Clock &clock);
    ~CookieInstance();
    CookieInstance(const CookieInstance &) = delete;
    CookieInstance &operator=(const CookieInstance &) = delete;

    /** Reads the clock. */
    void beginBatch();

    /** A packet from a client, of any content. @param bytes are changed where the cookie stands; they must live until
        the outbox is cleared
    */
    void packetArrived(std::span<std::uint8_t> bytes);

    /** A datagram on the peer endpoint, of any content. */
    void peerDatagramArrived(std::span<const std::uint8_t> datagram);

    /** The store's complete list of upstreams. */
    void upstreamsListed(const UpstreamList &list);

    /** What changed about the store's upstreams since the state that this instance knows. */
    void upstreamsChanged(const UpstreamChanges &changes);

    /** A configuration from the store; ignored unless it is newer than the one in force. */
    void routesArrived(const RouteConfiguration &configuration);

    /** The store has just said that nothing else has changed. @param revision of the store then */
    void storeConfirmed(StoreDataKind part, std::uint64_t revision);

    /** A call to the store failed; other instances are better placed to watch it. */
    void storeFailed();

    /** A peer's answer to a SnapshotRequest. */
    void snapshotArrived(const StoreDataSnapshot &snapshot);

    /** The outcome of a ProbeRequest. */
    void probeEnded(const ProbeRequest &request, ProbeResult result);

    /** Asks the instance to leave. It waits while others of its data centre are out, but not beyond `latest`; from then
        on it is not ready, and it forwards until its process ends. Idempotent.
    */
    void leaveRequested(SteadyTime latest);

    /** @returns since when the instance is leaving and not ready any more, or nothing. */
    std::optional<SteadyTime> leavingSince() const;

    /** Replaces the seeds, after the settings changed. */
    void setSeeds(const std::vector<Endpoint> &seeds);

    /** Lets time pass: judgement, reports, expiry. Contains its own batch. */
    void tick();

    CookieOutbox &outbox();
    std::vector<ProbeRequest> takeProbeRequests();
    std::vector<SnapshotRequest> takeSnapshotRequests();

    /** @returns whether this instance should ask the store: to load, or as one of the watchers. */
    bool shouldQueryStore() const;

    /** @returns up to which revisions of the store this instance knows everything. */
    StoreRevisions storeRevisions() const;

    /** @returns whether packets may be handed to this instance: it knows routes and upstreams and is not leaving. */
    bool isReady() const;

    /** @returns the time since the latest packet of a client. */
    Milliseconds timeSinceLastPacket() const;

    /** @returns what a peer asks for, or nothing before this instance knows it. */
    std::optional<StoreDataSnapshot> snapshot(const SnapshotScope &scope);

    const CookieCounters &counters() const;
    const CookieState &state() const;

    /** Emitted for each event, during an input method. */
    sigc::signal<void(const CookieEvent &)> &signalEvent();

private:
    std::unique_ptr<CookieState> m_state;
};

} // namespace sapphirespan
