#include "sapphirespan_config/service/ServiceFile.h"

#include "sapphirespan_config/yaml/YamlReader.h"

#include <algorithm>
#include <cmath>
#include <set>

namespace sapphirespan {

namespace {

using namespace std::chrono_literals;

constexpr std::size_t longestName = 63;
constexpr std::uint32_t permille = 1000;

/** What a service favours when broken flows and imbalance pull apart. */
enum class Favour : std::uint8_t {
    steadiness,
    evenness,
    count
};

constexpr std::array<std::string_view, enumCount<Favour>> favourNames {"steadiness", "evenness"};

/** Steered share and tolerance that stand for each favour. */
struct FavourDefaults {
    std::uint32_t steeredPermille;
    std::uint32_t tolerancePermille;
};

constexpr std::array<FavourDefaults, enumCount<Favour>> favourDefaults {{{250, 50}, {1000, 20}}};

std::string checkedName(YamlReader &reader, const YAML::Node &map, const char *key)
{
    const auto name = reader.text(map, key, true);
    if (name && !isValidName(*name)) {
        reader.addFinding(map[key], "1 to 63 lower-case letters, digits and inner hyphens", describe(map[key]));
    }
    return name.value_or("");
}

std::uint16_t portAt(YamlReader &reader, const YAML::Node &map, const char *key)
{
    if (!map[key].IsDefined()) {
        reader.addFinding(map, std::string("the key '") + key + "' with a port", "none");
        return 0;
    }
    return static_cast<std::uint16_t>(reader.number(map, key, 1, 1, 65535));
}

std::optional<ServiceAddress> parseAddress(YamlReader &reader, const YAML::Node &node)
{
    if (!reader.checkKeys(node, {"ip", "port", "protocol"})) {
        return std::nullopt;
    }
    ServiceAddress result;
    const auto ip = reader.address(node, "ip");
    result.endpoint = {ip.value_or(IpAddress {}), portAt(reader, node, "port")};
    const auto protocol = reader.text(node, "protocol", false).value_or("tcp");
    if (protocol != "tcp" && protocol != "udp") {
        reader.addFinding(node["protocol"], "tcp or udp", "'" + protocol + "'");
    }
    result.protocol = protocol == "udp" ? Protocol::udp : Protocol::tcp;
    return result;
}

std::optional<UpstreamSpec> parseUpstream(YamlReader &reader, const YAML::Node &node)
{
    if (!reader.checkKeys(node, {"ip", "port", "data_centre", "weight", "slots", "connection_cap", "status"})) {
        return std::nullopt;
    }
    UpstreamSpec result;
    const auto ip = reader.address(node, "ip");
    result.tunnel = {ip.value_or(IpAddress {}), portAt(reader, node, "port")};
    result.dataCentre = checkedName(reader, node, "data_centre");
    result.weight = static_cast<std::uint32_t>(reader.number(node, "weight", 1, 1, 1000));
    result.slots = static_cast<std::uint32_t>(reader.number(node, "slots", 1, 1, 100'000));
    result.connectionCap = static_cast<std::uint32_t>(reader.number(node, "connection_cap", 0, 0, 10'000'000));
    result.status = reader.endpoint(node, "status", false);
    return result;
}

void parseAddresses(YamlReader &reader, const YAML::Node &root, ParsedServiceFile &file)
{
    std::set<ServiceAddress> seen;
    for (const auto &node : reader.sequence(root, "addresses", true)) {
        const auto address = parseAddress(reader, node);
        if (!address) {
            continue;
        }
        if (!seen.insert(*address).second) {
            reader.addFinding(node, "each address once", address->endpoint.toText() + " again");
        }
        file.service.addresses.push_back(*address);
        file.addressPlaces.push_back(reader.placeOf(node));
    }
}

void parseUpstreams(YamlReader &reader, const YAML::Node &root, ServiceFile &service)
{
    std::set<Endpoint> seen;
    for (const auto &node : reader.sequence(root, "upstreams", true)) {
        const auto upstream = parseUpstream(reader, node);
        if (!upstream) {
            continue;
        }
        if (!seen.insert(upstream->tunnel).second) {
            reader.addFinding(node, "each upstream once", upstream->tunnel.toText() + " again");
        }
        service.upstreams.push_back(*upstream);
    }
}

std::uint32_t permilleAt(YamlReader &reader, const YAML::Node &map, const char *key, std::uint32_t fallback, double highest)
{
    return static_cast<std::uint32_t>(std::lround(reader.decimal(map, key, double(fallback) / permille, 0, highest) * permille));
}

TrafficPolicy parseTraffic(YamlReader &reader, const YAML::Node &node)
{
    TrafficPolicy policy;
    if (!reader.checkKeys(node, {"favour", "steered_share", "tolerance", "idle_timeout", "drain_limit", "slow_start"})) {
        return policy;
    }
    const auto favour = reader.text(node, "favour", false).value_or("steadiness");
    const auto *name = std::find(favourNames.begin(), favourNames.end(), favour);
    if (name == favourNames.end()) {
        reader.addFinding(node["favour"], "steadiness or evenness", "'" + favour + "'");
        return policy;
    }
    const auto &defaults = favourDefaults[static_cast<std::size_t>(name - favourNames.begin())];
    policy.steeredPermille = permilleAt(reader, node, "steered_share", defaults.steeredPermille, 1);
    policy.tolerancePermille = permilleAt(reader, node, "tolerance", defaults.tolerancePermille, 1);
    policy.idleTimeout = reader.duration(node, "idle_timeout", policy.idleTimeout, 10s, 24h * 7);
    policy.drainLimit = reader.duration(node, "drain_limit", policy.drainLimit, 1s, 24h * 7);
    policy.slowStart = reader.duration(node, "slow_start", policy.slowStart, 0s, 1h);
    return policy;
}

Objective parseObjective(YamlReader &reader, const YAML::Node &node)
{
    Objective objective;
    if (!reader.checkKeys(node, {"level", "window"})) {
        return objective;
    }
    objective.level = reader.decimal(node, "level", objective.level, 0.5, 0.999999);
    objective.window = reader.duration(node, "window", objective.window, 1h, 24h * 90);
    return objective;
}

void parseSections(YamlReader &reader, const YAML::Node &root, ParsedServiceFile &file)
{
    file.service.name = checkedName(reader, root, "service");
    file.namePlace = reader.placeOf(root["service"].IsDefined() ? root["service"] : root);
    parseAddresses(reader, root, file);
    parseUpstreams(reader, root, file.service);
    if (root["traffic"].IsDefined()) {
        file.service.traffic = parseTraffic(reader, root["traffic"]);
    }
    if (root["objective"].IsDefined()) {
        file.service.objective = parseObjective(reader, root["objective"]);
    }
}

} // namespace

bool isValidName(const std::string &text)
{
    const auto isAllowed = [](char c) { return (c >= 'a' && c <= 'z') || (c >= '0' && c <= '9') || c == '-'; };
    return !text.empty() && text.size() <= longestName && text.front() != '-' && text.back() != '-'
        && std::all_of(text.begin(), text.end(), isAllowed);
}

std::optional<ParsedServiceFile> parseServiceFile(const std::string &path, const std::string &text, FindingList &findings)
{
    FindingList mine;
    YamlReader reader(path, mine);
    ParsedServiceFile file;
    const auto root = reader.parse(text);
    if (root && reader.checkKeys(*root, {"service", "addresses", "upstreams", "traffic", "objective"})) {
        const YAML::Node constant = *root;
        parseSections(reader, constant, file);
    }
    for (const auto &finding : mine.sorted()) {
        findings.add(finding.place, finding.expected, finding.found);
    }
    if (!mine.isEmpty()) {
        return std::nullopt;
    }
    return file;
}

} // namespace sapphirespan
