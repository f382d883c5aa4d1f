#include "sapphirespan_net/http/HttpServer.h"

#include <event2/buffer.h>
#include <event2/http.h>
#include <event2/keyvalq_struct.h>

#include <netinet/in.h>
#include <sys/socket.h>

#include <algorithm>
#include <cctype>

namespace sapphirespan {

namespace {

constexpr std::int64_t largestBodyBytes = 2 << 20;
constexpr int idleSeconds = 90;

std::map<std::string, std::string> fieldsOf(const evkeyvalq *list, bool isLowerCase)
{
    std::map<std::string, std::string> fields;
    for (const evkeyval *field = list->tqh_first; field != nullptr; field = field->next.tqe_next) {
        std::string key = field->key;
        if (isLowerCase) {
            std::transform(key.begin(), key.end(), key.begin(), [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
        }
        fields[key] = field->value;
    }
    return fields;
}

std::map<std::string, std::string> queryOf(const evhttp_uri *uri)
{
    const char *text = evhttp_uri_get_query(uri);
    evkeyvalq list {};
    if (text == nullptr || evhttp_parse_query_str(text, &list) != 0) {
        return {};
    }
    auto fields = fieldsOf(&list, false);
    evhttp_clear_headers(&list);
    return fields;
}

std::string bodyOf(evhttp_request *request)
{
    auto *buffer = evhttp_request_get_input_buffer(request);
    std::string body(evbuffer_get_length(buffer), '\0');
    evbuffer_copyout(buffer, body.data(), body.size());
    return body;
}

HttpMethod methodOf(evhttp_request *request)
{
    switch (evhttp_request_get_command(request)) {
    case EVHTTP_REQ_PUT:
        return HttpMethod::put;
    case EVHTTP_REQ_POST:
        return HttpMethod::post;
    case EVHTTP_REQ_DELETE:
        return HttpMethod::remove;
    default:
        return HttpMethod::get;
    }
}

std::uint16_t portOf(evhttp_bound_socket *bound)
{
    sockaddr_storage address {};
    socklen_t length = sizeof address;
    ::getsockname(evhttp_bound_socket_get_fd(bound), reinterpret_cast<sockaddr *>(&address), &length);
    return ntohs(address.ss_family == AF_INET ? reinterpret_cast<sockaddr_in *>(&address)->sin_port
                                              : reinterpret_cast<sockaddr_in6 *>(&address)->sin6_port);
}

/** Forgets the request of an exchange once its connection is gone. */
void onRequestFreed(evhttp_request * /*request*/, void *context)
{
    *static_cast<evhttp_request **>(context) = nullptr;
}

} // namespace

HttpExchange::HttpExchange(evhttp_request *request)
    : m_request(request)
{
    evhttp_request_set_on_complete_cb(m_request, onRequestFreed, &m_request);
    auto *connection = evhttp_request_get_connection(m_request);
    evhttp_connection_set_closecb(
        connection, [](evhttp_connection *, void *context) { *static_cast<evhttp_request **>(context) = nullptr; }, &m_request);
}

HttpExchange::~HttpExchange()
{
    answer({500, "{}", "application/json", {}});
}

void HttpExchange::answer(const HttpResponse &response)
{
    if (m_request == nullptr) {
        return;
    }
    auto *request = std::exchange(m_request, nullptr);
    evhttp_request_set_on_complete_cb(request, nullptr, nullptr);
    evhttp_connection_set_closecb(evhttp_request_get_connection(request), nullptr, nullptr);
    auto *headers = evhttp_request_get_output_headers(request);
    evhttp_add_header(headers, "Content-Type", response.contentType.c_str());
    for (const auto &[name, value] : response.headers) {
        evhttp_add_header(headers, name.c_str(), value.c_str());
    }
    auto *buffer = evbuffer_new();
    evbuffer_add(buffer, response.body.data(), response.body.size());
    evhttp_send_reply(request, response.status, nullptr, buffer);
    evbuffer_free(buffer);
}

void HttpExchange::abandon()
{
    if (m_request == nullptr) {
        return;
    }
    auto *request = std::exchange(m_request, nullptr);
    auto *connection = evhttp_request_get_connection(request);
    evhttp_request_set_on_complete_cb(request, nullptr, nullptr);
    evhttp_connection_set_closecb(connection, nullptr, nullptr);
    evhttp_connection_free(connection);
}

std::unique_ptr<HttpServer> HttpServer::listen(EventLoop &loop, const Endpoint &endpoint, Handler handler, LastReason &reason)
{
    auto *server = evhttp_new(loop.base());
    evhttp_set_max_body_size(server, largestBodyBytes);
    evhttp_set_timeout(server, idleSeconds);
    evhttp_set_allowed_methods(server, EVHTTP_REQ_GET | EVHTTP_REQ_PUT | EVHTTP_REQ_POST | EVHTTP_REQ_DELETE);
    auto *bound = evhttp_bind_socket_with_handle(server, endpoint.address.toText().c_str(), endpoint.port);
    if (bound == nullptr) {
        reason.set("cannot listen on TCP " + endpoint.toText());
        evhttp_free(server);
        return nullptr;
    }
    return std::unique_ptr<HttpServer>(new HttpServer(server, {endpoint.address, portOf(bound)}, std::move(handler)));
}

HttpServer::HttpServer(evhttp *server, const Endpoint &local, Handler handler)
    : m_server(server)
    , m_local(local)
    , m_handler(std::move(handler))
{
    evhttp_set_gencb(m_server, handle, this);
}

HttpServer::~HttpServer()
{
    evhttp_free(m_server);
}

void HttpServer::handle(evhttp_request *request, void *context)
{
    auto &server = *static_cast<HttpServer *>(context);
    const auto exchange = std::make_shared<HttpExchange>(request);
    const auto *uri = evhttp_request_get_evhttp_uri(request);
    const char *path = uri != nullptr ? evhttp_uri_get_path(uri) : nullptr;
    if (path == nullptr) {
        exchange->answer({400, "{}", "application/json", {}});
        return;
    }
    server.m_handler({methodOf(request), path, queryOf(uri), fieldsOf(evhttp_request_get_input_headers(request), true), bodyOf(request)},
                     exchange);
}

} // namespace sapphirespan
