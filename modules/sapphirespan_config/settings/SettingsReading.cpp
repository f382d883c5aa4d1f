#include "sapphirespan_config/settings/SettingsReading.h"

#include "sapphirespan_config/service/ServiceFile.h"

#include <algorithm>

namespace sapphirespan {

namespace {
constexpr std::array<std::string_view, 5> logLevels {"trace", "debug", "info", "warning", "error"};
} // namespace

std::string settingsName(YamlReader &reader, const YAML::Node &root, const char *key)
{
    const auto name = reader.text(root, key, true).value_or("");
    if (!name.empty() && !isValidName(name)) {
        reader.addFinding(root[key], key, "1 to 63 lower-case letters, digits and inner hyphens", "'" + name + "'");
    }
    return name;
}

std::string settingsGivenName(YamlReader &reader, const YAML::Node &root, const char *key)
{
    const auto name = reader.text(root, key, true).value_or("");
    const auto isControl = [](char c) { return static_cast<unsigned char>(c) < 0x20 || c == 0x7f; };
    if (name.size() > longestGivenName || std::any_of(name.begin(), name.end(), isControl)) {
        reader.addFinding(root[key], key, "1 to " + std::to_string(longestGivenName) + " bytes without control characters",
                          describe(root[key]));
    }
    return name;
}

std::vector<Endpoint> settingsEndpoints(YamlReader &reader, const YAML::Node &root, const char *key)
{
    std::vector<Endpoint> result;
    for (const auto &node : reader.sequence(root, key, false)) {
        const auto endpoint = node.IsScalar() ? Endpoint::parse(node.Scalar()) : std::nullopt;
        if (!endpoint) {
            reader.addFinding(node, key, "a numeric ip:port", describe(node));
        } else {
            result.push_back(*endpoint);
        }
    }
    return result;
}

bool settingsFlag(YamlReader &reader, const YAML::Node &root, const char *key, bool fallback)
{
    const auto text = reader.text(root, key, false).value_or(fallback ? "true" : "false");
    if (text != "true" && text != "false") {
        reader.addFinding(root[key], key, "true or false", "'" + text + "'");
        return fallback;
    }
    return text == "true";
}

std::string settingsLogLevel(YamlReader &reader, const YAML::Node &root)
{
    constexpr const char *key = "log_level";
    constexpr const char *fallback = "info";
    auto level = reader.text(root, key, false).value_or(fallback);
    if (std::find(logLevels.begin(), logLevels.end(), level) == logLevels.end()) {
        reader.addFinding(root[key], key, "trace, debug, info, warning or error", "'" + level + "'");
        return fallback;
    }
    return level;
}

} // namespace sapphirespan
