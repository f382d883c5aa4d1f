#pragma once

#include "sapphirespan_base/sapphirespan_base.h"

#include <vector>

namespace sapphirespan {

/** Length of a peer key, in bytes. */
inline constexpr std::size_t peerKeyBytes = 32;

/** One secret that instances of a scope share. */
struct PeerKey {
    std::uint8_t id = 0;
    std::array<std::uint8_t, peerKeyBytes> secret {};
};

/** Keys of which the first signs and all verify, so that keys are rotated without a gap: add the new key as second
    everywhere, then move it to the front everywhere, then remove the old one.
*/
struct KeyRing {
    std::vector<PeerKey> keys;

    /** @returns the key of an id, or nullptr. */
    const PeerKey *find(std::uint8_t id) const;
};

/** Most keys that a key file may hold: the one in use and its successor or predecessor. */
inline constexpr std::size_t mostPeerKeys = 2;

/** Reads a key file: YAML with `keys`, a list of `id` (1 to 255) and `secret` (64 hexadecimal digits).

    @param path a regular file that its owner alone may read @returns nothing after recording findings
*/
std::optional<KeyRing> loadKeyRing(const std::string &path, FindingList &findings);

} // namespace sapphirespan
