#include "sapphirespan_entry/systems/MembershipSystem.h"

#include "sapphirespan_entry/systems/EntryCopySystem.h"
#include "sapphirespan_entry/systems/SteeringSystem.h"
#include "sapphirespan_entry/systems/UpstreamSystem.h"

#include <algorithm>

namespace sapphirespan {

namespace {

using namespace std::chrono_literals;

constexpr auto suspicionHold = 10s; // a silent member may still own buckets on the other side of a cut
constexpr auto memberForgotten = 60s;
constexpr Milliseconds partitionHold = 2h; // a data centre that is silent for longer is taken to be gone
constexpr auto soonestExtraHeartbeat = 20ms;
constexpr std::uint64_t heartbeatsPerCard = 20;
constexpr std::uint64_t heartbeatsPerLoads = 2;
constexpr std::size_t mostKnownPeersTold = 32;

/** Instances that this one takes for owners: ranked by everybody who sees the same members. */
bool isRanked(const EntryState &state, const MemberRow &member)
{
    const bool isCandidate = member.isReachable && member.phase == MemberPhase::admitted;
    return isCandidate && (state.phase != MemberPhase::admitted || member.isSynced);
}

/** Instances that may own buckets soon, or may still believe that they do. */
bool mayOwn(const EntryState &state, const MemberRow &member)
{
    const bool isOnItsWayOut = member.phase == MemberPhase::leaving || member.phase == MemberPhase::gone;
    return !isOnItsWayOut && member.lastHeard + state.settings.timing.lease + suspicionHold > state.now;
}

template<typename Predicate>
std::vector<RankedInstance> candidatesWhere(const EntryState &state, bool withSelf, Predicate isCandidate)
{
    std::vector<RankedInstance> candidates;
    if (withSelf) {
        candidates.push_back({state.self.id, state.settings.dataCentre});
    }
    for (const auto &[id, member] : state.members) {
        if (isCandidate(state, member)) {
            candidates.push_back({id, member.card.dataCentre});
        }
    }
    std::sort(candidates.begin(), candidates.end());
    return candidates;
}

/** A data centre of which nobody is heard may be cut off rather than dead. */
bool isPartOfLostDataCentre(const EntryState &state, const MemberRow &lost)
{
    if (lost.isReachable || lost.phase != MemberPhase::admitted) {
        return false;
    }
    const auto isHeardThere
        = [&lost](const auto &pair) { return pair.second.isReachable && pair.second.card.dataCentre == lost.card.dataCentre; };
    return lost.card.dataCentre != state.settings.dataCentre && std::none_of(state.members.begin(), state.members.end(), isHeardThere);
}

/** The owner before if it lives; else, when this instance held no copies, another holder that lives. */
InstanceId whoHeldBefore(const EntryState &state, const BucketHolders &before)
{
    if (before.owner == state.self.id || state.ranking.contains(before.owner) || before.contains(state.self.id)) {
        return before.owner;
    }
    const auto holder = std::find_if(before.all.begin(), before.all.end(), [&state](InstanceId id) { return state.ranking.contains(id); });
    return holder != before.all.end() ? *holder : noInstance;
}

/** Notes which buckets this instance came to own; entries of those were copies, whose idle time starts anew. */
void takeOwnership(EntryState &state, const Ranking &before)
{
    std::vector<std::uint8_t> isNew(bucketCount, 0);
    bool isAny = false;
    for (std::size_t bucket = 0; bucket < bucketCount; ++bucket) {
        const bool isOwner = state.ranking.holders(bucket).owner == state.self.id;
        if (isOwner && before.holders(bucket).owner != state.self.id) {
            isNew[bucket] = 1;
            isAny = true;
            state.ownedSince[bucket] = state.now;
            state.previousOwner[bucket] = whoHeldBefore(state, before.holders(bucket));
        }
        if (!isOwner && before.holders(bucket).owner == state.self.id) {
            state.ownedUntil[bucket] = state.now;
        }
        if (before.holders(bucket).contains(state.self.id)) {
            state.heldUntil[bucket] = state.now;
        }
    }
    if (!isAny) {
        return;
    }
    state.flows.forEach([&](FlowEntry &entry) {
        if (isNew[bucketOf(entry.key)] != 0) {
            entry.isCopy = false;
            entry.lastSeenSeconds = state.nowSeconds;
        }
    });
}

/** A member that is not ranked must confirm everything queued for it before it can be. */
void markSyncPoints(EntryState &state)
{
    for (auto &[id, member] : state.members) {
        if (!member.isSynced) {
            member.syncMark = member.outgoing.lastNumber();
        }
    }
}

Heartbeat composeHeartbeat(EntryState &state)
{
    Heartbeat beat;
    beat.phase = state.phase;
    beat.generation = state.head.generation;
    beat.indexDigest = state.head.indexDigest;
    beat.registersDigest = state.registersDigest;
    beat.opinions = ownOpinions(state);
    beat.dependents = ownDependents(state);
    beat.carriesLoads = state.heartbeatsSent % heartbeatsPerLoads == 0;
    if (beat.carriesLoads) {
        beat.loads = ownLoads(state);
    }
    return beat;
}

void addCard(const EntryState &state, Heartbeat &beat)
{
    beat.card = MemberCard {state.settings.name, state.settings.dataCentre, state.settings.peer, state.settings.control};
    for (const auto &[id, member] : state.members) {
        if (member.isReachable && beat.knownPeers.size() < mostKnownPeersTold) {
            beat.knownPeers.push_back(member.card.peer);
        }
    }
}

void sendHeartbeats(EntryState &state)
{
    auto beat = composeHeartbeat(state);
    if (state.heartbeatsSent % heartbeatsPerCard == 0 || state.phase == MemberPhase::joining) {
        addCard(state, beat);
    }
    for (const auto &endpoint : state.knownPeers) {
        auto mine = beat;
        for (const auto &[id, member] : state.members) {
            if (member.card.peer != endpoint) {
                continue;
            }
            const bool isReady = member.isReachable && member.outgoing.confirmedNumber() >= member.syncMark;
            mine.readyForYou = isReady ? member.name.incarnation : 0;
            if (member.generation >= state.head.generation) {
                mine.indexDigest.clear(); // it needs the digest only to fetch a generation that it lacks
            }
            if (!member.isSynced && !mine.card) {
                addCard(state, mine);
            }
        }
        sendMessage(state, endpoint, std::move(mine));
    }
    ++state.heartbeatsSent;
    state.lastHeartbeat = state.now;
    state.isHeartbeatDue = false;
}

/** Starts anew with a member that was not known, or that lives again. */
void startMember(EntryState &state, MemberRow &member, const MemberName &name)
{
    member.name = name;
    member.phase = MemberPhase::joining;
    member.isSynced = false;
    member.isReadyForUs = false;
    member.registersEqualAt = {};
    member.replayWindow = {};
    member.incoming = {};
    member.dueAcknowledgement.reset();
    member.outgoing.restart();
    member.loads.clear();
    member.opinions.clear();
    member.dependents.clear();
    queueAllFor(state, member);
    member.syncMark = member.outgoing.lastNumber();
    state.areRankingsStale = true;
    state.isHeartbeatDue = true;
}

void noteHeard(EntryState &state, MemberRow &member)
{
    member.lastHeard = state.now;
    if (!member.isReachable) {
        member.isReachable = true;
        state.areRankingsStale = true;
        announce(state, InstanceEventKind::memberAppeared, memberText(member), nameOf(member.phase).data());
    }
}

void notePhase(EntryState &state, MemberRow &member, MemberPhase phase)
{
    if (member.phase == phase) {
        return;
    }
    member.phase = phase;
    state.areRankingsStale = true;
    if (phase == MemberPhase::gone) {
        member.isReachable = false;
        member.isSynced = false;
    }
    if (phase == MemberPhase::leaving) {
        member.isSynced = false;
        announce(state, InstanceEventKind::memberLeaving, memberText(member), "hands over its buckets");
    }
}

void takeInHeartbeat(EntryState &state, MemberRow &member, const Heartbeat &beat)
{
    if (beat.card && *beat.card != member.card) {
        state.knownPeers.erase(member.card.peer);
        member.card = *beat.card;
        state.knownPeers.insert(member.card.peer);
        state.areRankingsStale = true;
    }
    for (const auto &peer : beat.knownPeers) {
        if (peer != state.settings.peer) {
            state.knownPeers.insert(peer);
        }
    }
    notePhase(state, member, beat.phase);
    member.isReadyForUs = beat.readyForYou == state.self.incarnation;
    member.generation = beat.generation;
    member.indexDigest = beat.indexDigest.empty() && beat.generation == state.head.generation ? state.head.indexDigest : beat.indexDigest;
    member.registersDigest = beat.registersDigest;
    takeInUpstreamNews(state, member, beat);
    refreshAcknowledgements(state);
}

/** @returns the member that sent a message, or nullptr when the message is to be ignored. */
MemberRow *senderOf(EntryState &state, const Endpoint &from, const PeerMessage &message)
{
    if (message.sender.id == state.self.id) {
        return nullptr;
    }
    auto *member = findMember(state, message.sender.id);
    const bool isHeartbeat = std::holds_alternative<Heartbeat>(message.body);
    if (member == nullptr && !isHeartbeat) {
        return nullptr;
    }
    if (member == nullptr) {
        member = &state.members[message.sender.id];
        member->card.peer = from;
        state.knownPeers.insert(from);
        startMember(state, *member, message.sender);
    } else if (message.sender.incarnation > member->name.incarnation) {
        startMember(state, *member, message.sender);
    } else if (message.sender.incarnation < member->name.incarnation) {
        return nullptr;
    }
    return member->replayWindow.accept(message.number) ? member : nullptr;
}

bool knowsAsMuchAs(const EntryState &state, const MemberRow &member)
{
    return state.head.generation >= member.generation && state.registersDigest == member.registersDigest;
}

/** A joining instance may be admitted once every admitted one is done with it, or once it is evidently alone. */
bool mayBeAdmitted(const EntryState &state)
{
    bool isAnyAdmitted = false;
    for (const auto &[id, member] : state.members) {
        if (!member.isReachable || member.phase != MemberPhase::admitted) {
            continue;
        }
        isAnyAdmitted = true;
        if (!member.isReadyForUs || !knowsAsMuchAs(state, member)) {
            return false;
        }
    }
    const auto waited = state.now - state.phaseSince;
    return state.catalogue && (isAnyAdmitted ? waited >= 2 * state.settings.timing.heartbeat : waited >= 2 * state.settings.timing.lease);
}

void enterPhase(EntryState &state, MemberPhase phase)
{
    state.phase = phase;
    state.phaseSince = state.now;
    state.isHeartbeatDue = true;
    state.areRankingsStale = true;
}

} // namespace

void receivePeerMessage(EntryState &state, const Endpoint &from, std::span<const std::uint8_t> datagram)
{
    DropReason reason {};
    const auto message = state.codec.open(datagram, reason);
    if (!message) {
        ++state.rejectedMessages[static_cast<std::size_t>(reason)];
        return;
    }
    auto *member = senderOf(state, from, *message);
    if (member == nullptr) {
        ++state.rejectedMessages[static_cast<std::size_t>(DropReason::replayed)];
        return;
    }
    noteHeard(state, *member);
    if (const auto *beat = std::get_if<Heartbeat>(&message->body)) {
        takeInHeartbeat(state, *member, *beat);
    } else if (const auto *update = std::get_if<RegisterUpdate>(&message->body)) {
        mergeRegisters(state, *update);
    } else if (const auto *copy = std::get_if<EntryCopy>(&message->body)) {
        receiveEntryCopy(state, *member, *copy);
    } else if (const auto *acknowledgement = std::get_if<EntryAcknowledgement>(&message->body)) {
        receiveEntryAcknowledgement(state, *member, *acknowledgement);
    }
    advanceAdmission(state);
}

void lapseIfSilent(EntryState &state)
{
    const auto &timing = state.settings.timing;
    if (state.phase != MemberPhase::admitted || state.now - state.lastHeartbeat <= timing.lease - timing.heartbeat
        || state.members.empty()) {
        return;
    }
    announce(state, InstanceEventKind::instanceLapsed, state.settings.name, "paused for longer than its lease; joins anew");
    const auto wall = static_cast<Incarnation>(state.clock.wallNow().time_since_epoch().count());
    state.self.incarnation = std::max(state.self.incarnation + 1, wall);
    state.nextMessageNumber = 1;
    state.lapsedAt = state.now;
    state.isHandingOver = false;
    state.flows.forEach([](FlowEntry &entry) { entry.isStale = true; });
    for (auto &[id, member] : state.members) {
        member.isReadyForUs = false;
        member.isSynced = false;
        member.lastHeard = state.now; // what was sent meanwhile lies unread in the socket
        member.incoming = {};
        member.outgoing.restart();
        member.syncMark = member.outgoing.lastNumber();
    }
    enterPhase(state, MemberPhase::joining);
    refreshRankings(state);
}

void expireMembers(EntryState &state)
{
    for (auto member = state.members.begin(); member != state.members.end();) {
        auto &row = member->second;
        const auto silence = state.now - row.lastHeard;
        if (row.isReachable && silence > state.settings.timing.lease) {
            row.isReachable = false;
            row.isSynced = false;
            row.isReadyForUs = false;
            state.areRankingsStale = true;
            announce(state, InstanceEventKind::memberLost, memberText(row), "not heard for its lease");
        }
        if (!row.isReachable && !mayOwn(state, row) && !row.outgoing.isConfirmed()) {
            row.outgoing.restart();
        }
        if (silence > (isPartOfLostDataCentre(state, row) ? partitionHold : memberForgotten)) {
            const auto &seeds = state.settings.seeds;
            if (std::find(seeds.begin(), seeds.end(), row.card.peer) == seeds.end()) {
                state.knownPeers.erase(row.card.peer);
            }
            member = state.members.erase(member);
            state.areRankingsStale = true;
        } else {
            ++member;
        }
    }
    if (state.areRankingsStale) {
        refreshAcknowledgements(state);
    }
}

void advanceAdmission(EntryState &state)
{
    for (auto &[id, member] : state.members) {
        const bool isConfirmed = member.outgoing.confirmedNumber() >= member.syncMark;
        const bool isSynced = member.isReachable && member.phase == MemberPhase::admitted && member.isReadyForUs && isConfirmed;
        if (isSynced && !member.isSynced) {
            member.isSynced = true;
            state.areRankingsStale = true;
            announce(state, InstanceEventKind::memberAdmitted, memberText(member), "may own buckets");
        }
    }
    if (state.phase == MemberPhase::joining && mayBeAdmitted(state)) {
        enterPhase(state, MemberPhase::admitted);
        announce(state, InstanceEventKind::instanceAdmitted, state.settings.name, "owns buckets from now on");
    }
    if (state.areRankingsStale) {
        refreshRankings(state);
    }
}

void refreshRankings(EntryState &state)
{
    state.areRankingsStale = false;
    const bool isAdmitted = state.phase == MemberPhase::admitted;
    auto ranked = candidatesWhere(state, isAdmitted, isRanked);
    auto eligible = candidatesWhere(state, state.phase != MemberPhase::leaving, mayOwn);
    if (ranked != state.ranking.candidates() || eligible != state.copyRanking.candidates()) {
        const auto rankingBefore = std::exchange(state.ranking, Ranking(std::move(ranked)));
        const auto copyRankingBefore = std::exchange(state.copyRanking, Ranking(std::move(eligible)));
        takeOwnership(state, rankingBefore);
        copyToNewHolders(state, rankingBefore, copyRankingBefore);
        markSyncPoints(state);
    }
    state.isPartitionSuspected = std::any_of(state.members.begin(), state.members.end(),
                                             [&state](const auto &pair) { return isPartOfLostDataCentre(state, pair.second); });
    refreshAcknowledgements(state);
}

void noteOverdueMembers(EntryState &state)
{
    const auto limit = state.settings.timing.heartbeat * 3 / 2;
    state.isMemberOverdue = std::any_of(state.members.begin(), state.members.end(), [&](const auto &pair) {
        const auto &member = pair.second;
        return member.isReachable && member.phase == MemberPhase::admitted && state.now - member.lastHeard > limit;
    });
}

void sendDueHeartbeats(EntryState &state)
{
    const auto since = state.now - state.lastHeartbeat;
    if (since >= state.settings.timing.heartbeat || (state.isHeartbeatDue && since >= soonestExtraHeartbeat)) {
        sendHeartbeats(state);
    }
}

void announceGone(EntryState &state)
{
    enterPhase(state, MemberPhase::gone);
    sendHeartbeats(state);
}

void advanceLeaving(EntryState &state)
{
    if (!state.isHandingOver || state.phase != MemberPhase::admitted) {
        return;
    }
    if (areAllCopiesConfirmed(state) || state.now - state.phaseSince > state.settings.timing.leaveLimit / 2) {
        enterPhase(state, MemberPhase::leaving);
        announce(state, InstanceEventKind::instanceLeaving, state.settings.name, "its buckets have other owners");
        refreshRankings(state);
    }
}

} // namespace sapphirespan
