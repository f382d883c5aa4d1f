#pragma once

#include "sapphirespan_cookie/sapphirespan_cookie.h"

namespace sapphirespan {

/** @returns the counters and states of an instance in the Prometheus text format. Thread safety: pure function. */
std::string cookieMetricsText(const CookieInstance &instance);

} // namespace sapphirespan
