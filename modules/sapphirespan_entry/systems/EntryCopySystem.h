#pragma once

#include "sapphirespan_entry/state/EntryState.h"

namespace sapphirespan {

/** Queues an entry for every other holder of its bucket. Sent by flushEntryCopies(). @param change placed or replaced */
void copyEntry(EntryState &state, const FlowEntry &entry, EntryChange change);

/** Removes an entry and tells the other holders that its flow has ended. */
void endEntry(EntryState &state, std::uint64_t key);

/** Queues, for each member that a change of rankings made a holder of further buckets, the entries of those buckets.

    @param ranking, copyRanking the rankings before the change; the state holds those after it
*/
void copyToNewHolders(EntryState &state, const Ranking &ranking, const Ranking &copyRanking);

/** Queues every entry of the buckets that a member holds or may soon hold, for one that starts anew. */
void queueAllFor(EntryState &state, MemberRow &member);

/** Sends queued and repeated entries. To be called at the end of each batch and tick. */
void flushEntryCopies(EntryState &state);

/** Takes in entries from a peer; they are confirmed by the next flushAcknowledgements(). */
void receiveEntryCopy(EntryState &state, MemberRow &member, const EntryCopy &copy);

/** Confirms what was received since the last call; one message for each peer. To be called at each tick. */
void flushAcknowledgements(EntryState &state);

/** Takes in a confirmation from a peer. */
void receiveEntryAcknowledgement(EntryState &state, MemberRow &member, const EntryAcknowledgement &acknowledgement);

/** @returns whether peers have confirmed every entry sent to them, so that the instance may hand over. */
bool areAllCopiesConfirmed(const EntryState &state);

/** Packs, seals and queues a message to a member or seed, and counts it. */
void sendMessage(EntryState &state, const Endpoint &to, PeerBody body);

} // namespace sapphirespan
