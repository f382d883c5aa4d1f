#include "sapphirespan_entry/instance/EntryInstance.h"

#include "sapphirespan_entry/state/EntryState.h"
#include "sapphirespan_entry/systems/CatalogueSystem.h"
#include "sapphirespan_entry/systems/EntryCopySystem.h"
#include "sapphirespan_entry/systems/ExpirySystem.h"
#include "sapphirespan_entry/systems/MembershipSystem.h"
#include "sapphirespan_entry/systems/PacketSystem.h"
#include "sapphirespan_entry/systems/SteeringSystem.h"
#include "sapphirespan_entry/systems/UpstreamSystem.h"

namespace sapphirespan {

namespace {

using namespace std::chrono_literals;

constexpr auto slowTick = 250ms;
constexpr int heartbeatsBeforeLeaving = 2;

std::string instanceText(EntryState &state, InstanceId id)
{
    if (id == noInstance) {
        return "";
    }
    if (id == state.self.id) {
        return state.settings.name;
    }
    const auto *member = findMember(state, id);
    return member != nullptr ? memberText(*member) : "#" + std::to_string(id);
}

std::string tunnelText(const ServiceRow &service, UpstreamOrdinal ordinal)
{
    return ordinal < service.content->upstreams.size() ? service.content->upstreams[ordinal].spec.tunnel.toText() : "";
}

MemberStatus statusOf(const EntryState &state, const MemberRow &member)
{
    MemberStatus status;
    status.name = memberText(member);
    status.dataCentre = member.card.dataCentre;
    status.phase = nameOf(member.phase);
    status.peer = member.card.peer.toText();
    status.control = member.card.control.toText();
    status.isReachable = member.isReachable;
    status.isRanked = state.ranking.contains(member.name.id);
    status.isReadyForUs = member.isReadyForUs;
    status.hasSameRegisters = member.registersDigest == state.registersDigest;
    status.isConfirmed = member.outgoing.confirmedNumber() >= member.syncMark;
    status.generation = member.generation;
    status.sinceHeard = std::chrono::duration_cast<Milliseconds>(state.now - member.lastHeard);
    return status;
}

UpstreamStatus statusOf(const EntryState &state, const ServiceRow &service, std::size_t ordinal)
{
    const auto &row = service.upstreams[ordinal];
    UpstreamStatus status;
    status.service = service.content->service.name;
    status.tunnel = tunnelText(service, static_cast<UpstreamOrdinal>(ordinal));
    status.phase = nameOf(row.phase);
    status.opinion = nameOf(row.opinion.phase);
    status.isSteered = row.isSteered;
    status.isRemoved = row.isRemoved;
    status.connections = row.load.connections(1);
    status.slotsInUse = row.slotsInUse;
    if (row.lastReport) {
        status.reportAge = std::chrono::duration_cast<Milliseconds>(state.now - *row.lastReport);
    }
    return status;
}

} // namespace

EntryInstance::EntryInstance(const EntryInstanceSettings &settings, const KeyRing &keys, const Clock &clock, InvariantLog &invariants)
    : m_state(std::make_unique<EntryState>(settings, keys, clock, invariants))
{
}

EntryInstance::~EntryInstance() = default;

void EntryInstance::beginBatch()
{
    auto &state = *m_state;
    state.now = state.clock.steadyNow();
    state.nowSeconds = static_cast<std::uint32_t>(std::chrono::duration_cast<std::chrono::seconds>(state.now.time_since_epoch()).count());
    lapseIfSilent(state);
}

void EntryInstance::endBatch()
{
    flushEntryCopies(*m_state);
    sendDueHeartbeats(*m_state);
    m_state->invariants.check(m_state->accounts.addUp(), Invariant::packetAccountsAddUp,
                              [] { return std::string("at the end of a batch"); });
}

void EntryInstance::packetArrived(std::span<const std::uint8_t> packet)
{
    decideFabricPacket(*m_state, packet);
}

void EntryInstance::peerDatagramArrived(const Endpoint &from, std::span<const std::uint8_t> datagram)
{
    if (!datagram.empty() && datagram[0] == static_cast<std::uint8_t>(PeerFrame::relay)) {
        decideRelayedPacket(*m_state, datagram);
    } else {
        receivePeerMessage(*m_state, from, datagram);
    }
}

void EntryInstance::catalogueArrived(std::shared_ptr<const Catalogue> catalogue)
{
    if (putInForce(*m_state, std::move(catalogue))) {
        advanceAdmission(*m_state);
    }
}

void EntryInstance::upstreamProbed(const UpstreamName &upstream, const ProbeOutcome &outcome)
{
    takeInProbe(*m_state, upstream, outcome);
    evaluateUpstreams(*m_state);
}

void EntryInstance::leaveRequested()
{
    if (!m_state->isHandingOver) {
        m_state->isHandingOver = true;
        m_state->phaseSince = m_state->now;
    }
}

void EntryInstance::sayFarewell()
{
    beginBatch();
    announceGone(*m_state);
}

void EntryInstance::tick()
{
    auto &state = *m_state;
    beginBatch();
    const double seconds = static_cast<double>((state.now - std::exchange(state.lastTick, state.now)).count()) / 1e6;
    state.evenPlacements = std::min(mostSavedEvenPlacements, state.evenPlacements + seconds * evenPlacementsPerSecond);
    expireMembers(state);
    noteOverdueMembers(state);
    advanceAdmission(state);
    advanceLeaving(state);
    expireEntries(state);
    flushAcknowledgements(state);
    if (state.now - state.lastSlowTick >= slowTick) {
        state.lastSlowTick = state.now;
        findDependents(state);
        evaluateUpstreams(state);
    }
    endBatch();
}

Outbox &EntryInstance::outbox()
{
    return m_state->outbox;
}

std::optional<GenerationOffer> EntryInstance::wantedGeneration() const
{
    if (const auto news = newerGeneration(*m_state)) {
        return GenerationOffer {news->head, news->control};
    }
    return std::nullopt;
}

std::shared_ptr<const Catalogue> EntryInstance::catalogue() const
{
    return m_state->catalogue;
}

bool EntryInstance::isReady() const
{
    return m_state->phase == MemberPhase::admitted && !m_state->isHandingOver;
}

bool EntryInstance::hasLeft() const
{
    const auto &state = *m_state;
    const auto &timing = state.settings.timing;
    if (state.phase != MemberPhase::leaving) {
        return state.isHandingOver && state.phase == MemberPhase::joining;
    }
    const auto since = state.now - state.phaseSince;
    const bool isQuiet = state.now - state.lastPacket > timing.quiet;
    const bool isDone = isQuiet && since > heartbeatsBeforeLeaving * timing.heartbeat && areAllCopiesConfirmed(state);
    return isDone || since > timing.leaveLimit;
}

bool EntryInstance::isAmongFirst(std::size_t count, std::uint64_t subject) const
{
    const auto &state = *m_state;
    const auto mine = rendezvousRank(state.self.id, subject);
    std::size_t higher = 0;
    for (const auto &[id, member] : state.members) {
        const bool isNeighbour
            = member.isReachable && member.card.dataCentre == state.settings.dataCentre && member.phase != MemberPhase::leaving;
        higher += isNeighbour && rendezvousRank(id, subject) > mine ? 1 : 0;
    }
    return higher < count;
}

const DecisionAccounts &EntryInstance::accounts() const
{
    return m_state->accounts;
}

std::vector<ServiceAccounts> EntryInstance::serviceAccounts() const
{
    std::vector<ServiceAccounts> accounts;
    for (const auto &[number, service] : m_state->services) {
        accounts.push_back({service.content->service.name, service.content->service.objective, service.accounts});
    }
    return accounts;
}

TrafficCount EntryInstance::traffic(PeerTraffic kind) const
{
    return m_state->sent[static_cast<std::size_t>(kind)];
}

InstanceStatus EntryInstance::status() const
{
    const auto &state = *m_state;
    InstanceStatus status;
    status.name = state.settings.name;
    status.dataCentre = state.settings.dataCentre;
    status.phase = nameOf(state.phase);
    status.generation = state.head.generation;
    status.indexDigest = state.head.indexDigest;
    status.entries = state.flows.size();
    status.invariantBreaches = state.invariants.totalBreaches();
    status.mergesWithTwoPlacements = state.mergesWithTwoPlacements;
    for (std::size_t bucket = 0; bucket < bucketCount; ++bucket) {
        status.ownedBuckets += state.ranking.holders(bucket).owner == state.self.id ? 1 : 0;
    }
    for (const auto &[id, member] : state.members) {
        status.members.push_back(statusOf(state, member));
    }
    for (const auto &[number, service] : state.services) {
        for (std::size_t ordinal = 0; ordinal < service.upstreams.size(); ++ordinal) {
            status.upstreams.push_back(statusOf(state, service, ordinal));
        }
    }
    return status;
}

FlowExplanation EntryInstance::explain(const FlowKey &flow) const
{
    auto &state = *m_state;
    FlowExplanation explanation;
    const auto found = state.addresses.find({{flow.destination, flow.destinationPort}, flow.protocol});
    if (found == state.addresses.end()) {
        return explanation;
    }
    const auto &service = *found->second;
    const auto key = state.hasher.hash(flow);
    const auto bucket = bucketOf(key);
    const auto &holders = state.ranking.holders(bucket);
    const auto *entry = state.flows.find(key);
    explanation.service = service.content->service.name;
    explanation.bucket = bucket;
    explanation.steering = nameOf(steeringReason(service, bucket));
    explanation.isAcknowledged = isSteeringAcknowledged(state, service, bucket);
    explanation.owner = instanceText(state, holders.owner);
    explanation.backup = instanceText(state, holders.backup);
    explanation.defaultUpstream = tunnelText(service, service.content->defaults[bucket]);
    explanation.targetUpstream = tunnelText(service, service.content->targets[bucket]);
    explanation.entryUpstream = entry != nullptr ? tunnelText(service, entry->upstream) : "";
    explanation.isDecidedHere = service.isSteered[bucket] == 0 || holders.owner == state.self.id;
    return explanation;
}

std::pair<std::size_t, std::size_t> EntryInstance::flowTableUse() const
{
    return {m_state->flows.memoryBytes(), m_state->flows.size()};
}

sigc::signal<void(const InstanceEvent &)> &EntryInstance::signalEvent()
{
    return m_state->signalEvent;
}

} // namespace sapphirespan
