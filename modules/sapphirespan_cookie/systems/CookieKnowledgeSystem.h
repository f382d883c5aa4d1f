#pragma once

#include "sapphirespan_cookie/state/CookieState.h"

namespace sapphirespan {

/** Takes in one entry and passes it on to peers if it is news. */
void mergeUpstreamEntry(CookieState &state, const UpstreamEntry &entry);

/** Takes in a complete list from the store. */
void mergeStoreList(CookieState &state, const UpstreamList &list);

/** Takes in what the store reports as changed. */
void mergeStoreChanges(CookieState &state, const UpstreamChanges &changes);

/** Takes in a configuration from the store or a peer. */
void applyRouteConfiguration(CookieState &state, const RouteConfiguration &configuration);

/** @returns what a peer asks for, or nothing before this instance knows it. */
std::optional<StoreDataSnapshot> makeSnapshot(const CookieState &state, const SnapshotScope &scope);

/** Takes in a peer's snapshot. */
void mergePeerSnapshot(CookieState &state, const StoreDataSnapshot &snapshot);

/** Asks peers for what this instance lacks: everything while it starts, later what they know better. */
void requestDueSnapshots(CookieState &state);

} // namespace sapphirespan
