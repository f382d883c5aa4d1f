#include "InstanceCaller.h"

#include <cstdio>
#include <set>

namespace sapphirespan {

namespace {

using namespace std::chrono_literals;

constexpr Milliseconds callDeadline = 2s;

/** Outcome of comparing what instances say with what the platform holds. */
struct Comparison {
    std::size_t matching = 0;
    std::size_t differing = 0;
    std::size_t silent = 0;
};

std::set<Endpoint> controlEndpoints(const Json::Value &status, const Endpoint &asked)
{
    std::set<Endpoint> endpoints {asked};
    for (const auto &member : status["members"]) {
        if (const auto endpoint = Endpoint::parse(member["control"].asString())) {
            endpoints.insert(*endpoint);
        }
    }
    return endpoints;
}

void compareInstance(EventLoop &loop, const Endpoint &control, const CatalogueHead &head, Comparison &comparison)
{
    LastReason reason;
    const auto status = callInstance(loop, control, "status", Json::objectValue, reason);
    if (!status) {
        ++comparison.silent;
        std::printf("%s: not heard\n", control.toText().c_str());
        return;
    }
    const bool isSame = (*status)["generation"].asUInt64() == head.generation && (*status)["index"].asString() == head.indexDigest;
    ++(isSame ? comparison.matching : comparison.differing);
    std::printf("%s: generation %llu, index %s: %s\n", (*status)["name"].asCString(),
                static_cast<unsigned long long>((*status)["generation"].asUInt64()), (*status)["index"].asCString(),
                isSame ? "as the platform" : "differs from the platform");
}

} // namespace

ExitCode runVerify(const CommandOptions &options)
{
    if (!options.platform || !options.instance || !options.arguments.empty()) {
        std::fprintf(stderr, "usage: sapphirespan verify --platform=IP:PORT --instance=IP:PORT\n");
        return ExitCode::usage;
    }
    EventLoop loop;
    HttpObjectStore store(loop, *options.platform, callDeadline);
    StoreError error {};
    LastReason reason;
    ObjectTexts texts;
    const auto head = readHead(store, error, reason);
    if (!head || !loadCatalogue(store, head->first, texts, error, reason)) {
        std::fprintf(stderr, "unknown: %s\n", reason.text().c_str());
        return ExitCode::unknown;
    }
    std::printf("platform: generation %llu, index %s, %zu objects with matching digests\n",
                static_cast<unsigned long long>(head->first.generation), head->first.indexDigest.c_str(), texts.size());
    const auto status = callInstance(loop, *options.instance, "status", Json::objectValue, reason);
    if (!status) {
        std::fprintf(stderr, "unknown: %s\n", reason.text().c_str());
        return ExitCode::unknown;
    }
    Comparison comparison;
    for (const auto &control : controlEndpoints(*status, *options.instance)) {
        compareInstance(loop, control, head->first, comparison);
    }
    if (comparison.differing > 0) {
        return ExitCode::findings;
    }
    return comparison.silent > 0 ? ExitCode::unknown : ExitCode::clean;
}

} // namespace sapphirespan
