#include "sapphirespan_cookie/flows/OpeningAge.h"

#include <utility>

namespace sapphirespan {

void notePacketRead(OpeningAge &age, bool isOpening, SteadyTime now)
{
    if (now - age.windowStartedAt >= readingWindow) {
        const bool isNext = now - age.windowStartedAt < 2 * readingWindow;
        age.inLastWindow = isNext ? age.inWindow : ReadCounts {};
        age.inWindow = {};
        age.windowStartedAt = now;
    }
    ++(isOpening ? age.inWindow.openings : age.inWindow.others);
}

void noteEffectRead(OpeningAge &age, const FlowEnds &flow, SteadyTime forwardedAt, SteadyTime now)
{
    if (forwardedAt >= now) {
        return;
    }
    auto &[first, second] = age.latest;
    const CausalSample sample {flow, forwardedAt};
    if (first && first->flow == flow) {
        first->forwardedAt = std::max(first->forwardedAt, forwardedAt);
    } else if (!first || forwardedAt > first->forwardedAt) {
        second = std::exchange(first, sample);
    } else if (!second || forwardedAt > second->forwardedAt) {
        second = sample;
    }
}

std::optional<Microseconds> maxPacketAge(const OpeningAge &age, SteadyTime now)
{
    return age.latest[1] ? std::optional(now - age.latest[1]->forwardedAt) : std::nullopt;
}

bool mayBeRepeatedElsewhere(const OpeningAge &age, SteadyTime now)
{
    const auto bound = maxPacketAge(age, now);
    return !bound || *bound > maxUnrepeatedOpeningAge;
}

bool hasLittleToRead(const OpeningAge &age)
{
    return age.inWindow.others + age.inLastWindow.others < maxPacketsWhenQuiet
        && age.inWindow.openings + age.inLastWindow.openings < maxOpeningsWhenQuiet;
}

std::string describeAge(const OpeningAge &age, SteadyTime now)
{
    const auto bound = maxPacketAge(age, now);
    return bound ? "sent within " + std::to_string(std::chrono::duration_cast<Milliseconds>(*bound).count()) + " ms" : "age unknown";
}

} // namespace sapphirespan
