#include "sapphirespan_config/catalogue/CatalogueJson.h"

#include <json/json.h>
#include <sodium/utils.h>

#include <limits>
#include <memory>

namespace sapphirespan {

namespace {

constexpr std::size_t hexDigitsPerOrdinal = 4;

std::string compactText(const Json::Value &value)
{
    Json::StreamWriterBuilder builder;
    builder["indentation"] = "";
    builder["precisionType"] = "significant";
    builder["precision"] = 15;
    return Json::writeString(builder, value);
}

std::string toHex(std::span<const std::uint8_t> bytes)
{
    std::string text(bytes.size() * 2 + 1, '\0');
    sodium_bin2hex(text.data(), text.size(), bytes.data(), bytes.size());
    text.pop_back();
    return text;
}

bool fromHex(const std::string &text, std::span<std::uint8_t> bytes)
{
    std::size_t length = 0;
    const int result = sodium_hex2bin(bytes.data(), bytes.size(), text.data(), text.size(), nullptr, &length, nullptr);
    return result == 0 && length == bytes.size();
}

std::string tableText(const BucketTable &table)
{
    std::vector<std::uint8_t> bytes;
    bytes.reserve(table.size() * 2);
    for (const auto ordinal : table) {
        bytes.push_back(static_cast<std::uint8_t>(ordinal >> 8));
        bytes.push_back(static_cast<std::uint8_t>(ordinal & 0xff));
    }
    return toHex(bytes);
}

std::string setText(const BucketSet &set)
{
    std::vector<std::uint8_t> bytes(bucketCount / 8);
    for (std::size_t bucket = 0; bucket < bucketCount; ++bucket) {
        bytes[bucket / 8] |= static_cast<std::uint8_t>((set[bucket] ? 1U : 0U) << (bucket % 8));
    }
    return toHex(bytes);
}

/** Raised inside this file only, when a value is missing or of the wrong kind. */
struct BadValue {
    std::string text;
};

const Json::Value &member(const Json::Value &value, const char *key)
{
    if (!value.isObject() || !value.isMember(key)) {
        throw BadValue {std::string("no member '") + key + "'"};
    }
    return value[key];
}

std::string textAt(const Json::Value &value, const char *key)
{
    const auto &found = member(value, key);
    if (!found.isString()) {
        throw BadValue {std::string("'") + key + "' is no text"};
    }
    return found.asString();
}

template<typename Number>
Number numberAt(const Json::Value &value, const char *key)
{
    const auto &found = member(value, key);
    if (!found.isUInt64() || found.asUInt64() > std::numeric_limits<Number>::max()) {
        throw BadValue {std::string("'") + key + "' is no whole number in range"};
    }
    return static_cast<Number>(found.asUInt64());
}

Milliseconds durationAt(const Json::Value &value, const char *key)
{
    return Milliseconds(numberAt<std::uint32_t>(value, key));
}

const Json::Value &listAt(const Json::Value &value, const char *key)
{
    const auto &found = member(value, key);
    if (!found.isArray()) {
        throw BadValue {std::string("'") + key + "' is no list"};
    }
    return found;
}

Endpoint endpointAt(const Json::Value &value, const char *key)
{
    const auto endpoint = Endpoint::parse(textAt(value, key));
    if (!endpoint) {
        throw BadValue {std::string("'") + key + "' is no endpoint"};
    }
    return *endpoint;
}

BucketTable tableFrom(const Json::Value &value)
{
    std::vector<std::uint8_t> bytes(bucketCount * 2);
    if (!value.isString() || value.asString().size() != bucketCount * hexDigitsPerOrdinal || !fromHex(value.asString(), bytes)) {
        throw BadValue {"a bucket table is malformed"};
    }
    BucketTable table(bucketCount);
    for (std::size_t bucket = 0; bucket < bucketCount; ++bucket) {
        table[bucket] = static_cast<UpstreamOrdinal>((bytes[2 * bucket] << 8) | bytes[2 * bucket + 1]);
    }
    return table;
}

BucketSet setFrom(const Json::Value &value)
{
    std::vector<std::uint8_t> bytes(bucketCount / 8);
    if (!value.isString() || !fromHex(value.asString(), bytes)) {
        throw BadValue {"a set of buckets is malformed"};
    }
    BucketSet set(bucketCount);
    for (std::size_t bucket = 0; bucket < bucketCount; ++bucket) {
        set[bucket] = ((bytes[bucket / 8] >> (bucket % 8)) & 1) != 0;
    }
    return set;
}

Json::Value addressValue(const ServiceAddress &address)
{
    Json::Value value;
    value["endpoint"] = address.endpoint.toText();
    value["protocol"] = address.protocol == Protocol::udp ? "udp" : "tcp";
    return value;
}

ServiceAddress addressFrom(const Json::Value &value)
{
    return {endpointAt(value, "endpoint"), textAt(value, "protocol") == "udp" ? Protocol::udp : Protocol::tcp};
}

Json::Value upstreamValue(const CatalogueUpstream &upstream)
{
    Json::Value value;
    value["tunnel"] = upstream.spec.tunnel.toText();
    value["dataCentre"] = upstream.spec.dataCentre;
    value["weight"] = upstream.spec.weight;
    value["slots"] = upstream.spec.slots;
    value["connectionCap"] = upstream.spec.connectionCap;
    value["status"] = upstream.spec.status ? upstream.spec.status->toText() : "";
    value["isRemoved"] = upstream.isRemoved;
    value["addedAtGeneration"] = Json::UInt64(upstream.addedAtGeneration);
    return value;
}

CatalogueUpstream upstreamFrom(const Json::Value &value)
{
    CatalogueUpstream upstream;
    upstream.spec.tunnel = endpointAt(value, "tunnel");
    upstream.spec.dataCentre = textAt(value, "dataCentre");
    upstream.spec.weight = numberAt<std::uint32_t>(value, "weight");
    upstream.spec.slots = numberAt<std::uint32_t>(value, "slots");
    upstream.spec.connectionCap = numberAt<std::uint32_t>(value, "connectionCap");
    if (!textAt(value, "status").empty()) {
        upstream.spec.status = endpointAt(value, "status");
    }
    upstream.isRemoved = member(value, "isRemoved").asBool();
    upstream.addedAtGeneration = numberAt<std::uint64_t>(value, "addedAtGeneration");
    return upstream;
}

Json::Value trafficValue(const TrafficPolicy &traffic)
{
    Json::Value value;
    value["steeredPermille"] = traffic.steeredPermille;
    value["tolerancePermille"] = traffic.tolerancePermille;
    value["idleTimeoutMs"] = Json::UInt64(traffic.idleTimeout.count());
    value["drainLimitMs"] = Json::UInt64(traffic.drainLimit.count());
    value["slowStartMs"] = Json::UInt64(traffic.slowStart.count());
    return value;
}

TrafficPolicy trafficFrom(const Json::Value &value)
{
    TrafficPolicy traffic;
    traffic.steeredPermille = numberAt<std::uint32_t>(value, "steeredPermille");
    traffic.tolerancePermille = numberAt<std::uint32_t>(value, "tolerancePermille");
    traffic.idleTimeout = durationAt(value, "idleTimeoutMs");
    traffic.drainLimit = durationAt(value, "drainLimitMs");
    traffic.slowStart = durationAt(value, "slowStartMs");
    return traffic;
}

void checkOrdinals(const ServiceContent &content)
{
    for (const auto *table : {&content.defaults, &content.targets}) {
        for (const auto ordinal : *table) {
            if (ordinal != noUpstream && ordinal >= content.upstreams.size()) {
                throw BadValue {"a bucket names an upstream that is not listed"};
            }
        }
    }
}

ServiceContent contentFrom(const Json::Value &value)
{
    ServiceContent content;
    content.service.name = textAt(value, "name");
    content.number = numberAt<ServiceNumber>(value, "number");
    content.changedAtGeneration = numberAt<std::uint64_t>(value, "changedAtGeneration");
    content.heldSteeredPermille = numberAt<std::uint32_t>(value, "heldSteeredPermille");
    content.changedAt = WallTime(Milliseconds(numberAt<std::int64_t>(value, "changedAtMs")));
    for (const auto &address : listAt(value, "addresses")) {
        content.service.addresses.push_back(addressFrom(address));
    }
    for (const auto &upstream : listAt(value, "upstreams")) {
        content.upstreams.push_back(upstreamFrom(upstream));
    }
    content.defaults = tableFrom(member(value, "defaults"));
    content.targets = tableFrom(member(value, "targets"));
    content.held = setFrom(member(value, "held"));
    content.service.traffic = trafficFrom(member(value, "traffic"));
    const auto &objective = member(value, "objective");
    content.service.objective.level = member(objective, "level").asDouble();
    content.service.objective.window = Milliseconds(numberAt<std::int64_t>(objective, "windowMs"));
    checkOrdinals(content);
    return content;
}

CatalogueIndex indexFrom(const Json::Value &value)
{
    CatalogueIndex index;
    index.generation = numberAt<std::uint64_t>(value, "generation");
    index.publishId = textAt(value, "publishId");
    index.previousDigest = textAt(value, "previous");
    index.nextNumber = numberAt<ServiceNumber>(value, "nextNumber");
    if (!fromHex(textAt(value, "hashKey"), index.hashKey)) {
        throw BadValue {"'hashKey' is malformed"};
    }
    const auto &services = member(value, "services");
    if (!services.isObject()) {
        throw BadValue {"'services' is no map"};
    }
    for (const auto &name : services.getMemberNames()) {
        index.services[name] = {numberAt<ServiceNumber>(services[name], "number"), textAt(services[name], "digest")};
    }
    return index;
}

CatalogueHead headFrom(const Json::Value &value)
{
    return {numberAt<std::uint64_t>(value, "generation"), textAt(value, "index")};
}

template<typename Result>
std::optional<Result> read(const std::string &text, Result (*from)(const Json::Value &), LastReason &reason)
{
    const std::unique_ptr<Json::CharReader> reader(Json::CharReaderBuilder().newCharReader());
    Json::Value value;
    std::string errors;
    try {
        if (!reader->parse(text.data(), text.data() + text.size(), &value, &errors)) {
            reason.set("not JSON: " + errors);
            return std::nullopt;
        }
        return from(value);
    } catch (const BadValue &bad) {
        reason.set(bad.text);
    } catch (const Json::Exception &exception) {
        reason.set(exception.what());
    }
    return std::nullopt;
}

} // namespace

std::string toJson(const ServiceContent &content)
{
    Json::Value value;
    value["name"] = content.service.name;
    value["number"] = content.number;
    value["changedAtGeneration"] = Json::UInt64(content.changedAtGeneration);
    value["heldSteeredPermille"] = content.heldSteeredPermille;
    value["changedAtMs"] = Json::UInt64(content.changedAt.time_since_epoch().count());
    value["addresses"] = Json::arrayValue;
    for (const auto &address : content.service.addresses) {
        value["addresses"].append(addressValue(address));
    }
    value["upstreams"] = Json::arrayValue;
    for (const auto &upstream : content.upstreams) {
        value["upstreams"].append(upstreamValue(upstream));
    }
    value["defaults"] = tableText(content.defaults);
    value["targets"] = tableText(content.targets);
    value["held"] = setText(content.held);
    value["traffic"] = trafficValue(content.service.traffic);
    value["objective"]["level"] = content.service.objective.level;
    value["objective"]["windowMs"] = Json::UInt64(content.service.objective.window.count());
    return compactText(value);
}

std::string toJson(const CatalogueIndex &index)
{
    Json::Value value;
    value["generation"] = Json::UInt64(index.generation);
    value["publishId"] = index.publishId;
    value["previous"] = index.previousDigest;
    value["hashKey"] = toHex(index.hashKey);
    value["nextNumber"] = index.nextNumber;
    value["services"] = Json::objectValue;
    for (const auto &[name, service] : index.services) {
        value["services"][name]["number"] = service.number;
        value["services"][name]["digest"] = service.digest;
    }
    return compactText(value);
}

std::string toJson(const CatalogueHead &head)
{
    Json::Value value;
    value["generation"] = Json::UInt64(head.generation);
    value["index"] = head.indexDigest;
    return compactText(value);
}

std::optional<ServiceContent> serviceContentFromJson(const std::string &text, LastReason &reason)
{
    return read<ServiceContent>(text, contentFrom, reason);
}

std::optional<CatalogueIndex> catalogueIndexFromJson(const std::string &text, LastReason &reason)
{
    return read<CatalogueIndex>(text, indexFrom, reason);
}

std::optional<CatalogueHead> catalogueHeadFromJson(const std::string &text, LastReason &reason)
{
    return read<CatalogueHead>(text, headFrom, reason);
}

} // namespace sapphirespan
