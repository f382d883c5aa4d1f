#include "sapphirespan_flow/table/FlowTable.h"

#include <algorithm>
#include <cassert>
#include <utility>

namespace sapphirespan {

namespace {
constexpr std::size_t initialSlots = 1024;
constexpr unsigned bucketBits = 10;

/** Entries fill at most 7 of 8 slots, so that probe sequences stay short. */
constexpr bool isCrowded(std::size_t entries, std::size_t slots)
{
    return entries * 8 > slots * 7;
}

bool isPreferred(const FlowEntry &a, const FlowEntry &b)
{
    return a.placedAtMs != b.placedAtMs ? isBefore(a.placedAtMs, b.placedAtMs) : a.upstream < b.upstream;
}
} // namespace

FlowTable::FlowTable(std::size_t maximumEntries)
    : m_slots(initialSlots)
    , m_maximumEntries(maximumEntries)
{
    assert(maximumEntries > 0);
}

std::size_t FlowTable::homeOf(std::uint64_t key) const
{
    return (key >> bucketBits) & (m_slots.size() - 1);
}

std::size_t FlowTable::slotOf(std::uint64_t key) const
{
    auto slot = homeOf(key);
    while (m_slots[slot].key != 0 && m_slots[slot].key != key) {
        slot = (slot + 1) & (m_slots.size() - 1);
    }
    return slot;
}

FlowEntry *FlowTable::find(std::uint64_t key)
{
    auto &entry = m_slots[slotOf(key)];
    return entry.key == key ? &entry : nullptr;
}

FlowEntry *FlowTable::insert(const FlowEntry &entry)
{
    assert(entry.key != 0);
    if (m_size >= m_maximumEntries) {
        return nullptr;
    }
    if (isCrowded(m_size + 1, m_slots.size())) {
        grow();
    }
    auto &slot = m_slots[slotOf(entry.key)];
    assert(slot.key == 0);
    slot = entry;
    ++m_size;
    return &slot;
}

void FlowTable::remove(std::uint64_t key)
{
    if (const auto slot = slotOf(key); m_slots[slot].key == key) {
        removeSlot(slot);
    }
}

void FlowTable::removeSlot(std::size_t slot)
{
    const auto mask = m_slots.size() - 1;
    auto hole = slot;
    for (auto next = (hole + 1) & mask; m_slots[next].key != 0; next = (next + 1) & mask) {
        const auto distanceFromHome = (next - homeOf(m_slots[next].key)) & mask;
        const auto distanceFromHole = (next - hole) & mask;
        if (distanceFromHome >= distanceFromHole) {
            m_slots[hole] = m_slots[next];
            hole = next;
        }
    }
    m_slots[hole] = {};
    --m_size;
}

MergeOutcome FlowTable::merge(const FlowEntry &entry)
{
    auto *mine = find(entry.key);
    if (mine == nullptr) {
        return insert(entry) != nullptr ? MergeOutcome::added : MergeOutcome::tableFull;
    }
    const bool isSamePlacement = mine->upstream == entry.upstream && mine->service == entry.service;
    const bool theirsIsPreferred = isPreferred(entry, *mine);
    if (mine->isStale) {
        *mine = entry;
        return isSamePlacement ? MergeOutcome::unchanged : MergeOutcome::tookTheirs;
    }
    if (theirsIsPreferred || mine->isLocal) {
        mine->placedAtMs = entry.placedAtMs;
        mine->upstream = entry.upstream;
        mine->service = entry.service;
        mine->isLocal = false;
    }
    mine->isClosing = mine->isClosing || entry.isClosing;
    mine->isEstablished = mine->isEstablished || entry.isEstablished;
    if (isSamePlacement) {
        return MergeOutcome::unchanged;
    }
    return theirsIsPreferred ? MergeOutcome::tookTheirs : MergeOutcome::keptMine;
}

void FlowTable::sweep(std::size_t slots, const std::function<bool(FlowEntry &)> &isOver)
{
    for (std::size_t visited = 0; visited < std::min(slots, m_slots.size()); ++visited) {
        const auto slot = m_sweepSlot & (m_slots.size() - 1);
        if (m_slots[slot].key != 0 && isOver(m_slots[slot])) {
            removeSlot(slot); // an entry may move into this slot, so it is visited again
        } else {
            m_sweepSlot = slot + 1;
        }
    }
}

void FlowTable::forEach(const std::function<void(FlowEntry &)> &visit)
{
    for (auto &entry : m_slots) {
        if (entry.key != 0) {
            visit(entry);
        }
    }
}

void FlowTable::clear()
{
    std::fill(m_slots.begin(), m_slots.end(), FlowEntry {});
    m_size = 0;
}

void FlowTable::grow()
{
    auto old = std::exchange(m_slots, std::vector<FlowEntry>(m_slots.size() * 2));
    for (const auto &entry : old) {
        if (entry.key != 0) {
            m_slots[slotOf(entry.key)] = entry;
        }
    }
}

} // namespace sapphirespan
