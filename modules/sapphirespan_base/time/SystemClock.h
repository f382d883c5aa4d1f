#pragma once

#include "sapphirespan_base/time/Clock.h"

namespace sapphirespan {

/** The clocks of the machine. Thread safety: all methods may be called from any thread. */
class SystemClock : public Clock
{
public:
    SteadyTime steadyNow() const override;
    WallTime wallNow() const override;
};

} // namespace sapphirespan
