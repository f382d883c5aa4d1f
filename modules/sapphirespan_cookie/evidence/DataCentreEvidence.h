#pragma once

#include "sapphirespan_cookie/evidence/UpstreamEvidence.h"

namespace sapphirespan {

/** Reachability of another data centre as a whole. A network partition silences all of its upstreams, but each of them may
    have too few flows through this instance to show it; probes of a sample of upstreams decide for all. */
struct DataCentreEvidence {
    Reachability state = Reachability::reachable;
    SteadyTime stateSince {};
    /** When an unreachable data centre is probed again, or, if isUnreachableByPeerVerdicts, taken as reachable again. */
    SteadyTime unreachableUntil {};
    SteadyTime lastFailureAt {}; ///< latest known sample, by any instance, that found it unreachable
    SteadyTime lastAnswerAt {}; ///< latest answer to a sample probe of this instance
    std::optional<SteadyTime> peerVerdictCheckAt; ///< when to probe in order to verify a peer's verdict
    std::uint8_t retryBackoffExponent = 0;
    std::uint8_t pendingSampleProbes = 0;
    std::uint8_t consecutiveSilentSamples = 0;
    bool isSampleInconclusive = false; ///< the self-check probe was not answered either
    bool isUnreachableByPeerVerdicts = false; ///< unreachable without a sample of this instance
    bool isReportedUnreachable = false; ///< by a peer; one silent sample then suffices
};

/** Upstreams probed together as a sample of their data centre. Even if a quarter of its upstreams are unreachable, a
    sample of three that consists only of these is unlikely. */
inline constexpr std::size_t dataCentreSampleSize = 3;

/** Time after an answered sample probe in which the data centre is not suspected again. */
inline constexpr Milliseconds dataCentreAnswerValidity {1000};

/** Number of stalls, summed over the upstreams of a data centre, that makes it suspect. */
inline constexpr int minStallsToSuspectDataCentre = 2;

} // namespace sapphirespan
