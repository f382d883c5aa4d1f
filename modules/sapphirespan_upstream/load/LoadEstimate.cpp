#include "sapphirespan_upstream/load/LoadEstimate.h"

#include <algorithm>

namespace sapphirespan {

namespace {
using namespace std::chrono_literals;
constexpr auto longestReportAge = 10s;
constexpr auto sampleSpacing = 200ms;
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
    const auto moment = now - age;
    const auto later = std::find_if(m_samples.begin(), m_samples.end(), [moment](const Sample &sample) { return sample.time >= moment; });
    const auto countedThen = later != m_samples.end() ? later->total : m_own + m_peers;
    m_bias = std::int64_t {connections} - countedThen;
}

double LoadEstimate::connections(double scopeFactor) const
{
    const auto sinceSum = static_cast<double>(m_own - m_ownAtPeerSum);
    const auto counted = static_cast<double>(m_peers + m_ownAtPeerSum + m_bias) + sinceSum * scopeFactor;
    return std::max(0.0, counted);
}

} // namespace sapphirespan
