#pragma once

#include "sapphirespan_cookie/state/CookieState.h"

namespace sapphirespan {

/** Evaluates the reachability of upstreams and data centres, and requests the probes that are due. Not to be called while
    the instance runs late: the packets that would show progress may still be unread in its sockets.
*/
void evaluateUpstreams(CookieState &state);

/** Handles the result of a probe; ends the flows of an upstream whose host is proven silent by it.
    Results for upstreams that are no longer known only count as self-check answers or failures. */
void handleProbeResult(CookieState &state, const ProbeRequest &request, ProbeResult result);

/** Handles the answer to a probe whose result was `silent`: the host is up, and packets wait on the way. */
void handleLateProbeAnswer(CookieState &state, const ProbeRequest &request, ProbeResult result);

/** Handles a probe that could not be made on this machine. It settles nothing, so it may be requested again. */
void handleProbeNotMade(CookieState &state, const ProbeRequest &request);

/** Recounts the active flows and waiting requests of each upstream from the tracked flows, and removes flows, departed
    upstreams, verdicts and peers that have expired. */
void recountLoadAndExpireState(CookieState &state);

} // namespace sapphirespan
