#pragma once

#include "sapphirespan_entry/state/EntryState.h"

namespace sapphirespan {

/** How often a packet may be relayed between instances. */
inline constexpr std::uint8_t mostRelayHops = 3;

/** Decides on a packet from the fabric. @pre state.now is the time of the batch */
void decideFabricPacket(EntryState &state, std::span<const std::uint8_t> packet);

/** Decides on a datagram that relays a packet. */
void decideRelayedPacket(EntryState &state, std::span<const std::uint8_t> datagram);

} // namespace sapphirespan
