#pragma once

#include <cstdint>

namespace sapphirespan {

/** A store revision that never falls: in the upper bits the store generation, which counts how often the store was restored
    from an older copy, below them the store's own revision, which such a restore sets back. Numbers of the first generation are
    those of the store. */
inline constexpr unsigned storeRevisionBits = 48;

/** @returns the generation of an ordered revision. */
constexpr std::uint64_t storeGeneration(std::uint64_t orderedRevision)
{
    return orderedRevision >> storeRevisionBits;
}

/** @returns the store's own revision within its generation. */
constexpr std::uint64_t revisionInGeneration(std::uint64_t orderedRevision)
{
    return orderedRevision & ((std::uint64_t(1) << storeRevisionBits) - 1);
}

/** @returns the ordered revision. @pre both fit into their bits */
constexpr std::uint64_t orderedRevision(std::uint64_t generation, std::uint64_t revision)
{
    return (generation << storeRevisionBits) | revision;
}

} // namespace sapphirespan
