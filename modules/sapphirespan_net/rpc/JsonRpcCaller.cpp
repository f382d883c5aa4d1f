#include "sapphirespan_net/rpc/JsonRpcCaller.h"

#include <jsonrpccpp/client.h>

namespace sapphirespan {

namespace {

/** Gives a transport the shape of a connector. */
class TransportConnector : public jsonrpc::IClientConnector
{
public:
    explicit TransportConnector(const JsonRpcTransport &transport)
        : m_transport(transport)
    {
    }

    void SendRPCMessage(const std::string &message, std::string &result) throw(jsonrpc::JsonRpcException) override
    {
        std::string reason;
        if (!m_transport(message, result, reason)) {
            throw jsonrpc::JsonRpcException(jsonrpc::Errors::ERROR_CLIENT_CONNECTOR, reason);
        }
    }

private:
    const JsonRpcTransport &m_transport;
};

} // namespace

bool callJsonRpc(const JsonRpcTransport &transport, const std::string &method, const Json::Value &parameters, Json::Value &result,
                 std::string &reason)
{
    TransportConnector connector(transport);
    jsonrpc::Client client(connector);
    try {
        client.CallMethod(method, parameters, result);
        return true;
    } catch (const std::exception &exception) {
        reason = exception.what();
        return false;
    }
}

} // namespace sapphirespan
