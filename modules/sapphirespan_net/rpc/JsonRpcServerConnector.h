#pragma once

#include "sapphirespan_net/http/HttpServer.h"

#include <jsonrpccpp/server/abstractserverconnector.h>

namespace sapphirespan {

/** Connects a libjsonrpccpp server to an HTTP server on the loop, without a thread of its own.

    Requests are passed in by the HTTP handler. Thread safety: none.
*/
class JsonRpcServerConnector : public jsonrpc::AbstractServerConnector
{
public:
    /** Lets the server handle one JSON-RPC request. @returns the answer */
    std::string handle(const std::string &request);

    bool StartListening() override;
    bool StopListening() override;
    bool SendResponse(const std::string &response, void *addInfo) override;
};

} // namespace sapphirespan
