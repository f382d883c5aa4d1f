#pragma once

#include "sapphirespan_cookie/state/CookieState.h"

namespace sapphirespan {

/** Judges other data centres as a whole by flows that stall there, and tries a sample of their upstreams when due. */
void evaluateDataCentres(CookieState &state);

/** Puts the data centre of an upstream in question that an attempt found silent, unless others there make progress. */
void markDataCentreSuspectIfStalled(CookieState &state, const UpstreamRow &row);

/** Takes in the outcome of an attempt for a data centre. @param isConclusive whether a silent attempt says something about
    the other side */
void handleSampleProbeResult(CookieState &state, UpstreamRow &row, ProbeResult result, bool isConclusive);

/** Takes in what a peer of this data centre found. */
void handleDataCentreVerdict(CookieState &state, const Verdict &verdict);

/** @returns whether a data centre is in question or dark, so that its upstreams are not tried one by one. */
bool isDataCentreSuspectOrUnreachable(const CookieState &state, const std::string &dataCentre);

} // namespace sapphirespan
