#pragma once

#include "sapphirespan_base/sapphirespan_base.h"

#include <string>

namespace sapphirespan {

/** Something that operators may want to know; the names are stable and listed in docs/OPERATIONS.md. */
enum class InstanceEventKind : std::uint8_t {
    generationInForce,
    instanceAdmitted,
    instanceLapsed,
    instanceLeaving,
    memberAppeared,
    memberAdmitted,
    memberLost,
    memberLeaving,
    upstreamPhaseChanged,
    upstreamPanic,
    count
};

template<>
struct NameTable<InstanceEventKind> {
    static constexpr std::array<std::string_view, enumCount<InstanceEventKind>> names {
        "generation_in_force", "instance_admitted", "instance_lapsed", "instance_leaving",       "member_appeared",
        "member_admitted",     "member_lost",       "member_leaving",  "upstream_phase_changed", "upstream_panic",
    };
};

/** One event with its subject (an instance, service or upstream) and what happened to it. */
struct InstanceEvent {
    InstanceEventKind kind = InstanceEventKind::generationInForce;
    std::string subject;
    std::string detail;
};

} // namespace sapphirespan
