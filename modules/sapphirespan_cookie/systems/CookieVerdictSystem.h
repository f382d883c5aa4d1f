#pragma once

#include "sapphirespan_cookie/state/CookieState.h"

namespace sapphirespan {

/** @returns the number that stands for this instance in verdicts. */
ProberId ownWitnessId(const CookieState &state);

/** Notes what an attempt of this instance's own found, to tell peers; not that something is dark while this instance's own
    link or loop is in question. */
void recordOwnVerdict(CookieState &state, const VerdictSubject &subject, ProbeResult result);

/** Takes in a verdict that a peer made or passed on. One made from this data centre, or inside the data centre of the
    upstream that it is about, counts as if this instance's own attempt had begun; across a cut the sides differ, so one made
    elsewhere only keeps new flows away, and that not from upstreams of the own data centre.

    A dark upstream takes no new flows from then on. Its flows are ended once enough witnesses agree or an attempt of this
    instance is silent too; only an instance with flows there makes one. */
void handlePeerVerdict(CookieState &state, const Verdict &verdict);

} // namespace sapphirespan
