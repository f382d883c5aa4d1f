/** @file
    Stand-in of callers: keeps TCP connections open through the path and checks each answer against its request.

    Ends with one line of counts; exit code 0 only when every answer came and nothing broke or was misdelivered.
*/
#include "CallerRun.h"

#include <gflags/gflags.h>

#include <csignal>
#include <cstdio>
#include <sstream>
#include <thread>

DEFINE_string(tunnel, "", "ip:port that takes encapsulated packets from upstreams");
DEFINE_string(fabric, "", "ip:port of the fabric");
DEFINE_string(address, "10.9.0.1", "address of the callers");
DEFINE_string(services, "", "comma-separated name=ip:port");
DEFINE_uint64(connections, 200, "connections to hold open, half at the start, the rest over the run");
DEFINE_uint64(interval_ms, 200, "time between an answer and the next request");
DEFINE_uint64(seconds, 10, "length of the run");

namespace {

using namespace sapphirespan;
using namespace std::chrono_literals;

constexpr auto step = 5ms;
constexpr auto longestFinish = 30s;

std::vector<CallerTarget> parseTargets(const std::string &text)
{
    std::vector<CallerTarget> targets;
    std::istringstream stream(text);
    for (std::string item; std::getline(stream, item, ',');) {
        const auto equals = item.find('=');
        const auto address = equals != std::string::npos ? Endpoint::parse(item.substr(equals + 1)) : std::nullopt;
        if (address) {
            targets.push_back({item.substr(0, equals), *address});
        }
    }
    return targets;
}

void runFor(CallerRun &run, std::chrono::seconds length)
{
    const SystemClock clock;
    const auto start = clock.steadyNow();
    for (auto elapsed = clock.steadyNow() - start; elapsed < length; elapsed = clock.steadyNow() - start) {
        const auto share = static_cast<double>(elapsed.count()) / static_cast<double>(std::chrono::microseconds(length).count());
        run.openUpTo(static_cast<std::size_t>(static_cast<double>(FLAGS_connections) * (0.5 + 0.5 * share)));
        run.advance();
        std::this_thread::sleep_for(step);
    }
    const auto finishStart = clock.steadyNow();
    while (!run.finish() && clock.steadyNow() - finishStart < longestFinish) {
        std::this_thread::sleep_for(step);
    }
}

} // namespace

int main(int argc, char **argv)
{
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    const auto tunnel = Endpoint::parse(FLAGS_tunnel);
    const auto fabric = Endpoint::parse(FLAGS_fabric);
    const auto address = IpAddress::parse(FLAGS_address);
    const auto targets = parseTargets(FLAGS_services);
    if (!tunnel || !fabric || !address || targets.empty()) {
        std::fprintf(stderr, "--tunnel, --fabric and --services are required\n");
        return 2;
    }
    LastReason reason;
    const auto path = LwipTunnel::open(*tunnel, *fabric, *address, reason);
    if (!path) {
        std::fprintf(stderr, "%s\n", reason.text().c_str());
        return 1;
    }
    CallerRun run(targets, FLAGS_connections / 2, Milliseconds(FLAGS_interval_ms));
    runFor(run, std::chrono::seconds(FLAGS_seconds));
    const auto counts = run.counts();
    std::printf("connections=%llu slowest_ms=%lld requests=%llu answers=%llu broken=%llu misdelivered=%llu\n",
                static_cast<unsigned long long>(counts.connections), static_cast<long long>(counts.slowestMs),
                static_cast<unsigned long long>(counts.requests), static_cast<unsigned long long>(counts.answers),
                static_cast<unsigned long long>(counts.broken), static_cast<unsigned long long>(counts.misdelivered));
    for (const auto &line : run.brokenConnections()) {
        std::printf("%s\n", line.c_str());
    }
    std::fflush(stdout);
    const bool isWhole = counts.requests > 0 && counts.requests == counts.answers && counts.broken == 0 && counts.misdelivered == 0;
    std::_Exit(isWhole ? 0 : 1); // lwIP's thread cannot be ended
}
