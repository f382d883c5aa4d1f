#pragma once

#include "sapphirespan_flow/buckets/BucketTable.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <vector>

namespace sapphirespan {

/** Number that the catalogue gives to a service; never reused. */
using ServiceNumber = std::uint16_t;

/** One flow whose upstream must be remembered. */
struct FlowEntry {
    std::uint64_t key = 0; ///< flow hash; 0 marks an empty slot
    std::uint32_t placedAtMs = 0; ///< calendar time of the placement, milliseconds modulo 2^32
    std::uint32_t lastSeenSeconds = 0; ///< seconds of the holder's steady clock
    ServiceNumber service = 0;
    UpstreamOrdinal upstream = noUpstream;
    bool isEstablished : 1 = false; ///< a packet other than the opening SYN was seen
    bool isClosing : 1 = false; ///< FIN or RST was seen
    bool isLocal : 1 = false; ///< on the default upstream; remembered by the owner only, copied to nobody
    bool isCopy : 1 = false; ///< held for another owner
    bool isStale : 1 = false; ///< from before this instance lapsed; any other holder knows better
};

static_assert(sizeof(FlowEntry) <= 32, "an entry must fit into 32 bytes");

/** Outcome of merging an entry that came from another instance. */
enum class MergeOutcome : std::uint8_t {
    added,
    unchanged,
    keptMine, ///< both sides placed the flow; this side did so first
    tookTheirs, ///< both sides placed the flow; the other side did so first
    tableFull,
};

/** Flow entries by flow hash: open addressing with linear probing and backward-shift deletion.

    Grows by doubling up to its limit; a full table takes no new entry and never evicts one. Thread safety: none.
*/
class FlowTable
{
public:
    /** @param maximumEntries most entries ever held. @pre maximumEntries > 0 */
    explicit FlowTable(std::size_t maximumEntries);

    /** @returns the entry of a flow, or nullptr. The pointer is valid until the next insertion or removal. */
    FlowEntry *find(std::uint64_t key);

    /** Adds an entry. @pre entry.key is not 0 and not present @returns nullptr when the table is full */
    FlowEntry *insert(const FlowEntry &entry);

    /** Removes the entry of a flow, if any. */
    void remove(std::uint64_t key);

    /** Takes in an entry from another instance; the earlier placement wins, and of equal times the lower ordinal.
        The outcome does not depend on the order in which entries arrive.
    */
    MergeOutcome merge(const FlowEntry &entry);

    /** Visits `slots` slots from where the last sweep ended, and removes each entry for which `isOver` returns true. */
    void sweep(std::size_t slots, const std::function<bool(FlowEntry &)> &isOver);

    /** Visits every entry. @param visit must not change the table */
    void forEach(const std::function<void(FlowEntry &)> &visit);

    void clear();

    std::size_t size() const
    {
        return m_size;
    }

    /** @returns the number of slots now allocated. */
    std::size_t slotCount() const
    {
        return m_slots.size();
    }

    /** @returns the memory that the slots take, in bytes. */
    std::size_t memoryBytes() const
    {
        return m_slots.size() * sizeof(FlowEntry);
    }

private:
    std::size_t homeOf(std::uint64_t key) const;
    std::size_t slotOf(std::uint64_t key) const;
    void removeSlot(std::size_t slot);
    void grow();

    std::vector<FlowEntry> m_slots;
    std::size_t m_size = 0;
    std::size_t m_maximumEntries;
    std::size_t m_sweepSlot = 0;
};

/** @returns whether time `a` is before time `b`, both in milliseconds modulo 2^32 and less than 24 days apart. */
constexpr bool isBefore(std::uint32_t a, std::uint32_t b)
{
    return static_cast<std::int32_t>(a - b) < 0;
}

} // namespace sapphirespan
