#include "sapphirespan_admission/priorities/HeavyClients.h"

#include "sapphirespan_admission/priorities/CallerAnswer.h"

#include <algorithm>
#include <cmath>

namespace sapphirespan {

namespace {

std::array<std::size_t, 2> positionsOf(std::uint32_t address)
{
    const auto hash = mixedBits(address);
    return {hash % ClientCounts::width, (hash >> 32) % ClientCounts::width};
}

/** Count below which a client is taken for gone. */
constexpr float lowestCount = 0.1F;

/** Halves all counts for each interval that has passed. */
void halveCounts(ClientCounts &counts, SteadyTime now)
{
    const auto halvings = counts.halvedAt == SteadyTime {} ? 0 : (now - counts.halvedAt) / clientCountHalving;
    if (counts.halvedAt == SteadyTime {} || halvings > 0) {
        counts.halvedAt = now;
    }
    if (halvings == 0) {
        return;
    }
    const double kept = std::exp2(-static_cast<double>(halvings));
    counts.total = 0;
    for (auto &row : counts.rows) {
        for (auto &count : row) {
            count = count * static_cast<float>(kept) < lowestCount ? 0 : count * static_cast<float>(kept);
        }
    }
    for (const float count : counts.rows[0]) {
        counts.total += count;
    }
}

/** @returns an estimate of the number of different clients from the share of counters that none uses (linear counting). */
double clientsIn(const ClientCounts &counts)
{
    const auto unused = std::count(counts.rows[0].begin(), counts.rows[0].end(), 0.0F);
    const double share = std::max(static_cast<double>(unused), 1.0) / ClientCounts::width;
    return -std::log(share) * ClientCounts::width;
}

} // namespace

void noteOpening(ClientCounts &counts, std::uint32_t address, SteadyTime now)
{
    halveCounts(counts, now);
    const auto positions = positionsOf(address);
    for (std::size_t row = 0; row < positions.size(); ++row) {
        counts.rows[row][positions[row]] += 1;
    }
    counts.total += 1;
}

bool isHeavyClient(const ClientCounts &counts, std::uint32_t address)
{
    const auto positions = positionsOf(address);
    const double own = std::min(counts.rows[0][positions[0]], counts.rows[1][positions[1]]);
    if (own < minHeavyClientOpenings) {
        return false;
    }
    const double peers = clientsIn(counts) - 1;
    return peers >= minClientPeers && own > heavyClientFactor * (counts.total - own) / peers;
}

} // namespace sapphirespan
