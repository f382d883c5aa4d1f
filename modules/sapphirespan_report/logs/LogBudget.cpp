#include "sapphirespan_report/logs/LogBudget.h"

#include <algorithm>
#include <cassert>

namespace sapphirespan {

namespace {
constexpr Milliseconds second {1000};
} // namespace

LogBudget::LogBudget(std::size_t kinds, std::uint32_t linesPerSecond)
    : m_linesPerSecond(linesPerSecond)
    , m_written(kinds, 0)
    , m_leftOut(kinds, 0)
{
}

bool LogBudget::allows(std::size_t kind, SteadyTime now)
{
    assert(kind < m_written.size());
    if (now - m_second >= second) {
        m_second = now;
        std::fill(m_written.begin(), m_written.end(), 0);
    }
    if (m_written[kind] < m_linesPerSecond) {
        ++m_written[kind];
        return true;
    }
    ++m_leftOut[kind];
    return false;
}

std::vector<std::uint64_t> LogBudget::takeLeftOut()
{
    return std::exchange(m_leftOut, std::vector<std::uint64_t>(m_leftOut.size(), 0));
}

} // namespace sapphirespan
