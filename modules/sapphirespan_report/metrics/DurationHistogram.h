#pragma once

#include "sapphirespan_base/sapphirespan_base.h"

#include <boost/histogram.hpp>

#include <string>

namespace sapphirespan {

/** Counts durations in logarithmic classes from 1 microsecond to 10 seconds. Thread safety: none. */
class DurationHistogram
{
public:
    DurationHistogram();

    /** Counts one duration; those outside the range fall into the outermost classes. */
    void record(Microseconds duration);

    /** @returns the metric in the Prometheus text format, in seconds. @param name without the project's prefix */
    std::string prometheusText(const std::string &name, const std::string &help) const;

private:
    using Axis = boost::histogram::axis::regular<double, boost::histogram::axis::transform::log>;

    boost::histogram::histogram<std::tuple<Axis>> m_histogram;
    double m_sumSeconds = 0;
};

} // namespace sapphirespan
