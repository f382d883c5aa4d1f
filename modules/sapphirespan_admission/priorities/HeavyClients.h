#pragma once

#include "sapphirespan_base/sapphirespan_base.h"

#include <array>

namespace sapphirespan {

/** Recent openings by client address, in two rows of counters that the addresses share by different hashes. The lower of an address's
    two counters is at least its own count; few addresses share both with a heavy one. Takes 8 kB, however many clients there are. */
struct ClientCounts {
    static constexpr std::size_t width = 1024;

    std::array<std::array<float, width>, 2> rows {};
    double total = 0;
    SteadyTime halvedAt {};
};

/** Interval at which all counts are halved; a client's count then stands for about two of them. */
inline constexpr Milliseconds clientCountHalving {1000};

/** A client is heavy if it has this many times as many openings as its peers have on average. */
inline constexpr double heavyClientFactor = 10;

/** Openings below which no client is heavy, and number of peers without which there is no usual rate. A few tries of one request must
    not make a client heavy where most ask rarely. */
inline constexpr double minHeavyClientOpenings = 20;
inline constexpr double minClientPeers = 10;

/** Counts one opening of a client. */
void noteOpening(ClientCounts &counts, std::uint32_t address, SteadyTime now);

/** @returns whether the client asks far more often than the others at this instance. Takes a pass over one row. */
bool isHeavyClient(const ClientCounts &counts, std::uint32_t address);

} // namespace sapphirespan
