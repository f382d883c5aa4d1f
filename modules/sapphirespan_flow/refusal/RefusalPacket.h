#pragma once

#include "sapphirespan_flow/packets/PacketView.h"

#include <vector>

namespace sapphirespan {

/** Builds the packet that tells a caller that its new flow is refused: nothing of it was forwarded.

    A TCP SYN is answered by RST and ACK, a first UDP datagram by ICMP port unreachable.

    @param view the parsed packet @param bytes the packet itself, part of which an ICMP error quotes
    @pre view was parsed from bytes, and is not an ICMP error
    @returns a whole IP packet from the service address to the caller. Thread safety: pure function.
*/
std::vector<std::uint8_t> buildRefusal(const PacketView &view, std::span<const std::uint8_t> bytes);

} // namespace sapphirespan
