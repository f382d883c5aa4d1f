#include "sapphirespan_admission/warmup/UpstreamSlots.h"

#include <algorithm>

namespace sapphirespan {

namespace {

/** @returns whether an owned slot may still be used. */
bool isUsable(const UpstreamSlots::OwnedSlot &slot, const UpstreamSlots &slots)
{
    return slot.openingsLeft > 0 && *slots.examinedUntil - slot.number < slots.plan.usableSlots;
}

} // namespace

void examineSlots(UpstreamSlots &slots, const SlotPlan &plan, const KnownInstances &known, WallTime wall)
{
    const auto current = slotAt(plan, wall);
    const bool isFirst = !slots.examinedUntil || plan != slots.plan;
    if (!isFirst && current == *slots.examinedUntil) {
        return;
    }
    auto next = current;
    if (isFirst || current < *slots.examinedUntil) {
        slots.plan = plan;
        slots.owned = {};
    } else {
        next = std::max(*slots.examinedUntil + 1, current - plan.usableSlots + 1);
    }
    for (; next <= current; ++next) {
        if (ownsSlot(known, slots.upstream, next)) {
            slots.owned = {UpstreamSlots::OwnedSlot {next, plan.openings}, slots.owned[0]};
        }
    }
    slots.examinedUntil = current;
}

bool hasOpening(const UpstreamSlots &slots, SteadyTime now)
{
    return slots.nextOpeningAt <= now + 2 * slots.plan.length
        && std::any_of(slots.owned.begin(), slots.owned.end(), [&slots](const auto &slot) { return isUsable(slot, slots); });
}

void useOpening(UpstreamSlots &slots, SteadyTime now)
{
    --(isUsable(slots.owned[1], slots) ? slots.owned[1] : slots.owned[0]).openingsLeft;
    slots.nextOpeningAt = std::max(slots.nextOpeningAt, now) + slots.plan.length / slots.plan.openings;
}

} // namespace sapphirespan
