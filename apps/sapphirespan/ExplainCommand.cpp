#include "InstanceCaller.h"

#include <cstdio>

namespace sapphirespan {

namespace {

void printExplanation(const Json::Value &value)
{
    const auto text = [&value](const char *key) { return value[key].asString(); };
    if (text("service").empty()) {
        std::printf("no service has this address: packets are dropped as unknown_service\n");
        return;
    }
    std::printf("service %s, bucket %u, steering: %s%s\n", text("service").c_str(), value["bucket"].asUInt(), text("steering").c_str(),
                value["acknowledged"].asBool() ? ", known to all instances" : ", not yet known to all instances");
    std::printf("owner %s, backup %s\n", text("owner").c_str(), text("backup").c_str());
    std::printf("default upstream %s, upstream of new flows %s\n", text("default_upstream").c_str(), text("target_upstream").c_str());
    if (!text("entry_upstream").empty()) {
        std::printf("this flow has an entry: upstream %s\n", text("entry_upstream").c_str());
    } else if (value["decided_here"].asBool()) {
        std::printf("this flow has no entry: its packets go to the default upstream\n");
    } else {
        std::printf("the owner decides; ask it whether the flow has an entry\n");
    }
}

} // namespace

ExitCode runExplain(const CommandOptions &options)
{
    if (!options.instance || options.arguments.size() != 2) {
        std::fprintf(stderr, "usage: sapphirespan explain --instance=IP:PORT [--protocol=tcp|udp] CALLER_IP:PORT SERVICE_IP:PORT\n");
        return ExitCode::usage;
    }
    Json::Value parameters;
    parameters["source"] = options.arguments[0];
    parameters["destination"] = options.arguments[1];
    parameters["protocol"] = options.protocol;
    EventLoop loop;
    LastReason reason;
    const auto answer = callInstance(loop, *options.instance, "explain", parameters, reason);
    if (!answer) {
        std::fprintf(stderr, "unknown: %s\n", reason.text().c_str());
        return ExitCode::unknown;
    }
    if (answer->isMember("error")) {
        std::fprintf(stderr, "%s\n", (*answer)["error"].asString().c_str());
        return ExitCode::usage;
    }
    if (options.isJson) {
        std::printf("%s\n", compactJson(*answer).c_str());
    } else {
        printExplanation(*answer);
    }
    return ExitCode::clean;
}

} // namespace sapphirespan
