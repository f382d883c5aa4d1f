#include "sapphirespan_cookie/peers/PeerSupplement.h"

#include "sapphirespan_cookie/peers/PolicyCodec.h"

namespace sapphirespan {

namespace {

/** First value of every supplement, in ASCII "SPL1", so that datagrams of other programs and versions are rejected. */
constexpr std::uint32_t supplementMagic = 0x53504c31;

/** Number of values of this version, and the least that a supplement has. Later ones may append values, which are ignored here. */
constexpr std::size_t fieldCount = 9;
constexpr std::size_t minFieldCount = 8;

void pack(Packer &packer, const ServiceLoadReport &load)
{
    packHeader(packer, 6);
    packer.pack(load.service);
    packer.pack(load.slots);
    packer.pack(load.offeredLoad);
    packer.pack(load.meanWaitMs);
    packer.pack(load.responses);
    packer.pack(load.ageMs);
}

ServiceLoadReport loadFrom(const msgpack::object &object)
{
    const auto list = listFrom(object, 6);
    return {textFrom(list[0]),    decimalFrom(list[1]), decimalFrom(list[2]),
            decimalFrom(list[3]), decimalFrom(list[4]), numberFrom<std::uint32_t>(list[5])};
}

void pack(Packer &packer, const OutflowReport &outflow)
{
    packHeader(packer, 3);
    packer.pack(outflow.service);
    packer.pack(outflow.dataCentre);
    packer.pack(outflow.load);
}

std::vector<OutflowReport> outflowsFrom(const msgpack::object &object)
{
    const auto list = listFrom(object);
    if (list.size() > maxOutflowsPerSupplement) {
        throw BadMessage {};
    }
    std::vector<OutflowReport> result;
    for (const auto &item : list) {
        const auto values = listFrom(item, 3);
        result.push_back({textFrom(values[0]), textFrom(values[1]), decimalFrom(values[2])});
    }
    return result;
}

PeerSupplement supplementFrom(std::span<const msgpack::object> list)
{
    PeerSupplement supplement;
    supplement.sender = textFrom(list[1]);
    supplement.incarnation = numberFrom<std::uint64_t>(list[2]);
    supplement.sequenceNumber = numberFrom<std::uint64_t>(list[3]);
    supplement.dataCentre = textFrom(list[4]);
    supplement.knownInstances = numberFrom<std::uint32_t>(list[5]);
    supplement.evacuations = evacuationListFrom(list[6]);
    const auto loads = listFrom(list[7]);
    if (loads.size() > maxServiceLoadsPerSupplement) {
        throw BadMessage {};
    }
    for (const auto &load : loads) {
        supplement.loads.push_back(loadFrom(load));
    }
    if (list.size() >= fieldCount) {
        supplement.outflows = outflowsFrom(list[8]);
    }
    return supplement;
}

} // namespace

std::vector<std::uint8_t> encode(const PeerSupplement &supplement)
{
    msgpack::sbuffer buffer;
    Packer packer(buffer);
    packHeader(packer, fieldCount);
    packer.pack(supplementMagic);
    packer.pack(supplement.sender);
    packer.pack(supplement.incarnation);
    packer.pack(supplement.sequenceNumber);
    packer.pack(supplement.dataCentre);
    packer.pack(supplement.knownInstances);
    pack(packer, supplement.evacuations);
    packHeader(packer, supplement.loads.size());
    for (const auto &load : supplement.loads) {
        pack(packer, load);
    }
    packHeader(packer, supplement.outflows.size());
    for (const auto &outflow : supplement.outflows) {
        pack(packer, outflow);
    }
    return {buffer.data(), buffer.data() + buffer.size()};
}

std::optional<PeerSupplement> decodeSupplement(std::span<const std::uint8_t> bytes)
{
    try {
        const auto handle = unpackBounded(bytes);
        const auto list = listFrom(handle.get());
        if (list.size() < minFieldCount || numberFrom<std::uint32_t>(list[0]) != supplementMagic) {
            return std::nullopt;
        }
        return supplementFrom(list);
    } catch (const BadMessage &) {
        return std::nullopt;
    } catch (const msgpack::unpack_error &) {
        return std::nullopt;
    }
}

} // namespace sapphirespan
