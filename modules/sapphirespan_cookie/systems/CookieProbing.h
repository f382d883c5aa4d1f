#pragma once

#include "sapphirespan_cookie/state/CookieState.h"

namespace sapphirespan {

/** Queues a probe, that is, a connection attempt to an upstream's port or, for the purposes `host` and `hostSelfCheck`, to a port of its
    host on which nothing needs to listen; CookieInstance::takeProbeRequests() hands it out. */
void requestProbe(CookieState &state, UpstreamRow &row, ProbePurpose purpose);

/** Queues a probe of an upstream by itself, and counts it as pending. The caller sees to a self-check probe. */
void probeUpstream(CookieState &state, UpstreamRow &row);

/** Queues a probe of an upstream's host and a control for it. */
void probeHost(CookieState &state, UpstreamRow &row);

/** Queues an attempt that is to confirm the silence of an upstream's host. Its control comes later, see
    requestConfirmationControl(). */
void askForConfirmation(CookieState &state, UpstreamRow &row);

/** Queues a control for attempts to confirm silence that began at least hostAnswerTime ago; one serves all of them. It asks
    a peer of the own data centre, so that it presses on no upstream, or the host of an upstream if there is no peer. Does nothing
   if another control was sent within hostAnswerTime.
    @param silent the upstream of whose host the control has to be independent */
void requestConfirmationControl(CookieState &state, const UpstreamRow &silent);

/** @returns whether the silence of a host that was probed at `startedAt` is evidence against it: the probe of another host that started
    no more than selfCheckValidity earlier, or later, was answered. Networks that drop such probes thus prove nothing. */
bool isHostSilenceConclusive(const CookieState &state, SteadyTime startedAt);

/** Time for which an answered probe shows, from its start on, that this instance's own link and event loop work. Covers the
    first of two probes and its answer. */
inline constexpr Milliseconds selfCheckValidity {100};

/** @returns whether an unanswered probe that started at `startedAt` is evidence against its target: another probe that started
    no more than selfCheckValidity earlier, or later, was answered. */
bool isSilenceConclusive(const CookieState &state, SteadyTime startedAt);

/** Queues a self-check probe to an upstream that is expected to answer. If it stays unanswered, this instance's own link or event
    loop is slow, and unanswered probes to other upstreams prove nothing. Prefers upstreams in the own data centre, which
    remain reachable when the link between data centres is cut. Takes candidates in turn, starting at the instance's rank, so
    that not all instances probe the same one. Does nothing if an answered probe started within the last
    selfCheckValidity, or if no upstream qualifies. */
void requestSelfCheckProbe(CookieState &state);

} // namespace sapphirespan
