#pragma once

#include "sapphirespan_cookie/evidence/VerdictTable.h"

namespace sapphirespan {

/** Whether packets seem to reach an upstream. */
enum class Reachability : std::uint8_t {
    reachable,
    suspect, ///< flows repeat packets without progress; takes no new flow while others can
    unreachable, ///< connection attempts failed too, here or at enough others; its flows are ended
    count
};

template<>
struct NameTable<Reachability> {
    static constexpr std::array<std::string_view, enumCount<Reachability>> names {"fine", "suspect", "dark"};
};

/** Flows and requests at one upstream, from packets of clients. */
struct UpstreamLoad {
    std::uint32_t activeFlows = 0; ///< seen here lately
    std::uint32_t waitingRequests = 0; ///< of which the client has had no byte of the response
    double peerFlows = 0; ///< what peers reported together
    double peerWaitingRequests = 0;
    std::uint32_t flowsPlacedSincePeerReport = 0; ///< placed here since the peers' sums were taken in
    double averageFirstByteMs = 0; ///< moving average of the time to the first byte; 0 before the first sample
};

/** What the packets of an upstream's flows tell about it.

    An upstream that lives and is reached makes progress on some flow now and then; one that is dark makes none on any.
*/
struct UpstreamEvidence {
    Reachability state = Reachability::reachable;
    SteadyTime lastProgressAt {}; ///< on any flow as seen here, or of a connection attempt
    SteadyTime stateSince {};
    SteadyTime unreachableUntil {}; ///< when a dark upstream is tried again
    SteadyTime reducedPlacementUntil {}; ///< until when it takes few new flows after it was dark or suspect
    SteadyTime lastProbeAt {};
    std::optional<SteadyTime> unansweredOpeningSince; ///< when the first opening was forwarded since the last progress
    std::uint16_t stalledFlows = 0; ///< flows that repeated data since the last progress
    std::uint16_t stalledOpenings = 0; ///< openings that were repeated since the last progress
    std::uint8_t retryBackoffExponent = 0; ///< how often in a row it was found dark
    std::uint8_t consecutiveFailedProbes = 0; ///< in a row, while suspect
    std::uint8_t answeredProbesWithoutProgress = 0; ///< in a row, without progress of a flow: it lives and does not serve
    std::uint8_t pendingProbes = 0; ///< attempts on their way
    bool isUnreachableWithoutProbe = false; ///< dark on the word of others, or with its data centre; not for this instance to try again
    bool isReportedUnreachable = false; ///< a peer found it dark: one silent attempt is enough
    SteadyTime lastFailureAt {}; ///< the latest attempt known of, here or elsewhere, that found it dark
    SteadyTime avoidedSince {}; ///< what is said against it, without an attempt of this instance, was found then
    SteadyTime avoidedUntil {};
    std::optional<SteadyTime> peerVerdictCheckAt; ///< when to try what a peer found
};

/** Shortest time without progress after which repeated packets make an upstream suspect; a client's first repetition
    comes after 200 ms. */
inline constexpr Milliseconds suspectAfterNoProgress {150};

/** Time after which an opening that its client has not confirmed puts its upstream in doubt; several times the round trip
    from a client by way of this instance. A client whose opening was refused sends nothing more, so this is all that an
    instance sees of an upstream that has crashed. */
inline constexpr Milliseconds openingOverdueAfter {40};

/** Time after which such an upstream is probed. */
inline constexpr Milliseconds suspectAfterUnansweredOpening {80};

/** Stalled flows, counting an unanswered opening as one, that make an upstream suspect. A connection attempt then settles
    it within milliseconds if the upstream lives. */
inline constexpr int minStallsToSuspect = 1;

/** Time for which a dark upstream is left alone before it is probed again; doubles up to longestDark. */
inline constexpr Milliseconds initialRetryBackoff {1000};
inline constexpr Milliseconds maxRetryBackoff {4000};

/** Pause after an attempt that was answered though no flow makes progress; doubles up to longestDark. */
inline constexpr Milliseconds initialAnsweredProbeBackoff {200};

/** Instances with flows at an upstream that a peer found dark try it themselves within this time, each at a moment of its
    own: the first few verdicts then settle it for the others. */
inline constexpr Milliseconds maxCheckDelay {500};

/** Time for which an upstream of a data centre in question is not chosen while others can take a flow. */
inline constexpr Milliseconds dataCentreCheckAvoidance {400};

/** Time for which an upstream that came back takes few new flows. */
inline constexpr Milliseconds reducedPlacementTime {1500};

/** Notes that some flow made progress. @returns whether the upstream was suspect or dark before */
bool noteProgress(UpstreamEvidence &evidence, SteadyTime now);

/** Notes that an opening was forwarded. */
void noteOpening(UpstreamEvidence &evidence, SteadyTime now);

/** @returns whether an opening has been unanswered for long enough to place no more flows while others can take them. */
bool isOpeningOverdue(const UpstreamEvidence &evidence, SteadyTime now);

/** Notes that a flow repeated data (for the first time since it made progress), or that an opening was repeated. */
void noteStall(UpstreamEvidence &evidence, bool isOpening);

/** Judges what was noted, and lets time pass for what others found. @returns whether the upstream became suspect just now */
bool updateReachability(UpstreamEvidence &evidence, SteadyTime now);

/** Stalled flows from which on one failed connection attempt is enough; with fewer, its packet may just have been lost. */
inline constexpr int minStallsToTrustOneProbe = 3;

/** Notes the outcome of a connection attempt. @param jitter in [0, 1), so that finders do not try again together
    @returns whether the upstream became dark just now */
bool noteProbeResult(UpstreamEvidence &evidence, ProbeResult result, SteadyTime now, double jitter = 0);

/** Notes that a peer found the upstream dark: no new flow while others can take it, unless progress was seen here since.
    If it is dark here as well, the peer's attempt stands for the next one of this instance. @returns whether it counts */
bool noteUnreachableVerdict(UpstreamEvidence &evidence, const Verdict &verdict, SteadyTime now, double jitter);

/** Plans an attempt of this instance's own, unless one is planned. @param jitter in [0, 1) */
void scheduleCheck(UpstreamEvidence &evidence, SteadyTime now, double jitter);

/** Makes the upstream dark without an attempt. @returns whether it became dark just now */
bool markUnreachableWithoutProbe(UpstreamEvidence &evidence, SteadyTime now);

/** Lets an upstream that is dark on the word of others stay so for as long as a verdict of `foundAt` holds. */
void extendUnreachablePeriod(UpstreamEvidence &evidence, SteadyTime foundAt);

/** Notes that an attempt elsewhere was answered. @param isSameVantage whether it went the way that this instance's go
    @returns whether the upstream is back here */
bool noteReachableVerdict(UpstreamEvidence &evidence, SteadyTime foundAt, bool isSameVantage, SteadyTime now);

/** Puts the upstream in question for a moment, with its data centre. */
void avoidDuringDataCentreCheck(UpstreamEvidence &evidence, SteadyTime now);

/** @returns whether something is said against the upstream that this instance has not tried itself. */
bool isAvoided(const UpstreamEvidence &evidence, SteadyTime now);

/** @returns whether the upstream should be probed now: suspect, or dark and its time is over. */
bool isProbeDue(const UpstreamEvidence &evidence, SteadyTime now);

/** @returns whether there is anything to judge or to probe: an opening or data without an answer, a suspicion, a verdict,
    a planned attempt. */
bool needsEvaluation(const UpstreamEvidence &evidence);

/** Drops all verdicts, as after a pause in which nothing could be seen. */
void resetEvidence(UpstreamEvidence &evidence, SteadyTime now);

} // namespace sapphirespan
