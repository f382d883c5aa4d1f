#pragma once

#include "sapphirespan_cookie/state/CookieState.h"

namespace sapphirespan {

/** Takes in a datagram from a peer, of any content. */
void handlePeerDatagram(CookieState &state, std::span<const std::uint8_t> datagram);

/** Tells peers that have just appeared of the others. */
void sendReportsToNewPeers(CookieState &state);

/** Sends reports when they are due. */
void sendDueReports(CookieState &state);

/** Decides whether this instance asks the store. */
void updateStoreWatch(CookieState &state);

} // namespace sapphirespan
