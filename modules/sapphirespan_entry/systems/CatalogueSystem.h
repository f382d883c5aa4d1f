#pragma once

#include "sapphirespan_entry/state/EntryState.h"

namespace sapphirespan {

/** Puts a generation in force if it is higher than the one in force; an equal or lower one is ignored.
    @returns whether it was put in force
*/
bool putInForce(EntryState &state, std::shared_ptr<const Catalogue> catalogue);

/** Tells whom to ask for a newer generation: a reachable peer that has the highest one. */
struct GenerationNews {
    CatalogueHead head;
    Endpoint control; ///< of the peer that has it
};

/** @returns the newest generation that a peer has and this instance lacks. */
std::optional<GenerationNews> newerGeneration(const EntryState &state);

} // namespace sapphirespan
