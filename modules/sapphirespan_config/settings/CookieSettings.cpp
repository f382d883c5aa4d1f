#include "sapphirespan_config/settings/CookieSettings.h"

#include "sapphirespan_config/settings/SettingsReading.h"

#include <algorithm>

namespace sapphirespan {

namespace {

using namespace std::chrono_literals;

/** The platform states how long a flow may last, and how long after SIGTERM it ends a process; any figure that it may state is taken. */
constexpr Milliseconds shortestStatedTime {0};
constexpr Milliseconds longestStatedTime = std::chrono::hours(24 * 365);

/** Keys without which an instance cannot run, and which have no default. */
constexpr std::array<std::string_view, 8> indispensableKeys {"instance",    "data_centre",      "listen",         "listen.ingress",
                                                             "listen.peer", "listen.readiness", "listen.control", "platform"};

void parseListen(YamlReader &reader, const YAML::Node &node, CookieSettings &settings)
{
    const YamlReader::Section section(reader, "listen");
    if (!reader.checkKeys(node, {"ingress", "readiness", "peer", "control"})) {
        return;
    }
    settings.ingress = reader.endpoint(node, "ingress", true).value_or(Endpoint {});
    settings.readiness = reader.endpoint(node, "readiness", true).value_or(Endpoint {});
    settings.peer = reader.endpoint(node, "peer", true).value_or(Endpoint {});
    settings.control = reader.endpoint(node, "control", true).value_or(Endpoint {});
}

void parseAdmission(YamlReader &reader, const YAML::Node &node, AdmissionSettings &settings)
{
    const YamlReader::Section section(reader, "admission");
    if (reader.checkKeys(node, {"reject_in_overload", "share_among_routes", "spill_between_data_centres", "checks_opening_age"})) {
        settings.rejectsInOverload = settingsFlag(reader, node, "reject_in_overload", settings.rejectsInOverload);
        settings.sharesAmongRoutes = settingsFlag(reader, node, "share_among_routes", settings.sharesAmongRoutes);
        settings.spillsToFasterDataCentres = settingsFlag(reader, node, "spill_between_data_centres", settings.spillsToFasterDataCentres);
        settings.checksOpeningAge = settingsFlag(reader, node, "checks_opening_age", settings.checksOpeningAge);
    }
}

void parseWarmUp(YamlReader &reader, const YAML::Node &node, WarmUpSettings &settings)
{
    const YamlReader::Section section(reader, "warm_up");
    if (reader.checkKeys(node, {"budget", "overshoot", "slack"})) {
        settings.limitsColdUpstreams = settingsFlag(reader, node, "budget", settings.limitsColdUpstreams);
        settings.overshoot = reader.decimal(node, "overshoot", settings.overshoot, 1, 100);
        settings.slack = reader.decimal(node, "slack", settings.slack, 0, 10000);
    }
}

void parsePriorities(YamlReader &reader, const YAML::Node &node, PrioritySettings &settings)
{
    const YamlReader::Section section(reader, "priorities");
    if (reader.checkKeys(node,
                         {"enabled", "lowest_share", "reserved_share", "reserves_room", "orders_rejections", "same_answer_to_same_caller",
                          "limits_heavy_clients", "rejects_too_late"})) {
        settings.isEnabled = settingsFlag(reader, node, "enabled", settings.isEnabled);
        settings.lowestShare = reader.decimal(node, "lowest_share", settings.lowestShare, 0, 1);
        settings.reservedShare = reader.decimal(node, "reserved_share", settings.reservedShare, 0, 0.9);
        settings.reservesRoom = settingsFlag(reader, node, "reserves_room", settings.reservesRoom);
        settings.ordersRejections = settingsFlag(reader, node, "orders_rejections", settings.ordersRejections);
        settings.givesCallersOneAnswer = settingsFlag(reader, node, "same_answer_to_same_caller", settings.givesCallersOneAnswer);
        settings.limitsHeavyClients = settingsFlag(reader, node, "limits_heavy_clients", settings.limitsHeavyClients);
        settings.rejectsTooLate = settingsFlag(reader, node, "rejects_too_late", settings.rejectsTooLate);
    }
}

void parseDataCentreChoice(YamlReader &reader, const YAML::Node &node, AdmissionSettings &settings)
{
    const YamlReader::Section section(reader, "data_centre_choice");
    if (!reader.checkKeys(node, {"mode", "ms_per_megabyte"})) {
        return;
    }
    if (const auto name = reader.text(node, "mode", false)) {
        if (const auto mode = valueOf<DataCentreChoice>(*name)) {
            settings.dataCentreChoice = *mode;
        } else {
            reader.addFinding(node["mode"], "mode", "own, ratio or forecast", *name);
        }
    }
    settings.msPerMegabyte = reader.decimal(node, "ms_per_megabyte", settings.msPerMegabyte, 0, 1e6);
}

/** Reads the sets of rules that are in force at the platform, and applies the defaults that one of them brings. Others are for readers of
    the file only. */
void applyProfiles(YamlReader &reader, const YAML::Node &root, CookieSettings &settings)
{
    constexpr const char *loadProfile = "pressure";
    for (const auto &profile : reader.sequence(root, "profiles", false)) {
        if (profile.IsScalar() && profile.Scalar() == loadProfile) {
            settings.admission.priorities.isEnabled = true;
        }
    }
}

void parseRoot(YamlReader &reader, const YAML::Node &root, CookieSettings &settings)
{
    settings.name = settingsGivenName(reader, root, "instance");
    settings.dataCentre = settingsGivenName(reader, root, "data_centre");
    if (const auto listen = reader.node(root, "listen", true)) {
        parseListen(reader, *listen, settings);
    }
    settings.platform = reader.endpoint(root, "platform", true).value_or(Endpoint {});
    settings.seeds = settingsEndpoints(reader, root, "seeds");
    settings.isSeed = std::erase(settings.seeds, settings.control) > 0;
    settings.isFirstStart = settingsFlag(reader, root, "first_start");
    settings.logLevel = settingsLogLevel(reader, root);
    settings.flowLifetime = reader.duration(root, "flow_lifetime", settings.flowLifetime, shortestStatedTime, longestStatedTime);
    constexpr std::uint16_t highestPort = 65535;
    settings.hostProbePort = static_cast<std::uint16_t>(reader.number(root, "host_probe_port", settings.hostProbePort, 1, highestPort));
    if (const auto admission = reader.node(root, "admission", false)) {
        parseAdmission(reader, *admission, settings.admission);
    }
    applyProfiles(reader, root, settings);
    settings.appliesEvacuations = settingsFlag(reader, root, "evacuations", settings.appliesEvacuations);
    if (const auto warmUp = reader.node(root, "warm_up", false)) {
        parseWarmUp(reader, *warmUp, settings.warmUp);
    }
    if (const auto priorities = reader.node(root, "priorities", false)) {
        parsePriorities(reader, *priorities, settings.admission.priorities);
    }
    if (const auto choice = reader.node(root, "data_centre_choice", false)) {
        parseDataCentreChoice(reader, *choice, settings.admission);
    }
    settings.leaveLimit = reader.duration(root, "leave_limit", settings.leaveLimit, shortestStatedTime, longestStatedTime);
}

} // namespace

bool asksForCookieSteering(const std::string &text)
{
    try {
        const auto root = YAML::Load(text);
        return root.IsMap() && root["steering"].IsDefined() && root["steering"].IsScalar() && root["steering"].Scalar() == "cookie";
    } catch (const YAML::Exception &) {
        return false; // the reader of the settings reports what is wrong with its place
    }
}

CookieSettingsReading readCookieSettings(const std::string &path, const std::string &text, FindingList &findings)
{
    FindingList mine;
    YamlReader reader(path, mine, {.namesKeys = true, .emptyCountsAsMissing = true});
    CookieSettingsReading reading;
    const auto root = reader.parse(text);
    if (root && root->IsMap()) {
        reading.isReadable = true;
        reader.checkKeys(*root,
                         {"steering", "instance", "data_centre", "listen", "platform", "seeds", "first_start", "log_level", "flow_lifetime",
                          "leave_limit", "admission", "host_probe_port", "evacuations", "warm_up", "priorities", "data_centre_choice",
                          "profiles"});
        const YAML::Node constant = *root;
        parseRoot(reader, constant, reading.settings);
    } else if (root) {
        reader.addFinding(*root, "a map", describe(*root));
    }
    for (const auto &finding : mine.sorted()) {
        findings.add(finding.place, finding.expected, finding.found);
    }
    reading.refusedKeys = reader.refusedKeys();
    reading.isStartable = reading.isReadable
        && std::none_of(indispensableKeys.begin(), indispensableKeys.end(),
                        [&reading](std::string_view key) { return reading.refusedKeys.contains(std::string(key)); });
    return reading;
}

std::optional<CookieSettings> parseCookieSettings(const std::string &path, const std::string &text, FindingList &findings)
{
    auto reading = readCookieSettings(path, text, findings);
    const bool isComplete = reading.isReadable && reading.refusedKeys.empty();
    return isComplete ? std::optional(std::move(reading.settings)) : std::nullopt;
}

} // namespace sapphirespan
