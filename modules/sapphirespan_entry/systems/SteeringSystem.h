#pragma once

#include "sapphirespan_entry/state/EntryState.h"

namespace sapphirespan {

/** Why a bucket is steered; reasons are listed from the strongest. */
enum class SteeringReason : std::uint8_t {
    none, ///< every instance forwards to the default upstream
    transition, ///< the catalogue moves the bucket to another upstream
    upstream, ///< its default upstream is closed, or reopened while entries remain
    share, ///< the bucket is in the service's steered share
    count
};

template<>
struct NameTable<SteeringReason> {
    static constexpr std::array<std::string_view, enumCount<SteeringReason>> names {"none", "transition", "upstream", "share"};
};

/** @returns why a bucket is steered by the knowledge of this instance. */
SteeringReason steeringReason(const ServiceRow &service, std::size_t bucket);

/** Recomputes which buckets of a service are steered, after its content or a register changed. */
void refreshSteering(EntryState &state, ServiceRow &service);

/** Recomputes what every instance that may forward has acknowledged. To be called after any heartbeat or member change. */
void refreshAcknowledgements(EntryState &state);

/** @returns whether all instances that may forward are known to steer the bucket. */
bool isSteeringAcknowledged(const EntryState &state, const ServiceRow &service, std::size_t bucket);

/** @returns whether an upstream takes new flows. */
bool takesNewFlows(const UpstreamRow &upstream);

/** @returns whether the owner may choose another than the default upstream for new flows of the bucket. */
bool mayPlaceElsewhere(const EntryState &state, const ServiceRow &service, std::size_t bucket);

} // namespace sapphirespan
