#pragma once

#include "sapphirespan_admission/warmup/WarmUpSettings.h"

#include "sapphirespan_base/sapphirespan_base.h"

namespace sapphirespan {

/** How the budget of a cold upstream is cut into time slots of the wall clock. Each slot has one owner among the instances. */
struct SlotPlan {
    Microseconds length {0}; ///< of a slot
    std::uint32_t openings = 1; ///< that the owner of a slot may place
    std::int64_t usableSlots = 1; ///< a slot may be used until this many have begun, itself included

    bool operator==(const SlotPlan &) const = default;
};

/** Shortest slot. Shorter ones are put together, so that an instance examines at most 50 a second of each upstream. */
inline constexpr Milliseconds minSlotLength {20};

/** Time for which an owned slot may be used. An instance of a large fleet gets a few openings a second only, so most shorter slots
    would pass unused. */
inline constexpr Milliseconds slotUseTime {500};

/** Sum over the fleet of what the instances place, as a multiple of the rate of slots, when each instance lacks a tenth of the
    others: 1 / (1 - 0.1). */
inline constexpr double viewDifferenceFactor = 1.1;

/** Number of standard deviations of the openings in one second between their mean and the bound. */
inline constexpr double boundMargin = 4.5;

/** @returns the number of openings a second for which there are slots.

    The largest rate that keeps two conditions, with the bound = budget x overshoot + slack:

    - It is at most overshoot / 2 of the budget. If the fleet splits into two halves of which neither counts the other any more, the
      sum of both is then within the bound.
    - The bound is `boundMargin` standard deviations above the mean. If clocks differ, the slots that are used within one real second
      are drawn from many seconds of the clocks; their number varies at most like that of independent arrivals, with a variance
      equal to the mean times the openings of a slot. Small budgets need this condition: with a full rate, a budget of 10 a second
      (bound 20) and clocks far apart, one second in 600 would have 21 openings.

    With overshoot 1.5 and slack 5 this is between 0.67 and 0.75 of every budget. */
double slotRate(double budget, const WarmUpSettings &settings);

/** @returns the plan of a budget in openings a second. Every instance with the same configuration computes the same one.
    @pre budget > 0 */
SlotPlan planSlots(double budget, const WarmUpSettings &settings);

/** @returns the number of the slot of a time. @pre wall is not before 1970 */
std::int64_t slotAt(const SlotPlan &plan, WallTime wall);

} // namespace sapphirespan
