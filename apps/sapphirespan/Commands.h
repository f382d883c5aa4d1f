#pragma once

#include "sapphirespan_platform/sapphirespan_platform.h"
#include "sapphirespan_report/sapphirespan_report.h"

#include <string>
#include <vector>

namespace sapphirespan {

/** Exit codes of the operator program; documented in docs/OPERATIONS.md. */
enum class ExitCode : int {
    clean = 0,
    findings = 1, ///< something is not as it should be
    usage = 2,
    refused = 3, ///< truly not in force
    unknown = 4, ///< could not be found out
};

/** Options that commands share. */
struct CommandOptions {
    std::optional<Endpoint> platform;
    std::optional<Endpoint> instance; ///< control endpoint
    bool isJson = false;
    std::string resume; ///< publish id
    Milliseconds wait {0};
    std::string protocol = "tcp";
    std::string against; ///< file with the configuration in force
    std::string html; ///< file that the report's page is written to
    Milliseconds every {1000}; ///< between two samples of a report
    std::vector<std::string> arguments; ///< after the command's name
};

ExitCode runCheck(const CommandOptions &options);
ExitCode runCheckConfiguration(const CommandOptions &options);
ExitCode runPublish(const CommandOptions &options);
ExitCode runStatus(const CommandOptions &options);
ExitCode runVerify(const CommandOptions &options);
ExitCode runExplain(const CommandOptions &options);
ExitCode runReport(const CommandOptions &options);

/** Prints findings as text to standard error, or as JSON to standard output. */
void printFindings(const FindingList &findings, bool isJson);

/** Loads and checks the service files under the arguments. */
std::vector<ServiceFile> loadChecked(const CommandOptions &options, FindingList &findings);

/** @returns JSON parsed from text of any content, or nothing. */
std::optional<Json::Value> parseJson(const std::string &text);

/** Reads the summaries of all data centres that the catalogue's instances wrote. @returns by data centre */
std::map<std::string, Json::Value> readSummaries(EventLoop &loop, const Endpoint &platform, LastReason &reason);

} // namespace sapphirespan
