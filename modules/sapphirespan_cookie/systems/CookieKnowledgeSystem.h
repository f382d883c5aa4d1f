#pragma once

#include "sapphirespan_cookie/state/CookieState.h"

namespace sapphirespan {

/** Counts and announces the initial load if it is complete now. @param wasComplete whether it was before the latest data was merged
    @param isFromPeer whether that data came from a peer */
void recordInitialLoad(CookieState &state, bool wasComplete, bool isFromPeer);

/** Merges one upstream entry from the store or a peer, and queues it for peers if it changed what this instance knows. */
void mergeUpstreamEntry(CookieState &state, const UpstreamEntry &entry);

/** Reconciles the known upstreams with a complete list from the store. Upstreams that it omits have departed, unless they are
    newer than the list. Changes are queued for peers, except by a list that loads the upstreams for the first time. */
void mergeStoreList(CookieState &state, const UpstreamList &list);

/** Merges incremental changes from the store and queues what is new for peers. */
void mergeStoreChanges(CookieState &state, const UpstreamChanges &changes);

/** Applies a route configuration from the store; refuses one of an older version than the one in force. An initial load that it
    completes counts as one from the store. Routes from peers come through mergePeerSnapshot(). */
void applyRouteConfiguration(CookieState &state, const RouteConfiguration &configuration);

/** @returns the store data that a peer requested, or nothing while this instance lacks routes or upstreams itself. */
std::optional<StoreDataSnapshot> makeSnapshot(const CookieState &state, const SnapshotScope &scope);

/** Merges a peer's snapshot. A full one whose upstream revision is higher than the one confirmed here also marks upstreams
    that it omits as departed. */
void mergePeerSnapshot(CookieState &state, const StoreDataSnapshot &snapshot);

/** Queues a request for a snapshot if one is due: for everything while this instance starts, from a peer or else a seed;
    later for newer routes, or for upstreams that a peer had confirmed more recently. At most one request per call; a minimum
    interval between requests is kept. */
void requestDueSnapshots(CookieState &state);

} // namespace sapphirespan
