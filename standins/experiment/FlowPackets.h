#pragma once

#include "sapphirespan_flow/sapphirespan_flow.h"

namespace sapphirespan {

/** Which packet of a flow. */
enum class FlowPacket : std::uint8_t {
    opening, ///< SYN
    data, ///< ACK with data
    closing, ///< FIN
};

/** @returns the identity of a caller's n-th flow towards a service; distinct for each n below 2^38. */
FlowKey flowKeyOf(std::size_t number, const Endpoint &service);

/** @returns the n of flowKeyOf(). */
std::size_t flowNumberOf(const FlowKey &key);

/** @returns a whole IPv4 TCP packet of a flow; checksums are left 0, since nothing here checks them. */
std::vector<std::uint8_t> buildFlowPacket(const FlowKey &key, FlowPacket kind);

} // namespace sapphirespan
