#pragma once

#include "sapphirespan_cookie/state/CookieState.h"

namespace sapphirespan {

/** Asks for a connection attempt. */
void requestProbe(CookieState &state, UpstreamRow &row, ProbePurpose purpose);

/** Time for which an answered attempt speaks for this instance's own link and loop: the first of two attempts and its answer. */
inline constexpr Milliseconds controlAnswerValidity {100};

/** @returns whether silence on an attempt that starts at `startedAt` says something about the other side. */
bool isSilenceConclusive(const CookieState &state, SteadyTime startedAt);

/** Tries an upstream that should answer as well: if it does not, this instance's own link or loop is slow, and silence of
    the others proves nothing. Inside the own data centre if possible, since a cut leaves that reachable; by turns that
    begin at the instance's rank, so that not all try the same. Not at all if an attempt was answered a moment ago. */
void requestControlProbe(CookieState &state);

} // namespace sapphirespan
