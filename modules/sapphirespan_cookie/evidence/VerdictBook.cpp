#include "sapphirespan_cookie/evidence/VerdictBook.h"

#include <algorithm>

namespace sapphirespan {

bool VerdictTable::insert(const Verdict &verdict)
{
    auto &entry = m_entries[verdict.subject];
    if (entry.lastAnswer && entry.lastAnswer->foundAt >= verdict.foundAt) {
        return false;
    }
    if (!isFailure(verdict.result)) {
        const bool hadFailures = !entry.failures.empty();
        std::erase_if(entry.failures, [&verdict](const Verdict &item) { return item.foundAt <= verdict.foundAt; });
        entry.lastAnswer = verdict;
        return hadFailures;
    }
    const auto known = std::find_if(entry.failures.begin(), entry.failures.end(),
                                    [&verdict](const Verdict &item) { return item.prober == verdict.prober; });
    if (known != entry.failures.end()) {
        const bool isFirstHostSilence = verdict.isHostSilent && !known->isHostSilent && known->foundAt <= verdict.foundAt;
        if (known->foundAt < verdict.foundAt || isFirstHostSilence) {
            *known = verdict;
        }
        return isFirstHostSilence;
    }
    std::vector<Verdict *> sameDataCentre;
    for (auto &item : entry.failures) {
        if (item.proberDataCentre == verdict.proberDataCentre) {
            sameDataCentre.push_back(&item);
        }
    }
    if (sameDataCentre.size() < unreachableQuorum) {
        entry.failures.push_back(verdict);
        return true;
    }
    auto *oldest = *std::min_element(sameDataCentre.begin(), sameDataCentre.end(),
                                     [](const Verdict *a, const Verdict *b) { return a->foundAt < b->foundAt; });
    if (oldest->foundAt < verdict.foundAt) {
        *oldest = verdict;
    }
    return false;
}

template<typename Condition>
std::size_t VerdictTable::countVerdicts(const VerdictSubject &subject, std::initializer_list<std::string_view> proberDataCentres,
                                        SteadyTime now, Condition condition) const
{
    const auto entry = m_entries.find(subject);
    if (entry == m_entries.end()) {
        return 0;
    }
    const auto &failures = entry->second.failures;
    return static_cast<std::size_t>(std::count_if(failures.begin(), failures.end(), [&](const Verdict &verdict) {
        return condition(verdict) && now - verdict.foundAt < quorumVerdictMaxAge
            && std::find(proberDataCentres.begin(), proberDataCentres.end(), verdict.proberDataCentre) != proberDataCentres.end();
    }));
}

std::size_t VerdictTable::countUnreachableVerdicts(const VerdictSubject &subject, std::initializer_list<std::string_view> proberDataCentres,
                                                   SteadyTime now) const
{
    return countVerdicts(subject, proberDataCentres, now, [](const Verdict &) { return true; });
}

std::size_t VerdictTable::countHostSilentVerdicts(const VerdictSubject &subject, std::initializer_list<std::string_view> proberDataCentres,
                                                  SteadyTime since, SteadyTime now) const
{
    return countVerdicts(subject, proberDataCentres, now,
                         [since](const Verdict &verdict) { return verdict.isHostSilent && verdict.foundAt > since; });
}

bool VerdictTable::isRetryProber(const VerdictSubject &subject, ProberId prober, std::string_view proberDataCentre) const
{
    const auto entry = m_entries.find(subject);
    if (entry == m_entries.end()) {
        return true;
    }
    const auto &failures = entry->second.failures;
    const auto lowerProbers = std::count_if(failures.begin(), failures.end(), [&](const Verdict &item) {
        return item.proberDataCentre == proberDataCentre && item.prober < prober;
    });
    return static_cast<std::size_t>(lowerProbers) < retryProbersPerDataCentre;
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
    const auto isExpired = [now](const Verdict &verdict) { return now - verdict.foundAt > verdictLifetime; };
    for (auto item = m_entries.begin(); item != m_entries.end();) {
        auto &[failures, lastAnswer] = item->second;
        std::erase_if(failures, isExpired);
        if (lastAnswer && isExpired(*lastAnswer)) {
            lastAnswer.reset();
        }
        item = failures.empty() && !lastAnswer ? m_entries.erase(item) : std::next(item);
    }
}

} // namespace sapphirespan
