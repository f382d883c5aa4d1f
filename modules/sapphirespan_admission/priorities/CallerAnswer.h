#pragma once

#include "sapphirespan_base/sapphirespan_base.h"

namespace sapphirespan {

/** Window in which a caller gets the same answer where its route states no time-out. */
inline constexpr Milliseconds defaultAnswerWindow {4000};

/** Bounds of the window: a caller's further tries follow within some milliseconds to 1.4 s, and no caller is to be rejected for long. */
inline constexpr Milliseconds minAnswerWindow {1500};
inline constexpr Milliseconds maxAnswerWindow {10000};

/** @returns 64 bits that depend on all bits of the value; the same at all instances and releases. */
std::uint64_t mixedBits(std::uint64_t value);

/** @returns the number in [0, 1) that decides for a caller in place of a random one: it is rejected if the number is below the share to
    reject. It is the same at all instances during one window of calendar time, so the further tries of a rejected caller are rejected as
    well. The windows of different callers begin at different times. From one window to the next the number advances by the golden ratio,
    so that while less than 0.38 is rejected nobody is rejected in two windows in a row, and over many windows all alike are.

    @param address of the client, without its port: each try comes from another one
    @param timeout of the route: the time for which a caller may repeat a request */
double callerNumber(std::uint32_t address, std::optional<Milliseconds> timeout, WallTime now);

} // namespace sapphirespan
