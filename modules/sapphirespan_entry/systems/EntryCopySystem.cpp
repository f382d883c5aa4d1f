#include "sapphirespan_entry/systems/EntryCopySystem.h"

#include <algorithm>

namespace sapphirespan {

namespace {

/** The instances that hold a bucket now, and those that would by the ranking to come. */
using Holders = std::array<InstanceId, 2 * mostHolders>;

Holders holdersOf(const Ranking &ranking, const Ranking &copyRanking, std::size_t bucket)
{
    Holders holders {};
    const auto &now = ranking.holders(bucket);
    const auto &soon = copyRanking.holders(bucket);
    auto end = std::copy(now.all.begin(), now.all.end(), holders.begin());
    for (const auto id : soon.all) {
        if (id != noInstance && !now.contains(id)) {
            *end++ = id;
        }
    }
    return holders;
}

EntryNews newsOf(const FlowEntry &entry)
{
    return {EntryChange::placed, entry.key, entry.service, entry.upstream, entry.placedAtMs};
}

void queueFor(EntryState &state, const Holders &holders, const EntryNews &news, bool isUrgent = false)
{
    for (const auto id : holders) {
        if (id == noInstance || id == state.self.id) {
            continue;
        }
        if (auto *member = findMember(state, id)) {
            member->outgoing.append(news, state.now);
            member->isCopyUrgent = member->isCopyUrgent || isUrgent;
        }
    }
}

/** Instances that are holders of a bucket now and were not before. */
Holders newHolders(const Holders &before, const Holders &after, InstanceId self)
{
    Holders added {};
    for (std::size_t index = 0; index < after.size(); ++index) {
        const bool isNew = after[index] != noInstance && std::find(before.begin(), before.end(), after[index]) == before.end();
        added[index] = isNew && after[index] != self ? after[index] : noInstance;
    }
    return added;
}

FlowEntry entryOf(const EntryState &state, const EntryNews &news)
{
    FlowEntry entry;
    entry.key = news.key;
    entry.placedAtMs = news.placedAtMs;
    entry.lastSeenSeconds = state.nowSeconds;
    entry.service = news.service;
    entry.upstream = news.upstream;
    entry.isCopy = state.ranking.holders(bucketOf(news.key)).owner != state.self.id;
    entry.isEstablished = true; // an opening packet that comes again on a copied entry stays on it while its upstream is open
    return entry;
}

void takeIn(EntryState &state, const EntryNews &news)
{
    const auto *mine = state.flows.find(news.key);
    if (news.change == EntryChange::ended) {
        if (mine != nullptr && !isBefore(news.placedAtMs, mine->placedAtMs)) {
            state.flows.remove(news.key);
        }
        return;
    }
    if (news.change == EntryChange::replaced && mine != nullptr && isBefore(mine->placedAtMs, news.placedAtMs)) {
        state.flows.remove(news.key);
    }
    const auto outcome = state.flows.merge(entryOf(state, news));
    if (outcome == MergeOutcome::keptMine || outcome == MergeOutcome::tookTheirs) {
        ++state.mergesWithTwoPlacements;
    }
    if (outcome == MergeOutcome::tableFull) {
        ++state.entriesNotTaken;
    }
}

} // namespace

void copyEntry(EntryState &state, const FlowEntry &entry, EntryChange change)
{
    auto news = newsOf(entry);
    news.change = change;
    queueFor(state, holdersOf(state.ranking, state.copyRanking, bucketOf(entry.key)), news, true);
}

void endEntry(EntryState &state, std::uint64_t key)
{
    const auto *entry = state.flows.find(key);
    if (entry == nullptr) {
        return;
    }
    if (!entry->isLocal) {
        EntryNews news;
        news.change = EntryChange::ended;
        news.key = key;
        news.placedAtMs = entry->placedAtMs;
        queueFor(state, holdersOf(state.ranking, state.copyRanking, bucketOf(key)), news);
    }
    state.flows.remove(key);
}

void copyToNewHolders(EntryState &state, const Ranking &ranking, const Ranking &copyRanking)
{
    std::vector<Holders> added(bucketCount);
    bool isAny = false;
    for (std::size_t bucket = 0; bucket < bucketCount; ++bucket) {
        const auto before = holdersOf(ranking, copyRanking, bucket);
        const auto after = holdersOf(state.ranking, state.copyRanking, bucket);
        added[bucket] = newHolders(before, after, state.self.id);
        isAny = isAny || std::any_of(added[bucket].begin(), added[bucket].end(), [](InstanceId id) { return id != noInstance; });
    }
    if (!isAny) {
        return;
    }
    state.flows.forEach([&](FlowEntry &entry) {
        if (!entry.isLocal) {
            queueFor(state, added[bucketOf(entry.key)], newsOf(entry));
        }
    });
}

void queueAllFor(EntryState &state, MemberRow &member)
{
    state.flows.forEach([&](FlowEntry &entry) {
        const auto holders = holdersOf(state.ranking, state.copyRanking, bucketOf(entry.key));
        if (!entry.isLocal && std::find(holders.begin(), holders.end(), member.name.id) != holders.end()) {
            member.outgoing.append(newsOf(entry), state.now);
        }
    });
}

void flushEntryCopies(EntryState &state)
{
    // While owners change, a copy must arrive before the flow's next packet may reach the other owner.
    const bool isUrgent = state.isHandingOver || state.ranking.candidates() != state.copyRanking.candidates();
    for (auto &[id, member] : state.members) {
        const bool isMemberUrgent = std::exchange(member.isCopyUrgent, false) || isUrgent;
        for (auto &copy : member.outgoing.takeDue(member.name.incarnation, state.now, isMemberUrgent)) {
            sendMessage(state, member.card.peer, std::move(copy));
        }
    }
}

void receiveEntryCopy(EntryState &state, MemberRow &member, const EntryCopy &copy)
{
    if (copy.receiver != state.self.incarnation) {
        return; // meant for an earlier life of this instance
    }
    for (const auto &news : copy.entries) {
        takeIn(state, news);
    }
    member.dueAcknowledgement = EntryAcknowledgement {member.name.incarnation, copy.epoch,
                                                      member.incoming.receive(copy.epoch, copy.firstNumber, copy.entries.size())};
}

void flushAcknowledgements(EntryState &state)
{
    for (auto &[id, member] : state.members) {
        if (const auto due = std::exchange(member.dueAcknowledgement, std::nullopt)) {
            sendMessage(state, member.card.peer, *due);
        }
    }
}

void receiveEntryAcknowledgement(EntryState &state, MemberRow &member, const EntryAcknowledgement &acknowledgement)
{
    if (acknowledgement.sender == state.self.incarnation) {
        member.outgoing.confirm(acknowledgement.epoch, acknowledgement.upTo, state.now);
    }
}

bool areAllCopiesConfirmed(const EntryState &state)
{
    return std::all_of(state.members.begin(), state.members.end(), [](const auto &pair) {
        const auto &member = pair.second;
        return !member.isReachable || member.outgoing.isConfirmed();
    });
}

void sendMessage(EntryState &state, const Endpoint &to, PeerBody body)
{
    auto &count = state.sent[body.index()];
    auto datagram = state.codec.seal({state.self, state.nextMessageNumber++, std::move(body)});
    ++count.messages;
    count.bytes += datagram.size();
    state.outbox.addOwned(OutputKind::message, to, std::move(datagram));
}

} // namespace sapphirespan
