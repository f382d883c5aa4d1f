#pragma once

#include "sapphirespan_cookie/state/CookieState.h"

namespace sapphirespan {

/** Takes in one entry and passes it on to peers if it is news. */
void learnUpstream(CookieState &state, const UpstreamEntry &entry);

/** Takes in a complete list from the store. */
void learnList(CookieState &state, const UpstreamList &list);

/** Takes in what the store reports as changed. */
void learnChanges(CookieState &state, const UpstreamChanges &changes);

/** Takes in a configuration from the store or a peer. */
void learnRoutes(CookieState &state, const RouteConfiguration &configuration);

/** @returns what a peer asks for, or nothing before this instance knows it. */
std::optional<KnowledgeSnapshot> makeSnapshot(const CookieState &state, const SnapshotScope &scope);

/** Takes in a peer's snapshot. */
void learnSnapshot(CookieState &state, const KnowledgeSnapshot &snapshot);

/** Asks peers for what this instance lacks: everything while it starts, later what they know better. */
void requestSnapshots(CookieState &state);

} // namespace sapphirespan
