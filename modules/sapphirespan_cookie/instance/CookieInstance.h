#pragma once

#include "sapphirespan_admission/sapphirespan_admission.h"
#include "sapphirespan_cookie/knowledge/RouteDirectory.h"
#include "sapphirespan_cookie/knowledge/UpstreamDirectory.h"
#include "sapphirespan_cookie/peers/PeerReport.h"

#include <sigc++/signal.h>

#include <memory>

namespace sapphirespan {

struct CookieState;
class CookieOutbox;

/** The discard service (RFC 863), to which a connection does no harm. */
inline constexpr std::uint16_t defaultHostProbePort = 9;

/** Settings of one instance with cookie steering. */
struct CookieInstanceSettings {
    std::string name;
    std::string dataCentre;
    std::uint64_t incarnation = 0; ///< higher at each start of the instance
    Endpoint reportEndpoint; ///< UDP; receives reports from peers
    Endpoint controlEndpoint; ///< TCP; serves snapshots to peers
    std::uint16_t returnPort = 0; ///< UDP port at which clients receive packets
    std::vector<Endpoint> seeds; ///< control endpoints of other instances; peers have the same ports as this instance
    bool isInitialFleetStart = false; ///< this is the first start of the whole fleet, before there is traffic
    bool isSeed = false; ///< other instances may load their data from this one when they start
    /** Departed upstreams are kept for this time and a margin. Flows expire by RouteConfiguration::idleTimeout instead. */
    Milliseconds flowLifetime {60000};
    Milliseconds reportInterval {400}; ///< interval between regular reports to peers
    /** TCP port at which the hosts of upstreams are probed. Nothing needs to listen there: a refusal is an answer as well. */
    std::uint16_t hostProbePort = defaultHostProbePort;
    AdmissionSettings admission;
    bool appliesEvacuations = false; ///< orders to empty data centres are watched and applied
    WarmUpSettings warmUp {};
    std::uint64_t randomSeed = 0;
};

/** Why a flow was placed in the data centre where it is. */
enum class PlacementReason : std::uint8_t {
    home, ///< the data centre of the instance
    load, ///< elsewhere, since home is more loaded
    overflow, ///< elsewhere, since it would have been rejected at home
    noHome, ///< elsewhere, since no upstream at home could take it
    preference, ///< elsewhere, although home was preferred; only where the choice is not strict
    count
};

template<>
struct NameTable<PlacementReason> {
    static constexpr std::array<std::string_view, enumCount<PlacementReason>> names {"home", "load", "overflow", "no_home", "preference"};
};

/** Counters of one instance since its start. */
struct CookieCounters {
    std::uint64_t packets = 0;
    std::uint64_t forwarded = 0;
    std::uint64_t flowsPlaced = 0; ///< new flows assigned to an upstream
    std::uint64_t flowsMoved = 0; ///< unanswered opening packets reassigned to another upstream
    std::array<std::uint64_t, enumCount<PlacementReason>> placements {}; ///< new and moved flows, by PlacementReason
    std::uint64_t resetNoRoute = 0;
    std::uint64_t openFlowsResetNoRoute = 0; ///< those of resetNoRoute that concerned open flows
    std::uint64_t resetNoUpstream = 0;
    std::uint64_t resetEvacuated = 0; ///< new flows rejected because all data centres with ready upstreams are evacuated
    std::uint64_t resetOverload = 0; ///< new flows rejected because their service is overloaded
    std::uint64_t withheldOverload = 0; ///< new flows placed in an overload, since they may be open through another instance
    std::uint64_t withheldNoRoute = 0; ///< likewise openings that were dropped
    std::uint64_t withheldNoUpstream = 0;
    std::uint64_t resetUpstreamUnreachable = 0; ///< open flows reset because their upstream is unreachable
    std::uint64_t resetUpstreamDeparted = 0; ///< open flows reset because their upstream has departed
    std::uint64_t idleFlowsEnded = 0; ///< those of the two above that waited for no response
    std::uint64_t progressWhileUnreachable = 0; ///< flows that progressed at an upstream that was taken for unreachable
    std::uint64_t droppedMalformed = 0;
    std::uint64_t droppedUnknownCookie = 0;
    std::uint64_t droppedBarredCopies = 0; ///< of openings, for which no upstream was chosen anew
    std::uint64_t droppedNoRoute = 0; ///< routes may be out of date, or the initial load took too long
    std::uint64_t reportsSent = 0;
    std::uint64_t reportBytes = 0;
    std::uint64_t probes = 0; ///< all attempts
    std::uint64_t hostProbes = 0; ///< those of them that asked hosts
    std::uint64_t snapshotsRequested = 0;
    std::uint64_t snapshotsServed = 0;
    std::uint64_t initialLoadsFromPeer = 0; ///< initial loads completed by a peer's snapshot
    std::uint64_t initialLoadsFromStore = 0; ///< initial loads completed by the store
};

/** Kind of an event that is reported to operators. The names are stable and listed in docs/OPERATIONS.md. */
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
    storeRestored, ///< the store came back from an older copy, so a new generation of revisions has begun
    routesRefused, ///< a configuration of an older version than the one in force
    evacuationStarted, ///< a data centre gets no new flows any more, by order
    evacuationEnded, ///< the order was taken back, and the data centre gets new flows again
    evacuationHeld, ///< an order stays in force for now although the store no longer lists it
    coldUpstreamsLimited, ///< new flows of a service were kept from cold upstreams
    reservedShareChanged, ///< the part of a service's upstreams that is reserved for urgent routes
    dataCentreShareChanged, ///< the share of new flows that leaves the data centre because of load
    evacuationPassedOver, ///< an order is not applied
    rejectionWithheld, ///< an opening was not rejected, since its flow may be open through another instance
    count
};

template<>
struct NameTable<CookieEventKind> {
    static constexpr std::array<std::string_view, enumCount<CookieEventKind>> names {"routes_in_force",
                                                                                     "knowledge_loaded",
                                                                                     "upstream_listed",
                                                                                     "upstream_draining",
                                                                                     "upstream_unreadable",
                                                                                     "upstream_departed",
                                                                                     "upstream_suspect",
                                                                                     "upstream_dark",
                                                                                     "upstream_back",
                                                                                     "data_centre_dark",
                                                                                     "data_centre_back",
                                                                                     "peer_appeared",
                                                                                     "watch_started",
                                                                                     "watch_stopped",
                                                                                     "instance_leaving",
                                                                                     "instance_paused",
                                                                                     "flow_placed",
                                                                                     "flow_moved",
                                                                                     "flow_reset",
                                                                                     "opening_rejected",
                                                                                     "packet_dropped",
                                                                                     "store_restored",
                                                                                     "routes_refused",
                                                                                     "evacuation_started",
                                                                                     "evacuation_ended",
                                                                                     "evacuation_held",
                                                                                     "cold_upstreams_limited",
                                                                                     "reserved_share_changed",
                                                                                     "data_centre_share_changed",
                                                                                     "evacuation_passed_over",
                                                                                     "rejection_withheld"};
};

/** One event, with the flow or upstream that it concerns. Listeners build the message text. */
struct CookieEvent {
    CookieEventKind kind = CookieEventKind::count;
    std::optional<FlowEnds> flow;
    FlowCookie upstream = 0; ///< 0 if the event concerns no upstream
    std::string_view detail; ///< valid only while the signal is being emitted
};

/** Changes of upstreams that the store reported together. */
struct UpstreamChanges {
    std::vector<UpstreamEntry> entries;
    std::vector<std::pair<UpstreamId, std::uint64_t>> departed; ///< id, and the revision of the removed entry
    std::vector<std::pair<UpstreamId, std::uint64_t>> unreadable; ///< id, and the revision of the entry
};

/** Part of the store's data that a confirmation refers to. */
enum class StoreDataKind : std::uint8_t {
    routes,
    upstreams,
    count
};

template<>
struct NameTable<StoreDataKind> {
    static constexpr std::array<std::string_view, enumCount<StoreDataKind>> names {"routes", "upstreams"};
};

/** Question that a probe answers. A probe is one connection attempt. */
enum class ProbePurpose : std::uint8_t {
    upstream, ///< whether this upstream accepts connections
    host, ///< whether the host of this upstream answers at all
    dataCentre, ///< whether any upstream of its data centre is reachable
    selfCheck, ///< whether this instance reaches anything; a control for silent probes
    hostSelfCheck, ///< whether the host of a reachable upstream answers; a control for silent probes of hosts
    peerSelfCheck, ///< whether a peer accepts connections; a control for an attempt to confirm the silence of a host
    count
};

template<>
struct NameTable<ProbePurpose> {
    static constexpr std::array<std::string_view, enumCount<ProbePurpose>> names {"upstream", "host",         "data_centre",
                                                                                  "control",  "host_control", "peer_control"};
};

/** Request to the driver to attempt a connection to an upstream or its host. */
struct ProbeRequest {
    FlowCookie cookie = 0; ///< 0 if it asks a peer
    Endpoint address;
    SteadyTime startedAt {};
    ProbePurpose purpose = ProbePurpose::upstream;
};

/** Number of probes that ended, by purpose. */
struct ProbeCounters {
    std::array<std::array<std::uint64_t, enumCount<ProbeResult>>, enumCount<ProbePurpose>> ended {}; ///< by result
    std::array<std::uint64_t, enumCount<ProbePurpose>> notMade {}; ///< the attempt failed on the side of this instance
    std::array<std::uint64_t, enumCount<ProbePurpose>> answeredLate {}; ///< those that had been counted as silent before
};

/** Selects the data that a snapshot from a peer contains. */
struct SnapshotScope {
    std::uint64_t routesNewerThan = 0; ///< routes are sent only if their revision is higher
    bool hasRecentUpstreamsOnly = false; ///< only upstreams whose entry changed at the peer recently
    bool includesPolicies = false; ///< with policies and evacuation orders, which earlier releases cannot read
};

/** Request to the driver to fetch a snapshot from a peer's control endpoint. */
struct SnapshotRequest {
    Endpoint controlEndpoint;
    SnapshotScope scope;
};

/** Logic of one load balancer instance with cookie steering. Performs no input or output itself.

    The instance that places a flow writes a cookie into its opening packet; both ends repeat it, so every instance that
    knows the same upstreams forwards each later packet to the same upstream. Instances share no flow table.

    A driver calls beginBatch(), then any number of input methods, then sends outbox().outputs(), clears it, and carries
    out takeProbeRequests() and takeSnapshotRequests(). It calls tick() every 50 ms. The same inputs at the same times
    give the same outputs.

    Thread safety: none; one instance belongs to one thread.
*/
class CookieInstance
{
public:
    /** @param format, clock must outlive the instance */
    CookieInstance(const CookieInstanceSettings &settings, const PacketFormat &format, const Clock &clock);
    ~CookieInstance();
    CookieInstance(const CookieInstance &) = delete;
    CookieInstance &operator=(const CookieInstance &) = delete;

    /** Starts a batch of inputs: reads the clock and, if the process was suspended, resets the evidence about upstreams. */
    void beginBatch();

    /** Handles a datagram from a client. @param bytes untrusted input; the cookie is written into them in place, and they
        must stay valid until the outbox is cleared
    */
    void packetArrived(std::span<std::uint8_t> bytes);

    /** Handles a datagram received on the report endpoint. @param datagram untrusted input */
    void peerDatagramArrived(std::span<const std::uint8_t> datagram);

    /** Merges the store's complete list of upstreams. */
    void upstreamsListed(const UpstreamList &list);

    /** Merges changes of the store's upstreams. */
    void upstreamsChanged(const UpstreamChanges &changes);

    /** Applies a route configuration from the store; see RouteDirectory::apply(). */
    void routesArrived(const RouteConfiguration &configuration);

    /** Merges the store's complete list of evacuation orders. Ignored unless the settings ask for them. */
    void evacuationsListed(const EvacuationList &list);

    /** Merges all changes of evacuation orders up to the revision of `changes`, which may hold none. */
    void evacuationsChanged(const EvacuationList &changes);

    /** Records that one part of this instance's data matches the store now. @param revision ordered store revision at that time */
    void storeConfirmed(StoreDataKind part, std::uint64_t revision);

    /** Records that a call to the store failed; peers are told, so that instances that reach the store watch it instead. */
    void storeFailed();

    /** Merges a peer's answer to a SnapshotRequest. */
    void snapshotArrived(const StoreDataSnapshot &snapshot);

    /** Evaluates the result of a ProbeRequest. */
    void probeEnded(const ProbeRequest &request, ProbeResult result);

    /** Records that a ProbeRequest whose result was `silent` has been answered since. @pre result is an answer */
    void probeAnsweredLate(const ProbeRequest &request, ProbeResult result);

    /** Records that the attempt of a ProbeRequest could not be made, which says nothing about the upstream. */
    void probeNotMade(const ProbeRequest &request);

    /** Requests that the instance leaves the fleet. It defers this while too many instances of its data centre are out of
        service, at most until `latest`. Once leaving, it is not ready but forwards packets until its process ends.
        Idempotent; only the first call sets `latest`.
    */
    void leaveRequested(SteadyTime latest);

    /** @returns the time at which the instance started to leave, or nothing if it has not. */
    std::optional<SteadyTime> leavingSince() const;

    /** Replaces the seeds of the settings. */
    void setSeeds(const std::vector<Endpoint> &seeds);

    /** Runs the periodic work: evaluation of upstreams, expiry, store watch, reports. Calls beginBatch() itself. */
    void tick();

    CookieOutbox &outbox();
    std::vector<ProbeRequest> takeProbeRequests();
    std::vector<SnapshotRequest> takeSnapshotRequests();

    /** @returns whether this instance should watch the store: for the initial load, by rank, or because its data is stale. */
    bool shouldQueryStore() const;

    /** @returns the store revisions up to which this instance's data is complete. */
    StoreRevisions storeRevisions() const;

    /** @returns whether this instance may receive client packets: it has completed its initial load and is not leaving. */
    bool isReady() const;

    /** @returns the time since the latest client packet, or since the start if there was none. */
    Milliseconds timeSinceLastPacket() const;

    /** @returns a snapshot for a peer, or nothing before the initial load is complete. */
    std::optional<StoreDataSnapshot> snapshot(const SnapshotScope &scope);

    const CookieCounters &counters() const;
    const CookieState &state() const;

    /** Emitted synchronously for each event, while an input method or tick() runs. */
    sigc::signal<void(const CookieEvent &)> &signalEvent();

private:
    std::unique_ptr<CookieState> m_state;
};

} // namespace sapphirespan
