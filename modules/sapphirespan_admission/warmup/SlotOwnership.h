#pragma once

#include "sapphirespan_base/sapphirespan_base.h"

#include <string_view>
#include <vector>

namespace sapphirespan {

/** @returns the hash of a name that decides about slots; the same at all instances. */
std::uint64_t slotHashOf(std::string_view name);

/** An instance, by the hashes of names. */
struct SlotCandidate {
    std::uint64_t name = 0;
    std::uint64_t dataCentre = 0;
};

/** A cold upstream. */
struct ColdUpstream {
    std::uint64_t key = 0; ///< the same at all instances, for example its cookie
    std::uint64_t dataCentre = 0; ///< hash of the name
};

/** The instances among which slots are shared. */
struct KnownInstances {
    SlotCandidate self;
    std::vector<SlotCandidate> others;
    std::size_t referenceCount = 0; ///< highest count of others of the last minutes
    SteadyTime referenceAt {}; ///< when it was last reached
};

/** Time for which a list is kept after most of the known instances vanished. Longer than any upstream is cold, in most deployments. */
inline constexpr Milliseconds vanishedRetention {600000};

/** Takes over the current list of the others, unless it has fewer than half as many as were known within `vanishedRetention`: that
    many rather are cut off than have ended. The instances that are cut off forget each other at about the same time, and each
    part would use all slots. */
void updateKnownInstances(KnownInstances &known, std::vector<SlotCandidate> others, SteadyTime now);

/** Of this many slots of an upstream, one is shared by all instances, and the others by those of its data centre. These have most
    openings for it: with slots shared by all, a data centre that comes back cold among three would use a third of them. */
inline constexpr std::uint64_t slotsPerSharedSlot = 8;

/** @returns whether this instance owns a slot of an upstream: whether its hash over instance, upstream and slot is the highest
    (rendezvous hashing) of the instances that share the slot. If no instance of the upstream's data centre is known, all share it.
    Ends at the first higher hash, so that it costs a few hashes on average, whatever the size of the fleet. */
bool ownsSlot(const KnownInstances &known, const ColdUpstream &upstream, std::int64_t slot);

/** Why an instance uses no slots. */
enum class SlotAbstention : std::uint8_t {
    none,
    started, ///< it started or was paused lately, and has not heard from all others yet
    isolated, ///< it was given seeds, but knows no peer
    knowsFewer, ///< a peer knows more instances
    count
};

template<>
struct NameTable<SlotAbstention> {
    static constexpr std::array<std::string_view, enumCount<SlotAbstention>> names {"", "started lately", "no peer is known",
                                                                                    "peers know more instances"};
};

/** What an instance knows of the fleet. */
struct FleetView {
    Microseconds sinceStart {0}; ///< or since the end of its latest pause
    std::size_t knownInstances = 1; ///< itself included
    std::size_t mostKnownByPeer = 0; ///< highest number that a peer said lately that it knows
    bool hasSeeds = false; ///< of other instances: an instance that starts while it is cut off from them is not alone
};

/** Time after the start in which an instance uses no slots; all its peers report several times within it. */
inline constexpr Milliseconds settlingTime {3000};

/** Share of the instances that a peer knows from which an instance uses slots; with fewer the sum over the fleet would be too high.
    Peers that lately forgot or found some instances differ by less. */
inline constexpr double minKnownShare = 0.8;

/** @returns why the instance should use no slots now. */
SlotAbstention slotAbstention(const FleetView &view);

} // namespace sapphirespan
