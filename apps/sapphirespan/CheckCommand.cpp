#include "Commands.h"

#include <json/reader.h>

#include <cstdio>

namespace sapphirespan {

std::optional<Json::Value> parseJson(const std::string &text)
{
    const std::unique_ptr<Json::CharReader> reader(Json::CharReaderBuilder().newCharReader());
    Json::Value value;
    try {
        if (reader->parse(text.data(), text.data() + text.size(), &value, nullptr)) {
            return value;
        }
    } catch (const Json::Exception &) {
        return std::nullopt;
    }
    return std::nullopt;
}

void printFindings(const FindingList &findings, bool isJson)
{
    if (!isJson) {
        for (const auto &finding : findings.sorted()) {
            std::fprintf(stderr, "%s\n", toText(finding).c_str());
        }
        return;
    }
    Json::Value list(Json::arrayValue);
    for (const auto &[place, expected, found] : findings.sorted()) {
        Json::Value value;
        value["file"] = place.file;
        value["line"] = place.line;
        value["column"] = place.column;
        value["expected"] = expected;
        value["found"] = found;
        list.append(value);
    }
    std::printf("%s\n", compactJson(list).c_str());
}

std::vector<ServiceFile> loadChecked(const CommandOptions &options, FindingList &findings)
{
    std::vector<ServiceFile> services;
    for (auto &parsed : loadServiceFiles(collectServiceFiles(options.arguments, findings), findings)) {
        services.push_back(std::move(parsed.service));
    }
    return services;
}

ExitCode runCheck(const CommandOptions &options)
{
    if (options.arguments.empty()) {
        std::fprintf(stderr, "usage: sapphirespan check PATH...\n");
        return ExitCode::usage;
    }
    FindingList findings;
    const auto services = loadChecked(options, findings);
    if (options.isJson || !findings.isEmpty()) {
        printFindings(findings, options.isJson);
    } else {
        std::printf("%zu service files, no findings\n", services.size());
    }
    return findings.isEmpty() ? ExitCode::clean : ExitCode::findings;
}

} // namespace sapphirespan
