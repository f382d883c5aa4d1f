#include "sapphirespan_entry/systems/ExpirySystem.h"

#include "sapphirespan_entry/systems/EntryCopySystem.h"

namespace sapphirespan {

namespace {

using namespace std::chrono_literals;

constexpr std::size_t ticksPerSweep = 256;
constexpr std::int64_t closingLingerSeconds = 60;
constexpr std::int64_t unknownServiceIdleSeconds = 3600;
constexpr auto formerHolderLinger = 10s;

std::int64_t idleLimitSeconds(const EntryState &state, const FlowEntry &entry)
{
    if (entry.isLocal) {
        return std::chrono::duration_cast<std::chrono::seconds>(state.settings.timing.synHorizon).count();
    }
    if (entry.isClosing) {
        return closingLingerSeconds;
    }
    const auto service = state.services.find(entry.service);
    if (service == state.services.end()) {
        return unknownServiceIdleSeconds;
    }
    return std::chrono::duration_cast<std::chrono::seconds>(service->second.content->service.traffic.idleTimeout).count();
}

bool isHolder(const EntryState &state, std::size_t bucket)
{
    return state.ranking.holders(bucket).contains(state.self.id) || state.copyRanking.holders(bucket).contains(state.self.id);
}

} // namespace

void expireEntries(EntryState &state)
{
    std::vector<std::uint64_t> over;
    state.flows.sweep(state.flows.slotCount() / ticksPerSweep, [&](FlowEntry &entry) {
        const auto bucket = bucketOf(entry.key);
        const bool isOwner = state.ranking.holders(bucket).owner == state.self.id;
        const auto idle = std::int64_t {state.nowSeconds} - entry.lastSeenSeconds;
        if (isOwner && idle > idleLimitSeconds(state, entry)) {
            over.push_back(entry.key);
            return false; // ended below, so that other holders are told
        }
        if (entry.isLocal) {
            return idle > idleLimitSeconds(state, entry);
        }
        return state.phase == MemberPhase::admitted && !isHolder(state, bucket) && state.heldUntil[bucket] + formerHolderLinger < state.now;
    });
    for (const auto key : over) {
        endEntry(state, key);
    }
}

} // namespace sapphirespan
