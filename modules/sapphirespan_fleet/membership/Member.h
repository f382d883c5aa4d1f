#pragma once

#include "sapphirespan_base/sapphirespan_base.h"

#include <cstdint>
#include <string_view>

namespace sapphirespan {

/** Identifies an instance; the hash of its name. */
using InstanceId = std::uint32_t;

/** Tells the lives of one instance apart; a later life has a higher number. */
using Incarnation = std::uint64_t;

/** What an instance says of its own part in the scope. */
enum class MemberPhase : std::uint8_t {
    joining, ///< decides nothing: relays every packet
    admitted, ///< owns buckets
    leaving, ///< owns nothing any more, still forwards
    gone, ///< forwards nothing any more; said once, at the end
    count
};

template<>
struct NameTable<MemberPhase> {
    static constexpr std::array<std::string_view, enumCount<MemberPhase>> names {"joining", "admitted", "leaving", "gone"};
};

/** @returns the id of an instance name; never 0. */
InstanceId instanceIdOf(std::string_view name);

} // namespace sapphirespan
