#include "sapphirespan_base/time/SystemClock.h"

#include <ctime>

namespace sapphirespan {

/** CLOCK_MONOTONIC, which std::chrono::steady_clock reads, stands still while the machine is suspended. */
SteadyTime SystemClock::steadyNow() const
{
    timespec now {};
    ::clock_gettime(CLOCK_BOOTTIME, &now);
    return SteadyTime(std::chrono::duration_cast<Microseconds>(std::chrono::seconds(now.tv_sec) + std::chrono::nanoseconds(now.tv_nsec)));
}

WallTime SystemClock::wallNow() const
{
    return std::chrono::time_point_cast<Milliseconds>(std::chrono::system_clock::now());
}

} // namespace sapphirespan
