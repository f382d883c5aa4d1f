#pragma once

#include "sapphirespan_cookie/state/CookieState.h"

namespace sapphirespan {

/** Evaluates the reachability of each other data centre as a whole, from the flows to its upstreams and from probes.

    A data centre whose flows stall becomes suspect, and a sample of its upstreams is probed. An unreachable one gets no new flows
    while others can take them, and is probed again when its retry is due. If it is unreachable by verdicts of peers only, it
    becomes reachable without a probe once those verdicts have expired. Progress of a flow there makes it reachable too.

    A data centre's reachability decides on new flows only. Open flows end by failed probes of their own upstream.

    Only upstreams in `state.upstreamsToEvaluate` are searched for stalled flows. */
void evaluateDataCentres(CookieState &state);

/** Marks the data centre of an upstream whose probe got no answer as suspect and probes a sample of it, unless upstreams
    there have made progress lately. Nothing happens if the data centre is already suspect or unreachable, or if it
    answered a probe within `dataCentreAnswerValidity`. This instance's own data centre is never marked. */
void markDataCentreSuspectIfStalled(CookieState &state, const UpstreamRow &row);

/** Makes the data centre of an upstream reachable if it is suspect or unreachable, since a probe there was answered. */
void noteAnswerFromDataCentre(CookieState &state, const UpstreamRow &row);

/** Handles the result of one probe of a data centre's sample; ignored if no sample probe there is pending.
    @param row the upstream that was probed
    @param isConclusive whether a missing answer points to the other side rather than to this instance's own link or loop */
void handleSampleProbeResult(CookieState &state, UpstreamRow &row, ProbeResult result, bool isConclusive);

/** Handles a verdict about another data centre. The verdict must come from a prober in this instance's own data centre.

    A failure keeps new flows away from upstreams there. The data centre becomes unreachable once `unreachableQuorum` probers
    report it; until then an instance with flows there probes a sample itself within `maxCheckDelay`. Failures older than an
    answer, or received while flows there make progress, are ignored. An answer makes an unreachable data centre reachable. */
void handleDataCentreVerdict(CookieState &state, const Verdict &verdict);

/** @returns whether an upstream is not probed by itself now, since a probe of its data centre comes first: the retry of one that is
    unreachable, for an upstream that is unreachable too, or the first sample of a suspect one. In a small fleet an upstream whose
    flows stall does not wait for that sample. */
bool isProbeLeftToDataCentreCheck(const CookieState &state, const UpstreamRow &row);

} // namespace sapphirespan
