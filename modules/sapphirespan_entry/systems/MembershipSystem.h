#pragma once

#include "sapphirespan_entry/state/EntryState.h"

namespace sapphirespan {

/** Opens a message from a peer and takes it in. @param from where the datagram came from */
void receivePeerMessage(EntryState &state, const Endpoint &from, std::span<const std::uint8_t> datagram);

/** Gives up all authority when this instance was silent for so long that peers may have taken over its buckets.
    To be called before each batch and tick, with state.now up to date.
*/
void lapseIfSilent(EntryState &state);

/** Notes members that fell silent, and forgets those silent for long. */
void expireMembers(EntryState &state);

/** Notes whether a heartbeat is overdue: a member may be cut off, well before its lease tells. */
void noteOverdueMembers(EntryState &state);

/** Notes members that became synced, and admits this instance once it may be. */
void advanceAdmission(EntryState &state);

/** Recomputes the rankings after any change of members. */
void refreshRankings(EntryState &state);

/** Sends heartbeats that are due. */
void sendDueHeartbeats(EntryState &state);

/** Sends a last heartbeat that says so. */
void announceGone(EntryState &state);

/** Moves a leaving instance on once its copies are confirmed. */
void advanceLeaving(EntryState &state);

} // namespace sapphirespan
