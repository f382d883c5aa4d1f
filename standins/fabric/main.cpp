/** @file
    Stand-in of the fabric: sprays encapsulated packets over the entry instances.
*/
#include "FabricStandIn.h"

#include <gflags/gflags.h>

#include <csignal>
#include <cstdio>
#include <sstream>

DEFINE_string(listen, "", "ip:port that takes encapsulated packets");
DEFINE_string(instances, "", "comma-separated ingress/control endpoint pairs: ip:port/ip:port");
DEFINE_uint64(seed, 1, "seed of the spray");

namespace {

std::vector<sapphirespan::FabricTarget> parseTargets(const std::string &text)
{
    std::vector<sapphirespan::FabricTarget> targets;
    std::istringstream stream(text);
    for (std::string item; std::getline(stream, item, ',');) {
        const auto slash = item.find('/');
        const auto ingress = sapphirespan::Endpoint::parse(item.substr(0, slash));
        const auto control = slash != std::string::npos ? sapphirespan::Endpoint::parse(item.substr(slash + 1)) : std::nullopt;
        if (ingress && control) {
            targets.push_back({*ingress, *control});
        }
    }
    return targets;
}

} // namespace

int main(int argc, char **argv)
{
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    const auto endpoint = sapphirespan::Endpoint::parse(FLAGS_listen);
    sapphirespan::EventLoop loop;
    sapphirespan::LastReason reason;
    auto socket = endpoint ? sapphirespan::UdpSocket::bind(*endpoint, reason) : nullptr;
    if (!socket) {
        std::fprintf(stderr, "cannot listen: %s\n", reason.text().c_str());
        return 1;
    }
    sapphirespan::FabricStandIn fabric(loop, std::move(socket), parseTargets(FLAGS_instances), FLAGS_seed);
    const auto terminate = loop.onSignal(SIGTERM, [&loop] { loop.stop(); });
    loop.run();
    const auto [handedOver, lost] = fabric.counts();
    std::printf("fabric: handed_over=%llu lost=%llu\n", static_cast<unsigned long long>(handedOver), static_cast<unsigned long long>(lost));
    return 0;
}
