#include "sapphirespan_cookie/evidence/VerdictTable.h"

#include <algorithm>

namespace sapphirespan {

bool VerdictTable::insert(const Verdict &verdict)
{
    auto &entry = m_entries[verdict.subject];
    if (entry.lastAnswer && entry.lastAnswer->foundAt >= verdict.foundAt) {
        return false;
    }
    if (!isFailure(verdict.result)) {
        const bool isNews = !entry.failures.empty();
        std::erase_if(entry.failures, [&verdict](const Verdict &item) { return item.foundAt <= verdict.foundAt; });
        entry.lastAnswer = verdict;
        return isNews;
    }
    const auto same = std::find_if(entry.failures.begin(), entry.failures.end(),
                                   [&verdict](const Verdict &item) { return item.prober == verdict.prober; });
    if (same != entry.failures.end()) {
        if (same->foundAt < verdict.foundAt) {
            *same = verdict;
        }
        return false;
    }
    std::vector<Verdict *> sameVantage;
    for (auto &item : entry.failures) {
        if (item.proberDataCentre == verdict.proberDataCentre) {
            sameVantage.push_back(&item);
        }
    }
    if (sameVantage.size() < unreachableQuorum) {
        entry.failures.push_back(verdict);
        return true;
    }
    auto *oldest = *std::min_element(sameVantage.begin(), sameVantage.end(),
                                     [](const Verdict *a, const Verdict *b) { return a->foundAt < b->foundAt; });
    if (oldest->foundAt < verdict.foundAt) {
        *oldest = verdict;
    }
    return false;
}

std::size_t VerdictTable::countUnreachableVerdicts(const VerdictSubject &subject, std::initializer_list<std::string_view> vantages,
                                                   SteadyTime now) const
{
    const auto entry = m_entries.find(subject);
    if (entry == m_entries.end()) {
        return 0;
    }
    const auto &dark = entry->second.failures;
    return static_cast<std::size_t>(std::count_if(dark.begin(), dark.end(), [&](const Verdict &verdict) {
        return now - verdict.foundAt < quorumVerdictMaxAge
            && std::find(vantages.begin(), vantages.end(), verdict.proberDataCentre) != vantages.end();
    }));
}

bool VerdictTable::isRetryProber(const VerdictSubject &subject, ProberId witness, std::string_view vantage) const
{
    const auto entry = m_entries.find(subject);
    if (entry == m_entries.end()) {
        return true;
    }
    const auto &dark = entry->second.failures;
    const auto before = std::count_if(dark.begin(), dark.end(),
                                      [&](const Verdict &item) { return item.proberDataCentre == vantage && item.prober < witness; });
    return static_cast<std::size_t>(before) < retryProbersPerDataCentre;
}

std::vector<Verdict> VerdictTable::verdictsToForward(SteadyTime now, std::size_t most) const
{
    std::vector<Verdict> result;
    const auto add = [&result, now](const Verdict &verdict) {
        if (now - verdict.foundAt < forwardedVerdictMaxAge) {
            result.push_back(verdict);
        }
    };
    for (const auto &[subject, entry] : m_entries) {
        std::for_each(entry.failures.begin(), entry.failures.end(), add);
        if (entry.lastAnswer) {
            add(*entry.lastAnswer);
        }
    }
    std::sort(result.begin(), result.end(), [](const Verdict &a, const Verdict &b) { return a.foundAt > b.foundAt; });
    result.resize(std::min(result.size(), most));
    return result;
}

void VerdictTable::removeExpired(SteadyTime now)
{
    const auto isOld = [now](const Verdict &verdict) { return now - verdict.foundAt > verdictLifetime; };
    for (auto item = m_entries.begin(); item != m_entries.end();) {
        auto &[dark, answered] = item->second;
        std::erase_if(dark, isOld);
        if (answered && isOld(*answered)) {
            answered.reset();
        }
        item = dark.empty() && !answered ? m_entries.erase(item) : std::next(item);
    }
}

} // namespace sapphirespan
