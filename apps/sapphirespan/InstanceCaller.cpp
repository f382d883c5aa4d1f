#include "InstanceCaller.h"

namespace sapphirespan {

namespace {
using namespace std::chrono_literals;
constexpr Milliseconds callDeadline = 2s;
constexpr int statusOk = 200;
} // namespace

std::optional<Json::Value> callInstance(EventLoop &loop, const Endpoint &control, const std::string &method, const Json::Value &parameters,
                                        LastReason &reason)
{
    HttpClient client(loop);
    const JsonRpcTransport transport = [&](const std::string &request, std::string &answer, std::string &why) {
        std::optional<HttpOutcome> outcome;
        client.send(control, HttpMethod::post, "/rpc", {}, request, callDeadline,
                    [&outcome](const HttpOutcome &result) { outcome = result; });
        while (!outcome) {
            loop.runOnce();
        }
        if (!outcome->response || outcome->response->status != statusOk) {
            why = "instance at " + control.toText() + " did not answer";
            return false;
        }
        answer = outcome->response->body;
        return true;
    };
    Json::Value result;
    std::string why;
    if (!callJsonRpc(transport, method, parameters, result, why)) {
        reason.set(why);
        return std::nullopt;
    }
    return result;
}

} // namespace sapphirespan
