#include "sapphirespan_cookie/knowledge/EvacuationDirectory.h"

#include "sapphirespan_cookie/knowledge/StoreRevision.h"

#include <algorithm>
#include <utility>

namespace sapphirespan {

namespace {

/** Number of store generations of which the complete revision is remembered; restores are rare. */
constexpr std::size_t maxGenerations = 8;

bool supersedes(const EvacuationEntry &entry, const EvacuationEntry &known)
{
    return entry.revision != known.revision ? entry.revision > known.revision : known.isEvacuated && !entry.isEvacuated;
}

bool isUsableName(const std::string &name)
{
    return !name.empty() && name.size() <= maxDataCentreNameBytes;
}

} // namespace

bool EvacuationDirectory::merge(const EvacuationEntry &entry, SteadyTime now)
{
    const bool hasChanged = mergeKnownUpTo(entry, entry.revision, now);
    noteHeld();
    updateInForce();
    return hasChanged;
}

bool EvacuationDirectory::mergeChanges(const EvacuationList &changes, SteadyTime now)
{
    bool hasChanged = false;
    for (const auto &entry : changes.entries) {
        hasChanged = mergeKnownUpTo(entry, changes.revision, now) || hasChanged;
    }
    raiseRevision(changes.revision);
    noteHeld();
    updateInForce();
    return hasChanged;
}

bool EvacuationDirectory::reconcileWithList(const EvacuationList &list, SteadyTime now)
{
    const auto generation = storeGeneration(list.revision);
    const bool isNews = list.revision > completeUpTo(generation);
    m_isIncomplete = m_isIncomplete && !isNews;
    bool hasChanged = false;
    for (const auto &entry : list.entries) {
        hasChanged = mergeKnownUpTo(entry, list.revision, now) || hasChanged;
    }
    for (auto &[name, row] : m_rows) {
        const bool isOlder = storeGeneration(row.entry.revision) == generation && row.entry.revision <= list.revision;
        const bool isListed = std::any_of(list.entries.begin(), list.entries.end(), [&name = name](const EvacuationEntry &entry) {
            return entry.isEvacuated && entry.dataCentre == name;
        });
        if (isNews && row.entry.isEvacuated && isOlder && !isListed) {
            store(row, {name, list.revision, false}, list.revision, now);
            hasChanged = true;
        }
    }
    raiseRevision(list.revision);
    noteHeld();
    updateInForce();
    return hasChanged;
}

/** Merges an entry that was received with a list up to a revision. */
bool EvacuationDirectory::mergeKnownUpTo(EvacuationEntry entry, std::uint64_t listRevision, SteadyTime now)
{
    const auto found = m_rows.find(entry.dataCentre);
    const auto *known = found != m_rows.end() ? &found->second : nullptr;
    if (!isUsableName(entry.dataCentre) || (known != nullptr && !supersedes(entry, known->entry))) {
        return false;
    }
    if (isTakenBackMeanwhile(entry, known)) {
        entry = {entry.dataCentre, completeUpTo(storeGeneration(entry.revision)), false};
    }
    auto *row = findOrAdd(entry);
    if (row == nullptr) {
        return false;
    }
    store(*row, entry, std::max(entry.revision, listRevision), now);
    return true;
}

/** @returns whether an order is known to be no longer listed at a later revision. An order that is in force in the same generation is
    listed, whatever its revision. */
bool EvacuationDirectory::isTakenBackMeanwhile(const EvacuationEntry &entry, const Row *known) const
{
    const auto generation = storeGeneration(entry.revision);
    const bool isListed = known != nullptr && known->entry.isEvacuated && storeGeneration(known->entry.revision) == generation;
    return entry.isEvacuated && !isListed && !m_isIncomplete && entry.revision <= completeUpTo(generation);
}

/** @returns the row of the entry's data centre, or nullptr if there are too many. The oldest order that was taken back makes way for
    one that is in force, but not for another that was taken back: peers with different ones would send them to each other for ever. */
EvacuationDirectory::Row *EvacuationDirectory::findOrAdd(const EvacuationEntry &entry)
{
    if (m_rows.size() >= maxEvacuationEntries && !m_rows.contains(entry.dataCentre)) {
        if (!entry.isEvacuated) {
            return nullptr;
        }
        auto oldest = m_rows.end();
        for (auto item = m_rows.begin(); item != m_rows.end(); ++item) {
            const bool isOlder = oldest == m_rows.end() || item->second.entry.revision < oldest->second.entry.revision;
            oldest = !item->second.entry.isEvacuated && !item->second.isInForce && isOlder ? item : oldest;
        }
        if (oldest == m_rows.end()) {
            if (!std::exchange(m_isIncomplete, true)) {
                m_news.push_back({EvacuationNewsKind::passedOver, entry.dataCentre, entry.revision, "there are too many orders"});
            }
            return nullptr;
        }
        m_rows.erase(oldest);
    }
    return &m_rows[entry.dataCentre];
}

void EvacuationDirectory::store(Row &row, const EvacuationEntry &entry, std::uint64_t listRevision, SteadyTime now)
{
    const bool wasEvacuated = row.entry.isEvacuated;
    row.entry = entry;
    row.isHeld = false;
    if (entry.isEvacuated) {
        row.isInForce = true;
        row.takenBackAt.reset();
        if (!wasEvacuated) {
            m_news.push_back({EvacuationNewsKind::started, entry.dataCentre, entry.revision});
        }
    } else if (row.isInForce) {
        row.awaitedRevision = listRevision;
        if (!row.takenBackAt) {
            row.takenBackAt = now;
            m_news.push_back({EvacuationNewsKind::takenBack, entry.dataCentre, entry.revision});
        }
    }
}

void EvacuationDirectory::endTakenBack(std::uint64_t upstreamsRevision, SteadyTime now)
{
    for (auto &[name, row] : m_rows) {
        const bool isKnown = upstreamsRevision >= row.awaitedRevision;
        if (!row.takenBackAt || (!isKnown && now - *row.takenBackAt < maxTakeBackDelay)) {
            continue;
        }
        m_news.push_back({EvacuationNewsKind::ended, name, row.entry.revision,
                          isKnown ? "upstreams are known up to then" : "upstreams are not known up to then, but were awaited long enough",
                          std::chrono::duration_cast<Milliseconds>(now - *row.takenBackAt)});
        row.isInForce = false;
        row.takenBackAt.reset();
    }
    updateInForce();
}

bool EvacuationDirectory::isInForce(const std::string &dataCentre) const
{
    return std::find(m_inForce.begin(), m_inForce.end(), dataCentre) != m_inForce.end();
}

EvacuationList EvacuationDirectory::entries() const
{
    EvacuationList list;
    list.revision = m_isIncomplete ? 0 : m_revision;
    for (const auto &[name, row] : m_rows) {
        list.entries.push_back(row.entry);
    }
    return list;
}

std::vector<EvacuationNews> EvacuationDirectory::takeNews()
{
    return std::exchange(m_news, {});
}

std::uint64_t EvacuationDirectory::completeUpTo(std::uint64_t generation) const
{
    const auto found = m_completeUpTo.find(generation);
    return found != m_completeUpTo.end() ? found->second : 0;
}

void EvacuationDirectory::raiseRevision(std::uint64_t revision)
{
    if (revision == 0) {
        return;
    }
    auto &complete = m_completeUpTo[storeGeneration(revision)];
    complete = std::max(complete, revision);
    if (m_completeUpTo.size() > maxGenerations) {
        m_completeUpTo.erase(m_completeUpTo.begin());
    }
    m_revision = std::max(m_revision, revision);
}

/** Tells of orders that the store of the current generation does not list. */
void EvacuationDirectory::noteHeld()
{
    for (auto &[name, row] : m_rows) {
        const bool isOfEarlierGeneration = storeGeneration(row.entry.revision) < storeGeneration(m_revision);
        if (row.entry.isEvacuated && isOfEarlierGeneration && !std::exchange(row.isHeld, true)) {
            m_news.push_back({EvacuationNewsKind::held, name, row.entry.revision});
        }
    }
}

void EvacuationDirectory::updateInForce()
{
    m_inForce.clear();
    for (const auto &[name, row] : m_rows) {
        if (row.isInForce) {
            m_inForce.push_back(name);
        }
    }
}

} // namespace sapphirespan
