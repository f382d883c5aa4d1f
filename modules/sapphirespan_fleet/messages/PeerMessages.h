#pragma once

#include "sapphirespan_fleet/membership/Member.h"
#include "sapphirespan_flow/sapphirespan_flow.h"
#include "sapphirespan_upstream/sapphirespan_upstream.h"

#include <variant>
#include <vector>

namespace sapphirespan {

/** Names one upstream of one service. */
struct UpstreamName {
    ServiceNumber service = 0;
    UpstreamOrdinal upstream = 0;

    auto operator<=>(const UpstreamName &) const = default;
};

/** One instance's opinion that an upstream is not open. */
struct OpinionNews {
    UpstreamName name;
    UpstreamPhase phase = UpstreamPhase::down;

    bool operator==(const OpinionNews &) const = default;
};

/** Open flows on one upstream, counted by the sender. */
struct LoadNews {
    UpstreamName name;
    std::int64_t open = 0;

    bool operator==(const LoadNews &) const = default;
};

/** An instance together with its incarnation. */
struct MemberName {
    InstanceId id = 0;
    Incarnation incarnation = 0;

    auto operator<=>(const MemberName &) const = default;
};

/** What rarely changes about an instance; sent with every few heartbeats. */
struct MemberCard {
    std::string name;
    std::string dataCentre;
    Endpoint peer;
    Endpoint control;

    bool operator==(const MemberCard &) const = default;
};

/** Tells peers that the sender lives and what it knows. */
struct Heartbeat {
    MemberPhase phase = MemberPhase::joining;
    std::uint64_t generation = 0;
    std::string indexDigest; ///< of the generation in force; empty for a receiver that is known to have it
    std::uint64_t registersDigest = 0;
    Incarnation readyForYou = 0; ///< the receiver's incarnation, once it confirmed all entries the sender has for it
    std::vector<OpinionNews> opinions; ///< every opinion other than open
    std::vector<UpstreamName> dependents; ///< reopened upstreams whose buckets still have entries at the sender
    std::vector<LoadNews> loads; ///< empty in heartbeats that carry no load
    bool carriesLoads = false;
    std::optional<MemberCard> card;
    std::vector<Endpoint> knownPeers; ///< with a card: peers that the sender has heard

    bool operator==(const Heartbeat &) const = default;
};

/** One upstream register. */
struct RegisterNews {
    UpstreamName name;
    UpstreamRegister value;

    bool operator==(const RegisterNews &) const = default;
};

/** Upstream registers that the receiver may lack. */
struct RegisterUpdate {
    std::vector<RegisterNews> registers;

    bool operator==(const RegisterUpdate &) const = default;
};

/** What a copied entry says of its flow. */
enum class EntryChange : std::uint8_t {
    placed,
    replaced, ///< placed anew after an earlier flow of the same addresses and ports ended
    ended, ///< with the time at which the ended flow had been placed
    count
};

template<>
struct NameTable<EntryChange> {
    static constexpr std::array<std::string_view, enumCount<EntryChange>> names {"placed", "replaced", "ended"};
};

/** One flow entry on its way to another holder. */
struct EntryNews {
    EntryChange change = EntryChange::placed;
    std::uint64_t key = 0;
    ServiceNumber service = 0;
    UpstreamOrdinal upstream = noUpstream;
    std::uint32_t placedAtMs = 0;

    bool operator==(const EntryNews &) const = default;
};

/** A numbered run of entries of one stream. */
struct EntryCopy {
    Incarnation receiver = 0; ///< incarnation for which the stream was started
    std::uint32_t epoch = 0; ///< tells restarts of the stream apart; a later one is higher
    std::uint64_t firstNumber = 0; ///< number of the first entry; counts from 1
    std::vector<EntryNews> entries;

    bool operator==(const EntryCopy &) const = default;
};

/** Confirms all entries of a stream up to a number. */
struct EntryAcknowledgement {
    Incarnation sender = 0; ///< incarnation of the stream's sender
    std::uint32_t epoch = 0;
    std::uint64_t upTo = 0;

    bool operator==(const EntryAcknowledgement &) const = default;
};

using PeerBody = std::variant<Heartbeat, RegisterUpdate, EntryCopy, EntryAcknowledgement>;

/** Kinds of peer traffic, for accounts of bytes and messages. The first four follow the order of PeerBody. */
enum class PeerTraffic : std::uint8_t {
    heartbeat,
    registerUpdate,
    entryCopy,
    entryAcknowledgement,
    count
};

template<>
struct NameTable<PeerTraffic> {
    static constexpr std::array<std::string_view, enumCount<PeerTraffic>> names {"heartbeat", "register_update", "entry_copy",
                                                                                 "entry_acknowledgement"};
};

/** One message between instances. */
struct PeerMessage {
    MemberName sender;
    std::uint64_t number = 0; ///< rises with each message that the sender's incarnation sends to anyone
    PeerBody body;

    bool operator==(const PeerMessage &) const = default;
};

/** @returns the msgpack form of a message. */
std::vector<std::uint8_t> packMessage(const PeerMessage &message);

/** Reads bytes of any content. @returns nothing unless the whole is a well-formed message */
std::optional<PeerMessage> unpackMessage(std::span<const std::uint8_t> bytes);

} // namespace sapphirespan
