#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace sapphirespan {

/** Latest order about one data centre. */
struct EvacuationEntry {
    std::string dataCentre;
    std::uint64_t revision = 0; ///< ordered store revision at which the order was given or taken back
    bool isEvacuated = true; ///< false if the order was taken back

    bool operator==(const EvacuationEntry &) const = default;
};

/** Evacuation orders, complete up to one store revision. */
struct EvacuationList {
    std::uint64_t revision = 0; ///< ordered store revision; 0 if no list was received yet
    std::vector<EvacuationEntry> entries;

    bool operator==(const EvacuationList &) const = default;
};

/** Limits of what instances send each other, so that a report stays within one datagram. */
inline constexpr std::size_t maxEvacuationEntries = 64;
inline constexpr std::size_t maxDataCentreNameBytes = 64;

} // namespace sapphirespan
