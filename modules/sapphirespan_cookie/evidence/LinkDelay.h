#pragma once

#include "sapphirespan_base/sapphirespan_base.h"

#include <algorithm>
#include <array>
#include <optional>

namespace sapphirespan {

/** What a round trip was measured on. */
enum class RoundTripKind : std::uint8_t {
    opening, ///< from the forwarding of an opening to its confirmation by the client
    probe, ///< a connection attempt that was answered
    count
};

template<>
struct NameTable<RoundTripKind> {
    static constexpr std::array<std::string_view, enumCount<RoundTripKind>> names {"opening", "probe"};
};

/** Time above the lowest round trip of its kind from which packets wait in the own link: half of the time that a connection attempt has.
    Where clients are at very different distances the far ones always count as waiting; flows on dead hosts then wait for their
    clients. */
inline constexpr Milliseconds slowRoundTrip {30};

/** Time after a slow round trip during which the link still counts as slow. A queue that fills and empties by turns stood for a
    quarter of a second between two slow round trips where this fault was seen. */
inline constexpr Milliseconds slowLinkMemory {500};

/** Whether packets wait in the link of this instance. Attempts to other hosts may then stay unanswered until their deadline although
    their answers are on the way, and one attempt that is answered in time does not show that the next ones would be. */
struct LinkDelay {
    std::array<std::optional<Microseconds>, enumCount<RoundTripKind>> lowest; ///< round trip so far, by kind
    std::optional<SteadyTime> lastSlowAt; ///< when the latest slow round trip ended
};

/** Records how long it took from a packet that was sent once to its effect at this instance, on a way on which only links take time.
    Thread safety: none. */
inline void noteRoundTrip(LinkDelay &delay, RoundTripKind kind, Microseconds time, SteadyTime now)
{
    auto &lowest = delay.lowest[static_cast<std::size_t>(kind)];
    lowest = std::min(lowest.value_or(time), time);
    if (time - *lowest > slowRoundTrip) {
        delay.lastSlowAt = now;
    }
}

/** @returns whether packets waited in the link a moment ago. */
inline bool isLinkSlow(const LinkDelay &delay, SteadyTime now)
{
    return delay.lastSlowAt && now - *delay.lastSlowAt < slowLinkMemory;
}

} // namespace sapphirespan
