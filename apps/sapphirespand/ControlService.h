#pragma once

#include "sapphirespan_entry/sapphirespan_entry.h"
#include "sapphirespan_net/sapphirespan_net.h"
#include "sapphirespan_platform/sapphirespan_platform.h"

#include <jsonrpccpp/server/abstractserver.h>

namespace sapphirespan {

/** What the control endpoint answers from. */
struct ControlSources {
    const EntryInstance &instance;
    const InvariantLog &invariants;
    const ObjectTexts &texts; ///< objects of the generation in force, for peers
    const DurationHistogram &batchDurations; ///< time that batches of packets took
};

/** Answers the control endpoint of an instance: readiness, metrics, catalogue objects for peers, JSON-RPC for operators.

    Thread safety: none.
*/
class ControlService : public jsonrpc::AbstractServer<ControlService>
{
public:
    /** @param connector outlives the service */
    ControlService(JsonRpcServerConnector &connector, const ControlSources &sources);

    void handle(const HttpRequest &request, const std::shared_ptr<HttpExchange> &exchange);

    /** JSON-RPC `status`: what the instance knows. */
    void status(const Json::Value &parameters, Json::Value &result);

    /** JSON-RPC `explain`: where a flow goes; parameters source, destination and protocol. */
    void explain(const Json::Value &parameters, Json::Value &result);

    /** JSON-RPC `accounts`: what was done with packets and new flows, and bytes sent to peers by kind. */
    void accounts(const Json::Value &parameters, Json::Value &result);

private:
    HttpResponse answerFor(const HttpRequest &request);
    HttpResponse objectAnswer(const std::string &path) const;
    std::string metricsText() const;

    JsonRpcServerConnector &m_connector;
    ControlSources m_sources;
};

} // namespace sapphirespan
