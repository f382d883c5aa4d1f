#include "sapphirespan_config/yaml/YamlUnits.h"

#include <charconv>
#include <cmath>

namespace sapphirespan {

namespace {
struct Unit {
    std::string_view name;
    std::int64_t milliseconds;
};

constexpr std::array<Unit, 5> units {{{"d", 86'400'000}, {"h", 3'600'000}, {"m", 60'000}, {"s", 1'000}, {"ms", 1}}};
constexpr double longestMilliseconds = 366.0 * 86'400'000;
} // namespace

std::optional<Milliseconds> parseDuration(const std::string &text)
{
    double number = 0;
    const bool beginsWithDigit = !text.empty() && text.front() >= '0' && text.front() <= '9'; // else it may be "inf" or "nan"
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), number);
    if (!beginsWithDigit || error != std::errc()) {
        return std::nullopt;
    }
    const std::string_view suffix(end, static_cast<std::size_t>(text.data() + text.size() - end));
    for (const auto &[name, milliseconds] : units) {
        const double duration = number * static_cast<double>(milliseconds);
        if (suffix == name && duration <= longestMilliseconds) {
            return Milliseconds(std::llround(duration));
        }
    }
    return std::nullopt;
}

std::string durationText(Milliseconds duration)
{
    for (const auto &[name, milliseconds] : units) {
        if (duration.count() % milliseconds == 0 && duration.count() != 0) {
            return std::to_string(duration.count() / milliseconds) + std::string(name);
        }
    }
    return std::to_string(duration.count()) + "ms";
}

} // namespace sapphirespan
