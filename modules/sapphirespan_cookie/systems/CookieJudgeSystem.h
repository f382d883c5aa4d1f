#pragma once

#include "sapphirespan_cookie/state/CookieState.h"

namespace sapphirespan {

/** Judges the evidence about each upstream and asks for the probes that are due. An instance that runs late judges
    nothing: what it would miss may lie unread in its sockets.
*/
void evaluateUpstreams(CookieState &state);

/** Takes in the outcome of a probe; ends the flows of an upstream that turns out dark. */
void handleProbeResult(CookieState &state, const ProbeRequest &request, ProbeResult result);

/** Counts flows and waiting requests afresh and forgets what is over. */
void recountLoadAndExpireState(CookieState &state);

} // namespace sapphirespan
