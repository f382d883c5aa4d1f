#pragma once

#include "sapphirespan_cookie/state/CookieState.h"

namespace sapphirespan {

/** Forwards, rejects or drops one client packet, or holds it until routes and upstreams are loaded.
    @param bytes untrusted; the cookie is written into an opening packet in place, and forwarded packets point into them, so
    they must stay valid until the outbox is cleared */
void handleClientPacket(CookieState &state, std::span<std::uint8_t> bytes);

/** Drops held packets that are older than `heldPacketLifetime`, and the oldest beyond `maxHeldPackets`. Once routes and
    upstreams are loaded, handles the others. */
void releaseHeldPackets(CookieState &state);

} // namespace sapphirespan
