#pragma once

#include "sapphirespan_cookie/placement/UpstreamChoice.h"
#include "sapphirespan_cookie/state/CookieState.h"

namespace sapphirespan {

/** Merges the store's complete list of evacuation orders. What is new is sent to peers at once. Does nothing unless the settings ask
    for evacuation orders, as do the other functions that merge. */
void mergeStoreEvacuationList(CookieState &state, const EvacuationList &list);

/** Merges what changed at the store up to the revision of `changes`. */
void mergeStoreEvacuationChanges(CookieState &state, const EvacuationList &changes);

/** Merges the orders that a peer knows, from a supplement or a snapshot. A list of revision 0 does not count as loaded. */
void mergePeerEvacuations(CookieState &state, const EvacuationList &list);

/** Ends orders that were taken back once the upstreams are known up to that revision, or were awaited long enough, and notes for how
    long the list has been confirmed. */
void updateEvacuations(CookieState &state);

/** @returns whether an upstream gets no new flows because its data centre is evacuated. Cheap while there is no order. */
inline bool isEvacuated(const CookieState &state, const UpstreamRow &row)
{
    return state.evacuations.isAnyInForce() && state.evacuations.isInForce(row.entry.dataCentre);
}

/** Adds to a choice that evacuated upstreams are no candidates. The upstream to which the flow's first opening went stays one, after all
    others: the first copy may have opened the flow there, so that a rejection of the second would break an open flow.
    @param state must outlive `context` */
void excludeEvacuated(const CookieState &state, ChoiceContext &context);

/** @returns whether a service has ready upstreams, all of them in evacuated data centres. */
bool isOnlyEvacuatedLeft(const CookieState &state, const std::string &service);

/** @returns the reason for which an opening is rejected, with the orders in force and the age of the list. */
std::string describeEvacuations(const CookieState &state);

/** @returns the time since the list of orders was last confirmed: by the store, by a later list of a peer, or by upstreams that were
    confirmed at a revision that the list covers. */
Milliseconds evacuationListAge(const CookieState &state);

/** @returns whether this instance should watch the store although it is not among the watchers, because nobody seems to watch the
    orders: watchers of an earlier release do not, nor do those whose calls for them fail. */
bool isEvacuationWatchDue(const CookieState &state);

} // namespace sapphirespan
