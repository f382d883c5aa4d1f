#include "sapphirespan_upstream/load/LoadEstimate.h"

#include <algorithm>

namespace sapphirespan {

namespace {
using namespace std::chrono_literals;
constexpr auto longestReportAge = 20s;
constexpr auto sampleSpacing = 200ms;
constexpr double smoothing = 0.1; // share of each report in mean and variance
} // namespace

void LoadEstimate::setPeerSum(std::int64_t sum, SteadyTime now)
{
    m_peers = sum;
    m_ownAtPeerSum = m_own;
    if (m_samples.empty() || now - m_samples.back().time >= sampleSpacing) {
        m_samples.push_back({now, m_own + m_peers});
    }
    while (m_samples.front().time + longestReportAge < now) {
        m_samples.pop_front();
    }
}

void LoadEstimate::report(std::uint32_t connections, Milliseconds age, SteadyTime now)
{
    for (std::size_t lag = 0; lag < m_lags.size(); ++lag) {
        auto &candidate = m_lags[lag];
        const auto counted = countedAt(now - age - std::chrono::seconds(lag));
        const auto difference = static_cast<double>(std::int64_t {connections} - counted);
        const double surprise = candidate.isPrimed ? difference - candidate.mean : 0;
        candidate.mean = candidate.isPrimed ? candidate.mean + smoothing * surprise : difference;
        candidate.variance += smoothing * (surprise * surprise - candidate.variance);
        candidate.isPrimed = true;
    }
}

std::int64_t LoadEstimate::countedAt(SteadyTime moment) const
{
    const auto later = std::find_if(m_samples.begin(), m_samples.end(), [moment](const Sample &sample) { return sample.time >= moment; });
    return later != m_samples.end() ? later->total : m_own + m_peers;
}

double LoadEstimate::bias() const
{
    const auto steadiest = std::min_element(m_lags.begin(), m_lags.end(),
                                            [](const LagCandidate &a, const LagCandidate &b) { return a.variance < b.variance; });
    return steadiest->mean;
}

double LoadEstimate::connections(double scopeFactor) const
{
    const auto sinceSum = static_cast<double>(m_own - m_ownAtPeerSum);
    const auto counted = static_cast<double>(m_peers + m_ownAtPeerSum) + bias() + sinceSum * scopeFactor;
    return std::max(0.0, counted);
}

} // namespace sapphirespan
