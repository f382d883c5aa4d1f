#pragma once

#include "sapphirespan_base/names/NameTable.h"

#include <sigc++/signal.h>

#include <array>
#include <cstdint>
#include <string>

namespace sapphirespan {

/** What must hold at every moment inside one instance. */
enum class Invariant : std::uint8_t {
    upstreamBelongsToService, ///< a packet leaves only to an upstream of the service whose address it bore
    flowPlacedOnce, ///< a flow once placed is placed nowhere else by the same knowledge
    noRefusalAfterForward, ///< no refusal is said of a flow of which something was forwarded
    packetAccountsAddUp, ///< packets in = forwarded + relayed + refused + dropped
    placementAcknowledged, ///< an owner places off the default only with all acknowledgements
    generationNeverFalls, ///< the generation in force never falls
    count
};

template<>
struct NameTable<Invariant> {
    static constexpr std::array<std::string_view, enumCount<Invariant>> names {
        "upstream_belongs_to_service", "flow_placed_once",       "no_refusal_after_forward",
        "packet_accounts_add_up",      "placement_acknowledged", "generation_never_falls",
    };
};

/** Counts broken invariants and tells whoever listens; always on.

    Thread safety: none; belongs to one instance's loop.
*/
class InvariantLog
{
public:
    /** Counts a breach when `holds` is false. @param detail text for the log, built only for a breach */
    template<typename Detail>
    void check(bool holds, Invariant invariant, Detail &&detail)
    {
        if (!holds) [[unlikely]] {
            recordBreach(invariant, detail());
        }
    }

    /** @returns how often the invariant was broken. */
    std::uint64_t breaches(Invariant invariant) const;

    /** @returns how often any invariant was broken. */
    std::uint64_t totalBreaches() const;

    /** Emitted on each breach; tests connect a handler that fails, the daemon one that logs. */
    sigc::signal<void(Invariant, const std::string &)> signalBreach;

private:
    void recordBreach(Invariant invariant, const std::string &detail);

    std::array<std::uint64_t, enumCount<Invariant>> m_breaches {};
};

} // namespace sapphirespan
