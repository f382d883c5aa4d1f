/** @file
    sapphirespand: one entry instance of the load balancer.

    Exit codes: 0 after a complete hand-over or a clean check, 1 findings or a hand-over cut short, 2 usage.
*/
#include "BucketSteering.h"
#include "CookieDaemon.h"
#include "RunDaemon.h"

#include "platform/Adapter.h"

#include <dlfcn.h>
#include <gflags/gflags.h>

#include <cstdio>
#include <random>

DEFINE_string(settings, "", "settings file of this instance (YAML)");
DEFINE_bool(check_settings, false, "check the settings and key files and exit");

namespace {

constexpr int exitUsage = 2;

/** Bucket steering is loaded on demand: an instance with cookie steering starts without its libraries. */
int runWithBuckets(const std::string &path, const std::string &text)
{
    void *library = dlopen(sapphirespan::bucketSteeringLibrary, RTLD_NOW | RTLD_LOCAL);
    auto *run = library != nullptr ? reinterpret_cast<sapphirespan::RunBucketSteering *>(dlsym(library, sapphirespan::bucketSteeringEntry))
                                   : nullptr;
    if (run == nullptr) {
        std::fprintf(stderr, "cannot load bucket steering: %s\n", dlerror());
        return sapphirespan::exitFindings;
    }
    return run(path.c_str(), text.c_str(), FLAGS_check_settings);
}

int runWithCookies(const std::string &path, const std::string &text, sapphirespan::FindingList &findings)
{
    const auto reading = sapphirespan::readCookieSettings(path, text, findings);
    sapphirespan::printFindings(findings);
    if (FLAGS_check_settings) {
        return findings.isEmpty() ? 0 : sapphirespan::exitFindings;
    }
    if (!reading.isStartable) {
        return sapphirespan::exitFindings;
    }
    const auto &settings = reading.settings;
    using sapphirespan::platform::EvacuationWatch;
    const sapphirespan::platform::PacketHead format;
    const auto watch = settings.appliesEvacuations ? EvacuationWatch::on : EvacuationWatch::off;
    sapphirespan::CookieDaemon daemon(
        settings, {path, text}, format, [watch](sapphirespan::EventLoop &loop, const sapphirespan::Endpoint &store) {
            return std::make_unique<sapphirespan::platform::StoreWatcher>(loop, store, std::random_device()(), watch);
        });
    return sapphirespan::runDaemon(daemon);
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
        sapphirespan::printFindings(findings);
        return sapphirespan::exitFindings;
    }
    return sapphirespan::asksForCookieSteering(*text) ? runWithCookies(path, *text, findings) : runWithBuckets(path, *text);
}
