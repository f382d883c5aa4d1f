#include "sapphirespan_config/settings/InstanceSettings.h"

#include "sapphirespan_config/settings/SettingsReading.h"

namespace sapphirespan {

namespace {

using namespace std::chrono_literals;

InstanceTiming parseTiming(YamlReader &reader, const YAML::Node &node)
{
    InstanceTiming timing;
    if (!reader.checkKeys(node, {"heartbeat", "lease", "probe", "leave_limit", "quiet", "syn_horizon"})) {
        return timing;
    }
    timing.heartbeat = reader.duration(node, "heartbeat", timing.heartbeat, 50ms, 5s);
    timing.lease = reader.duration(node, "lease", timing.lease, 200ms, 30s);
    timing.probe = reader.duration(node, "probe", timing.probe, 100ms, 1min);
    timing.leaveLimit = reader.duration(node, "leave_limit", timing.leaveLimit, 1s, 1h);
    timing.quiet = reader.duration(node, "quiet", timing.quiet, 100ms, 1min);
    timing.synHorizon = reader.duration(node, "syn_horizon", timing.synHorizon, 0s, 5min);
    if (timing.lease < 3 * timing.heartbeat) {
        reader.addFinding(node, "a lease of at least three heartbeats", "a shorter one");
    }
    return timing;
}

void parseListen(YamlReader &reader, const YAML::Node &node, InstanceSettings &settings)
{
    if (!reader.checkKeys(node, {"ingress", "peer", "control"})) {
        return;
    }
    settings.ingress = reader.endpoint(node, "ingress", true).value_or(Endpoint {});
    settings.peer = reader.endpoint(node, "peer", true).value_or(Endpoint {});
    settings.control = reader.endpoint(node, "control", true).value_or(Endpoint {});
}

void parseRoot(YamlReader &reader, const YAML::Node &root, InstanceSettings &settings)
{
    settings.name = settingsName(reader, root, "instance");
    settings.dataCentre = settingsName(reader, root, "data_centre");
    if (root["listen"].IsDefined()) {
        parseListen(reader, root["listen"], settings);
    } else {
        reader.addFinding(root, "the key 'listen'", "none");
    }
    settings.returnPath = reader.endpoint(root, "return_path", true).value_or(Endpoint {});
    settings.platform = reader.endpoint(root, "platform", false);
    settings.keyFile = reader.text(root, "key_file", true).value_or("");
    settings.mostFlowEntries = static_cast<std::uint32_t>(reader.number(root, "flow_entries", settings.mostFlowEntries, 1024, 64 << 20));
    settings.logLevel = settingsLogLevel(reader, root);
    settings.seeds = settingsEndpoints(reader, root, "peers");
    std::erase(settings.seeds, settings.peer);
    if (root["timing"].IsDefined()) {
        settings.timing = parseTiming(reader, root["timing"]);
    }
}

} // namespace

std::optional<InstanceSettings> parseInstanceSettings(const std::string &path, const std::string &text, FindingList &findings)
{
    FindingList mine;
    YamlReader reader(path, mine);
    InstanceSettings settings;
    const auto root = reader.parse(text);
    if (root
        && reader.checkKeys(
            *root,
            {"instance", "data_centre", "listen", "return_path", "platform", "peers", "key_file", "flow_entries", "log_level", "timing"})) {
        const YAML::Node constant = *root;
        parseRoot(reader, constant, settings);
    }
    for (const auto &finding : mine.sorted()) {
        findings.add(finding.place, finding.expected, finding.found);
    }
    return mine.isEmpty() ? std::optional(settings) : std::nullopt;
}

} // namespace sapphirespan
