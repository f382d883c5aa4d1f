/** @file
    Stand-in of an upstream: unwraps tunnelled packets, answers callers directly, and reports health and load.

    SIGUSR1 makes it report "draining".
*/
#include "EchoServer.h"

#include "sapphirespan_report/sapphirespan_report.h"

#include <gflags/gflags.h>

#include <csignal>
#include <cstdio>

DEFINE_string(tunnel, "", "ip:port that takes encapsulated packets");
DEFINE_string(callers, "", "ip:port that takes encapsulated packets for callers");
DEFINE_string(service, "", "name of the service");
DEFINE_string(address, "", "address of the service, ip:port");
DEFINE_string(status, "", "ip:port of the status endpoint");
DEFINE_string(name, "", "name of this upstream");

int main(int argc, char **argv)
{
    using namespace sapphirespan;
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    const auto tunnel = Endpoint::parse(FLAGS_tunnel);
    const auto callers = Endpoint::parse(FLAGS_callers);
    const auto address = Endpoint::parse(FLAGS_address);
    const auto status = Endpoint::parse(FLAGS_status);
    if (!tunnel || !callers || !address || !status) {
        std::fprintf(stderr, "--tunnel, --callers, --address and --status are required\n");
        return 2;
    }
    LastReason reason;
    const auto path = LwipTunnel::open(*tunnel, *callers, address->address, reason);
    if (!path) {
        std::fprintf(stderr, "%s\n", reason.text().c_str());
        return 1;
    }
    const EchoServer server(FLAGS_service, FLAGS_name, address->port);
    EventLoop loop;
    bool isDraining = false;
    const auto answerStatus = [&](const HttpRequest &, const std::shared_ptr<HttpExchange> &exchange) {
        Json::Value value;
        value["state"] = isDraining ? "draining" : "ready";
        value["connections"] = server.connections();
        value["slots_in_use"] = 0;
        value["answers"] = Json::UInt64(server.answers());
        exchange->answer({200, compactJson(value), "application/json", {}});
    };
    const auto http = HttpServer::listen(loop, *status, answerStatus, reason);
    if (!http) {
        std::fprintf(stderr, "%s\n", reason.text().c_str());
        return 1;
    }
    const auto drain = loop.onSignal(SIGUSR1, [&isDraining] { isDraining = true; });
    const auto terminate = loop.onSignal(SIGTERM, [&loop] { loop.stop(); });
    loop.run();
    return 0;
}
