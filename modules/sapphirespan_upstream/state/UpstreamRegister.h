#pragma once

#include "sapphirespan_base/sapphirespan_base.h"

namespace sapphirespan {

/** Whether an upstream takes new flows, as the scope has agreed. */
enum class UpstreamPhase : std::uint8_t {
    open,
    shedding, ///< asks for less; takes no new flow for now
    down, ///< judged unreachable or failing
    draining, ///< leaving; keeps its flows and takes no new one
    count
};

template<>
struct NameTable<UpstreamPhase> {
    static constexpr std::array<std::string_view, enumCount<UpstreamPhase>> names {"open", "shedding", "down", "draining"};
};

/** Replicated phase of one upstream: a last-writer-wins register.

    Any instance may write; the higher version wins, then the phase that closes more, then the higher writer. The
    order in which registers are merged therefore does not matter.
*/
struct UpstreamRegister {
    std::uint32_t version = 0;
    std::uint32_t writer = 0; ///< instance that wrote this version
    UpstreamPhase phase = UpstreamPhase::open;
    bool isSteered = false; ///< its buckets go through their owners; stays on after reopening until no flow depends on it

    bool operator==(const UpstreamRegister &) const = default;
};

/** @returns whether `theirs` replaces `mine`. */
bool supersedes(const UpstreamRegister &theirs, const UpstreamRegister &mine);

/** @returns the register after one more write. A closed phase always steers. */
UpstreamRegister rewritten(const UpstreamRegister &current, UpstreamPhase phase, bool isSteered, std::uint32_t writer);

} // namespace sapphirespan
