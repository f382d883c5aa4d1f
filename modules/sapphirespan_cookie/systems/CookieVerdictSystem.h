#pragma once

#include "sapphirespan_cookie/state/CookieState.h"

namespace sapphirespan {

/** @returns the id of this instance in verdicts, derived from its name and the same after every restart. */
ProberId ownProberId(const CookieState &state);

/** @returns whether flows pass through this instance that depend on an upstream now. */
bool hasFlows(const UpstreamRow &row);

/** Records the result of this instance's own probes, to be reported to peers. A failure is discarded while this instance's
    own network link or event loop is suspect. @param isHostSilent as in Verdict */
void recordOwnVerdict(CookieState &state, const VerdictSubject &subject, ProbeResult result, bool isHostSilent = false);

/** Handles a verdict that a peer reached or passed on.

    An upstream reported as unreachable takes no new flows while others can take them. If the prober is in this instance's
    data centre or in that of the upstream, the verdict also counts as the first failure of this instance's own check. Flows are
    reset once `unreachableQuorum` probers proved the host of the upstream silent, or this instance did. Only an
    instance with flows to the upstream probes it for this reason.

    During a network partition the two sides see different things. So an unreachable verdict from any other data centre only
    keeps new flows away, and not from upstreams of the own data centre; a reachable one from there is only recorded.

    A verdict about a data centre counts only if the prober is in this instance's data centre and the subject is another one.
    Verdicts about unknown or departed upstreams are ignored. */
void handlePeerVerdict(CookieState &state, const Verdict &verdict);

} // namespace sapphirespan
