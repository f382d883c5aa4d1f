#include "sapphirespan_admission/priorities/CallerAnswer.h"

#include <algorithm>

namespace sapphirespan {

std::uint64_t mixedBits(std::uint64_t value)
{
    value += 0x9e3779b97f4a7c15U;
    value = (value ^ (value >> 30)) * 0xbf58476d1ce4e5b9U;
    value = (value ^ (value >> 27)) * 0x94d049bb133111ebU;
    return value ^ (value >> 31);
}

double callerNumber(std::uint32_t address, std::optional<Milliseconds> timeout, WallTime now)
{
    constexpr std::uint64_t goldenRatio = 0x9e3779b97f4a7c15U; // of 2^64
    const auto window
        = static_cast<std::uint64_t>(std::clamp(timeout.value_or(defaultAnswerWindow), minAnswerWindow, maxAnswerWindow).count());
    const auto hash = mixedBits(address);
    const auto phase = mixedBits(hash) % window;
    const auto index = (static_cast<std::uint64_t>(now.time_since_epoch().count()) + phase) / window;
    return static_cast<double>((hash + index * goldenRatio) >> 11) / static_cast<double>(std::uint64_t(1) << 53);
}

} // namespace sapphirespan
