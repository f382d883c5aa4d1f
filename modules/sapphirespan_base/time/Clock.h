#pragma once

#include <chrono>

namespace sapphirespan {

using Milliseconds = std::chrono::milliseconds;
using Microseconds = std::chrono::microseconds;

/** A point on a clock that never steps back; comparable within one process only. */
using SteadyTime = std::chrono::time_point<std::chrono::steady_clock, Microseconds>;

/** A point in calendar time; comparable between instances, within their clock error. */
using WallTime = std::chrono::time_point<std::chrono::system_clock, Milliseconds>;

/** Source of time, passed in so that tests run at logical time.

    Thread safety: implementations are called from one thread.
*/
class Clock
{
public:
    virtual ~Clock() = default;

    /** @returns monotonic time with microsecond resolution. It goes on while the machine is suspended, so that ages of what
        was learned before are not too low afterwards. */
    virtual SteadyTime steadyNow() const = 0;

    /** @returns calendar time with millisecond resolution. */
    virtual WallTime wallNow() const = 0;
};

} // namespace sapphirespan
