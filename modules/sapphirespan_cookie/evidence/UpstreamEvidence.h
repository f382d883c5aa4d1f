#pragma once

#include "sapphirespan_cookie/evidence/VerdictBook.h"

namespace sapphirespan {

/** Reachability of an upstream, inferred from client packets, probes and verdicts of peers. */
enum class Reachability : std::uint8_t {
    reachable,
    suspect, ///< stalled, or to be checked after a peer's verdict; gets no new flow while others can take it
    unreachable, ///< probes failed as well, here or at enough peers; its flows are reset if its host is silent too
    count
};

template<>
struct NameTable<Reachability> {
    static constexpr std::array<std::string_view, enumCount<Reachability>> names {"fine", "suspect", "dark"};
};

/** Load of one upstream, as seen in client packets here. */
struct UpstreamLoad {
    std::uint32_t activeFlows = 0; ///< with recent packets through this instance
    std::uint32_t waitingRequests = 0; ///< whose response has not begun
    double averageFirstByteMs = 0; ///< moving average of the time to the first byte; 0 before the first sample
};

/** Evidence for and against the reachability of one upstream.

    A reachable upstream makes progress on some flow from time to time; an unreachable one makes none on any flow.
*/
struct UpstreamEvidence {
    Reachability state = Reachability::reachable;
    SteadyTime lastProgressAt {}; ///< last progress of any flow here, answered probe, or resetEvidence()
    SteadyTime stateSince {};
    /** When an unreachable upstream is probed again, or, if isUnreachableWithoutProbe, taken as reachable again. */
    SteadyTime unreachableUntil {};
    SteadyTime reducedPlacementUntil {}; ///< until when it gets few new flows after a recovery
    SteadyTime lastProbeAt {};
    std::optional<SteadyTime> unansweredOpeningSince; ///< first opening placed on it since the last progress
    std::uint16_t stalledFlows = 0; ///< flows that retransmitted data since the last progress
    std::uint16_t stalledOpenings = 0; ///< retransmitted openings since the last progress
    std::uint8_t retryBackoffExponent = 0; ///< number of consecutive failures, by probes here or verdicts of peers, at most 8
    std::uint8_t consecutiveFailedProbes = 0; ///< of its port, while suspect or unreachable
    std::uint8_t answeredProbesWithoutProgress = 0; ///< consecutive; the host accepts connections, but serves no flow
    std::uint8_t pendingProbes = 0; ///< probes of its port in flight
    bool isUnreachableWithoutProbe = false; ///< by verdicts of peers on this upstream; this instance does not probe it
    bool isAvoidedWithDataCentre = false; ///< avoided because its data centre is unreachable as a whole; says nothing about its flows
    bool isReportedUnreachable = false; ///< by a peer; one silent probe then suffices
    bool isReportedHostSilent = false; ///< by a peer; its host is then probed before its port
    SteadyTime lastFailureAt {}; ///< latest failed probe of it known, by this instance or a peer
    bool isHostProbePending = false;
    std::uint8_t inconclusiveHostProbes = 0; ///< consecutive; no host answers this instance, or it is cut off itself
    SteadyTime lastHostProbeAt {};
    std::optional<SteadyTime> lastHostSilenceAt; ///< latest probe of its host left unanswered, by this instance or a quorum
    std::optional<SteadyTime> lastHostAnswerAt; ///< latest attempt that its host answered, by accepting or refusing it
    std::optional<SteadyTime> confirmationAskedAt; ///< start of the attempt that is to confirm the silence of its host, unanswered so far
    std::optional<SteadyTime> hostSilenceConfirmedAt; ///< latest proof that its host is gone, by this instance or a quorum
    bool isHostSilenceContested = false; ///< a request that was sent after it was answered; the next probe of the host decides
    bool isHostSilenceRefuted = false; ///< it served flows while its host left probes unanswered, so that silence proves nothing
    std::optional<SteadyTime> stalledSince; ///< first retransmission of data since the last progress
    SteadyTime avoidedSince {}; ///< time of the latest verdict or data centre check against it
    SteadyTime avoidedUntil {};
    std::optional<SteadyTime> peerVerdictCheckAt; ///< when to probe in order to verify a peer's verdict
};

/** Minimum time without progress after which retransmissions make an upstream suspect; a client's first retransmission
    comes after 200 ms. */
inline constexpr Milliseconds suspectAfterNoProgress {150};

/** Time without progress after an opening from which its upstream is placed behind others; several round trips between
    client and upstream through this instance. A client whose opening was refused sends nothing more, so the missing
    confirmation is the only sign of a crashed upstream that an instance sees. */
inline constexpr Milliseconds openingOverdueAfter {40};

/** Time without progress after an opening from which its upstream is suspect and therefore probed. */
inline constexpr Milliseconds suspectAfterUnansweredOpening {80};

/** Number of stalled flows and retransmitted openings that makes an upstream suspect. One suffices, since a probe clears a
    live upstream within milliseconds. */
inline constexpr int minStallsToSuspect = 1;

/** Pause before an unreachable upstream is probed again; doubles up to maxRetryBackoff. Jitter is applied afterwards, so
    that the actual pause is 0.75 to 1.5 times as long. */
inline constexpr Milliseconds initialRetryBackoff {1000};
inline constexpr Milliseconds maxRetryBackoff {4000};

/** Pause after a probe that was answered although no flow makes progress; doubles up to maxRetryBackoff, without jitter. */
inline constexpr Milliseconds initialAnsweredProbeBackoff {200};

/** Time within which instances with flows at an upstream verify a peer's failure verdict, each after a random delay; the
    first few verdicts then decide for the others. */
inline constexpr Milliseconds maxCheckDelay {500};

/** Time for which an upstream of a suspect data centre gets no new flow while others can take it. */
inline constexpr Milliseconds dataCentreCheckAvoidance {400};

/** Time for which a recovered upstream gets few new flows. */
inline constexpr Milliseconds reducedPlacementTime {1500};

/** Age up to which the silence of a host is good for resetting open flows. Until the next probe it may have come back. */
inline constexpr Milliseconds failureValidity {1500};

/** Time within which a host answers where no packet waits; longer than the round trip to the farthest data centre. */
inline constexpr Milliseconds hostAnswerTime {40};

/** Time after which an attempt to confirm the silence of a host is given up, since no control was answered. */
inline constexpr Milliseconds maxConfirmationTime {400};

/** Minimum time between two probes that packets of open flows cause. */
inline constexpr Milliseconds minVerificationInterval {200};

/** Records progress of a flow. @returns whether the upstream was suspect or unreachable before */
bool noteProgress(UpstreamEvidence &evidence, SteadyTime now);

/** Records that an opening was placed on the upstream. */
void noteOpening(UpstreamEvidence &evidence, SteadyTime now);

/** @returns whether an opening has been unanswered for longer than openingOverdueAfter. */
bool isOpeningOverdue(const UpstreamEvidence &evidence, SteadyTime now);

/** Records a flow's first retransmission of data since its last progress, or that of an opening. */
void noteStall(UpstreamEvidence &evidence, bool isOpening, SteadyTime now);

/** Updates the state from the recorded evidence and ends an expired unreachable period that was set without a probe.
    @returns whether the upstream became suspect in this call */
bool updateReachability(UpstreamEvidence &evidence, SteadyTime now);

/** Number of stalled flows from which one failed probe suffices; with fewer, the probe's packet may just have been lost. */
inline constexpr int minStallsToTrustOneProbe = 3;

/** Records the result of a probe of the upstream's port. @param jitter in [0, 1), so that instances do not probe again at the same
    time @returns whether the upstream became unreachable in this call */
bool noteProbeResult(UpstreamEvidence &evidence, ProbeResult result, SteadyTime now, double jitter = 0);

/** Records the conclusive result of a probe of the upstream's host. Any answer shows that the host is up: if the process has ended, the
    host resets its flows itself. Silence is ignored if the upstream is reachable, made progress since the probe began, or has answered
    another probe since then. @param jitter as for noteProbeResult() @returns whether the upstream became unreachable in this call */
bool noteHostProbeResult(UpstreamEvidence &evidence, ProbeResult result, SteadyTime startedAt, SteadyTime now, double jitter = 0);

/** Records that an attempt has begun that is to confirm the silence of the upstream's host. */
void noteConfirmationAsked(UpstreamEvidence &evidence, SteadyTime now);

/** @returns whether the silence of the upstream's host is to be confirmed before flows end: it was found lately, not since the latest sign
    of life, and no confirmation is under way or recent. */
bool isConfirmationDue(const UpstreamEvidence &evidence, SteadyTime now);

/** @returns whether a control is to be sent for an attempt to confirm the silence of the host. */
bool isControlDue(const UpstreamEvidence &evidence, SteadyTime now);

/** Concludes an attempt to confirm the silence of the upstream's host if it is still unanswered although one that was sent at least
    hostAnswerTime later has been answered: links are first in, first out, so that its answer would have come before. The silence is
    confirmed if an earlier attempt was left unanswered too; else this one counts as the earlier one, and another is due. Gives the
    attempt up after maxConfirmationTime. @param answeredSentAt start of the latest answered attempt
    @returns whether the attempt was concluded in this call */
bool concludeConfirmation(UpstreamEvidence &evidence, SteadyTime answeredSentAt, SteadyTime now);

/** Gives up an attempt to confirm silence that could not be made. */
void giveUpConfirmation(UpstreamEvidence &evidence);

/** Discards what speaks for the end of the upstream's open flows; whether it gets new ones stays as it is. */
void forgetHostSilence(UpstreamEvidence &evidence);

/** Records any answer of the upstream's host, in time or not. */
void noteHostAnswer(UpstreamEvidence &evidence, SteadyTime now);

/** Records that a probe of the upstream's host was left unanswered and says nothing; the next one waits longer. */
void noteInconclusiveHostProbe(UpstreamEvidence &evidence);

/** @returns whether the latest that is known of the upstream's host is that it answered lately. */
bool isHostKnownUp(const UpstreamEvidence &evidence, SteadyTime now);

/** Records that enough peers proved the upstream's host silent. */
void noteHostSilenceAtPeers(UpstreamEvidence &evidence, SteadyTime foundAt);

/** Records a peer's failure verdict: the upstream gets no new flow while others can take it, unless progress was seen here
    since or the verdict is older than verdictLifetime. If the upstream is unreachable here as well, the peer's probe
    replaces the next one of this instance. @param jitter in [0, 1) @returns whether the verdict was accepted */
bool noteUnreachableVerdict(UpstreamEvidence &evidence, const Verdict &verdict, SteadyTime now, double jitter);

/** Schedules a probe by this instance within maxCheckDelay, if the upstream is reachable, unless an earlier one is scheduled.
    @param jitter share of maxCheckDelay to wait, in [0, 1) */
void scheduleCheck(UpstreamEvidence &evidence, SteadyTime now, double jitter);

/** Marks the upstream unreachable for verdictLifetime without a probe. @param foundAt time of the failure that says so
    @returns whether it became so in this call */
bool markUnreachableWithoutProbe(UpstreamEvidence &evidence, SteadyTime foundAt, SteadyTime now);

/** Keeps an upstream that was marked unreachable without a probe so until verdictLifetime after a failure. */
void extendUnreachablePeriod(UpstreamEvidence &evidence, SteadyTime foundAt);

/** Records a peer's verdict that the upstream answered. From another data centre, it only brings forward the next probe
    of an upstream that this instance found unreachable itself.
    @param isSameDataCentre whether the peer is in this instance's data centre
    @returns whether the upstream became reachable in this call */
bool noteReachableVerdict(UpstreamEvidence &evidence, SteadyTime foundAt, bool isSameDataCentre, SteadyTime now);

/** Avoids the upstream for dataCentreCheckAvoidance while its data centre is checked. */
void avoidDuringDataCentreCheck(UpstreamEvidence &evidence, SteadyTime now);

/** Avoids the upstream for verdictLifetime because probes of others in its data centre failed, unless it has made progress since.
    Its flows stay: only a failed probe of the upstream itself speaks against them. @param foundAt time of the failure */
void avoidWithDataCentre(UpstreamEvidence &evidence, SteadyTime foundAt);

/** Ends the avoidance that avoidWithDataCentre() set, if any. */
void endAvoidanceWithDataCentre(UpstreamEvidence &evidence);

/** Makes the next probe of an upstream that was found unreachable by a probe of its own due at once. */
void bringForwardRetry(UpstreamEvidence &evidence, SteadyTime now);

/** @returns whether a verdict or data centre check speaks against the upstream and no progress was seen since. */
bool isAvoided(const UpstreamEvidence &evidence, SteadyTime now);

/** @returns whether a packet of an open flow should cause a check of the upstream: its data centre is unreachable, and the upstream
    itself was neither probed recently nor made progress. */
bool isCheckDueWithDataCentre(const UpstreamEvidence &evidence, SteadyTime now);

/** @returns whether the open flows of an unreachable upstream may be reset: its host was proven silent lately, and no flow made
    progress since. Two attempts to the host were left unanswered then, the second one while a later one
    to another host was answered. The upstream's port says nothing about its flows, which do not use it: it may refuse connections, or have
   a full queue of them, while the upstream serves. And the host of an upstream that has ended resets its flows itself. */
bool mayResetFlows(const UpstreamEvidence &evidence, SteadyTime now);

/** @returns whether a packet of an open flow should cause a probe of the upstream's host: the upstream is unreachable, and what is known
    of its host is old. */
bool isVerificationDue(const UpstreamEvidence &evidence, SteadyTime now);

/** @returns whether the upstream's port should be probed now: suspect, or unreachable with its pause over. */
bool isProbeDue(const UpstreamEvidence &evidence, SteadyTime now);

/** @returns whether the host of a suspect upstream should be probed now: its port has not answered in time, or much speaks against the
    upstream already. */
bool isHostProbeDue(const UpstreamEvidence &evidence, SteadyTime now);

/** @returns whether there is anything to evaluate or to probe: an unanswered opening, a stall, a state other than
    reachable, or a scheduled check. */
bool needsEvaluation(const UpstreamEvidence &evidence);

/** Discards observations from before a pause of the process: sets the last progress to `now`, clears stalls, the unanswered
    opening and the scheduled check, and makes a suspect upstream reachable. Everything else is kept, such as the
    unreachable state, its backoff, avoidance and probe counters. */
void resetEvidence(UpstreamEvidence &evidence, SteadyTime now);

} // namespace sapphirespan
