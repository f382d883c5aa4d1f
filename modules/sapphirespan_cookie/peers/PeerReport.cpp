#include "sapphirespan_cookie/peers/PeerReport.h"

#include "sapphirespan_cookie/peers/PolicyCodec.h"

#include "sapphirespan_base/codec/MsgpackReading.h"

namespace sapphirespan {

namespace {

/** Magic numbers, the first value of every message, so that datagrams of other programs or other protocol versions are
    rejected. In ASCII: "SPR3" and "SPS3". */
constexpr std::uint32_t reportMagic = 0x53505233;
constexpr std::uint32_t snapshotMagic = 0x53505333;

/** Marks a verdict on an upstream whose host was proven silent. Earlier releases read it as no silence of the host. */
constexpr std::uint8_t provenHostSilence = 1;

/** Number of values of a snapshot, without and with policies and evacuation orders. */
constexpr std::size_t snapshotFields = 9;
constexpr std::size_t extendedSnapshotFields = 11;

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

UpstreamEntry upstreamEntryFrom(const msgpack::object &object)
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

void pack(Packer &packer, const PeerDescriptor &descriptor)
{
    packHeader(packer, 5);
    packer.pack(descriptor.name);
    packer.pack(descriptor.incarnation);
    packer.pack(descriptor.dataCentre);
    packer.pack(descriptor.reportEndpoint.toText());
    packer.pack(descriptor.controlEndpoint.toText());
}

PeerDescriptor descriptorFrom(const msgpack::object &object)
{
    const auto list = listFrom(object, 5);
    return {textFrom(list[0]), numberFrom<std::uint64_t>(list[1]), textFrom(list[2]), endpointFrom(list[3]), endpointFrom(list[4])};
}

void pack(Packer &packer, const StoreRevisions &revisions)
{
    packHeader(packer, 2);
    packer.pack(revisions.routes);
    packer.pack(revisions.upstreams);
}

StoreRevisions revisionsFrom(const msgpack::object &object)
{
    const auto list = listFrom(object, 2);
    return {numberFrom<std::uint64_t>(list[0]), numberFrom<std::uint64_t>(list[1])};
}

void pack(Packer &packer, const VerdictReport &verdict)
{
    packHeader(packer, 6);
    packer.pack(verdict.subject.upstream);
    packer.pack(verdict.subject.dataCentre);
    packer.pack(verdict.prober);
    packer.pack(verdict.proberDataCentre);
    packer.pack(static_cast<std::uint8_t>(verdict.result));
    packer.pack(verdict.ageMs);
}

VerdictReport verdictFrom(const msgpack::object &object)
{
    const auto list = listFrom(object, 6);
    VerdictReport verdict;
    verdict.subject = {numberFrom<FlowCookie>(list[0]), textFrom(list[1])};
    verdict.prober = numberFrom<ProberId>(list[2]);
    verdict.proberDataCentre = textFrom(list[3]);
    verdict.result = enumFrom<ProbeResult>(list[4]);
    verdict.ageMs = numberFrom<std::uint32_t>(list[5]);
    return verdict;
}

void pack(Packer &packer, const KnownPeer &knownPeer)
{
    packHeader(packer, 4);
    pack(packer, knownPeer.descriptor);
    packer.pack(knownPeer.sinceLastAliveMs);
    packer.pack(static_cast<std::uint8_t>(knownPeer.phase));
    packer.pack(knownPeer.reachesStore);
}

KnownPeer knownPeerFrom(const msgpack::object &object)
{
    const auto list = listFrom(object, 4);
    return {descriptorFrom(list[0]), numberFrom<std::uint32_t>(list[1]), enumFrom<PeerPhase>(list[2]), boolFrom(list[3])};
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
    if (list.size() < 3 || list.size() % 2 != 1) {
        throw BadMessage {};
    }
    Route route {ipv4From(list[0]), {}, {}};
    for (std::size_t index = 1; index < list.size(); index += 2) {
        route.services.push_back({textFrom(list[index]), numberFrom<std::uint32_t>(list[index + 1])});
    }
    return route;
}

template<typename Value>
void packVector(Packer &packer, const std::vector<Value> &values)
{
    packHeader(packer, values.size());
    for (const auto &value : values) {
        pack(packer, value);
    }
}

template<typename Value>
std::vector<Value> vectorFrom(const msgpack::object &object, Value (*read)(const msgpack::object &))
{
    std::vector<Value> values;
    for (const auto &item : listFrom(object)) {
        values.push_back(read(item));
    }
    return values;
}

/** Reads the route configuration out of the values of a snapshot message. */
RouteConfiguration routeConfigurationFrom(std::span<const msgpack::object> list)
{
    RouteConfiguration routes;
    routes.revision = numberFrom<std::uint64_t>(list[1]);
    routes.version = numberFrom<std::uint64_t>(list[2]);
    routes.idleTimeout = Milliseconds(numberFrom<std::uint32_t>(list[3]));
    routes.routes = vectorFrom(list[4], routeFrom);
    return routes;
}

/** Decodes one message. @param fieldCount number of its values, including the magic number @param read builds the result
    from these values, and throws BadMessage at the first of a wrong type or range
    @returns the result, or nullopt if the bytes are malformed or the magic number differs
*/
template<typename Read>
auto decodeMessage(std::span<const std::uint8_t> bytes, std::uint32_t magic, std::size_t fieldCount, Read read)
    -> std::optional<decltype(read(std::span<const msgpack::object>()))>
{
    try {
        const auto handle = unpackBounded(bytes);
        const auto list = listFrom(handle.get(), fieldCount);
        if (numberFrom<std::uint32_t>(list[0]) != magic) {
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
    packer.pack(reportMagic);
    pack(packer, report.sender);
    packer.pack(report.sequenceNumber);
    packer.pack(static_cast<std::uint8_t>(report.phase));
    packer.pack(report.reachesStore);
    packer.pack(report.isWatchingStore);
    packer.pack(report.storeDataVersion.routesRevision);
    packer.pack(report.storeDataVersion.upstreamsDigest);
    packer.pack(report.storeDataAgeMs);
    packHeader(packer, report.verdicts.size());
    for (const auto &verdict : report.verdicts) {
        packer.pack(static_cast<std::uint8_t>(verdict.isHostSilent ? provenHostSilence : 0));
    }
    packVector(packer, report.verdicts);
    packVector(packer, report.upstreamChanges);
    packVector(packer, report.knownPeers);
    packer.pack(report.ranksAcrossDataCentres); // false in the last release, which does not read it
    pack(packer, report.storeRevisions);
    return {buffer.data(), buffer.data() + buffer.size()};
}

std::string encode(const StoreDataSnapshot &snapshot)
{
    msgpack::sbuffer buffer;
    Packer packer(buffer);
    packHeader(packer, snapshot.hasPolicies ? extendedSnapshotFields : snapshotFields);
    packer.pack(snapshotMagic);
    packer.pack(snapshot.routes.revision);
    packer.pack(snapshot.routes.version);
    packer.pack(static_cast<std::uint32_t>(snapshot.routes.idleTimeout.count()));
    packVector(packer, snapshot.routes.routes);
    packVector(packer, snapshot.upstreams);
    packer.pack(snapshot.storeDataAgeMs);
    pack(packer, snapshot.storeRevisions);
    packer.pack(snapshot.hasRecentUpstreamsOnly);
    if (snapshot.hasPolicies) {
        packPolicies(packer, snapshot.routes);
        pack(packer, snapshot.evacuations);
    }
    return {buffer.data(), buffer.size()};
}

/** Reads the field that earlier releases leave empty, or use for something else: the last one wrote a boolean there on the strength of
    one unanswered attempt, which proves nothing. */
void readHostSilence(const msgpack::object &object, std::vector<VerdictReport> &verdicts)
{
    if (object.type != msgpack::type::ARRAY || object.via.array.size != verdicts.size()) {
        return;
    }
    for (std::size_t index = 0; index < verdicts.size(); ++index) {
        const auto &item = object.via.array.ptr[index];
        verdicts[index].isHostSilent = item.type == msgpack::type::POSITIVE_INTEGER && item.via.u64 == provenHostSilence;
    }
}

std::optional<PeerReport> decodeReport(std::span<const std::uint8_t> bytes)
{
    return decodeMessage(bytes, reportMagic, 15, [](std::span<const msgpack::object> list) {
        PeerReport report;
        report.sender = descriptorFrom(list[1]);
        report.sequenceNumber = numberFrom<std::uint64_t>(list[2]);
        report.phase = enumFrom<PeerPhase>(list[3]);
        report.reachesStore = boolFrom(list[4]);
        report.isWatchingStore = boolFrom(list[5]);
        report.storeDataVersion = {numberFrom<std::uint64_t>(list[6]), numberFrom<std::uint64_t>(list[7])};
        report.storeDataAgeMs = numberFrom<std::uint32_t>(list[8]);
        report.verdicts = vectorFrom(list[10], verdictFrom);
        readHostSilence(list[9], report.verdicts);
        report.upstreamChanges = vectorFrom(list[11], upstreamEntryFrom);
        report.knownPeers = vectorFrom(list[12], knownPeerFrom);
        report.ranksAcrossDataCentres = boolFrom(list[13]);
        report.storeRevisions = revisionsFrom(list[14]);
        return report;
    });
}

std::optional<StoreDataSnapshot> decodeSnapshot(std::span<const std::uint8_t> bytes)
{
    const auto read = [](std::span<const msgpack::object> list) {
        StoreDataSnapshot snapshot;
        snapshot.routes = routeConfigurationFrom(list);
        snapshot.upstreams = vectorFrom(list[5], upstreamEntryFrom);
        snapshot.storeDataAgeMs = numberFrom<std::uint32_t>(list[6]);
        snapshot.storeRevisions = revisionsFrom(list[7]);
        snapshot.hasRecentUpstreamsOnly = boolFrom(list[8]);
        if (list.size() == extendedSnapshotFields) {
            snapshot.hasPolicies = true;
            readPolicies(list[9], snapshot.routes);
            snapshot.evacuations = evacuationListFrom(list[10]);
        }
        return snapshot;
    };
    auto snapshot = decodeMessage(bytes, snapshotMagic, extendedSnapshotFields, read);
    return snapshot ? snapshot : decodeMessage(bytes, snapshotMagic, snapshotFields, read);
}

} // namespace sapphirespan
