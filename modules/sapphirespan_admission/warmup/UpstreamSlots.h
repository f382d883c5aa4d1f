#pragma once

#include "sapphirespan_admission/warmup/SlotOwnership.h"
#include "sapphirespan_admission/warmup/SlotPlan.h"

#include <array>
#include <optional>

namespace sapphirespan {

/** The slots of one cold upstream that one instance owns and has not used.

    An instance saves up at most the two latest slots that it owns, for at most slotUseTime, or the length of a slot if that is
    longer. So the slots that pass while it has no openings do not become a burst.
*/
struct UpstreamSlots {
    struct OwnedSlot {
        std::int64_t number = 0;
        std::uint32_t openingsLeft = 0;
    };

    ColdUpstream upstream;
    SlotPlan plan;
    std::optional<std::int64_t> examinedUntil; ///< latest slot whose owner was determined
    std::array<OwnedSlot, 2> owned; ///< the later one first
    SteadyTime nextOpeningAt {}; ///< by the steady clock, at the rate of all slots
};

/** Determines the owners of the slots that have begun since the last call. Costs nothing while the slot is the same.
    After a step of the wall clock forward, no more slots count than may be saved up; after a step back, they count from the
    current one on. */
void examineSlots(UpstreamSlots &slots, const SlotPlan &plan, const KnownInstances &known, WallTime wall);

/** @returns whether this instance may place an opening on the upstream. Whatever the wall clock does, it places no more in any steady
    time than all slots of that time allow and those of two more. */
bool hasOpening(const UpstreamSlots &slots, SteadyTime now);

/** Uses up one opening. @pre hasOpening() */
void useOpening(UpstreamSlots &slots, SteadyTime now);

} // namespace sapphirespan
