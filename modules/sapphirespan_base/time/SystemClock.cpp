#include "sapphirespan_base/time/SystemClock.h"

namespace sapphirespan {

SteadyTime SystemClock::steadyNow() const
{
    return std::chrono::time_point_cast<Microseconds>(std::chrono::steady_clock::now());
}

WallTime SystemClock::wallNow() const
{
    return std::chrono::time_point_cast<Milliseconds>(std::chrono::system_clock::now());
}

} // namespace sapphirespan
