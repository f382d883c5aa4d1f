/** @file
    sapphirespan: the operators' program: check, check-configuration, publish, status, verify, explain, report and version.
*/
#include "Commands.h"

#include <gflags/gflags.h>

#include <cstdio>

DEFINE_string(platform, "", "the platform's object API, ip:port");
DEFINE_string(instance, "", "control endpoint of an instance, ip:port");
DEFINE_string(format, "text", "text or json");
DEFINE_string(resume, "", "publish id of a publication whose outcome is unknown");
DEFINE_string(wait, "0s", "longest time to wait until a generation is in force everywhere");
DEFINE_string(against, "", "file with the configuration of the platform that is in force");
DEFINE_string(html, "", "file that the report's page is written to");
DEFINE_string(every, "1s", "time between two samples of a report");
DEFINE_string(protocol, "tcp", "tcp or udp");

namespace {

using sapphirespan::CommandOptions;
using sapphirespan::ExitCode;

constexpr const char *versionText = "sapphirespan 0.1.0";
constexpr const char *usageText = "usage: sapphirespan COMMAND [OPTIONS]\n"
                                  "  check PATH...                 check service files\n"
                                  "  check-configuration FILE      check a configuration of the platform before it is sent\n"
                                  "  publish PATH...               check and publish service files\n"
                                  "  status                        who has the newest generation in force\n"
                                  "  verify                        recompute digests and compare instances\n"
                                  "  explain CALLER SERVICE        where a flow goes, and why\n"
                                  "  report                        service-level burn, sampled for --wait\n"
                                  "  version                       print the version\n"
                                  "options: --platform --instance --format --resume --wait --protocol --html --every --against\n";

ExitCode runVersion(const CommandOptions & /*options*/)
{
    std::printf("%s\n", versionText);
    return ExitCode::clean;
}

struct Command {
    std::string_view name;
    ExitCode (*run)(const CommandOptions &options);
};

constexpr std::array<Command, 8> commands {{
    {"check", sapphirespan::runCheck},
    {"check-configuration", sapphirespan::runCheckConfiguration},
    {"publish", sapphirespan::runPublish},
    {"status", sapphirespan::runStatus},
    {"verify", sapphirespan::runVerify},
    {"explain", sapphirespan::runExplain},
    {"report", sapphirespan::runReport},
    {"version", runVersion},
}};

/** @returns the options, or nothing when a flag's value is malformed. */
std::optional<CommandOptions> readOptions(int argc, char **argv)
{
    CommandOptions options;
    options.platform = sapphirespan::Endpoint::parse(FLAGS_platform);
    options.instance = sapphirespan::Endpoint::parse(FLAGS_instance);
    options.isJson = FLAGS_format == "json";
    options.resume = FLAGS_resume;
    options.protocol = FLAGS_protocol;
    options.against = FLAGS_against;
    options.html = FLAGS_html;
    const auto every = sapphirespan::parseDuration(FLAGS_every);
    const auto wait = sapphirespan::parseDuration(FLAGS_wait);
    const bool isFormatKnown = options.isJson || FLAGS_format == "text";
    const bool areEndpointsRead = (FLAGS_platform.empty() || options.platform) && (FLAGS_instance.empty() || options.instance);
    if (!every || every->count() == 0 || !wait || !isFormatKnown || !areEndpointsRead
        || (FLAGS_protocol != "tcp" && FLAGS_protocol != "udp")) {
        return std::nullopt;
    }
    options.wait = *wait;
    options.every = *every;
    options.arguments.assign(argv + 2, argv + argc);
    return options;
}

} // namespace

int main(int argc, char **argv)
{
    gflags::SetUsageMessage(usageText);
    gflags::SetVersionString(versionText);
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    const std::string_view name = argc >= 2 ? argv[1] : "";
    for (const auto &command : commands) {
        if (command.name != name) {
            continue;
        }
        if (const auto options = readOptions(argc, argv)) {
            return static_cast<int>(command.run(*options));
        }
        std::fprintf(stderr, "a flag has a malformed value\n");
        return static_cast<int>(ExitCode::usage);
    }
    std::fputs(usageText, stderr);
    return static_cast<int>(ExitCode::usage);
}
