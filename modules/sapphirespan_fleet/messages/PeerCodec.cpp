#include "sapphirespan_fleet/messages/PeerCodec.h"

#include <sodium/crypto_generichash.h>
#include <sodium/crypto_shorthash.h>
#include <sodium/utils.h>

#include <algorithm>
#include <cassert>
#include <cstring>

namespace sapphirespan {

namespace {

constexpr std::size_t frameHeaderBytes = 2; // frame kind and key id
constexpr std::size_t messageTagBytes = 16;
constexpr std::size_t relayTagBytes = 8;
constexpr std::size_t relayHopsOffset = 2;
constexpr std::size_t relaySenderOffset = 4;
constexpr std::size_t relayTagOffset = 8;
constexpr std::string_view relayKeyPurpose = "sapphirespan relay";

using MessageTag = std::array<std::uint8_t, messageTagBytes>;
using RelayTag = std::array<std::uint8_t, relayTagBytes>;

MessageTag messageTag(std::span<const std::uint8_t> bytes, const PeerKey &key)
{
    MessageTag tag;
    crypto_generichash(tag.data(), tag.size(), bytes.data(), bytes.size(), key.secret.data(), key.secret.size());
    return tag;
}

/** The header is bound to the packet by hashing it into the key; SipHash takes one contiguous input. */
RelayTag relayTag(const std::uint8_t *header, std::span<const std::uint8_t> packet, const std::array<std::uint8_t, 16> &secret)
{
    std::array<std::uint8_t, 16> bound = secret;
    for (std::size_t index = 0; index < relayTagOffset; ++index) {
        bound[index] ^= header[index];
    }
    RelayTag tag;
    crypto_shorthash(tag.data(), packet.data(), packet.size(), bound.data());
    return tag;
}

} // namespace

PeerCodec::PeerCodec(const KeyRing &ring)
    : m_ring(ring)
{
    assert(!ring.keys.empty());
    for (const auto &key : ring.keys) {
        RelayKey relay {key.id, {}};
        crypto_generichash(relay.secret.data(), relay.secret.size(), reinterpret_cast<const unsigned char *>(relayKeyPurpose.data()),
                           relayKeyPurpose.size(), key.secret.data(), key.secret.size());
        m_relayKeys.push_back(relay);
    }
}

std::vector<std::uint8_t> PeerCodec::seal(const PeerMessage &message) const
{
    const auto &key = m_ring.keys.front();
    const auto body = packMessage(message);
    std::vector<std::uint8_t> datagram(frameHeaderBytes + body.size() + messageTagBytes);
    datagram[0] = static_cast<std::uint8_t>(PeerFrame::message);
    datagram[1] = key.id;
    std::copy(body.begin(), body.end(), datagram.begin() + frameHeaderBytes);
    const auto signedBytes = datagram.size() - messageTagBytes;
    const auto tag = messageTag(std::span(datagram).first(signedBytes), key);
    std::copy(tag.begin(), tag.end(), datagram.begin() + static_cast<std::ptrdiff_t>(signedBytes));
    return datagram;
}

std::optional<PeerMessage> PeerCodec::open(std::span<const std::uint8_t> datagram, DropReason &reason) const
{
    if (datagram.size() < frameHeaderBytes + messageTagBytes) {
        reason = DropReason::truncated;
        return std::nullopt;
    }
    const auto signedPart = datagram.first(datagram.size() - messageTagBytes);
    const auto *key = m_ring.find(datagram[1]);
    if (key == nullptr || sodium_memcmp(messageTag(signedPart, *key).data(), datagram.data() + signedPart.size(), messageTagBytes) != 0) {
        reason = DropReason::unauthenticated;
        return std::nullopt;
    }
    auto message = unpackMessage(signedPart.subspan(frameHeaderBytes));
    if (!message) {
        reason = DropReason::malformed;
    }
    return message;
}

void PeerCodec::sealRelay(InstanceId sender, std::uint8_t hopsLeft, std::span<const std::uint8_t> packet, std::uint8_t *out) const
{
    const auto &key = m_relayKeys.front();
    out[0] = static_cast<std::uint8_t>(PeerFrame::relay);
    out[1] = key.id;
    out[relayHopsOffset] = hopsLeft;
    out[relayHopsOffset + 1] = 0;
    std::memcpy(out + relaySenderOffset, &sender, sizeof sender);
    const auto tag = relayTag(out, packet, key.secret);
    std::memcpy(out + relayTagOffset, tag.data(), tag.size());
}

std::optional<RelayedPacket> PeerCodec::openRelay(std::span<const std::uint8_t> datagram, DropReason &reason) const
{
    if (datagram.size() <= relayHeaderBytes) {
        reason = DropReason::truncated;
        return std::nullopt;
    }
    const auto packet = datagram.subspan(relayHeaderBytes);
    const auto key = std::find_if(m_relayKeys.begin(), m_relayKeys.end(), [&](const RelayKey &relay) { return relay.id == datagram[1]; });
    if (key == m_relayKeys.end()
        || sodium_memcmp(relayTag(datagram.data(), packet, key->secret).data(), datagram.data() + relayTagOffset, relayTagBytes) != 0) {
        reason = DropReason::unauthenticated;
        return std::nullopt;
    }
    RelayedPacket relayed;
    std::memcpy(&relayed.sender, datagram.data() + relaySenderOffset, sizeof relayed.sender);
    relayed.hopsLeft = datagram[relayHopsOffset];
    relayed.packet = packet;
    return relayed;
}

} // namespace sapphirespan
