/** @file
    Stand-in of the platform's object API, for tests and demos.
*/
#include "PlatformStandIn.h"

#include <gflags/gflags.h>

#include <csignal>
#include <cstdio>

DEFINE_string(listen, "", "ip:port");

int main(int argc, char **argv)
{
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    const auto endpoint = sapphirespan::Endpoint::parse(FLAGS_listen);
    sapphirespan::EventLoop loop;
    sapphirespan::PlatformStandIn platform(loop);
    sapphirespan::LastReason reason;
    const auto handler = [&platform](const sapphirespan::HttpRequest &request,
                                     const std::shared_ptr<sapphirespan::HttpExchange> &exchange) { platform.handle(request, exchange); };
    const auto server = endpoint ? sapphirespan::HttpServer::listen(loop, *endpoint, handler, reason) : nullptr;
    if (!server) {
        std::fprintf(stderr, "cannot listen: %s\n", reason.text().c_str());
        return 1;
    }
    const auto terminate = loop.onSignal(SIGTERM, [&loop] { loop.stop(); });
    loop.run();
    return 0;
}
