#include "sapphirespan_admission/warmup/SlotPlan.h"

#include <algorithm>
#include <cmath>

namespace sapphirespan {

namespace {

/** Longest slot; keeps the arithmetic of tiny budgets within its range. */
constexpr double maxSlotSeconds = 86400;

/** Highest budget that is planned for, so that the openings of a slot can be counted. No upstream takes as many a second. */
constexpr double highestBudget = 1e6;

constexpr double secondsOf(Milliseconds time)
{
    return static_cast<double>(time.count()) / 1000;
}

/** @returns the highest rate that the first condition of slotRate() allows. */
double rateForHalves(double budget, const WarmUpSettings &settings)
{
    return std::min(budget, highestBudget) * std::min(1.0, settings.overshoot / 2);
}

std::uint32_t openingsPerSlot(double budget, const WarmUpSettings &settings)
{
    return static_cast<std::uint32_t>(std::max(1.0, std::ceil(rateForHalves(budget, settings) * secondsOf(minSlotLength))));
}

} // namespace

double slotRate(double budget, const WarmUpSettings &settings)
{
    const double bound = std::min(budget, highestBudget) * settings.overshoot + settings.slack;
    const double margin = boundMargin * std::sqrt(static_cast<double>(openingsPerSlot(budget, settings)));
    const double rootOfMean = (std::sqrt(margin * margin + 4 * bound) - margin) / 2; // solves mean + margin x sqrt(mean) = bound
    return std::min(rateForHalves(budget, settings), rootOfMean * rootOfMean / viewDifferenceFactor);
}

SlotPlan planSlots(double budget, const WarmUpSettings &settings)
{
    SlotPlan plan;
    plan.openings = openingsPerSlot(budget, settings);
    const double seconds = std::min(maxSlotSeconds, plan.openings / slotRate(budget, settings));
    plan.length = Microseconds(std::llround(std::ceil(seconds * 1e6)));
    plan.usableSlots = (Microseconds(slotUseTime) + plan.length - Microseconds(1)) / plan.length;
    return plan;
}

std::int64_t slotAt(const SlotPlan &plan, WallTime wall)
{
    return Microseconds(wall.time_since_epoch()) / plan.length;
}

} // namespace sapphirespan
