#pragma once

#include "sapphirespan_base/sapphirespan_base.h"

namespace sapphirespan {

/** @returns the duration of "250ms", "30s", "6.5s", "10m", "2h" or "30d" to the nearest millisecond, or nothing. */
std::optional<Milliseconds> parseDuration(const std::string &text);

/** @returns the shortest exact text of a duration, as parseDuration() reads it. */
std::string durationText(Milliseconds duration);

} // namespace sapphirespan
