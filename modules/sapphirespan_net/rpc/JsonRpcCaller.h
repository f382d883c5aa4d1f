#pragma once

#include <json/value.h>

#include <functional>
#include <string>

namespace sapphirespan {

/** Carries a JSON-RPC request to a server and brings the answer. @returns false, with a reason, when none came */
using JsonRpcTransport = std::function<bool(const std::string &request, std::string &answer, std::string &reason)>;

/** Calls one JSON-RPC 2.0 method by way of libjsonrpccpp, which checks that the answer bears the request's id.

    This header keeps to C++14, since the library's client headers cannot be compiled as anything later.

    @returns true and the result, or false and the reason. Thread safety: as the transport's.
*/
bool callJsonRpc(const JsonRpcTransport &transport, const std::string &method, const Json::Value &parameters, Json::Value &result,
                 std::string &reason);

} // namespace sapphirespan
