#include "Commands.h"

#include <cstdio>
#include <random>

namespace sapphirespan {

namespace {

using namespace std::chrono_literals;

constexpr Milliseconds callDeadline = 2s;

std::uint64_t randomNumber()
{
    std::random_device device;
    return (std::uint64_t {device()} << 32) | device();
}

ExitCode exitCodeOf(PublishVerdict verdict)
{
    switch (verdict) {
    case PublishVerdict::accepted:
    case PublishVerdict::unchanged:
        return ExitCode::clean;
    case PublishVerdict::refused:
        return ExitCode::refused;
    case PublishVerdict::unknown:
    case PublishVerdict::count:
        break;
    }
    return ExitCode::unknown;
}

void printOutcome(const PublishOutcome &outcome, bool isJson)
{
    if (isJson) {
        Json::Value value;
        value["verdict"] = std::string(nameOf(outcome.verdict));
        value["publish_id"] = outcome.publishId;
        value["generation"] = Json::UInt64(outcome.generation);
        value["reason"] = outcome.reason;
        std::printf("%s\n", compactJson(value).c_str());
        return;
    }
    std::printf("%s: generation %llu, publish id %s%s%s\n", nameOf(outcome.verdict).data(),
                static_cast<unsigned long long>(outcome.generation), outcome.publishId.c_str(), outcome.reason.empty() ? "" : ": ",
                outcome.reason.c_str());
    if (outcome.verdict == PublishVerdict::unknown) {
        std::printf("the platform did not say whether it took effect; settle it with: sapphirespan publish --resume=%s PATH...\n",
                    outcome.publishId.c_str());
    }
}

} // namespace

ExitCode runPublish(const CommandOptions &options)
{
    if (!options.platform || (options.arguments.empty() && options.resume.empty())) {
        std::fprintf(stderr, "usage: sapphirespan publish --platform=IP:PORT [--resume=ID] PATH...\n");
        return ExitCode::usage;
    }
    FindingList findings;
    const auto services = loadChecked(options, findings);
    if (!findings.isEmpty()) {
        printFindings(findings, options.isJson);
        return ExitCode::findings;
    }
    EventLoop loop;
    HttpObjectStore store(loop, *options.platform, callDeadline);
    const SystemClock clock;
    PublishPolicy policy;
    policy.randomSeed = randomNumber();
    StoreError error {};
    LastReason reason;
    const auto head = options.resume.empty() ? readHead(store, error, reason) : std::nullopt;
    const auto id = options.resume.empty() ? newPublishId(head ? head->first.generation : 0, randomNumber()) : options.resume;
    const auto outcome = services.empty() ? settle(store, id, policy) : publish(store, services, id, policy, clock);
    printOutcome(outcome, options.isJson);
    return exitCodeOf(outcome.verdict);
}

} // namespace sapphirespan
