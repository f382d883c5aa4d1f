#include "sapphirespan_net/rpc/JsonRpcServerConnector.h"

#include <json/json.h>
#include <jsonrpccpp/common/errors.h>

namespace sapphirespan {

namespace {

/** What the library answers to a request that it cannot parse. */
std::string parseErrorAnswer(const std::string &reason)
{
    Json::Value answer;
    answer["jsonrpc"] = "2.0";
    answer["id"] = Json::nullValue;
    answer["error"]["code"] = jsonrpc::Errors::ERROR_RPC_JSON_PARSE_ERROR;
    answer["error"]["message"] = "JSON_PARSE_ERROR: " + reason;
    return Json::writeString(Json::StreamWriterBuilder(), answer);
}

} // namespace

/** The library turns syntax errors into answers, but lets the exception for values that are nested too deeply pass. */
std::string JsonRpcServerConnector::handle(const std::string &request)
{
    std::string response;
    try {
        OnRequest(request, &response);
    } catch (const Json::Exception &exception) {
        return parseErrorAnswer(exception.what());
    }
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
