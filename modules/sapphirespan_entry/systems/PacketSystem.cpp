#include "sapphirespan_entry/systems/PacketSystem.h"

#include "sapphirespan_entry/systems/EntryCopySystem.h"
#include "sapphirespan_entry/systems/SteeringSystem.h"

namespace sapphirespan {

namespace {

using Bytes = std::span<const std::uint8_t>;

/** Tolerance once the budget of copies is spent: a service with many flows is even without fine corrections. */
constexpr double toleranceWithoutBudget = 0.06;

/** Heartbeats after taking a bucket over during which the owner before it still places new flows: until everybody
    relays to the new owner. */
constexpr int placingHeartbeats = 3;

/** Heartbeats during which the owner before it is asked about unknown open flows: until its last copies have come. */
constexpr int askingHeartbeats = 5;

/** A packet under decision. */
struct Arrival {
    Bytes bytes;
    InstanceId relayedBy = noInstance;
    std::uint8_t hopsLeft = mostRelayHops;
    PacketView view;
    std::uint64_t key = 0;
    std::size_t bucket = 0;
    bool isReuse = false; ///< opens a new flow under the addresses and ports of one that ended
};

void drop(EntryState &state, DropReason reason)
{
    ++state.accounts.dropped[static_cast<std::size_t>(reason)];
}

bool isNewFlow(const EntryState &state, const ServiceRow &service, const Arrival &arrival)
{
    if (arrival.view.isQuoted) {
        return false;
    }
    if (arrival.view.flow.protocol == Protocol::tcp) {
        return arrival.view.isSyn;
    }
    // A datagram of an unknown flow may belong to an old flow until the idle time has passed since steering began.
    const auto idle = std::chrono::duration_cast<std::chrono::seconds>(service.content->service.traffic.idleTimeout).count();
    return service.steeredSince[arrival.bucket] + idle < state.nowSeconds;
}

void countLoad(ServiceRow &service, UpstreamOrdinal ordinal, const PacketView &view)
{
    if (view.isQuoted) {
        return;
    }
    if (view.isSyn) {
        service.upstreams[ordinal].load.count(+1);
    } else if (view.isFin) {
        service.upstreams[ordinal].load.count(-1);
    }
}

void forward(EntryState &state, ServiceRow &service, UpstreamOrdinal ordinal, const Arrival &arrival)
{
    const auto &upstreams = service.content->upstreams;
    const bool isListed = ordinal < upstreams.size();
    state.invariants.check(isListed, Invariant::upstreamBelongsToService,
                           [&] { return service.content->service.name + " ordinal " + std::to_string(ordinal); });
    if (!isListed) {
        drop(state, DropReason::noUpstream);
        return;
    }
    ++state.accounts.forwarded;
    state.outbox.addForward(upstreams[ordinal].spec.tunnel, arrival.bytes);
}

void relayTo(EntryState &state, InstanceId id, const Arrival &arrival)
{
    const auto *member = findMember(state, id);
    if (member == nullptr) {
        drop(state, state.phase == MemberPhase::leaving ? DropReason::leaving : DropReason::noPeer);
        return;
    }
    if (arrival.hopsLeft == 0) {
        drop(state, DropReason::hopLimit);
        return;
    }
    ++state.accounts.relayed;
    const auto hopsLeft = static_cast<std::uint8_t>(arrival.hopsLeft - 1);
    state.outbox.addRelay(member->card.peer, state.codec, state.self.id, hopsLeft, arrival.bytes);
}

/** Takes one eligible instance for a packet whose bucket this instance cannot work out. */
InstanceId anyAdmitted(const EntryState &state, InstanceId except)
{
    for (const auto &candidate : state.ranking.candidates()) {
        if (candidate.id != state.self.id && candidate.id != except) {
            return candidate.id;
        }
    }
    return noInstance;
}

void touch(EntryState &state, ServiceRow &service, FlowEntry &entry, const PacketView &view)
{
    entry.lastSeenSeconds = state.nowSeconds;
    if (view.isQuoted) {
        return;
    }
    if (entry.isLocal && isInTransition(*service.content, bucketOf(entry.key))) {
        entry.isLocal = false;
        copyEntry(state, entry, EntryChange::placed);
    }
    auto &opinion = service.upstreams[entry.upstream].opinion;
    if (view.isSyn && !entry.isEstablished) {
        ++service.accounts.repeatedOpenings;
        recordFlowOutcome(opinion, false, state.now);
    } else if (!view.isSyn && !entry.isEstablished) {
        entry.isEstablished = true;
        recordFlowOutcome(opinion, true, state.now);
    }
    if ((view.isFin || view.isReset) && !entry.isClosing) {
        entry.isClosing = true;
        service.upstreams[entry.upstream].load.count(-1);
    }
}

/** An opening packet on an entry whose flow has ended, or whose upstream is closed, begins a new flow. */
bool isReused(const ServiceRow &service, const FlowEntry &entry, const PacketView &view)
{
    const bool hasEnded = entry.isClosing || (entry.isEstablished && !takesNewFlows(service.upstreams[entry.upstream]));
    return view.isSyn && hasEnded;
}

FlowEntry newEntry(const EntryState &state, const ServiceRow &service, UpstreamOrdinal ordinal, const Arrival &arrival)
{
    FlowEntry entry;
    entry.key = arrival.key;
    entry.placedAtMs = wallMilliseconds(state);
    entry.lastSeenSeconds = state.nowSeconds;
    entry.service = service.content->number;
    entry.upstream = ordinal;
    return entry;
}

/** Remembers a flow on the default upstream, so that its repeated opening is recognised; copied to nobody. */
void rememberLocally(EntryState &state, const ServiceRow &service, UpstreamOrdinal ordinal, const Arrival &arrival)
{
    auto entry = newEntry(state, service, ordinal, arrival);
    entry.isLocal = true;
    state.flows.insert(entry);
}

/** Remembers a flow and tells the other holders of its bucket. @returns false when the table is full */
bool rememberEverywhere(EntryState &state, const ServiceRow &service, UpstreamOrdinal ordinal, const Arrival &arrival)
{
    const auto *entry = state.flows.insert(newEntry(state, service, ordinal, arrival));
    if (entry == nullptr) {
        ++state.entriesNotTaken;
        return false;
    }
    copyEntry(state, *entry, arrival.isReuse ? EntryChange::replaced : EntryChange::placed);
    return true;
}

std::vector<PlacementCandidate> &currentCandidates(const EntryState &state, ServiceRow &service)
{
    const double scopeFactor = static_cast<double>(std::max<std::size_t>(1, state.ranking.candidates().size()));
    service.candidates.resize(service.upstreams.size());
    for (std::size_t ordinal = 0; ordinal < service.upstreams.size(); ++ordinal) {
        const auto &row = service.upstreams[ordinal];
        const auto &spec = service.content->upstreams[ordinal].spec;
        const double factor = slowStartFactor(state.now - row.openedAt, service.content->service.traffic.slowStart);
        service.candidates[ordinal] = {static_cast<UpstreamOrdinal>(ordinal), spec.weight * factor, row.load.connections(scopeFactor),
                                       spec.connectionCap, takesNewFlows(row)};
    }
    return service.candidates;
}

/** Chooses freely among the upstreams of a service. @returns nothing when none takes new flows */
std::optional<UpstreamOrdinal> place(EntryState &state, ServiceRow &service, std::size_t bucket)
{
    const double own = service.content->service.traffic.tolerancePermille / 1000.0;
    const double tolerance = state.evenPlacements >= 1 ? own : std::max(own, toleranceWithoutBudget);
    return chooseUpstream(currentCandidates(state, service), service.content->targets[bucket], tolerance, state.random());
}

/** A refusal is true only where this instance has seen every packet of the bucket for as long as an opening repeats. */
bool mayRefuse(const EntryState &state, const ServiceRow &service, const Arrival &arrival)
{
    const auto horizon = std::chrono::duration_cast<std::chrono::seconds>(state.settings.timing.synHorizon);
    const bool ownedLongEnough = state.ownedSince[arrival.bucket] + horizon < state.now;
    const bool steeredLongEnough = service.steeredSince[arrival.bucket] + horizon.count() < state.nowSeconds;
    const bool isOwner = state.ranking.holders(arrival.bucket).owner == state.self.id;
    return isOwner && ownedLongEnough && steeredLongEnough;
}

void refuseOrDrop(EntryState &state, ServiceRow &service, const Arrival &arrival)
{
    if (!mayRefuse(state, service, arrival)) {
        ++service.accounts.unplaced;
        drop(state, DropReason::noUpstream);
        return;
    }
    state.invariants.check(state.flows.find(arrival.key) == nullptr, Invariant::noRefusalAfterForward,
                           [&] { return service.content->service.name; });
    ++service.accounts.refused;
    ++state.accounts.refused;
    state.outbox.addOwned(OutputKind::refusal, state.settings.returnPath, buildRefusal(arrival.view, arrival.bytes));
}

void placeOnDefault(EntryState &state, ServiceRow &service, UpstreamOrdinal ordinal, const Arrival &arrival)
{
    // In transition the default will move on, so that even flows on it must be known to every holder.
    if (!isInTransition(*service.content, arrival.bucket) || !rememberEverywhere(state, service, ordinal, arrival)) {
        rememberLocally(state, service, ordinal, arrival);
    }
    ++service.accounts.placedOnDefault;
    countLoad(service, ordinal, arrival.view);
    forward(state, service, ordinal, arrival);
}

void placeNewFlow(EntryState &state, ServiceRow &service, const Arrival &arrival)
{
    state.invariants.check(state.flows.find(arrival.key) == nullptr, Invariant::flowPlacedOnce,
                           [&] { return service.content->service.name; });
    const auto byDefault = service.content->defaults[arrival.bucket];
    if (!mayPlaceElsewhere(state, service, arrival.bucket)) {
        if (byDefault == noUpstream) {
            refuseOrDrop(state, service, arrival);
        } else {
            placeOnDefault(state, service, byDefault, arrival);
        }
        return;
    }
    const auto chosen = place(state, service, arrival.bucket);
    if (!chosen) {
        refuseOrDrop(state, service, arrival);
        return;
    }
    if (*chosen == byDefault) {
        placeOnDefault(state, service, byDefault, arrival);
        return;
    }
    state.invariants.check(isSteeringAcknowledged(state, service, arrival.bucket), Invariant::placementAcknowledged,
                           [&] { return service.content->service.name; });
    const bool isRemembered = rememberEverywhere(state, service, *chosen, arrival);
    if (!isRemembered && byDefault != noUpstream) {
        placeOnDefault(state, service, byDefault, arrival);
        return;
    }
    if (!isRemembered) {
        refuseOrDrop(state, service, arrival);
        return;
    }
    ++service.accounts.placedElsewhere;
    if (byDefault != noUpstream && takesNewFlows(service.upstreams[byDefault])) {
        state.evenPlacements = std::max(0.0, state.evenPlacements - 1);
    }
    countLoad(service, *chosen, arrival.view);
    forward(state, service, *chosen, arrival);
}

/** A flow that the owner does not know is on the default upstream, whoever placed it. */
void continueOnDefault(EntryState &state, ServiceRow &service, const Arrival &arrival)
{
    const auto byDefault = service.content->defaults[arrival.bucket];
    if (byDefault == noUpstream) {
        drop(state, DropReason::noUpstream);
        return;
    }
    const bool isLearned = isInTransition(*service.content, arrival.bucket) || arrival.view.flow.protocol == Protocol::udp;
    if (isLearned && !arrival.view.isQuoted && !arrival.view.isFin && !arrival.view.isReset) {
        rememberEverywhere(state, service, byDefault, arrival);
    }
    countLoad(service, byDefault, arrival.view);
    forward(state, service, byDefault, arrival);
}

/** An admitted instance may be asked to place; one that is leaving knows its old flows, but places no new ones for others. */
bool mayBeAsked(const EntryState &state, InstanceId id, const Arrival &arrival)
{
    const auto member = state.members.find(id);
    if (id == arrival.relayedBy || member == state.members.end() || !member->second.isReachable) {
        return false;
    }
    const auto phase = member->second.phase;
    return phase == MemberPhase::admitted || (phase == MemberPhase::leaving && !arrival.view.isSyn);
}

/** Who may know of a flow that this owner does not know: the successor to whom it is handing over, or the owner before
    it, whose latest copies may still be on their way. @returns noInstance when nobody may know better
*/
InstanceId whoMayKnowBetter(const EntryState &state, const Arrival &arrival)
{
    const auto &holders = state.ranking.holders(arrival.bucket);
    if (holders.owner != state.self.id) {
        return noInstance;
    }
    if (state.isHandingOver) {
        return holders.backup != arrival.relayedBy ? holders.backup : noInstance;
    }
    const auto previous = state.previousOwner[arrival.bucket];
    const int heartbeats = arrival.view.isSyn ? placingHeartbeats : askingHeartbeats;
    const bool isRecent = state.now - state.ownedSince[arrival.bucket] < heartbeats * state.settings.timing.heartbeat;
    if (isRecent && mayBeAsked(state, previous, arrival)) {
        return previous;
    }
    const auto next = state.copyRanking.holders(arrival.bucket).owner; // others may take it for the owner already
    return next != state.self.id && mayBeAsked(state, next, arrival) ? next : noInstance;
}

/** Decides with the authority of the bucket's owner. */
void decideAsOwner(EntryState &state, ServiceRow &service, Arrival &arrival)
{
    auto *entry = state.flows.find(arrival.key);
    if (entry != nullptr && (entry->service != service.content->number || entry->upstream >= service.upstreams.size())) {
        state.flows.remove(arrival.key); // of a service that used the address before
        entry = nullptr;
    }
    if (entry != nullptr && isReused(service, *entry, arrival.view)) {
        endEntry(state, arrival.key);
        arrival.isReuse = true;
        entry = nullptr;
    }
    if (entry != nullptr) {
        touch(state, service, *entry, arrival.view);
        forward(state, service, entry->upstream, arrival);
    } else if (const auto other = whoMayKnowBetter(state, arrival); other != noInstance && arrival.hopsLeft > 0) {
        relayTo(state, other, arrival);
    } else if (isNewFlow(state, service, arrival)) {
        placeNewFlow(state, service, arrival);
    } else {
        continueOnDefault(state, service, arrival);
    }
}

void decideDirect(EntryState &state, ServiceRow &service, const Arrival &arrival)
{
    const auto byDefault = service.content->defaults[arrival.bucket];
    if (byDefault == noUpstream) {
        drop(state, DropReason::noUpstream);
        return;
    }
    if (arrival.view.isSyn) {
        ++service.accounts.placedOnDefault;
    }
    countLoad(service, byDefault, arrival.view);
    forward(state, service, byDefault, arrival);
}

/** An instance that owned the bucket until just now knows flows whose copies may not have reached the new owner yet. */
bool isKnownFromOwning(EntryState &state, const ServiceRow &service, const Arrival &arrival)
{
    const auto since = state.now - state.ownedUntil[arrival.bucket];
    if (arrival.view.isSyn || since >= askingHeartbeats * state.settings.timing.heartbeat) {
        return false;
    }
    const auto *entry = state.flows.find(arrival.key);
    return entry != nullptr && entry->service == service.content->number;
}

/** Sends the packet on to the owner, unless the sender evidently takes this instance for the owner. */
void decideSteered(EntryState &state, ServiceRow &service, Arrival &arrival)
{
    const auto &holders = state.ranking.holders(arrival.bucket);
    if (holders.owner == state.self.id) {
        decideAsOwner(state, service, arrival);
        return;
    }
    const bool isOwnerTheSender = arrival.relayedBy != noInstance && arrival.relayedBy == holders.owner;
    if (state.phase == MemberPhase::joining) {
        relayTo(state, holders.owner, arrival); // also back to a sender that takes this instance for the owner: it holds copies
        return;
    }
    if (isOwnerTheSender || holders.owner == noInstance || isKnownFromOwning(state, service, arrival)) {
        decideAsOwner(state, service, arrival);
        return;
    }
    relayTo(state, holders.owner, arrival);
}

/** An unknown address may belong to a generation that this instance has yet to learn. */
void decideUnknownService(EntryState &state, const Arrival &arrival)
{
    for (const auto &[id, member] : state.members) {
        const bool mayKnow = member.isReachable && member.generation > state.head.generation && id != arrival.relayedBy;
        if (mayKnow && arrival.hopsLeft > 0) {
            relayTo(state, id, arrival);
            return;
        }
    }
    drop(state, DropReason::unknownService);
}

void decide(EntryState &state, Arrival &arrival)
{
    DropReason reason {};
    const auto view = parsePacket(arrival.bytes, reason);
    if (!view) {
        drop(state, reason);
        return;
    }
    arrival.view = *view;
    if (view->isSyn && state.lapsedAt && state.now - *state.lapsedAt < state.settings.timing.heartbeat) {
        drop(state, DropReason::stale);
        return;
    }
    if (!state.catalogue) {
        relayTo(state, anyAdmitted(state, arrival.relayedBy), arrival);
        return;
    }
    const auto found = state.addresses.find({{view->flow.destination, view->flow.destinationPort}, view->flow.protocol});
    if (found == state.addresses.end()) {
        decideUnknownService(state, arrival);
        return;
    }
    auto &service = *found->second;
    arrival.key = state.hasher.hash(view->flow);
    arrival.bucket = bucketOf(arrival.key);
    if (service.isSteered[arrival.bucket] != 0 || state.phase == MemberPhase::joining) {
        decideSteered(state, service, arrival);
    } else {
        decideDirect(state, service, arrival);
    }
}

} // namespace

void decideFabricPacket(EntryState &state, std::span<const std::uint8_t> packet)
{
    ++state.accounts.fromFabric;
    state.lastPacket = state.now;
    Arrival arrival;
    arrival.bytes = packet;
    decide(state, arrival);
}

void decideRelayedPacket(EntryState &state, std::span<const std::uint8_t> datagram)
{
    ++state.accounts.fromPeers;
    state.lastPacket = state.now;
    DropReason reason {};
    const auto relayed = state.codec.openRelay(datagram, reason);
    if (!relayed) {
        drop(state, reason);
        return;
    }
    if (findMember(state, relayed->sender) == nullptr) {
        drop(state, DropReason::foreignSender);
        return;
    }
    Arrival arrival;
    arrival.bytes = relayed->packet;
    arrival.relayedBy = relayed->sender;
    arrival.hopsLeft = std::min(relayed->hopsLeft, mostRelayHops);
    decide(state, arrival);
}

} // namespace sapphirespan
