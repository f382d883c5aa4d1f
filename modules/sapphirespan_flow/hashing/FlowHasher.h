#pragma once

#include "sapphirespan_flow/packets/PacketView.h"

namespace sapphirespan {

/** Length of the key of the flow hash, in bytes. */
inline constexpr std::size_t flowHashKeyBytes = 16;

using FlowHashKey = std::array<std::uint8_t, flowHashKeyBytes>;

/** Hashes flows with SipHash-2-4 (Aumasson and Bernstein, 2012) under a key that callers do not know.

    All instances hold the same key, so they agree on the bucket of each flow. Thread safety: const methods are pure.
*/
class FlowHasher
{
public:
    FlowHasher() = default;
    explicit FlowHasher(const FlowHashKey &key)
        : m_key(key)
    {
    }

    /** @returns the hash of a flow; never 0, which marks an empty slot of the flow table. */
    std::uint64_t hash(const FlowKey &flow) const;

private:
    FlowHashKey m_key {};
};

} // namespace sapphirespan
