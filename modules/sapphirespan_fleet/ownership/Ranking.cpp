#include "sapphirespan_fleet/ownership/Ranking.h"

namespace sapphirespan {

namespace {

/** Whether the candidate at `position` of the ranked list is the highest-ranked of its data centre. */
bool isFirstOfDataCentre(const std::vector<const RankedInstance *> &ranked, std::size_t position)
{
    const auto end = ranked.begin() + static_cast<std::ptrdiff_t>(position);
    return std::none_of(ranked.begin(), end,
                        [&](const RankedInstance *higher) { return higher->dataCentre == ranked[position]->dataCentre; });
}

BucketHolders holdersOf(std::vector<const RankedInstance *> &ranked, std::size_t bucket)
{
    std::sort(ranked.begin(), ranked.end(), [bucket](const RankedInstance *a, const RankedInstance *b) {
        return rendezvousRank(a->id, bucket) > rendezvousRank(b->id, bucket);
    });
    BucketHolders holders;
    std::size_t count = 0;
    for (std::size_t position = 0; position < ranked.size() && count < mostHolders; ++position) {
        if (position < 2 || isFirstOfDataCentre(ranked, position)) {
            holders.all[count] = ranked[position]->id;
            ++count;
        }
    }
    holders.owner = holders.all[0];
    holders.backup = holders.all[1];
    return holders;
}

} // namespace

Ranking::Ranking(std::vector<RankedInstance> candidates)
    : m_candidates(std::move(candidates))
{
    std::sort(m_candidates.begin(), m_candidates.end());
    std::vector<const RankedInstance *> ranked;
    ranked.reserve(m_candidates.size());
    for (const auto &candidate : m_candidates) {
        ranked.push_back(&candidate);
    }
    for (std::size_t bucket = 0; bucket < bucketCount; ++bucket) {
        m_holders[bucket] = holdersOf(ranked, bucket);
    }
}

bool Ranking::contains(InstanceId id) const
{
    return std::any_of(m_candidates.begin(), m_candidates.end(), [id](const RankedInstance &candidate) { return candidate.id == id; });
}

} // namespace sapphirespan
