#pragma once

#include "sapphirespan_cookie/state/CookieState.h"

namespace sapphirespan {

/** Forwards, rejects or drops one packet of a client. @param bytes of any content */
void handleClientPacket(CookieState &state, std::span<std::uint8_t> bytes);

/** Ends the flows at an upstream that is certainly out of reach, so that their clients try again at once. */
void resetFlowsOf(CookieState &state, const UpstreamRow &row);

} // namespace sapphirespan
