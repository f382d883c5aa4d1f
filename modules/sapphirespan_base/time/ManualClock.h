#pragma once

#include "sapphirespan_base/time/Clock.h"

namespace sapphirespan {

/** A clock that moves only when told to. Thread safety: none. */
class ManualClock : public Clock
{
public:
    /** Starts at one hour of steady time and a fixed day of calendar time, so that subtracting never underflows. */
    ManualClock() = default;

    /** Moves both clocks forward. @pre step >= 0 */
    void advance(Microseconds step)
    {
        m_elapsed += step;
    }

    /** @returns the time by which the clock was advanced since construction. */
    Microseconds elapsed() const
    {
        return m_elapsed;
    }

    SteadyTime steadyNow() const override
    {
        return SteadyTime(std::chrono::hours(1) + m_elapsed);
    }

    WallTime wallNow() const override
    {
        return WallTime(std::chrono::hours(24 * 365 * 56) + std::chrono::duration_cast<Milliseconds>(m_elapsed));
    }

private:
    Microseconds m_elapsed {0};
};

} // namespace sapphirespan
