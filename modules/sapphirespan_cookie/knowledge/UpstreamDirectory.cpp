#include "sapphirespan_cookie/knowledge/UpstreamDirectory.h"

#include "sapphirespan_cookie/knowledge/StoreRevision.h"

#include <sodium.h>

#include <algorithm>
#include <cstring>
#include <set>

namespace sapphirespan {

namespace {

/** Time for which an upstream is held back: several times as long as the store waits before it removes the entry of an upstream
    that has stopped writing, and as one that drains takes to write again. */
constexpr Milliseconds holdBackTime {10000};

/** @returns the first eight bytes of the BLAKE2b digest of two numbers, read as big-endian. The numbers are hashed as
    little-endian. */
std::uint64_t shortDigest(std::uint64_t first, std::uint64_t second)
{
    std::array<std::uint8_t, 16> input {};
    for (std::size_t index = 0; index < 8; ++index) {
        input[index] = static_cast<std::uint8_t>(first >> (8 * index));
        input[8 + index] = static_cast<std::uint8_t>(second >> (8 * index));
    }
    std::array<std::uint8_t, crypto_generichash_BYTES_MIN> digest {};
    crypto_generichash(digest.data(), digest.size(), input.data(), input.size(), nullptr, 0);
    std::uint64_t result = 0;
    for (std::size_t index = 0; index < sizeof result; ++index) {
        result = (result << 8) | digest[index];
    }
    return result;
}

std::uint64_t digestOf(const UpstreamEntry &entry)
{
    return shortDigest(entry.id, entry.revision);
}

/** @returns whether an entry of a start tells more recent news than another entry of a start of the same id. */
bool isLaterStart(const UpstreamEntry &entry, const UpstreamEntry &latest)
{
    if (storeGeneration(entry.revision) != storeGeneration(latest.revision)) {
        return entry.startedAt > latest.startedAt;
    }
    return entry.revision > latest.revision;
}

/** @returns whether an entry may have been written before the known one although its ordered revision is higher, and would undo
    it. @param isHeldBack whether the same holds for the known one */
bool mayUndo(const UpstreamEntry &entry, const UpstreamEntry &known, bool isHeldBack)
{
    if (storeGeneration(entry.revision) <= storeGeneration(known.revision) || entry.phase != RegistrationPhase::ready) {
        return false;
    }
    const bool isKnownAsReady = known.phase == RegistrationPhase::ready;
    return isKnownAsReady ? isHeldBack : revisionInGeneration(entry.revision) <= revisionInGeneration(known.revision);
}

} // namespace

FlowCookie cookieOf(UpstreamId id, std::int64_t startedAt)
{
    const auto cookie = static_cast<FlowCookie>(shortDigest(id, static_cast<std::uint64_t>(startedAt)) >> 32);
    return cookie != 0 ? cookie : 1;
}

UpstreamRow *UpstreamDirectory::latestStartOf(UpstreamId id)
{
    const auto found = m_latestCookieById.find(id);
    return found == m_latestCookieById.end() ? nullptr : &m_rows.at(found->second);
}

void UpstreamDirectory::removeFromServiceIndex(UpstreamRow &row)
{
    const auto listed = m_listedByService.find(row.entry.service);
    std::erase(listed->second, &row);
    if (listed->second.empty()) {
        m_listedByService.erase(listed);
    }
}

/** Replaces the entry of a row and updates the digest and the index by service. */
void UpstreamDirectory::updateRow(UpstreamRow &row, const UpstreamEntry &entry, SteadyTime now)
{
    if (row.entry.id != 0 && row.entry.phase != RegistrationPhase::departed) {
        m_digest ^= digestOf(row.entry);
        removeFromServiceIndex(row);
    }
    if (entry.phase != RegistrationPhase::departed) {
        m_digest ^= digestOf(entry);
        m_listedByService[entry.service].push_back(&row);
        row.departedAt.reset();
    } else if (!row.departedAt) {
        row.departedAt = now;
    }
    row.hasDrained = row.hasDrained || entry.phase == RegistrationPhase::draining;
    row.entry = entry;
    row.entryUpdatedAt = now;
    row.address = toEndpoint(entry.address);
    row.warmUpEndsAt = now + Milliseconds(entry.warmUpRemainingMs);
}

bool UpstreamDirectory::merge(const UpstreamEntry &entry, SteadyTime now)
{
    const auto cookie = cookieOf(entry.id, entry.startedAt);
    auto *latest = latestStartOf(entry.id);
    const bool isLatestStart = latest == nullptr || latest->cookie == cookie || isLaterStart(entry, latest->entry);
    SteadyTime heldBackUntil {};
    if (const auto found = m_rows.find(cookie); found != m_rows.end()) {
        auto &row = found->second;
        if (row.entry.id != entry.id || row.entry.startedAt != entry.startedAt) {
            row.hasCookieCollision = true;
            return false;
        }
        const bool isNewlyDeparted = entry.phase == RegistrationPhase::departed && row.entry.phase != RegistrationPhase::departed;
        if (entry.revision < row.entry.revision || (entry.revision == row.entry.revision && !isNewlyDeparted)) {
            return false;
        }
        if (mayUndo(entry, row.entry, now < row.heldBackUntil)) {
            heldBackUntil = now + holdBackTime;
        }
    } else {
        auto &row = m_rows[cookie];
        row.cookie = cookie;
        row.firstLearnedAt = now;
        row.evidence.lastProgressAt = now;
    }
    auto merged = entry;
    if (!isLatestStart) {
        merged.phase = RegistrationPhase::departed; // superseded by a later start of the same id
    } else {
        if (latest != nullptr && latest->cookie != cookie && latest->entry.phase != RegistrationPhase::departed) {
            auto earlier = latest->entry;
            earlier.phase = RegistrationPhase::departed;
            updateRow(*latest, earlier, now);
        }
        m_latestCookieById[entry.id] = cookie;
    }
    auto &row = m_rows[cookie];
    updateRow(row, merged, now);
    row.heldBackUntil = heldBackUntil;
    return true;
}

std::vector<UpstreamEntry> UpstreamDirectory::reconcileWithList(const UpstreamList &list, SteadyTime now)
{
    std::vector<UpstreamEntry> changed;
    std::set<UpstreamId> listedIds(list.unreadable.begin(), list.unreadable.end());
    for (const auto id : list.unreadable) {
        if (auto entry = markUnreadable(id, 0, now)) {
            changed.push_back(*entry);
        }
    }
    for (const auto &entry : list.entries) {
        listedIds.insert(entry.id);
        if (merge(entry, now)) {
            changed.push_back(entry);
        }
    }
    std::vector<UpstreamId> missingIds;
    for (const auto &[cookie, row] : m_rows) {
        if (row.entry.phase != RegistrationPhase::departed && row.entry.revision <= list.revision && !listedIds.contains(row.entry.id)) {
            missingIds.push_back(row.entry.id);
        }
    }
    for (const auto id : missingIds) {
        if (auto entry = markUnlisted(id, list.revision, now)) {
            changed.push_back(*entry);
        }
    }
    return changed;
}

/** The departure belongs to the list's generation: what the upstream writes there later is newer, whatever its revision was. */
std::optional<UpstreamEntry> UpstreamDirectory::markUnlisted(UpstreamId id, std::uint64_t listRevision, SteadyTime now)
{
    const auto *latest = latestStartOf(id);
    const bool isOfEarlierGeneration = latest != nullptr && storeGeneration(latest->entry.revision) < storeGeneration(listRevision);
    return markDeparted(id, isOfEarlierGeneration ? listRevision : 0, now);
}

void UpstreamDirectory::prolongHoldBack(SteadyTime now)
{
    for (auto &[cookie, row] : m_rows) {
        if (row.heldBackUntil > now) {
            row.heldBackUntil = now + holdBackTime;
        }
    }
}

/** Changes the phase of the latest start of an id and keeps its other data; a departed or unreadable entry carries none. */
std::optional<UpstreamEntry> UpstreamDirectory::setPhaseOfLatestStart(UpstreamId id, RegistrationPhase phase, std::uint64_t revision,
                                                                      SteadyTime now)
{
    auto *latest = latestStartOf(id);
    if (latest == nullptr || latest->entry.phase == phase || (revision != 0 && revision < latest->entry.revision)) {
        return std::nullopt;
    }
    auto entry = latest->entry;
    entry.phase = phase;
    entry.revision = std::max(entry.revision, revision);
    updateRow(*latest, entry, now);
    return entry;
}

std::optional<UpstreamEntry> UpstreamDirectory::markDeparted(UpstreamId id, std::uint64_t revision, SteadyTime now)
{
    return setPhaseOfLatestStart(id, RegistrationPhase::departed, revision, now);
}

std::optional<UpstreamEntry> UpstreamDirectory::markUnreadable(UpstreamId id, std::uint64_t revision, SteadyTime now)
{
    return setPhaseOfLatestStart(id, RegistrationPhase::unreadable, revision, now);
}

void UpstreamDirectory::removeDepartedBefore(SteadyTime before)
{
    for (auto row = m_rows.begin(); row != m_rows.end();) {
        if (row->second.departedAt && *row->second.departedAt < before) {
            if (const auto latest = m_latestCookieById.find(row->second.entry.id);
                latest != m_latestCookieById.end() && latest->second == row->first) {
                m_latestCookieById.erase(latest);
            }
            row = m_rows.erase(row);
        } else {
            ++row;
        }
    }
}

UpstreamRow *UpstreamDirectory::find(FlowCookie cookie)
{
    const auto found = m_rows.find(cookie);
    return found == m_rows.end() || found->second.hasCookieCollision ? nullptr : &found->second;
}

bool UpstreamDirectory::isReplaced(const UpstreamRow &row) const
{
    return std::any_of(m_rows.begin(), m_rows.end(), [&row](const auto &item) {
        const auto &other = item.second.entry;
        return other.phase != RegistrationPhase::departed && other.address == row.entry.address && other.startedAt > row.entry.startedAt;
    });
}

std::vector<UpstreamEntry> UpstreamDirectory::entries() const
{
    std::vector<UpstreamEntry> result;
    result.reserve(m_rows.size());
    for (const auto &[cookie, row] : m_rows) {
        result.push_back(row.entry);
    }
    return result;
}

const std::vector<UpstreamRow *> &UpstreamDirectory::listedForService(const std::string &service) const
{
    static const std::vector<UpstreamRow *> emptyList;
    const auto listed = m_listedByService.find(service);
    return listed != m_listedByService.end() ? listed->second : emptyList;
}

std::size_t UpstreamDirectory::listedCount() const
{
    return static_cast<std::size_t>(std::count_if(m_rows.begin(), m_rows.end(),
                                                  [](const auto &item) { return item.second.entry.phase != RegistrationPhase::departed; }));
}

} // namespace sapphirespan
