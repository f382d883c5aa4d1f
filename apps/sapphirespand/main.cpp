/** @file
    sapphirespand: one entry instance of the load balancer.

    Exit codes: 0 after a complete hand-over or a clean check, 1 findings or a hand-over cut short, 2 usage.
*/
#include "Daemon.h"

#include <gflags/gflags.h>

#include <cstdio>

DEFINE_string(settings, "", "settings file of this instance (YAML)");
DEFINE_bool(check_settings, false, "check the settings and key files and exit");

namespace {

constexpr int exitFindings = 1;
constexpr int exitUsage = 2;

std::optional<sapphirespan::InstanceSettings> loadSettings(const std::string &path, sapphirespan::FindingList &findings)
{
    const auto text = sapphirespan::readTextFile(path, findings);
    return text ? sapphirespan::parseInstanceSettings(path, *text, findings) : std::nullopt;
}

} // namespace

int main(int argc, char **argv)
{
    gflags::SetUsageMessage("runs one entry instance\n  sapphirespand --settings=FILE [--check_settings]");
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    if (FLAGS_settings.empty() || argc != 1) {
        std::fprintf(stderr, "usage: sapphirespand --settings=FILE [--check_settings]\n");
        return exitUsage;
    }
    sapphirespan::FindingList findings;
    const auto settings = loadSettings(FLAGS_settings, findings);
    const auto keys = settings ? sapphirespan::loadKeyRing(settings->keyFile, findings) : std::nullopt;
    for (const auto &finding : findings.sorted()) {
        std::fprintf(stderr, "%s\n", sapphirespan::toText(finding).c_str());
    }
    if (!settings || !keys) {
        return exitFindings;
    }
    if (FLAGS_check_settings) {
        return 0;
    }
    sapphirespan::Daemon daemon(*settings, *keys);
    sapphirespan::LastReason reason;
    if (!daemon.start(reason)) {
        std::fprintf(stderr, "%s\n", reason.text().c_str());
        return exitFindings;
    }
    return daemon.run();
}
