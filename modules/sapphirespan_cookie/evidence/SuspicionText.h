#pragma once

#include "sapphirespan_cookie/evidence/UpstreamEvidence.h"

#include <string>

namespace sapphirespan {

/** @returns what speaks against an upstream, for logs. The order and the wording are stable. Thread safety: pure function. */
std::string suspicionText(const UpstreamEvidence &evidence, SteadyTime now);

} // namespace sapphirespan
