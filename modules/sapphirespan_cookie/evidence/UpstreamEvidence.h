#pragma once

#include "sapphirespan_base/sapphirespan_base.h"

namespace sapphirespan {

/** Whether packets seem to reach an upstream. */
enum class Reachability : std::uint8_t {
    fine,
    suspect, ///< flows repeat packets without progress; takes no new flow while others can
    dark, ///< a connection attempt failed too, or a peer found so; its flows are ended
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
    double peerWaiting = 0;
    std::uint32_t placedSinceReport = 0; ///< placed here since the peers' sums were taken in
    double responseMs = 0; ///< moving average of the time to the first byte; 0 before the first sample
};

/** What the packets of an upstream's flows tell about it.

    An upstream that lives and is reached makes progress on some flow now and then; one that is dark makes none on any.
*/
struct UpstreamEvidence {
    Reachability state = Reachability::fine;
    SteadyTime lastProgress {}; ///< on any flow as seen here, or of a connection attempt
    SteadyTime stateSince {};
    SteadyTime darkUntil {}; ///< when a dark upstream is tried again
    SteadyTime trickleUntil {}; ///< until when it takes few new flows after it was dark or suspect
    SteadyTime lastProbe {};
    std::optional<SteadyTime> unansweredSince; ///< when the first opening was forwarded since the last progress
    std::uint16_t stalledFlows = 0; ///< flows that repeated data since the last progress
    std::uint16_t stalledOpenings = 0; ///< openings that were repeated since the last progress
    std::uint8_t darkRounds = 0; ///< how often in a row it was found dark
    std::uint8_t failedProbes = 0; ///< in a row, while suspect
    bool isProbing = false;
};

/** Shortest time without progress after which repeated packets make an upstream suspect; a client's first repetition
    comes after 200 ms. */
inline constexpr Milliseconds suspectAfter {150};

/** Time after which an opening that its client has not confirmed puts its upstream in doubt; several times the round trip
    from a client by way of this instance. A client whose opening was refused sends nothing more, so this is all that an
    instance sees of an upstream that has crashed. */
inline constexpr Milliseconds doubtAfter {40};

/** Time after which such an upstream is probed. */
inline constexpr Milliseconds suspectOpeningAfter {80};

/** Stalled flows, counting an unanswered opening as one, that make an upstream suspect. A connection attempt then settles
    it within milliseconds if the upstream lives. */
inline constexpr int stalledToSuspect = 1;

/** Time for which a dark upstream is left alone before it is probed again; doubles up to longestDark. */
inline constexpr Milliseconds firstDark {1000};
inline constexpr Milliseconds longestDark {4000};

/** Time for which an upstream that came back takes few new flows. */
inline constexpr Milliseconds trickleTime {1500};

/** Notes that some flow made progress. @returns whether the upstream was suspect or dark before */
bool noteProgress(UpstreamEvidence &evidence, SteadyTime now);

/** Notes that an opening was forwarded. */
void noteOpening(UpstreamEvidence &evidence, SteadyTime now);

/** @returns whether an opening has been unanswered for long enough to place no more flows while others can take them. */
bool isInDoubt(const UpstreamEvidence &evidence, SteadyTime now);

/** Notes that a flow repeated data (for the first time since it made progress), or that an opening was repeated. */
void noteStall(UpstreamEvidence &evidence, bool isOpening);

/** Makes an upstream suspect for what was seen elsewhere, unless it made progress lately. @returns whether it became suspect just now
 */
bool suspectForOthers(UpstreamEvidence &evidence, SteadyTime now);

/** Judges what was noted. @returns whether the upstream became suspect just now */
bool judge(UpstreamEvidence &evidence, SteadyTime now);

/** Stalled flows from which on one failed connection attempt is enough; with fewer, its packet may just have been lost. */
inline constexpr int stalledToTrustOneProbe = 3;

/** How an upstream's host answered a connection attempt. */
enum class ProbeResult : std::uint8_t {
    connected,
    refused, ///< its host answers, but nothing listens there
    silent,
    count
};

template<>
struct NameTable<ProbeResult> {
    static constexpr std::array<std::string_view, enumCount<ProbeResult>> names {"connected", "refused", "silent"};
};

/** Notes the outcome of a connection attempt. @returns whether the upstream became dark just now */
bool noteProbe(UpstreamEvidence &evidence, ProbeResult result, SteadyTime now);

/** Takes a peer's finding that an upstream is dark as a suspicion, unless progress was seen here since. Flows are
    ended only on what this instance finds itself: the peer may be the one that is cut off.
    @param age of the finding @returns whether the upstream became suspect just now
*/
bool noteDarkAtPeer(UpstreamEvidence &evidence, Milliseconds age, SteadyTime now);

/** @returns whether the upstream should be probed now: suspect, or dark and its time is over. */
bool isProbeDue(const UpstreamEvidence &evidence, SteadyTime now);

/** @returns whether there is anything to judge or to probe: an opening or data without an answer, a suspicion, a finding. */
bool isOpenToJudge(const UpstreamEvidence &evidence);

/** Drops all findings, as after a pause in which nothing could be seen. */
void forgetFindings(UpstreamEvidence &evidence, SteadyTime now);

} // namespace sapphirespan
