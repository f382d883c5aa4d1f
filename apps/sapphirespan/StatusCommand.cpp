#include "Commands.h"

#include <cstdio>
#include <set>

namespace sapphirespan {

namespace {

using namespace std::chrono_literals;

constexpr Milliseconds callDeadline = 2s;
constexpr Milliseconds pollPause = 200ms;
constexpr Milliseconds summaryTooOld = 30s;

/** What is known of who has the newest generation in force. */
struct InForce {
    std::uint64_t generation = 0;
    std::size_t have = 0;
    std::size_t lag = 0;
    std::size_t unheard = 0;
    bool isAnyUnknown = false; ///< a data centre's summary is missing or too old
    Json::Value details = Json::arrayValue;

    bool isComplete() const
    {
        return have > 0 && lag == 0 && unheard == 0 && !isAnyUnknown;
    }
};

Milliseconds ageOf(const Json::Value &summary)
{
    const auto now = std::chrono::duration_cast<Milliseconds>(std::chrono::system_clock::now().time_since_epoch());
    return now - Milliseconds(summary["written_at_ms"].asInt64());
}

void addDataCentre(InForce &result, const std::string &dataCentre, const Json::Value &summary)
{
    const bool isOld = ageOf(summary) > summaryTooOld;
    result.isAnyUnknown = result.isAnyUnknown || isOld;
    for (const auto &name : summary["instances"].getMemberNames()) {
        const auto &instance = summary["instances"][name];
        const bool isHeard = instance["heard"].asBool() && !isOld;
        const bool isCurrent = instance["generation"].asUInt64() >= result.generation;
        ++(!isHeard ? result.unheard : isCurrent ? result.have : result.lag);
        Json::Value row;
        row["data_centre"] = dataCentre;
        row["instance"] = name;
        row["phase"] = instance["phase"];
        row["generation"] = instance["generation"];
        row["state"] = !isHeard ? "not heard" : isCurrent ? "in force" : "lags";
        row["summary_age_ms"] = Json::Int64(ageOf(summary).count());
        result.details.append(row);
    }
}

std::optional<InForce> collect(EventLoop &loop, const Endpoint &platform, LastReason &reason)
{
    HttpObjectStore store(loop, platform, callDeadline);
    StoreError error {};
    const auto head = readHead(store, error, reason);
    if (!head) {
        return std::nullopt;
    }
    InForce result;
    result.generation = head->first.generation;
    const auto summaries = readSummaries(loop, platform, reason);
    for (const auto &[dataCentre, summary] : summaries) {
        addDataCentre(result, dataCentre, summary);
    }
    result.isAnyUnknown = result.isAnyUnknown || summaries.empty();
    return result;
}

void print(const InForce &result, bool isJson)
{
    if (isJson) {
        Json::Value value;
        value["generation"] = Json::UInt64(result.generation);
        value["in_force_everywhere"] = result.isComplete();
        value["instances"] = result.details;
        std::printf("%s\n", compactJson(value).c_str());
        return;
    }
    for (const auto &row : result.details) {
        std::printf("%-12s %-16s %-9s generation %llu: %s (summary written %.1f s ago)\n", row["data_centre"].asCString(),
                    row["instance"].asCString(), row["phase"].asCString(), static_cast<unsigned long long>(row["generation"].asUInt64()),
                    row["state"].asCString(), row["summary_age_ms"].asDouble() / 1000);
    }
    std::printf("generation %llu: in force at %zu, %zu lag, %zu not heard%s\n", static_cast<unsigned long long>(result.generation),
                result.have, result.lag, result.unheard, result.isAnyUnknown ? ", some data centres unknown" : "");
}

} // namespace

std::map<std::string, Json::Value> readSummaries(EventLoop &loop, const Endpoint &platform, LastReason &reason)
{
    HttpClient client(loop);
    std::optional<HttpOutcome> outcome;
    client.send(platform, HttpMethod::get, "/v1/objects/status", {}, "", callDeadline,
                [&outcome](const HttpOutcome &result) { outcome = result; });
    while (!outcome) {
        loop.runOnce();
    }
    std::map<std::string, Json::Value> summaries;
    const auto list = outcome->response ? parseJson(outcome->response->body) : std::nullopt;
    if (!list || !list->isArray()) {
        reason.set("cannot list the summaries");
        return summaries;
    }
    HttpObjectStore store(loop, platform, callDeadline);
    for (const auto &name : *list) {
        StoreError error {};
        const auto object = store.read({ObjectKind::status, name.asString()}, error);
        const auto summary = object ? parseJson(object->value) : std::nullopt;
        summaries[name.asString()] = summary && summary->isObject() ? *summary : Json::Value(Json::objectValue);
    }
    return summaries;
}

ExitCode runStatus(const CommandOptions &options)
{
    if (!options.platform || !options.arguments.empty()) {
        std::fprintf(stderr, "usage: sapphirespan status --platform=IP:PORT [--wait=DURATION]\n");
        return ExitCode::usage;
    }
    EventLoop loop;
    HttpObjectStore store(loop, *options.platform, callDeadline);
    const SystemClock clock;
    const auto deadline = clock.steadyNow() + options.wait;
    LastReason reason;
    auto result = collect(loop, *options.platform, reason);
    while ((!result || !result->isComplete()) && clock.steadyNow() < deadline) {
        store.pause(pollPause);
        result = collect(loop, *options.platform, reason);
    }
    if (!result) {
        std::fprintf(stderr, "unknown: %s\n", reason.text().c_str());
        return ExitCode::unknown;
    }
    print(*result, options.isJson);
    if (result->isComplete()) {
        return ExitCode::clean;
    }
    return result->isAnyUnknown || result->unheard > 0 ? ExitCode::unknown : ExitCode::findings;
}

} // namespace sapphirespan
