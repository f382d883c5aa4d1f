/** @file
    Throughput of one instance on loopback: sends packets of one service to its ingress as fast as it takes them and
    counts what reaches the upstream's tunnel endpoint.
*/
#include "FlowPackets.h"

#include "sapphirespan_net/sapphirespan_net.h"

#include <gflags/gflags.h>

#include <cstdio>

DEFINE_string(ingress, "", "ingress of the instance, ip:port");
DEFINE_string(service, "", "address of the service, ip:port");
DEFINE_string(sink, "", "ip:port of the upstream's tunnel, bound here");
DEFINE_uint64(seconds, 5, "length of the run");
DEFINE_uint64(flows, 4096, "distinct flows");
DEFINE_uint64(in_flight, 512, "most packets sent and not yet counted");

int main(int argc, char **argv)
{
    using namespace sapphirespan;
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    const auto ingress = Endpoint::parse(FLAGS_ingress);
    const auto service = Endpoint::parse(FLAGS_service);
    const auto sinkEndpoint = Endpoint::parse(FLAGS_sink);
    LastReason reason;
    const auto sink = sinkEndpoint ? UdpSocket::bind(*sinkEndpoint, reason) : nullptr;
    const auto source = UdpSocket::bind({*IpAddress::parse("127.0.0.1"), 0}, reason);
    if (!ingress || !service || !sink || !source) {
        std::fprintf(stderr, "--ingress, --service and --sink are required: %s\n", reason.text().c_str());
        return 2;
    }
    std::vector<std::vector<std::uint8_t>> packets;
    for (std::size_t flow = 0; flow < FLAGS_flows; ++flow) {
        packets.push_back(buildFlowPacket(flowKeyOf(flow, *service), FlowPacket::data));
    }
    EventLoop loop;
    const SystemClock clock;
    std::uint64_t sent = 0;
    std::uint64_t received = 0;
    std::uint64_t lost = 0;
    std::vector<OutgoingDatagram> batch;
    const auto fill = [&] {
        batch.clear();
        while (sent - received - lost + batch.size() < FLAGS_in_flight) {
            batch.push_back({*ingress, packets[(sent + batch.size()) % packets.size()], {}});
        }
        sent += source->send(batch);
    };
    sink->start(
        loop, [] {}, [&received](const Endpoint &, std::span<const std::uint8_t>) { ++received; }, fill);
    std::uint64_t before = 0;
    const auto unblock = loop.every(Milliseconds(100), [&] {
        if (received == before) {
            lost = sent - received; // dropped somewhere on loopback; counted and sent anew
            fill();
        }
        before = received;
    });
    const auto end = loop.after(std::chrono::seconds(FLAGS_seconds), [&loop] { loop.stop(); });
    const auto start = clock.steadyNow();
    fill();
    loop.run();
    const double seconds = static_cast<double>((clock.steadyNow() - start).count()) / 1e6;
    std::printf("sent=%llu received=%llu lost=%llu packets_per_second=%.0f\n", static_cast<unsigned long long>(sent),
                static_cast<unsigned long long>(received), static_cast<unsigned long long>(lost), static_cast<double>(received) / seconds);
    return 0;
}
