#pragma once

#include "sapphirespan_cookie/state/CookieState.h"

namespace sapphirespan {

/** Merges a report received from a peer, queues what is new for other peers, and queues a snapshot request if one is due.

    @param datagram untrusted bytes. A datagram that does not decode is ignored. Of an outdated report, or of one in this
        instance's own name, only the list of known peers is used.
*/
void handlePeerDatagram(CookieState &state, std::span<const std::uint8_t> datagram);

/** Sends a full report to each peer that was discovered, or sent a report while starting, since the last call, so that it
    learns of the other peers at once. */
void sendReportsToNewPeers(CookieState &state);

/** Sends a report if the regular interval has passed or urgent news is due: to the peers that
    PeerTable::selectReportTargets() chooses, and to seeds that are not known as live peers. May be called at any rate, since
    it keeps the minimum intervals between reports itself. */
void sendDueReports(CookieState &state);

/** Updates the reason for which this instance queries the store, if any, and announces when querying starts or stops. */
void updateStoreWatch(CookieState &state);

} // namespace sapphirespan
