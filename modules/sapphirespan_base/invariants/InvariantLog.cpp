#include "sapphirespan_base/invariants/InvariantLog.h"

#include <numeric>

namespace sapphirespan {

std::uint64_t InvariantLog::breaches(Invariant invariant) const
{
    return m_breaches[static_cast<std::size_t>(invariant)];
}

std::uint64_t InvariantLog::totalBreaches() const
{
    return std::accumulate(m_breaches.begin(), m_breaches.end(), std::uint64_t {0});
}

void InvariantLog::recordBreach(Invariant invariant, const std::string &detail)
{
    ++m_breaches[static_cast<std::size_t>(invariant)];
    signalBreach.emit(invariant, detail);
}

} // namespace sapphirespan
