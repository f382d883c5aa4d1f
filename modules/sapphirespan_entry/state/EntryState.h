#pragma once

#include "sapphirespan_entry/instance/EntryInstance.h"
#include "sapphirespan_entry/instance/EntryInstanceSettings.h"
#include "sapphirespan_entry/instance/InstanceEvent.h"
#include "sapphirespan_entry/instance/Outbox.h"
#include "sapphirespan_fleet/sapphirespan_fleet.h"
#include "sapphirespan_report/sapphirespan_report.h"

#include <map>
#include <random>
#include <set>
#include <unordered_map>

namespace sapphirespan {

/** One upstream register with the moment at which this instance learned its value. */
struct RegisterRow {
    UpstreamRegister value;
    SteadyTime changedAt {};
    SteadyTime steeredAt {}; ///< when this instance learned that it steers; later values that steer too keep it
};

/** One upstream of one service, as this instance sees it. */
struct UpstreamRow {
    UpstreamPhase phase = UpstreamPhase::open; ///< from the register
    bool isSteered = false; ///< from the register
    bool isRemoved = false; ///< from the catalogue
    bool hasDependents = false; ///< entries off the default exist here in its buckets
    SteadyTime entryUpdatedAt {}; ///< when this instance learned the register's value
    SteadyTime steeredAt {}; ///< when it learned that the register steers
    SteadyTime openedAt {}; ///< when it last opened or was added
    LoadEstimate load;
    HealthOpinion opinion;
    std::uint32_t slotsInUse = 0;
    std::optional<SteadyTime> lastReport;
    std::optional<SteadyTime> panicAnnouncedAt;
};

/** One service in force. */
struct ServiceRow {
    std::shared_ptr<const ServiceContent> content;
    std::vector<UpstreamRow> upstreams; ///< by ordinal
    std::vector<std::uint8_t> isSteered; ///< by bucket
    std::vector<std::uint32_t> steeredSince; ///< by bucket: second of the steady clock
    std::vector<std::uint32_t> steeringGeneration; ///< by bucket: from which the catalogue steers it; 0 if it does not
    std::uint64_t defaultsGeneration = 0; ///< from which the default upstreams are as they are
    std::vector<PlacementCandidate> candidates; ///< scratch space of placement, by ordinal
    FlowAccounts accounts;
};

/** Another instance of the scope. */
struct MemberRow {
    MemberName name;
    MemberCard card;
    MemberPhase phase = MemberPhase::joining;
    bool isReachable = false; ///< heard within the lease
    bool isSynced = false; ///< both sides hold the entries that the other has for them; needed to be ranked
    bool isReadyForUs = false; ///< it says that we hold all entries it has for us
    SteadyTime lastHeard {};
    std::uint64_t generation = 0;
    std::string indexDigest;
    std::uint64_t registersDigest = 0;
    SteadyTime registersEqualAt {}; ///< when its registers last equalled ours
    SteadyTime lastRegisterPush {};
    SteadyTime lastCard {};
    ReplayWindow replayWindow;
    EntryStreamSender outgoing;
    EntryStreamReceiver incoming;
    std::optional<EntryAcknowledgement> dueAcknowledgement;
    bool isCopyUrgent = false; ///< `outgoing` has a placement of this batch, which must not die with this instance
    std::uint64_t syncMark = 0; ///< number in `outgoing` that must be confirmed before it is synced
    std::map<UpstreamName, std::int64_t> loads;
    std::map<UpstreamName, UpstreamPhase> opinions;
    std::set<UpstreamName> dependents;
};

/** Placements off an open default that one instance makes a second at the service's own tolerance; each costs copies. */
inline constexpr double evenPlacementsPerSecond = 5;

/** Such placements saved up at most. */
inline constexpr double mostSavedEvenPlacements = 60;

/** Finds services by address. */
struct ServiceAddressHash {
    std::size_t operator()(const ServiceAddress &address) const;
};

/** All tables of one instance. The systems beside this file run over them; nothing else changes them. */
struct EntryState {
    EntryState(EntryInstanceSettings instanceSettings, const KeyRing &keys, const Clock &instanceClock, InvariantLog &invariantLog);

    EntryInstanceSettings settings;
    const Clock &clock;
    InvariantLog &invariants;
    PeerCodec codec;
    Outbox outbox;
    sigc::signal<void(const InstanceEvent &)> signalEvent;

    SteadyTime now {}; ///< of the batch or tick in progress
    std::uint32_t nowSeconds = 0;

    MemberName self;
    MemberPhase phase = MemberPhase::joining;
    bool isHandingOver = false;
    SteadyTime phaseSince {};
    SteadyTime lastHeartbeat {};
    SteadyTime lastPacket {};
    SteadyTime lastTick {};
    SteadyTime lastSlowTick {};
    bool isHeartbeatDue = false;
    bool areRankingsStale = true;
    std::optional<SteadyTime> lapsedAt; ///< when it last woke from a pause beyond its lease
    bool isMemberOverdue = false; ///< an admitted member's heartbeat is overdue
    bool isPartitionSuspected = false; ///< all instances of some data centre fell silent without leaving
    std::uint64_t heartbeatsSent = 0;
    std::uint64_t nextMessageNumber = 1;

    std::unordered_map<InstanceId, MemberRow> members;
    std::set<Endpoint> knownPeers;
    Ranking ranking; ///< over the instances that own buckets, as this instance sees it
    Ranking copyRanking; ///< also over those that may own buckets soon or may still think that they do
    std::vector<SteadyTime> ownedSince; ///< by bucket; meaningful while this instance owns it
    std::vector<InstanceId> previousOwner; ///< by bucket; whom this instance followed as owner
    std::vector<SteadyTime> ownedUntil; ///< by bucket; when this instance last lost it as owner
    std::vector<SteadyTime> heldUntil; ///< by bucket; when this instance was last a holder

    CatalogueHead head;
    std::shared_ptr<const Catalogue> catalogue;
    FlowHasher hasher;
    std::map<ServiceNumber, ServiceRow> services;
    std::unordered_map<ServiceAddress, ServiceRow *, ServiceAddressHash> addresses;

    std::map<UpstreamName, RegisterRow> registers;
    std::uint64_t registersDigest = 0;
    std::uint64_t lowestGeneration = 0; ///< of all instances that may forward; see refreshAcknowledgements()
    SteadyTime lowestRegistersEqualAt {};

    double evenPlacements = mostSavedEvenPlacements; ///< placements off an open default that the control budget still allows

    FlowTable flows;
    std::mt19937_64 random;

    DecisionAccounts accounts;
    std::array<TrafficCount, enumCount<PeerTraffic>> sent {};
    std::array<std::uint64_t, enumCount<DropReason>> rejectedMessages {}; ///< peer messages that were not taken in
    std::uint64_t mergesWithTwoPlacements = 0;
    std::uint64_t entriesNotTaken = 0; ///< new flows kept on the default because the table was full
};

/** Tells listeners of an event. */
void announce(EntryState &state, InstanceEventKind kind, std::string subject, std::string detail);

/** @returns the member of an id, or nullptr. */
MemberRow *findMember(EntryState &state, InstanceId id);

/** @returns a member's name if known, else its id as text. */
std::string memberText(const MemberRow &member);

/** @returns "service/ip:port" of an upstream. @pre the ordinal is listed */
std::string upstreamText(const ServiceRow &service, UpstreamOrdinal ordinal);

/** @returns calendar time in milliseconds modulo 2^32, as entries carry it. */
std::uint32_t wallMilliseconds(const EntryState &state);

} // namespace sapphirespan
