#include "sapphirespan_cookie/peers/PeerReport.h"

#include "sapphirespan_base/codec/MsgpackReading.h"

namespace sapphirespan {

namespace {

/** Leads every message, so that datagrams of other programs and other versions are not taken for one. */
constexpr std::uint32_t reportMark = 0x53505233;
constexpr std::uint32_t snapshotMark = 0x53505333;

bool boolFrom(const msgpack::object &object)
{
    if (object.type != msgpack::type::BOOLEAN) {
        throw BadMessage {};
    }
    return object.via.boolean;
}

void pack(Packer &packer, const Ipv4Endpoint &endpoint)
{
    packer.pack((std::uint64_t(endpoint.address) << 16) | endpoint.port);
}

Ipv4Endpoint ipv4From(const msgpack::object &object)
{
    const auto packed = numberFrom<std::uint64_t>(object);
    if (packed >> 48 != 0) {
        throw BadMessage {};
    }
    return {static_cast<std::uint32_t>(packed >> 16), static_cast<std::uint16_t>(packed)};
}

void pack(Packer &packer, const UpstreamEntry &entry)
{
    packHeader(packer, 9);
    packer.pack(entry.id);
    packer.pack(entry.startedAt);
    packer.pack(entry.revision);
    packer.pack(entry.service);
    pack(packer, entry.address);
    packer.pack(entry.dataCentre);
    packer.pack(entry.slots);
    packer.pack(static_cast<std::uint8_t>(entry.phase));
    packer.pack(entry.warmUpRemainingMs);
}

UpstreamEntry entryFrom(const msgpack::object &object)
{
    const auto list = listFrom(object, 9);
    UpstreamEntry entry;
    entry.id = numberFrom<UpstreamId>(list[0]);
    entry.startedAt = signedFrom(list[1]);
    entry.revision = numberFrom<std::uint64_t>(list[2]);
    entry.service = textFrom(list[3]);
    entry.address = ipv4From(list[4]);
    entry.dataCentre = textFrom(list[5]);
    entry.slots = numberFrom<std::uint16_t>(list[6]);
    entry.phase = enumFrom<RegistrationPhase>(list[7]);
    entry.warmUpRemainingMs = numberFrom<std::uint32_t>(list[8]);
    if (entry.id == 0) {
        throw BadMessage {};
    }
    return entry;
}

void pack(Packer &packer, const PeerDescriptor &card)
{
    packHeader(packer, 5);
    packer.pack(card.name);
    packer.pack(card.incarnation);
    packer.pack(card.dataCentre);
    packer.pack(card.reportEndpoint.toText());
    packer.pack(card.controlEndpoint.toText());
}

PeerDescriptor cardFrom(const msgpack::object &object)
{
    const auto list = listFrom(object, 5);
    return {textFrom(list[0]), numberFrom<std::uint64_t>(list[1]), textFrom(list[2]), endpointFrom(list[3]), endpointFrom(list[4])};
}

void pack(Packer &packer, const StoreRevisions &known)
{
    packHeader(packer, 2);
    packer.pack(known.routes);
    packer.pack(known.upstreams);
}

StoreRevisions revisionsFrom(const msgpack::object &object)
{
    const auto list = listFrom(object, 2);
    return {numberFrom<std::uint64_t>(list[0]), numberFrom<std::uint64_t>(list[1])};
}

void pack(Packer &packer, const UpstreamLoadReport &load)
{
    packHeader(packer, 3);
    packer.pack(load.cookie);
    packer.pack(load.activeFlows);
    packer.pack(load.waitingRequests);
}

UpstreamLoadReport loadFrom(const msgpack::object &object)
{
    const auto list = listFrom(object, 3);
    return {numberFrom<FlowCookie>(list[0]), numberFrom<std::uint32_t>(list[1]), numberFrom<std::uint32_t>(list[2])};
}

void pack(Packer &packer, const VerdictReport &verdict)
{
    packHeader(packer, 6);
    packer.pack(verdict.subject.upstream);
    packer.pack(verdict.subject.dataCentre);
    packer.pack(verdict.witness);
    packer.pack(verdict.vantage);
    packer.pack(static_cast<std::uint8_t>(verdict.result));
    packer.pack(verdict.ageMs);
}

VerdictReport verdictFrom(const msgpack::object &object)
{
    const auto list = listFrom(object, 6);
    VerdictReport verdict;
    verdict.subject = {numberFrom<FlowCookie>(list[0]), textFrom(list[1])};
    verdict.witness = numberFrom<ProberId>(list[2]);
    verdict.vantage = textFrom(list[3]);
    verdict.result = enumFrom<ProbeResult>(list[4]);
    verdict.ageMs = numberFrom<std::uint32_t>(list[5]);
    return verdict;
}

void pack(Packer &packer, const KnownPeer &sighting)
{
    packHeader(packer, 4);
    pack(packer, sighting.descriptor);
    packer.pack(sighting.sinceLastAliveMs);
    packer.pack(static_cast<std::uint8_t>(sighting.phase));
    packer.pack(sighting.reachesStore);
}

KnownPeer sightingFrom(const msgpack::object &object)
{
    const auto list = listFrom(object, 4);
    return {cardFrom(list[0]), numberFrom<std::uint32_t>(list[1]), enumFrom<PeerPhase>(list[2]), boolFrom(list[3])};
}

void pack(Packer &packer, const Route &route)
{
    packHeader(packer, 1 + 2 * route.services.size());
    pack(packer, route.address);
    for (const auto &item : route.services) {
        packer.pack(item.service);
        packer.pack(item.weight);
    }
}

Route routeFrom(const msgpack::object &object)
{
    const auto list = listFrom(object);
    if (list.size() % 2 != 1) {
        throw BadMessage {};
    }
    Route route {ipv4From(list[0]), {}};
    for (std::size_t index = 1; index < list.size(); index += 2) {
        route.services.push_back({textFrom(list[index]), numberFrom<std::uint32_t>(list[index + 1])});
    }
    return route;
}

template<typename Value>
void packAll(Packer &packer, const std::vector<Value> &values)
{
    packHeader(packer, values.size());
    for (const auto &value : values) {
        pack(packer, value);
    }
}

template<typename Value>
std::vector<Value> allFrom(const msgpack::object &object, Value (*read)(const msgpack::object &))
{
    std::vector<Value> values;
    for (const auto &item : listFrom(object)) {
        values.push_back(read(item));
    }
    return values;
}

RouteConfiguration configurationFrom(std::span<const msgpack::object> list)
{
    RouteConfiguration routes;
    routes.revision = numberFrom<std::uint64_t>(list[1]);
    routes.version = numberFrom<std::uint64_t>(list[2]);
    routes.idleTimeout = Milliseconds(numberFrom<std::uint32_t>(list[3]));
    routes.routes = allFrom(list[4], routeFrom);
    return routes;
}

/** Decodes with `read`, which throws on the first value of another shape. */
template<typename Read>
auto decoded(std::span<const std::uint8_t> bytes, std::uint32_t mark, std::size_t fields, Read read)
    -> std::optional<decltype(read(std::span<const msgpack::object>()))>
{
    try {
        const auto handle = unpackBounded(bytes);
        const auto list = listFrom(handle.get(), fields);
        if (numberFrom<std::uint32_t>(list[0]) != mark) {
            return std::nullopt;
        }
        return read(list);
    } catch (const BadMessage &) {
        return std::nullopt;
    } catch (const msgpack::unpack_error &) {
        return std::nullopt;
    }
}

} // namespace

std::vector<std::uint8_t> encode(const PeerReport &report)
{
    msgpack::sbuffer buffer;
    Packer packer(buffer);
    packHeader(packer, 15);
    packer.pack(reportMark);
    pack(packer, report.sender);
    packer.pack(report.sequenceNumber);
    packer.pack(static_cast<std::uint8_t>(report.phase));
    packer.pack(report.reachesStore);
    packer.pack(report.isWatchingStore);
    packer.pack(report.storeDataVersion.routesRevision);
    packer.pack(report.storeDataVersion.upstreamsDigest);
    packer.pack(report.storeDataAgeMs);
    packAll(packer, report.upstreamLoads);
    packAll(packer, report.verdicts);
    packAll(packer, report.upstreamChanges);
    packAll(packer, report.knownPeers);
    packer.pack(report.hasLoads);
    pack(packer, report.storeRevisions);
    return {buffer.data(), buffer.data() + buffer.size()};
}

std::string encode(const StoreDataSnapshot &snapshot)
{
    msgpack::sbuffer buffer;
    Packer packer(buffer);
    packHeader(packer, 9);
    packer.pack(snapshotMark);
    packer.pack(snapshot.routes.revision);
    packer.pack(snapshot.routes.version);
    packer.pack(static_cast<std::uint32_t>(snapshot.routes.idleTimeout.count()));
    packAll(packer, snapshot.routes.routes);
    packAll(packer, snapshot.upstreams);
    packer.pack(snapshot.storeDataAgeMs);
    pack(packer, snapshot.storeRevisions);
    packer.pack(snapshot.hasRecentUpstreamsOnly);
    return {buffer.data(), buffer.size()};
}

std::optional<PeerReport> decodeReport(std::span<const std::uint8_t> bytes)
{
    return decoded(bytes, reportMark, 15, [](std::span<const msgpack::object> list) {
        PeerReport report;
        report.sender = cardFrom(list[1]);
        report.sequenceNumber = numberFrom<std::uint64_t>(list[2]);
        report.phase = enumFrom<PeerPhase>(list[3]);
        report.reachesStore = boolFrom(list[4]);
        report.isWatchingStore = boolFrom(list[5]);
        report.storeDataVersion = {numberFrom<std::uint64_t>(list[6]), numberFrom<std::uint64_t>(list[7])};
        report.storeDataAgeMs = numberFrom<std::uint32_t>(list[8]);
        report.upstreamLoads = allFrom(list[9], loadFrom);
        report.verdicts = allFrom(list[10], verdictFrom);
        report.upstreamChanges = allFrom(list[11], entryFrom);
        report.knownPeers = allFrom(list[12], sightingFrom);
        report.hasLoads = boolFrom(list[13]);
        report.storeRevisions = revisionsFrom(list[14]);
        return report;
    });
}

std::optional<StoreDataSnapshot> decodeSnapshot(std::span<const std::uint8_t> bytes)
{
    return decoded(bytes, snapshotMark, 9, [](std::span<const msgpack::object> list) {
        StoreDataSnapshot snapshot;
        snapshot.routes = configurationFrom(list);
        snapshot.upstreams = allFrom(list[5], entryFrom);
        snapshot.storeDataAgeMs = numberFrom<std::uint32_t>(list[6]);
        snapshot.storeRevisions = revisionsFrom(list[7]);
        snapshot.hasRecentUpstreamsOnly = boolFrom(list[8]);
        return snapshot;
    });
}

} // namespace sapphirespan
