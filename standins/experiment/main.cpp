/** @file
    Load and experiment tool: runs a deployment at logical time through changes and failures and prints the counts.

    sapphirespan-experiment --deployment=brookshell --changes=upstream-drain,instance-join --schemes=steering,hash
    sapphirespan-experiment --deployment=hinoki --random_steps=200 --failures --seed=7
*/
#include "Scenarios.h"

#include <gflags/gflags.h>

#include <cstdio>
#include <sstream>

DEFINE_string(deployment, "brookshell", "brookshell or hinoki");
DEFINE_string(changes, "none", "comma-separated changes that begin a second apart; see Scenarios.h");
DEFINE_string(schemes, "steering", "comma-separated: steering, hash, hash-cache");
DEFINE_uint64(seed, 1, "first seed");
DEFINE_uint64(seeds, 1, "number of seeds");
DEFINE_uint64(seconds, 40, "logical seconds after the last change");
DEFINE_uint64(random_steps, 0, "instead of --changes: number of random changes");
DEFINE_bool(trace, false, "print changes, and the first broken flows with what each instance knew");
DEFINE_bool(failures, false, "random changes include failures");
DEFINE_double(loss, 0, "share of datagrams between instances that are lost");
DEFINE_double(duplicate, 0, "share that arrive twice");
DEFINE_uint64(jitter_us, 0, "longest extra delay between instances");
DEFINE_int64(share, -1, "steered share of all services, in permille");
DEFINE_int64(tolerance, -1, "tolerance of all services, in permille");
DEFINE_int64(long_flows, -1, "long flows of each service");
DEFINE_double(new_per_second, -1, "new flows a second of each service");
DEFINE_double(life, -1, "mean life of new flows, in seconds");
DEFINE_int64(packet_ms, -1, "time between packets of one flow");
DEFINE_int64(instances, -1, "entry instances");
DEFINE_int64(warm_up_ms, -1, "logical time before the counts begin");
DEFINE_int64(slow_report_ms, -1, "lag of the first upstream's load reports");

namespace {

using namespace sapphirespan;

template<typename Enum>
std::vector<Enum> parseList(const std::string &text)
{
    std::vector<Enum> values;
    std::istringstream stream(text);
    for (std::string item; std::getline(stream, item, ',');) {
        const auto value = valueOf<Enum>(item);
        if (!value) {
            std::fprintf(stderr, "unknown name '%s'\n", item.c_str());
            std::exit(2);
        }
        values.push_back(*value);
    }
    return values;
}

void applyFlags(ModelSettings &settings)
{
    settings.links = {FLAGS_loss, FLAGS_duplicate, Microseconds(FLAGS_jitter_us)};
    settings.instances = FLAGS_instances > 0 ? static_cast<std::size_t>(FLAGS_instances) : settings.instances;
    settings.warmUp = FLAGS_warm_up_ms >= 0 ? Milliseconds(FLAGS_warm_up_ms) : settings.warmUp;
    for (auto &service : settings.services) {
        auto &traffic = service.traffic;
        traffic.steeredPermille = FLAGS_share >= 0 ? static_cast<std::uint32_t>(FLAGS_share) : traffic.steeredPermille;
        traffic.tolerancePermille = FLAGS_tolerance >= 0 ? static_cast<std::uint32_t>(FLAGS_tolerance) : traffic.tolerancePermille;
        service.longFlows = FLAGS_long_flows >= 0 ? static_cast<std::size_t>(FLAGS_long_flows) : service.longFlows;
        service.newPerSecond = FLAGS_new_per_second >= 0 ? FLAGS_new_per_second : service.newPerSecond;
        service.meanLifeSeconds = FLAGS_life >= 0 ? FLAGS_life : service.meanLifeSeconds;
        service.packetInterval = FLAGS_packet_ms >= 0 ? Milliseconds(FLAGS_packet_ms) : service.packetInterval;
        service.slowReportLag = FLAGS_slow_report_ms >= 0 ? Milliseconds(FLAGS_slow_report_ms) : service.slowReportLag;
    }
}

void print(Scheme scheme, std::uint64_t seed, const ModelCounts &counts)
{
    std::printf(
        "scheme=%s seed=%llu flows=%llu delivered=%llu relayed=%llu broken=%llu (wrong=%llu stalled=%llu refused=%llu) misdelivered=%llu "
        "refusals=%llu untrue=%llu late_to_draining=%llu unsettled=%llu breaches=%llu\n",
        nameOf(scheme).data(), static_cast<unsigned long long>(seed), static_cast<unsigned long long>(counts.flowsOpened),
        static_cast<unsigned long long>(counts.packetsDelivered), static_cast<unsigned long long>(counts.relayed),
        static_cast<unsigned long long>(counts.broken()), static_cast<unsigned long long>(counts.brokenAtWrongUpstream),
        static_cast<unsigned long long>(counts.brokenByStall), static_cast<unsigned long long>(counts.brokenByRefusal),
        static_cast<unsigned long long>(counts.misdelivered), static_cast<unsigned long long>(counts.refused),
        static_cast<unsigned long long>(counts.untrueRefusals), static_cast<unsigned long long>(counts.lateToDraining),
        static_cast<unsigned long long>(counts.unsettled), static_cast<unsigned long long>(counts.invariantBreaches));
    std::printf("  connections max/mean: worst %.3f mean %.3f; slot time max/mean %.3f; entries %llu\n", counts.worstImbalance,
                counts.meanImbalance, counts.slotImbalance, static_cast<unsigned long long>(counts.entries));
    std::printf("  longest join %lld ms\n", static_cast<long long>(counts.worstJoinMs));
    std::printf("  control an instance: %.0f B/s, %.1f messages/s", counts.controlBytesPerSecond, counts.controlMessagesPerSecond);
    for (std::size_t kind = 0; kind < enumCount<PeerTraffic>; ++kind) {
        std::printf(", %s %.0f B/s", nameOf(static_cast<PeerTraffic>(kind)).data(), counts.bytesPerSecondByKind[kind]);
    }
    std::printf("\n");
    for (std::size_t index = 0; index < std::min<std::size_t>(5, counts.breachDetails.size()); ++index) {
        std::printf("  breach: %s\n", counts.breachDetails[index].c_str());
    }
    for (std::size_t line = 0; FLAGS_trace && line < counts.trace.size(); ++line) {
        std::printf("  %s\n", counts.trace[line].c_str());
    }
    std::fflush(stdout);
}

} // namespace

int main(int argc, char **argv)
{
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    const auto deployment = deploymentSettings(FLAGS_deployment);
    if (!deployment) {
        std::fprintf(stderr, "unknown deployment\n");
        return 2;
    }
    std::uint64_t breaches = 0;
    for (std::uint64_t seed = FLAGS_seed; seed < FLAGS_seed + FLAGS_seeds; ++seed) {
        for (const auto scheme : parseList<Scheme>(FLAGS_schemes)) {
            auto settings = *deployment;
            applyFlags(settings);
            settings.seed = seed;
            settings.scheme = scheme;
            const auto counts = FLAGS_random_steps > 0
                ? runRandomly(settings, FLAGS_random_steps, FLAGS_failures)
                : runThroughChanges(settings, parseList<Change>(FLAGS_changes), std::chrono::seconds(FLAGS_seconds));
            print(scheme, seed, counts);
            breaches += counts.invariantBreaches + counts.misdelivered + counts.untrueRefusals;
        }
    }
    return breaches == 0 ? 0 : 1;
}
