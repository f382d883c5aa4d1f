#pragma once

#include "sapphirespan_config/settings/KeyRing.h"
#include "sapphirespan_fleet/messages/PeerMessages.h"

namespace sapphirespan {

/** A caller's packet on its way from one instance to the owner of its bucket. */
struct RelayedPacket {
    InstanceId sender = 0;
    std::uint8_t hopsLeft = 0;
    std::span<const std::uint8_t> packet; ///< points into the received datagram
};

/** First byte of each datagram between instances. */
enum class PeerFrame : std::uint8_t {
    message = 0xc1,
    relay = 0xd1,
};

/** Bytes that relaying adds to a packet. */
inline constexpr std::size_t relayHeaderBytes = 16;

/** Seals and opens the datagrams between instances.

    Messages carry a keyed BLAKE2b tag of 16 bytes, relayed packets a SipHash-2-4 tag of 8 bytes under a subkey. The
    first key of the ring seals; every key opens. Thread safety: const methods are pure.
*/
class PeerCodec
{
public:
    /** @pre ring holds at least one key */
    explicit PeerCodec(const KeyRing &ring);

    /** @returns the datagram of a message. */
    std::vector<std::uint8_t> seal(const PeerMessage &message) const;

    /** Writes the header of a relay datagram. @param out at least relayHeaderBytes long */
    void sealRelay(InstanceId sender, std::uint8_t hopsLeft, std::span<const std::uint8_t> packet, std::uint8_t *out) const;

    /** @returns the message of a datagram, or nothing with a reason: unauthenticated or malformed. */
    std::optional<PeerMessage> open(std::span<const std::uint8_t> datagram, DropReason &reason) const;

    /** @returns the packet of a relay datagram, or nothing with a reason. */
    std::optional<RelayedPacket> openRelay(std::span<const std::uint8_t> datagram, DropReason &reason) const;

private:
    struct RelayKey {
        std::uint8_t id = 0;
        std::array<std::uint8_t, 16> secret {};
    };

    KeyRing m_ring;
    std::vector<RelayKey> m_relayKeys;
};

} // namespace sapphirespan
