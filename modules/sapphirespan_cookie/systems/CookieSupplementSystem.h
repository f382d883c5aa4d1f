#pragma once

#include "sapphirespan_cookie/state/CookieState.h"

namespace sapphirespan {

/** @returns whether the settings ask for anything that supplements carry. */
bool needsSupplements(const CookieState &state);

/** @returns whether the settings ask for anything that depends on the policies of routes and services. */
bool needsPolicies(const CookieState &state);

/** Sends a supplement to the given peers, unless the settings need none. */
void sendSupplement(CookieState &state, const std::vector<Endpoint> &targets);

/** Sends a supplement if one is due or urgent. */
void sendDueSupplement(CookieState &state, const std::vector<Endpoint> &targets);

/** Handles a datagram of a peer that is no report. @param datagram untrusted input */
void handlePeerSupplement(CookieState &state, std::span<const std::uint8_t> datagram);

/** Forgets the supplements of peers that have sent none for a while. */
void expireSupplements(CookieState &state);

} // namespace sapphirespan
