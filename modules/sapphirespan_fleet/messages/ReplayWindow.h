#pragma once

#include <cstdint>

namespace sapphirespan {

/** Recognises message numbers that were seen already or are too old, as in RFC 4303 section 3.4.3.

    Thread safety: none.
*/
class ReplayWindow
{
public:
    /** Takes in a number. @returns false when it was seen before or lies behind the window */
    bool accept(std::uint64_t number);

private:
    std::uint64_t m_highest = 0;
    std::uint64_t m_seen = 0; ///< bit n stands for m_highest - n
};

} // namespace sapphirespan
