#include "sapphirespan_fleet/messages/PeerMessages.h"

#include "sapphirespan_base/codec/MsgpackReading.h"

#include <algorithm>
#include <cstring>
#include <limits>

namespace sapphirespan {

namespace {

constexpr std::uint32_t messageFields = 4; // sender, incarnation, number, body; the kind leads the body
constexpr std::size_t placedBytes = 17;
constexpr std::size_t endedBytes = 13;

void packName(Packer &packer, const UpstreamName &name)
{
    packer.pack(name.service);
    packer.pack(name.upstream);
}

UpstreamName nameFrom(std::span<const msgpack::object> list)
{
    return {numberFrom<ServiceNumber>(list[0]), numberFrom<UpstreamOrdinal>(list[1])};
}

void packCard(Packer &packer, const MemberCard &card)
{
    packHeader(packer, 4);
    packer.pack(card.name);
    packer.pack(card.dataCentre);
    packer.pack(card.peer.toText());
    packer.pack(card.control.toText());
}

MemberCard cardFrom(const msgpack::object &object)
{
    const auto list = listFrom(object, 4);
    return {textFrom(list[0]), textFrom(list[1]), endpointFrom(list[2]), endpointFrom(list[3])};
}

void packBody(Packer &packer, const Heartbeat &beat)
{
    packHeader(packer, 10);
    packer.pack(static_cast<std::uint8_t>(beat.phase));
    packer.pack(beat.generation);
    packer.pack(beat.indexDigest);
    packer.pack(beat.registersDigest);
    packer.pack(beat.readyForYou);
    packHeader(packer, beat.opinions.size());
    for (const auto &opinion : beat.opinions) {
        packHeader(packer, 3);
        packName(packer, opinion.name);
        packer.pack(static_cast<std::uint8_t>(opinion.phase));
    }
    packHeader(packer, beat.dependents.size());
    for (const auto &name : beat.dependents) {
        packHeader(packer, 2);
        packName(packer, name);
    }
    if (beat.carriesLoads) {
        packHeader(packer, beat.loads.size());
        for (const auto &load : beat.loads) {
            packHeader(packer, 3);
            packName(packer, load.name);
            packer.pack(load.open);
        }
    } else {
        packer.pack_nil();
    }
    if (beat.card) {
        packCard(packer, *beat.card);
    } else {
        packer.pack_nil();
    }
    packHeader(packer, beat.knownPeers.size());
    for (const auto &peer : beat.knownPeers) {
        packer.pack(peer.toText());
    }
}

Heartbeat heartbeatFrom(const msgpack::object &object)
{
    const auto list = listFrom(object, 10);
    Heartbeat beat;
    beat.phase = enumFrom<MemberPhase>(list[0]);
    beat.generation = numberFrom<std::uint64_t>(list[1]);
    beat.indexDigest = textFrom(list[2]);
    beat.registersDigest = numberFrom<std::uint64_t>(list[3]);
    beat.readyForYou = numberFrom<Incarnation>(list[4]);
    for (const auto &item : listFrom(list[5])) {
        const auto opinion = listFrom(item, 3);
        beat.opinions.push_back({nameFrom(opinion), enumFrom<UpstreamPhase>(opinion[2])});
    }
    for (const auto &item : listFrom(list[6])) {
        beat.dependents.push_back(nameFrom(listFrom(item, 2)));
    }
    beat.carriesLoads = !list[7].is_nil();
    if (beat.carriesLoads) {
        for (const auto &item : listFrom(list[7])) {
            const auto load = listFrom(item, 3);
            beat.loads.push_back({nameFrom(load), signedFrom(load[2])});
        }
    }
    if (!list[8].is_nil()) {
        beat.card = cardFrom(list[8]);
    }
    for (const auto &item : listFrom(list[9])) {
        beat.knownPeers.push_back(endpointFrom(item));
    }
    return beat;
}

void packBody(Packer &packer, const RegisterUpdate &update)
{
    packHeader(packer, update.registers.size());
    for (const auto &[name, value] : update.registers) {
        packHeader(packer, 6);
        packName(packer, name);
        packer.pack(value.version);
        packer.pack(value.writer);
        packer.pack(static_cast<std::uint8_t>(value.phase));
        packer.pack(static_cast<std::uint8_t>(value.isSteered));
    }
}

RegisterUpdate registerUpdateFrom(const msgpack::object &object)
{
    RegisterUpdate update;
    for (const auto &item : listFrom(object)) {
        const auto list = listFrom(item, 6);
        update.registers.push_back({nameFrom(list),
                                    {numberFrom<std::uint32_t>(list[2]), numberFrom<std::uint32_t>(list[3]),
                                     enumFrom<UpstreamPhase>(list[4]), numberFrom<std::uint8_t>(list[5]) != 0}});
    }
    return update;
}

template<typename Value>
void appendRaw(std::string &bytes, const Value &value)
{
    bytes.append(reinterpret_cast<const char *>(&value), sizeof value);
}

/** Entries are packed as raw bytes, since they make up most of the control traffic. */
std::string entryBytes(const std::vector<EntryNews> &entries)
{
    std::string bytes;
    bytes.reserve(entries.size() * placedBytes);
    for (const auto &entry : entries) {
        appendRaw(bytes, entry.change);
        appendRaw(bytes, entry.key);
        appendRaw(bytes, entry.placedAtMs);
        if (entry.change != EntryChange::ended) {
            appendRaw(bytes, entry.service);
            appendRaw(bytes, entry.upstream);
        }
    }
    return bytes;
}

template<typename Value>
void takeRaw(std::span<const char> &bytes, Value &value)
{
    std::memcpy(&value, bytes.data(), sizeof value);
    bytes = bytes.subspan(sizeof value);
}

EntryNews takeEntry(std::span<const char> &bytes)
{
    EntryNews entry;
    const auto change = static_cast<std::uint8_t>(bytes[0]);
    const bool isEnded = change == static_cast<std::uint8_t>(EntryChange::ended);
    if (change >= enumCount<EntryChange> || bytes.size() < (isEnded ? endedBytes : placedBytes)) {
        throw BadMessage {};
    }
    takeRaw(bytes, entry.change);
    takeRaw(bytes, entry.key);
    takeRaw(bytes, entry.placedAtMs);
    if (!isEnded) {
        takeRaw(bytes, entry.service);
        takeRaw(bytes, entry.upstream);
    }
    if (entry.key == 0) {
        throw BadMessage {};
    }
    return entry;
}

void packBody(Packer &packer, const EntryCopy &copy)
{
    const auto bytes = entryBytes(copy.entries);
    packHeader(packer, 4);
    packer.pack(copy.receiver);
    packer.pack(copy.epoch);
    packer.pack(copy.firstNumber);
    packer.pack_bin(static_cast<std::uint32_t>(bytes.size()));
    packer.pack_bin_body(bytes.data(), static_cast<std::uint32_t>(bytes.size()));
}

EntryCopy entryCopyFrom(const msgpack::object &object)
{
    const auto list = listFrom(object, 4);
    EntryCopy copy {numberFrom<Incarnation>(list[0]), numberFrom<std::uint32_t>(list[1]), numberFrom<std::uint64_t>(list[2]), {}};
    if (list[3].type != msgpack::type::BIN) {
        throw BadMessage {};
    }
    std::span<const char> bytes(list[3].via.bin.ptr, list[3].via.bin.size);
    while (!bytes.empty()) {
        copy.entries.push_back(takeEntry(bytes));
    }
    return copy;
}

void packBody(Packer &packer, const EntryAcknowledgement &acknowledgement)
{
    packHeader(packer, 3);
    packer.pack(acknowledgement.sender);
    packer.pack(acknowledgement.epoch);
    packer.pack(acknowledgement.upTo);
}

EntryAcknowledgement acknowledgementFrom(const msgpack::object &object)
{
    const auto list = listFrom(object, 3);
    return {numberFrom<Incarnation>(list[0]), numberFrom<std::uint32_t>(list[1]), numberFrom<std::uint64_t>(list[2])};
}

PeerBody bodyFrom(PeerTraffic kind, const msgpack::object &object)
{
    switch (kind) {
    case PeerTraffic::heartbeat:
        return heartbeatFrom(object);
    case PeerTraffic::registerUpdate:
        return registerUpdateFrom(object);
    case PeerTraffic::entryCopy:
        return entryCopyFrom(object);
    case PeerTraffic::entryAcknowledgement:
        return acknowledgementFrom(object);
    case PeerTraffic::count:
        break;
    }
    throw BadMessage {};
}

} // namespace

std::vector<std::uint8_t> packMessage(const PeerMessage &message)
{
    msgpack::sbuffer buffer;
    Packer packer(buffer);
    packHeader(packer, messageFields + 1);
    packer.pack(message.sender.id);
    packer.pack(message.sender.incarnation);
    packer.pack(message.number);
    packer.pack(static_cast<std::uint8_t>(message.body.index()));
    std::visit([&packer](const auto &body) { packBody(packer, body); }, message.body);
    return {buffer.data(), buffer.data() + buffer.size()};
}

std::optional<PeerMessage> unpackMessage(std::span<const std::uint8_t> bytes)
{
    constexpr std::size_t mostItems = 8192;
    constexpr std::size_t deepest = 8;
    try {
        const msgpack::unpack_limit limit(mostItems, 0, bytes.size(), bytes.size(), 0, deepest);
        std::size_t offset = 0;
        const auto handle = msgpack::unpack(reinterpret_cast<const char *>(bytes.data()), bytes.size(), offset, nullptr, nullptr, limit);
        const auto list = listFrom(handle.get(), messageFields + 1);
        if (offset != bytes.size()) {
            return std::nullopt;
        }
        PeerMessage message;
        message.sender = {numberFrom<InstanceId>(list[0]), numberFrom<Incarnation>(list[1])};
        message.number = numberFrom<std::uint64_t>(list[2]);
        message.body = bodyFrom(enumFrom<PeerTraffic>(list[3]), list[4]);
        return message;
    } catch (const BadMessage &) {
        return std::nullopt;
    } catch (const std::exception &) {
        return std::nullopt;
    }
}

} // namespace sapphirespan
