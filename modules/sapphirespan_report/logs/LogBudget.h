#pragma once

#include "sapphirespan_base/sapphirespan_base.h"

#include <vector>

namespace sapphirespan {

/** Bounds how many lines of each kind are written a second, and counts those left out. Thread safety: none. */
class LogBudget
{
public:
    /** @param kinds number of kinds, numbered from 0 @param linesPerSecond of each kind */
    LogBudget(std::size_t kinds, std::uint32_t linesPerSecond);

    /** @returns whether one more line of a kind may be written now; otherwise it is counted. @pre kind < kinds */
    bool allows(std::size_t kind, SteadyTime now);

    /** @returns how many lines of each kind were left out since the last call. */
    std::vector<std::uint64_t> takeLeftOut();

private:
    std::uint32_t m_linesPerSecond;
    SteadyTime m_second {};
    std::vector<std::uint32_t> m_written; ///< in the running second, by kind
    std::vector<std::uint64_t> m_leftOut; ///< by kind
};

} // namespace sapphirespan
