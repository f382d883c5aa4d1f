#include "sapphirespan_admission/warmup/SlotOwnership.h"

#include <algorithm>

namespace sapphirespan {

namespace {

/** Finalizer of SplitMix64: each bit of the input changes about half of the output's. */
std::uint64_t mix(std::uint64_t value)
{
    value = (value ^ (value >> 30)) * 0xbf58476d1ce4e5b9U;
    value = (value ^ (value >> 27)) * 0x94d049bb133111ebU;
    return value ^ (value >> 31);
}

bool isIn(const SlotCandidate &instance, const ColdUpstream &upstream)
{
    return instance.dataCentre == upstream.dataCentre;
}

/** @returns whether any instance of the upstream's data centre is known. */
bool hasLocalInstance(const KnownInstances &known, const ColdUpstream &upstream)
{
    return isIn(known.self, upstream)
        || std::any_of(known.others.begin(), known.others.end(), [&upstream](const auto &other) { return isIn(other, upstream); });
}

} // namespace

std::uint64_t slotHashOf(std::string_view name)
{
    std::uint64_t hash = 0xcbf29ce484222325U; // 64-bit FNV-1a
    for (const char character : name) {
        hash = (hash ^ static_cast<std::uint8_t>(character)) * 0x100000001b3U;
    }
    return mix(hash);
}

void updateKnownInstances(KnownInstances &known, std::vector<SlotCandidate> others, SteadyTime now)
{
    const bool isReferenceOld = now - known.referenceAt > vanishedRetention;
    if (others.size() >= known.referenceCount || isReferenceOld) {
        known.referenceCount = others.size();
        known.referenceAt = now;
    }
    if (2 * others.size() >= known.referenceCount) {
        known.others = std::move(others);
    }
}

bool ownsSlot(const KnownInstances &known, const ColdUpstream &upstream, std::int64_t slot)
{
    const std::uint64_t position = mix(upstream.key) + static_cast<std::uint64_t>(slot);
    const bool isShared = position % slotsPerSharedSlot == 0 || !hasLocalInstance(known, upstream);
    if (!isShared && !isIn(known.self, upstream)) {
        return false;
    }
    const std::uint64_t key = mix(position);
    const std::uint64_t own = mix(known.self.name ^ key);
    return std::all_of(known.others.begin(), known.others.end(),
                       [&](const SlotCandidate &other) { return mix(other.name ^ key) <= own || (!isShared && !isIn(other, upstream)); });
}

SlotAbstention slotAbstention(const FleetView &view)
{
    if (view.sinceStart < settlingTime) {
        return SlotAbstention::started;
    }
    if (view.knownInstances <= 1 && view.hasSeeds) {
        return SlotAbstention::isolated;
    }
    const bool knowsFewer = static_cast<double>(view.knownInstances) < minKnownShare * static_cast<double>(view.mostKnownByPeer);
    return knowsFewer ? SlotAbstention::knowsFewer : SlotAbstention::none;
}

} // namespace sapphirespan
