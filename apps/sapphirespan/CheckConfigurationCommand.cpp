#include "Commands.h"

#include "platform/Entries.h"

#include <cstdio>

namespace sapphirespan {

namespace {

/** What is known of one file. */
struct ReadConfiguration {
    bool isOpened = true;
    std::optional<RouteConfiguration> configuration; ///< set if the file is a configuration that instances read
    std::vector<ConfigurationFinding> findings;
};

ReadConfiguration readConfiguration(const std::string &path)
{
    FindingList unreadable;
    const auto text = readTextFile(path, unreadable);
    if (!text) {
        printFindings(unreadable, false);
        return {false, std::nullopt, {}};
    }
    ReadConfiguration result;
    LastReason reason;
    result.configuration
        = platform::decodeConfiguration(platform::objectOfText(platform::configurationName, *text), reason, result.findings);
    if (!result.configuration) {
        result.findings.push_back({"file", FindingSeverity::error, "a configuration that instances read", reason.text()});
    }
    return result;
}

Json::Value toJson(const std::string &path, const ConfigurationFinding &finding)
{
    Json::Value value;
    value["file"] = path;
    value["place"] = finding.place;
    value["severity"] = std::string(nameOf(finding.severity));
    value["expected"] = finding.expected;
    value["found"] = finding.found;
    return value;
}

Json::Value toJson(const ConfigurationDifference &difference)
{
    Json::Value value;
    value["place"] = difference.place;
    value["before"] = difference.before.empty() ? Json::Value() : Json::Value(difference.before);
    value["after"] = difference.after.empty() ? Json::Value() : Json::Value(difference.after);
    return value;
}

/** What the command prints. */
struct CheckOutcome {
    std::vector<std::pair<std::string, ConfigurationFinding>> findings; ///< with their file
    std::vector<ConfigurationDifference> differences;
};

void append(CheckOutcome &outcome, const std::string &path, const std::vector<ConfigurationFinding> &findings)
{
    for (const auto &finding : findings) {
        outcome.findings.emplace_back(path, finding);
    }
}

void printJson(const CheckOutcome &outcome)
{
    Json::Value value;
    value["findings"] = Json::Value(Json::arrayValue);
    value["differences"] = Json::Value(Json::arrayValue);
    for (const auto &[path, finding] : outcome.findings) {
        value["findings"].append(toJson(path, finding));
    }
    for (const auto &difference : outcome.differences) {
        value["differences"].append(toJson(difference));
    }
    std::printf("%s\n", compactJson(value).c_str());
}

void printText(const CheckOutcome &outcome, const std::string &path)
{
    for (const auto &[file, finding] : outcome.findings) {
        std::fprintf(stderr, "%s: %s: %s\n", file.c_str(), std::string(nameOf(finding.severity)).c_str(), toText(finding).c_str());
    }
    for (const auto &difference : outcome.differences) {
        std::printf("%s\n", toText(difference).c_str());
    }
    if (outcome.findings.empty()) {
        std::printf("%s: no findings\n", path.c_str());
    }
}

/** Checks what only a comparison shows. What is passed over in the configuration in force is no finding, since it is not sent. */
void checkAgainst(const ReadConfiguration &inForce, const CommandOptions &options, const RouteConfiguration &candidate,
                  CheckOutcome &outcome)
{
    if (!inForce.configuration) {
        append(outcome, options.against, inForce.findings);
        return;
    }
    append(outcome, options.arguments.front(), checkVersion(*inForce.configuration, candidate));
    outcome.differences = compareConfigurations(*inForce.configuration, candidate);
}

} // namespace

ExitCode runCheckConfiguration(const CommandOptions &options)
{
    if (options.arguments.size() != 1) {
        std::fprintf(stderr, "usage: sapphirespan check-configuration FILE [--against=FILE] [--format=text|json]\n");
        return ExitCode::usage;
    }
    const auto &path = options.arguments.front();
    const bool isCompared = !options.against.empty();
    const auto candidate = readConfiguration(path);
    const auto inForce = isCompared ? readConfiguration(options.against) : ReadConfiguration {};
    if (!candidate.isOpened || !inForce.isOpened) {
        return ExitCode::unknown;
    }
    CheckOutcome outcome;
    append(outcome, path, candidate.findings);
    if (candidate.configuration) {
        append(outcome, path, checkConfiguration(*candidate.configuration));
        if (isCompared) {
            checkAgainst(inForce, options, *candidate.configuration, outcome);
        }
    }
    options.isJson ? printJson(outcome) : printText(outcome, path);
    return outcome.findings.empty() ? ExitCode::clean : ExitCode::findings;
}

} // namespace sapphirespan
