#pragma once

#include "sapphirespan_cookie/state/CookieState.h"

namespace sapphirespan {

/** Forwards, rejects or drops one packet of a client, or holds it while routes and upstreams are being learned.
    @param bytes of any content */
void handleClientPacket(CookieState &state, std::span<std::uint8_t> bytes);

/** Decides on the packets that were held, once routes and upstreams are known; drops those that are too old. */
void releaseHeldPackets(CookieState &state);

/** Ends the flows at upstreams that are certainly out of reach, so that their clients try again at once. */
void resetFlowsToUnreachableUpstreams(CookieState &state);

} // namespace sapphirespan
