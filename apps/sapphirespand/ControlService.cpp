#include "ControlService.h"

#include "StatusJson.h"

#include <sstream>

namespace sapphirespan {

namespace {

const HttpResponse notFound {404, "{}", "application/json", {}};

void appendMetric(std::ostringstream &text, const std::string &name, const std::string &labels, std::uint64_t value)
{
    text << "sapphirespan_" << name << (labels.empty() ? "" : "{" + labels + "}") << ' ' << value << '\n';
}

std::string label(const std::string &name, std::string_view value)
{
    return name + "=\"" + std::string(value) + "\"";
}

void appendHeader(std::ostringstream &text, const std::string &name, const std::string &type, const std::string &help)
{
    text << "# HELP sapphirespan_" << name << ' ' << help << "\n# TYPE sapphirespan_" << name << ' ' << type << '\n';
}

void appendPackets(std::ostringstream &text, const DecisionAccounts &accounts)
{
    appendHeader(text, "packets_total", "counter", "Packets by what was done with them.");
    appendMetric(text, "packets_total", label("fate", "forwarded"), accounts.forwarded);
    appendMetric(text, "packets_total", label("fate", "relayed"), accounts.relayed);
    appendMetric(text, "packets_total", label("fate", "refused"), accounts.refused);
    for (std::size_t reason = 0; reason < enumCount<DropReason>; ++reason) {
        const auto labels = label("fate", "dropped") + "," + label("reason", nameOf(static_cast<DropReason>(reason)));
        appendMetric(text, "packets_total", labels, accounts.dropped[reason]);
    }
}

void appendFlows(std::ostringstream &text, const std::vector<ServiceAccounts> &services)
{
    appendHeader(text, "new_flows_total", "counter", "New flows by service and outcome.");
    for (const auto &[service, objective, flows] : services) {
        const auto name = label("service", service);
        appendMetric(text, "new_flows_total", name + "," + label("outcome", "placed_on_default"), flows.placedOnDefault);
        appendMetric(text, "new_flows_total", name + "," + label("outcome", "placed_elsewhere"), flows.placedElsewhere);
        appendMetric(text, "new_flows_total", name + "," + label("outcome", "refused"), flows.refused);
        appendMetric(text, "new_flows_total", name + "," + label("outcome", "unplaced"), flows.unplaced);
    }
}

Json::Value peerTrafficOf(const EntryInstance &instance)
{
    Json::Value value;
    for (std::size_t kind = 0; kind < enumCount<PeerTraffic>; ++kind) {
        const auto [messages, bytes] = instance.traffic(static_cast<PeerTraffic>(kind));
        auto &row = value[std::string(nameOf(static_cast<PeerTraffic>(kind)))];
        row["messages"] = Json::UInt64(messages);
        row["bytes"] = Json::UInt64(bytes);
    }
    return value;
}

} // namespace

ControlService::ControlService(JsonRpcServerConnector &connector, const ControlSources &sources)
    : AbstractServer(connector)
    , m_connector(connector)
    , m_sources(sources)
{
    using jsonrpc::Procedure;
    bindAndAddMethod(Procedure("status", jsonrpc::PARAMS_BY_NAME, jsonrpc::JSON_OBJECT, nullptr), &ControlService::status);
    bindAndAddMethod(Procedure("explain", jsonrpc::PARAMS_BY_NAME, jsonrpc::JSON_OBJECT, "source", jsonrpc::JSON_STRING, "destination",
                               jsonrpc::JSON_STRING, "protocol", jsonrpc::JSON_STRING, nullptr),
                     &ControlService::explain);
    bindAndAddMethod(Procedure("accounts", jsonrpc::PARAMS_BY_NAME, jsonrpc::JSON_OBJECT, nullptr), &ControlService::accounts);
}

void ControlService::handle(const HttpRequest &request, const std::shared_ptr<HttpExchange> &exchange)
{
    exchange->answer(answerFor(request));
}

HttpResponse ControlService::answerFor(const HttpRequest &request)
{
    if (request.method == HttpMethod::post && request.path == "/rpc") {
        return {200, m_connector.handle(request.body), "application/json", {}};
    }
    if (request.method != HttpMethod::get) {
        return notFound;
    }
    if (request.path == "/ready") {
        return {m_sources.instance.isReady() ? 200 : 503, "{}", "application/json", {}};
    }
    if (request.path == "/metrics") {
        return {200, metricsText(), "text/plain; version=0.0.4", {}};
    }
    return objectAnswer(request.path);
}

/** Peers fetch immutable objects by digest; the head they know from heartbeats. */
HttpResponse ControlService::objectAnswer(const std::string &path) const
{
    for (const auto kind : {ObjectKind::index, ObjectKind::content}) {
        const auto prefix = objectPath({kind, ""});
        if (path.rfind(prefix, 0) != 0) {
            continue;
        }
        if (const auto text = m_sources.texts.find(path.substr(prefix.size())); text != m_sources.texts.end()) {
            return {200, text->second, "application/json", {{objectVersionHeader, "1"}}};
        }
    }
    return notFound;
}

std::string ControlService::metricsText() const
{
    std::ostringstream text;
    const auto status = m_sources.instance.status();
    appendPackets(text, m_sources.instance.accounts());
    appendFlows(text, m_sources.instance.serviceAccounts());
    appendHeader(text, "generation", "gauge", "Generation of the catalogue in force.");
    appendMetric(text, "generation", "", status.generation);
    appendHeader(text, "flow_entries", "gauge", "Entries in the flow table.");
    appendMetric(text, "flow_entries", "", status.entries);
    appendHeader(text, "invariant_breaches_total", "counter", "Broken invariants; anything but 0 is a defect.");
    for (std::size_t invariant = 0; invariant < enumCount<Invariant>; ++invariant) {
        const auto value = static_cast<Invariant>(invariant);
        appendMetric(text, "invariant_breaches_total", label("invariant", nameOf(value)), m_sources.invariants.breaches(value));
    }
    appendHeader(text, "peer_bytes_total", "counter", "Bytes sent to peers, by kind of message.");
    for (std::size_t kind = 0; kind < enumCount<PeerTraffic>; ++kind) {
        const auto value = static_cast<PeerTraffic>(kind);
        appendMetric(text, "peer_bytes_total", label("kind", nameOf(value)), m_sources.instance.traffic(value).bytes);
    }
    text << m_sources.batchDurations.prometheusText("batch_duration_seconds",
                                                    "Time from receiving a batch of datagrams to having sent its outputs.");
    return text.str();
}

void ControlService::status(const Json::Value & /*parameters*/, Json::Value &result)
{
    result = toJsonValue(m_sources.instance.status());
}

void ControlService::explain(const Json::Value &parameters, Json::Value &result)
{
    const auto source = Endpoint::parse(parameters["source"].asString());
    const auto destination = Endpoint::parse(parameters["destination"].asString());
    if (!source || !destination) {
        result["error"] = "source and destination must be numeric ip:port";
        return;
    }
    const auto protocol = parameters["protocol"].asString() == "udp" ? Protocol::udp : Protocol::tcp;
    result = toJsonValue(m_sources.instance.explain({source->address, destination->address, source->port, destination->port, protocol}));
}

void ControlService::accounts(const Json::Value & /*parameters*/, Json::Value &result)
{
    result["packets"] = toJsonValue(m_sources.instance.accounts());
    result["services"] = Json::arrayValue;
    for (const auto &service : m_sources.instance.serviceAccounts()) {
        result["services"].append(toJsonValue(service));
    }
    result["peer_traffic"] = peerTrafficOf(m_sources.instance);
}

} // namespace sapphirespan
