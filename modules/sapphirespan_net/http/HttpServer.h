#pragma once

#include "sapphirespan_net/loop/EventLoop.h"

#include <map>

struct evhttp;
struct evhttp_request;

namespace sapphirespan {

/** Methods that the project's servers answer. */
enum class HttpMethod : std::uint8_t {
    get,
    put,
    post,
    remove,
    count
};

template<>
struct NameTable<HttpMethod> {
    static constexpr std::array<std::string_view, enumCount<HttpMethod>> names {"GET", "PUT", "POST", "DELETE"};
};

/** One request; the query is split and decoded. */
struct HttpRequest {
    HttpMethod method = HttpMethod::get;
    std::string path;
    std::map<std::string, std::string> query;
    std::map<std::string, std::string> headers; ///< names in lower case
    std::string body;
};

/** One answer. */
struct HttpResponse {
    int status = 200;
    std::string body;
    std::string contentType = "application/json";
    std::map<std::string, std::string> headers;
};

/** The right to answer one request, now or later. Answering twice, or after the caller left, does nothing. */
class HttpExchange
{
public:
    explicit HttpExchange(evhttp_request *request);
    ~HttpExchange();
    HttpExchange(const HttpExchange &) = delete;
    HttpExchange &operator=(const HttpExchange &) = delete;

    void answer(const HttpResponse &response);

    /** Ends the exchange without an answer, as a server that fails does. */
    void abandon();

private:
    evhttp_request *m_request;
};

/** An HTTP server on the loop. Thread safety: none. */
class HttpServer
{
public:
    using Handler = std::function<void(const HttpRequest &request, const std::shared_ptr<HttpExchange> &exchange)>;

    /** Listens; port 0 takes a free one. @returns nothing, with the reason, when the endpoint cannot be bound */
    static std::unique_ptr<HttpServer> listen(EventLoop &loop, const Endpoint &endpoint, Handler handler, LastReason &reason);

    ~HttpServer();
    HttpServer(const HttpServer &) = delete;
    HttpServer &operator=(const HttpServer &) = delete;

    /** @returns the endpoint that the server listens on. */
    const Endpoint &localEndpoint() const
    {
        return m_local;
    }

private:
    HttpServer(evhttp *server, const Endpoint &local, Handler handler);
    static void handle(evhttp_request *request, void *context);

    evhttp *m_server;
    Endpoint m_local;
    Handler m_handler;
};

} // namespace sapphirespan
