#pragma once

#include "sapphirespan_cookie/evidence/UpstreamEvidence.h"

namespace sapphirespan {

/** What is known of the way to another data centre as a whole. A cut leaves each of its upstreams silent, and each alone may
    have too few flows here to show it; a few attempts at some of them show it for all. */
struct DataCentreEvidence {
    Reachability state = Reachability::reachable;
    SteadyTime stateSince {};
    SteadyTime unreachableUntil {}; ///< when a dark one is tried again
    SteadyTime lastFailureAt {}; ///< the latest attempts known of, here or elsewhere, that found it dark
    SteadyTime lastAnswerAt {}; ///< the latest attempt of this instance that was answered
    std::optional<SteadyTime> peerVerdictCheckAt; ///< when to try what a peer found
    std::uint8_t retryBackoffExponent = 0;
    std::uint8_t pendingSampleProbes = 0; ///< of the sample in progress
    std::uint8_t consecutiveSilentSamples = 0; ///< in a row
    bool isSampleInconclusive = false; ///< no control attempt was answered either
    bool isUnreachableByPeerVerdicts = false; ///< dark on the word of others
    bool isReportedUnreachable = false; ///< a peer found it dark: one silent sample is enough
};

/** Upstreams that are tried together for their data centre; that all of them are dark each by itself is unlikely even
    where a quarter is. */
inline constexpr std::size_t dataCentreSampleSize = 3;

/** Time for which an answered attempt settles the question. */
inline constexpr Milliseconds dataCentreAnswerValidity {1000};

/** Flows that stall in a data centre, at any of its upstreams, that put it in question. */
inline constexpr int minStallsToSuspectDataCentre = 2;

} // namespace sapphirespan
