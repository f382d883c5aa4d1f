#pragma once

#include "sapphirespan_upstream/health/HealthOpinion.h"

#include <deque>

namespace sapphirespan {

/** Lags, in whole seconds from 0, that reports are tested for. */
inline constexpr std::size_t reportLagCandidates = 9;

/** Estimate of the open connections of one upstream.

    Every opening and closing packet is decided on by exactly one instance, so the sum over the scope of openings less
    closings counts the connections, up to flows that end unseen. The upstream's own report is exact but late: it
    corrects the count of its own moment, and what was counted since is added. Reports may be older than they say: of
    several assumed lags, the one at which report and count differ most steadily is believed. Thread safety: none.
*/
class LoadEstimate
{
public:
    /** Counts one flow opened on (+1) or closed at (-1) the upstream by this instance. */
    void count(std::int32_t change)
    {
        m_own += change;
    }

    /** Sets the sum of the counts that peers told, as of `now`, and remembers the total for late reports. */
    void setPeerSum(std::int64_t sum, SteadyTime now);

    /** Takes in a report. @param age how old the report is; unknown ages are given as 0 */
    void report(std::uint32_t connections, Milliseconds age, SteadyTime now);

    /** @returns the estimated open connections; never negative.
        @param scopeFactor how many instances place flows; own counts since the latest peer sum stand for theirs too
    */
    double connections(double scopeFactor) const;

    /** @returns openings less closings counted by this instance; may be negative. */
    std::int64_t own() const
    {
        return m_own;
    }

private:
    /** Difference of report and count, were reports older than they say by a certain lag. */
    struct LagCandidate {
        double mean = 0;
        double variance = 0;
        bool isPrimed = false;
    };

    double bias() const;
    std::int64_t countedAt(SteadyTime moment) const;

    struct Sample {
        SteadyTime time;
        std::int64_t total;
    };

    std::int64_t m_own = 0;
    std::int64_t m_ownAtPeerSum = 0;
    std::int64_t m_peers = 0;
    std::array<LagCandidate, reportLagCandidates> m_lags; ///< by whole seconds by which reports may be older than they say
    std::deque<Sample> m_samples;
};

} // namespace sapphirespan
