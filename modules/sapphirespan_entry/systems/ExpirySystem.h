#pragma once

#include "sapphirespan_entry/state/EntryState.h"

namespace sapphirespan {

/** Visits a part of the flow table and removes entries whose flow is over or that this instance need not hold. */
void expireEntries(EntryState &state);

} // namespace sapphirespan
