#include "sapphirespan_fleet/messages/ReplayWindow.h"

namespace sapphirespan {

namespace {
constexpr std::uint64_t windowBits = 64;
}

bool ReplayWindow::accept(std::uint64_t number)
{
    if (number > m_highest) {
        const auto step = number - m_highest;
        m_seen = step < windowBits ? (m_seen << step) | 1 : 1;
        m_highest = number;
        return true;
    }
    const auto behind = m_highest - number;
    if (behind >= windowBits || ((m_seen >> behind) & 1) != 0) {
        return false;
    }
    m_seen |= std::uint64_t {1} << behind;
    return true;
}

} // namespace sapphirespan
