#include "sapphirespan_report/metrics/DurationHistogram.h"

#include <algorithm>
#include <sstream>

namespace sapphirespan {

namespace {
constexpr unsigned classes = 28; // four to a decade
constexpr double shortestSeconds = 1e-6;
constexpr double longestSeconds = 10;
} // namespace

DurationHistogram::DurationHistogram()
    : m_histogram(std::tuple(Axis(classes, shortestSeconds, longestSeconds)))
{
}

void DurationHistogram::record(Microseconds duration)
{
    const double seconds = static_cast<double>(duration.count()) / 1e6;
    m_histogram(std::max(seconds, shortestSeconds));
    m_sumSeconds += seconds;
}

std::string DurationHistogram::prometheusText(const std::string &name, const std::string &help) const
{
    std::ostringstream text;
    text << "# HELP sapphirespan_" << name << ' ' << help << "\n# TYPE sapphirespan_" << name << " histogram\n";
    const auto &axis = m_histogram.axis(0);
    double cumulative = 0;
    for (int index = 0; index < axis.size(); ++index) {
        cumulative += m_histogram.at(index);
        text << "sapphirespan_" << name << "_bucket{le=\"" << axis.value(index + 1) << "\"} " << cumulative << '\n';
    }
    cumulative += m_histogram.at(axis.size());
    text << "sapphirespan_" << name << "_bucket{le=\"+Inf\"} " << cumulative << '\n';
    text << "sapphirespan_" << name << "_sum " << m_sumSeconds << "\nsapphirespan_" << name << "_count " << cumulative << '\n';
    return text.str();
}

} // namespace sapphirespan
