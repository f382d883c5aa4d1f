#pragma once

#include "sapphirespan_entry/instance/EntryInstanceSettings.h"
#include "sapphirespan_entry/instance/InstanceEvent.h"
#include "sapphirespan_entry/instance/Outbox.h"
#include "sapphirespan_report/sapphirespan_report.h"

#include <memory>

namespace sapphirespan {

struct EntryState;

/** Where the next packet of a flow would go, and why. */
struct FlowExplanation {
    std::string service; ///< empty when no service has the address
    std::size_t bucket = 0;
    std::string steering; ///< name of a SteeringReason
    bool isAcknowledged = false; ///< all forwarding instances are known to steer the bucket
    std::string owner;
    std::string backup;
    std::string defaultUpstream;
    std::string targetUpstream;
    std::string entryUpstream; ///< empty when this instance holds no entry of the flow
    bool isDecidedHere = false; ///< else ask the owner, who may hold an entry
};

/** One upstream as this instance sees it. */
struct UpstreamStatus {
    std::string service;
    std::string tunnel;
    std::string phase;
    std::string opinion;
    bool isSteered = false;
    bool isRemoved = false;
    double connections = 0; ///< estimated
    std::uint32_t slotsInUse = 0; ///< as last reported
    std::optional<Milliseconds> reportAge; ///< nothing when it never reported
};

/** One other instance as this instance sees it. */
struct MemberStatus {
    std::string name;
    std::string dataCentre;
    std::string phase;
    std::string peer;
    std::string control;
    bool isReachable = false;
    bool isRanked = false;
    bool isReadyForUs = false; ///< it says that this instance holds all entries meant for it
    bool hasSameRegisters = false; ///< it knows the same phases of upstreams
    bool isConfirmed = false; ///< it confirmed all entries that it needs before it is ranked
    std::uint64_t generation = 0;
    Milliseconds sinceHeard {0};
};

/** What one instance knows, for operators. */
struct InstanceStatus {
    std::string name;
    std::string dataCentre;
    std::string phase;
    std::uint64_t generation = 0;
    std::string indexDigest;
    std::uint64_t entries = 0;
    std::uint64_t ownedBuckets = 0;
    std::uint64_t invariantBreaches = 0;
    std::uint64_t mergesWithTwoPlacements = 0;
    std::vector<MemberStatus> members;
    std::vector<UpstreamStatus> upstreams;
};

/** The new flows of one service at one instance. */
struct ServiceAccounts {
    std::string service;
    Objective objective;
    FlowAccounts flows;
};

/** Bytes and messages of one kind of peer traffic. */
struct TrafficCount {
    std::uint64_t messages = 0;
    std::uint64_t bytes = 0;
};

/** Asks the driver to fetch a generation that a peer has. */
struct GenerationOffer {
    CatalogueHead head;
    Endpoint control;
};

/** All decisions of one entry instance, without input or output.

    A driver calls beginBatch(), then any number of the input methods, then takes outbox().outputs(), sends them and
    clears the outbox. It calls tick() at least every 50 ms. Each input method must come after a beginBatch() at whose
    time it happened. The same inputs at the same times give the same outputs.

    Thread safety: none; one instance belongs to one thread.
*/
class EntryInstance
{
public:
    /** @param keys holds at least one key @param clock, invariants outlive the instance */
    EntryInstance(const EntryInstanceSettings &settings, const KeyRing &keys, const Clock &clock, InvariantLog &invariants);
    ~EntryInstance();
    EntryInstance(const EntryInstance &) = delete;
    EntryInstance &operator=(const EntryInstance &) = delete;

    /** Reads the clock; an instance that was paused beyond its lease gives up its buckets here. */
    void beginBatch();

    /** Ends a batch: sends entry copies. */
    void endBatch();

    /** A packet from the fabric, of any content. */
    void packetArrived(std::span<const std::uint8_t> packet);

    /** A datagram on the peer endpoint, of any content. @param from the address that it came from */
    void peerDatagramArrived(const Endpoint &from, std::span<const std::uint8_t> datagram);

    /** A whole generation whose digests the driver has checked. Ignored unless it is higher than the one in force. */
    void catalogueArrived(std::shared_ptr<const Catalogue> catalogue);

    /** The outcome of probing an upstream's status endpoint. */
    void upstreamProbed(const UpstreamName &upstream, const ProbeOutcome &outcome);

    /** Asks the instance to hand its buckets over and leave. Idempotent. */
    void leaveRequested();

    /** Tells peers that the instance forwards nothing any more. To be called once, when hasLeft() is true. */
    void sayFarewell();

    /** Lets time pass: heartbeats, expiry, judgement, repeated copies. Contains its own batch. */
    void tick();

    /** What the instance wants sent. */
    Outbox &outbox();

    /** @returns a generation to fetch from a peer, if one is newer. */
    std::optional<GenerationOffer> wantedGeneration() const;

    /** @returns the catalogue in force, or null. */
    std::shared_ptr<const Catalogue> catalogue() const;

    /** @returns whether packets may be handed to this instance: admitted and not leaving. */
    bool isReady() const;

    /** @returns whether a leaving instance has handed over and seen no packet for the quiet time. */
    bool hasLeft() const;

    /** @returns whether this instance is among the first `count` of the reachable instances of its data centre by
        rank for a subject; used to choose watchers without an election. */
    bool isAmongFirst(std::size_t count, std::uint64_t subject) const;

    const DecisionAccounts &accounts() const;
    std::vector<ServiceAccounts> serviceAccounts() const;

    /** @returns the messages and bytes of one kind sent to peers since the start. */
    TrafficCount traffic(PeerTraffic kind) const;

    InstanceStatus status() const;
    FlowExplanation explain(const FlowKey &flow) const;

    /** @returns memory held by the flow table, in bytes, and the number of its entries. */
    std::pair<std::size_t, std::size_t> flowTableUse() const;

    /** Emitted for each event, during an input method. */
    sigc::signal<void(const InstanceEvent &)> &signalEvent();

private:
    std::unique_ptr<EntryState> m_state;
};

} // namespace sapphirespan
