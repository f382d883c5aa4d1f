#include "sapphirespan_entry/systems/SteeringSystem.h"

#include <algorithm>

namespace sapphirespan {

namespace {

constexpr std::uint32_t permille = 1000;

/** The share is a pure function of the catalogue, and a larger share contains a smaller one. */
bool isInShare(const ServiceContent &content, std::size_t bucket)
{
    return rendezvousRank(content.number, bucket) % permille < content.service.traffic.steeredPermille;
}

/** Buckets that a change took out of the share stay steered, since flows may depend on their entries. */
bool isInHeldShare(const ServiceContent &content, std::size_t bucket)
{
    return rendezvousRank(content.number, bucket) % permille < content.heldSteeredPermille;
}

bool isWarmingUp(const EntryState &state, const ServiceRow &service, const UpstreamRow &upstream)
{
    return state.now - upstream.openedAt < service.content->service.traffic.slowStart;
}

} // namespace

SteeringReason steeringReason(const ServiceRow &service, std::size_t bucket)
{
    const auto &content = *service.content;
    if (isInTransition(content, bucket)) {
        return SteeringReason::transition;
    }
    const auto ordinal = content.defaults[bucket];
    if (ordinal != noUpstream) {
        const auto &upstream = service.upstreams[ordinal];
        if (upstream.isSteered || !takesNewFlows(upstream)) {
            return SteeringReason::upstream;
        }
    }
    return isInHeldShare(content, bucket) ? SteeringReason::share : SteeringReason::none;
}

void refreshSteering(EntryState &state, ServiceRow &service)
{
    service.isSteered.resize(bucketCount);
    service.steeredSince.resize(bucketCount);
    service.steeringGeneration.resize(bucketCount);
    for (std::size_t bucket = 0; bucket < bucketCount; ++bucket) {
        const bool isSteered = steeringReason(service, bucket) != SteeringReason::none;
        auto &since = service.steeringGeneration[bucket];
        const bool isByCatalogue = isInTransition(*service.content, bucket) || isInHeldShare(*service.content, bucket);
        since = !isByCatalogue ? 0 : since != 0 ? since : static_cast<std::uint32_t>(service.content->changedAtGeneration);
        if (isSteered && service.isSteered[bucket] == 0) {
            service.steeredSince[bucket] = state.nowSeconds;
        }
        service.isSteered[bucket] = isSteered ? 1 : 0;
    }
}

void refreshAcknowledgements(EntryState &state)
{
    state.lowestGeneration = state.head.generation;
    state.lowestRegistersEqualAt = state.now;
    for (const auto &[id, member] : state.members) {
        if (!member.isReachable || member.phase == MemberPhase::joining) {
            continue; // a joining instance relays everything, so it needs no knowledge
        }
        state.lowestGeneration = std::min(state.lowestGeneration, member.generation);
        state.lowestRegistersEqualAt = std::min(state.lowestRegistersEqualAt, member.registersEqualAt);
    }
}

bool isSteeringAcknowledged(const EntryState &state, const ServiceRow &service, std::size_t bucket)
{
    if (state.lowestGeneration < service.defaultsGeneration) {
        return false;
    }
    const auto generation = service.steeringGeneration[bucket];
    if (generation != 0 && generation <= state.lowestGeneration) {
        return true;
    }
    const auto ordinal = service.content->defaults[bucket];
    return ordinal != noUpstream && service.upstreams[ordinal].isSteered
        && service.upstreams[ordinal].steeredAt <= state.lowestRegistersEqualAt;
}

bool takesNewFlows(const UpstreamRow &upstream)
{
    return upstream.phase == UpstreamPhase::open && !upstream.isRemoved;
}

bool mayPlaceElsewhere(const EntryState &state, const ServiceRow &service, std::size_t bucket)
{
    if (!isSteeringAcknowledged(state, service, bucket)) {
        return false;
    }
    const auto byDefault = service.content->defaults[bucket];
    const bool isDefaultOpen = byDefault != noUpstream && takesNewFlows(service.upstreams[byDefault]);
    if ((state.isPartitionSuspected || state.isMemberOverdue) && isDefaultOpen) {
        return false; // the other side of a cut could not know of a flow placed elsewhere
    }
    switch (steeringReason(service, bucket)) {
    case SteeringReason::transition:
        return true;
    case SteeringReason::upstream:
        return !isDefaultOpen || isWarmingUp(state, service, service.upstreams[byDefault]) || isInShare(*service.content, bucket);
    case SteeringReason::share:
        return isInShare(*service.content, bucket);
    case SteeringReason::none:
    case SteeringReason::count:
        break;
    }
    return false;
}

} // namespace sapphirespan
