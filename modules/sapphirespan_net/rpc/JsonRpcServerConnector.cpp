#include "sapphirespan_net/rpc/JsonRpcServerConnector.h"

namespace sapphirespan {

std::string JsonRpcServerConnector::handle(const std::string &request)
{
    std::string response;
    OnRequest(request, &response);
    return response;
}

bool JsonRpcServerConnector::StartListening()
{
    return true;
}

bool JsonRpcServerConnector::StopListening()
{
    return true;
}

bool JsonRpcServerConnector::SendResponse(const std::string &response, void *addInfo)
{
    *static_cast<std::string *>(addInfo) = response;
    return true;
}

} // namespace sapphirespan
