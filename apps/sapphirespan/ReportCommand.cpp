#include "InstanceCaller.h"

#include <cstdio>
#include <fstream>
#include <set>

namespace sapphirespan {

namespace {

using namespace std::chrono_literals;

constexpr Milliseconds shortWindow = 5min;
constexpr Milliseconds callDeadline = 2s;

/** Samples, and what could not be seen. */
struct Collection {
    std::vector<BurnSample> samples;
    std::map<std::string, std::pair<double, Milliseconds>> objectives; ///< level and window by service
    std::set<std::string> silent;
};

void collectFrom(EventLoop &loop, const Endpoint &control, const std::string &name, const Clock &clock, Collection &collection)
{
    LastReason reason;
    const auto accounts = callInstance(loop, control, "accounts", Json::objectValue, reason);
    if (!accounts) {
        collection.silent.insert(name);
        return;
    }
    for (const auto &row : (*accounts)["services"]) {
        BurnSample sample {row["service"].asString(), name, clock.wallNow(), 0, 0};
        sample.good = row["placed_on_default"].asUInt64() + row["placed_elsewhere"].asUInt64();
        sample.bad = row["refused"].asUInt64() + row["unplaced"].asUInt64();
        collection.samples.push_back(sample);
        collection.objectives[sample.service] = {row["objective_level"].asDouble(), Milliseconds(row["objective_window_ms"].asInt64())};
    }
}

/** Asks one instance for its members, then each of them for its accounts. */
bool collectOnce(EventLoop &loop, const Endpoint &instance, const Clock &clock, Collection &collection, LastReason &reason)
{
    const auto status = callInstance(loop, instance, "status", Json::objectValue, reason);
    if (!status) {
        return false;
    }
    collectFrom(loop, instance, (*status)["name"].asString(), clock, collection);
    for (const auto &member : (*status)["members"]) {
        const auto control = Endpoint::parse(member["control"].asString());
        if (control && member["phase"].asString() != "gone") {
            collectFrom(loop, *control, member["name"].asString(), clock, collection);
        }
    }
    return true;
}

Json::Value toJsonValue(const BurnWindow &window)
{
    Json::Value value;
    value["length_ms"] = Json::Int64(window.length.count());
    value["covered_ms"] = Json::Int64(window.covered.count());
    value["good"] = Json::UInt64(window.good);
    value["bad"] = Json::UInt64(window.bad);
    value["burn_rate"] = window.burnRate;
    return value;
}

void print(const std::vector<ServiceBurn> &burns, const std::vector<std::string> &notes, bool isJson)
{
    if (isJson) {
        Json::Value value;
        for (const auto &burn : burns) {
            auto &row = value["services"][burn.service];
            row["objective"] = burn.objective;
            row["budget_left"] = burn.budgetLeft;
            row["short"] = toJsonValue(burn.shortWindow);
            row["long"] = toJsonValue(burn.longWindow);
        }
        for (const auto &note : notes) {
            value["notes"].append(note);
        }
        std::printf("%s\n", compactJson(value).c_str());
        return;
    }
    for (const auto &burn : burns) {
        std::printf(
            "%s: objective %.4f, %llu good and %llu bad new flows over %.1f s of a window of %.0f s; burn rate short %.3f long %.3f; "
            "budget left %.1f%%\n",
            burn.service.c_str(), burn.objective, static_cast<unsigned long long>(burn.longWindow.good),
            static_cast<unsigned long long>(burn.longWindow.bad), static_cast<double>(burn.longWindow.covered.count()) / 1000,
            static_cast<double>(burn.longWindow.length.count()) / 1000, burn.shortWindow.burnRate, burn.longWindow.burnRate,
            burn.budgetLeft * 100);
    }
    for (const auto &note : notes) {
        std::printf("%s\n", note.c_str());
    }
}

std::vector<std::string> notesOf(const Collection &collection, Milliseconds sampled)
{
    std::vector<std::string> notes {"sampled for " + durationText(sampled) + "; events before the first sample were not seen",
                                    "bad events are refusals and new flows that nothing could take; what upstreams answered is not seen"};
    for (const auto &name : collection.silent) {
        notes.push_back("instance " + name + " was not heard in at least one sample");
    }
    return notes;
}

} // namespace

ExitCode runReport(const CommandOptions &options)
{
    if (!options.instance || !options.arguments.empty()) {
        std::fprintf(stderr, "usage: sapphirespan report --instance=IP:PORT [--wait=DURATION] [--every=DURATION] [--html=FILE]\n");
        return ExitCode::usage;
    }
    EventLoop loop;
    HttpObjectStore timer(loop, *options.instance, callDeadline);
    const SystemClock clock;
    Collection collection;
    LastReason reason;
    const auto end = clock.steadyNow() + options.wait;
    bool isSeen = collectOnce(loop, *options.instance, clock, collection, reason);
    do {
        timer.pause(options.every);
        isSeen = collectOnce(loop, *options.instance, clock, collection, reason) || isSeen;
    } while (clock.steadyNow() < end);
    if (!isSeen) {
        std::fprintf(stderr, "unknown: %s\n", reason.text().c_str());
        return ExitCode::unknown;
    }
    std::vector<ServiceBurn> burns;
    for (const auto &[service, objective] : collection.objectives) {
        burns.push_back(computeBurn(service, objective.first, shortWindow, objective.second, collection.samples));
    }
    const auto notes = notesOf(collection, std::max(options.wait, options.every));
    print(burns, notes, options.isJson);
    if (!options.html.empty() && !(std::ofstream(options.html) << burnPage(burns, notes))) {
        std::fprintf(stderr, "cannot write %s\n", options.html.c_str());
        return ExitCode::findings;
    }
    return collection.silent.empty() ? ExitCode::clean : ExitCode::unknown;
}

} // namespace sapphirespan
