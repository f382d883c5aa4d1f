/** @file
    sapphirespand: one entry instance of the load balancer.

    Exit codes: 0 after a complete hand-over or a clean check, 1 findings or a hand-over cut short, 2 usage.
*/
#include "CookieDaemon.h"
#include "Daemon.h"

#include "platform/Adapter.h"

#include <gflags/gflags.h>

#include <cstdio>
#include <random>

DEFINE_string(settings, "", "settings file of this instance (YAML)");
DEFINE_bool(check_settings, false, "check the settings and key files and exit");

namespace {

constexpr int exitFindings = 1;
constexpr int exitUsage = 2;

void printFindings(const sapphirespan::FindingList &findings)
{
    for (const auto &finding : findings.sorted()) {
        std::fprintf(stderr, "%s\n", sapphirespan::toText(finding).c_str());
    }
}

template<typename Daemon>
int runDaemon(Daemon &daemon)
{
    sapphirespan::LastReason reason;
    if (!daemon.start(reason)) {
        std::fprintf(stderr, "%s\n", reason.text().c_str());
        return exitFindings;
    }
    return daemon.run();
}

int runWithBuckets(const std::string &path, const std::string &text, sapphirespan::FindingList &findings)
{
    const auto settings = sapphirespan::parseInstanceSettings(path, text, findings);
    const auto keys = settings ? sapphirespan::loadKeyRing(settings->keyFile, findings) : std::nullopt;
    printFindings(findings);
    if (!settings || !keys) {
        return exitFindings;
    }
    if (FLAGS_check_settings) {
        return 0;
    }
    sapphirespan::Daemon daemon(*settings, *keys);
    return runDaemon(daemon);
}

int runWithCookies(const std::string &path, const std::string &text, sapphirespan::FindingList &findings)
{
    const auto settings = sapphirespan::parseCookieSettings(path, text, findings);
    printFindings(findings);
    if (!settings) {
        return exitFindings;
    }
    if (FLAGS_check_settings) {
        return 0;
    }
    const sapphirespan::platform::PacketHead format;
    sapphirespan::CookieDaemon daemon(*settings, path, format, [](sapphirespan::EventLoop &loop, const sapphirespan::Endpoint &store) {
        return std::make_unique<sapphirespan::platform::StoreWatcher>(loop, store, std::random_device()());
    });
    return runDaemon(daemon);
}

} // namespace

int main(int argc, char **argv)
{
    gflags::SetUsageMessage("runs one entry instance\n  sapphirespand --settings=FILE [--check_settings]");
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    const auto path = FLAGS_settings.empty() ? sapphirespan::platform::settingsPath() : FLAGS_settings;
    if (path.empty() || argc != 1) {
        std::fprintf(stderr, "usage: sapphirespand --settings=FILE [--check_settings]\n");
        return exitUsage;
    }
    sapphirespan::FindingList findings;
    const auto text = sapphirespan::readTextFile(path, findings);
    if (!text) {
        printFindings(findings);
        return exitFindings;
    }
    return sapphirespan::asksForCookieSteering(*text) ? runWithCookies(path, *text, findings) : runWithBuckets(path, *text, findings);
}
