#include "sapphirespan_net/http/HttpClient.h"

#include <event2/buffer.h>
#include <event2/event.h>
#include <event2/http.h>
#include <event2/keyvalq_struct.h>

#include <algorithm>
#include <array>
#include <cctype>

namespace sapphirespan {

namespace {

/** The changes of a moment come in one answer, and a single object may be 1 MB. */
constexpr std::size_t largestAnswerBytes = 32 << 20;

/** Of an answer that is received piece by piece. Nothing is held, but its sender could go on without end. */
constexpr std::size_t largestReceivedBytes = 256 << 20;

/** What is moved at once from a buffer, which gives that memory back before the next piece is moved. */
constexpr std::size_t pieceBytes = 1 << 16;

evhttp_cmd_type commandOf(HttpMethod method)
{
    switch (method) {
    case HttpMethod::put:
        return EVHTTP_REQ_PUT;
    case HttpMethod::post:
        return EVHTTP_REQ_POST;
    case HttpMethod::remove:
        return EVHTTP_REQ_DELETE;
    case HttpMethod::get:
    case HttpMethod::count:
        break;
    }
    return EVHTTP_REQ_GET;
}

HttpResponse headOf(evhttp_request *request)
{
    HttpResponse response;
    response.status = evhttp_request_get_response_code(request);
    const auto *headers = evhttp_request_get_input_headers(request);
    for (const evkeyval *field = headers->tqh_first; field != nullptr; field = field->next.tqe_next) {
        std::string name = field->key;
        std::transform(name.begin(), name.end(), name.begin(), [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
        response.headers[name] = field->value;
    }
    return response;
}

HttpResponse responseOf(evhttp_request *request)
{
    auto response = headOf(request);
    auto *buffer = evhttp_request_get_input_buffer(request);
    response.body.resize(evbuffer_get_length(buffer));
    for (std::size_t at = 0; at < response.body.size(); at += pieceBytes) {
        evbuffer_remove(buffer, response.body.data() + at, std::min(pieceBytes, response.body.size() - at));
    }
    return response;
}

} // namespace

std::string percentEncoded(std::string_view text)
{
    constexpr std::string_view unreserved = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789-._~";
    constexpr std::string_view digits = "0123456789ABCDEF";
    std::string result;
    for (const char character : text) {
        const auto byte = static_cast<unsigned char>(character);
        if (unreserved.find(character) != std::string_view::npos) {
            result += character;
        } else {
            result += {'%', digits[byte >> 4], digits[byte & 0xf]};
        }
    }
    return result;
}

struct HttpClient::Call {
    HttpClient *client = nullptr;
    evhttp_connection *connection = nullptr;
    std::string host;
    EventHandle deadline;
    EventHandle cleanup;
    Callback callback;
    std::optional<HttpReceiver> receiver;
    std::optional<HttpResponse> head; ///< once a piece of the body has been received
    std::chrono::steady_clock::time_point transferEnd;
    std::size_t bodyBytes = 0;
    bool isTooLarge = false;
    std::optional<HttpOutcome> outcome;

    Call() = default;
    ~Call()
    {
        if (connection != nullptr) {
            evhttp_connection_free(connection);
        }
    }
    Call(const Call &) = delete;
    Call &operator=(const Call &) = delete;
};

HttpClient::HttpClient(EventLoop &loop)
    : m_loop(loop)
{
}

HttpClient::~HttpClient()
{
    for (auto &[call, owned] : m_calls) {
        owned->outcome = HttpOutcome {}; // libevent may still call back while connections are freed
    }
}

void HttpClient::send(const Endpoint &server, HttpMethod method, const std::string &target,
                      const std::map<std::string, std::string> &headers, const std::string &body, Milliseconds deadline, Callback callback)
{
    auto *call = begin(server, deadline, std::move(callback));
    evhttp_connection_set_max_body_size(call->connection, static_cast<ev_ssize_t>(largestAnswerBytes));
    request(call, method, target, headers, body);
}

void HttpClient::receive(const Endpoint &server, const std::string &target, Milliseconds deadline, HttpReceiver receiver, Callback callback)
{
    auto *call = begin(server, deadline, std::move(callback));
    call->receiver = std::move(receiver);
    evhttp_connection_set_max_body_size(call->connection, static_cast<ev_ssize_t>(largestReceivedBytes));
    request(call, HttpMethod::get, target, {}, "");
}

HttpClient::Call *HttpClient::begin(const Endpoint &server, Milliseconds deadline, Callback callback)
{
    auto owned = std::make_unique<Call>();
    auto *call = owned.get();
    m_calls[call] = std::move(owned);
    call->client = this;
    call->callback = std::move(callback);
    call->host = server.toText();
    call->connection = evhttp_connection_base_new(m_loop.base(), nullptr, server.address.toText().c_str(), server.port);
    call->deadline = m_loop.after(deadline, [this, call] { finish(call, {std::nullopt, true}); });
    return call;
}

void HttpClient::request(Call *call, HttpMethod method, const std::string &target, const std::map<std::string, std::string> &headers,
                         const std::string &body)
{
    auto *request = evhttp_request_new(
        [](evhttp_request *finished, void *context) {
            auto *mine = static_cast<Call *>(context);
            HttpOutcome outcome;
            outcome.wasSent = true;
            if (finished != nullptr && evhttp_request_get_response_code(finished) != 0) {
                outcome.response = mine->receiver ? headOf(finished) : responseOf(finished);
            }
            mine->client->finish(mine, std::move(outcome));
        },
        call);
    if (call->receiver) {
        evhttp_request_set_chunked_cb(request, [](evhttp_request *answer, void *context) {
            auto *mine = static_cast<Call *>(context);
            mine->client->takePiece(mine, answer);
        });
    }
    evhttp_request_set_error_cb(request, [](evhttp_request_error error, void *context) {
        static_cast<Call *>(context)->isTooLarge = error == EVREQ_HTTP_DATA_TOO_LONG;
    });
    auto *output = evhttp_request_get_output_headers(request);
    evhttp_add_header(output, "Host", call->host.c_str());
    evhttp_add_header(output, "Connection", "close");
    for (const auto &[name, value] : headers) {
        evhttp_add_header(output, name.c_str(), value.c_str());
    }
    evbuffer_add(evhttp_request_get_output_buffer(request), body.data(), body.size());
    if (evhttp_make_request(call->connection, request, commandOf(method), target.c_str()) != 0) {
        finish(call, {});
    }
}

void HttpClient::takePiece(Call *call, evhttp_request *answer)
{
    if (call->outcome) {
        return;
    }
    const auto now = std::chrono::steady_clock::now();
    if (!call->head) {
        call->head = headOf(answer);
        call->transferEnd = now + call->receiver->longestTransfer;
    }
    if (now >= call->transferEnd) {
        finish(call, {std::nullopt, true});
        return;
    }
    auto *buffer = evhttp_request_get_input_buffer(answer);
    std::array<char, pieceBytes> piece;
    while (evbuffer_get_length(buffer) > 0) {
        const auto size = static_cast<std::size_t>(evbuffer_remove(buffer, piece.data(), piece.size()));
        call->bodyBytes += size;
        if (!call->receiver->take(*call->head, {piece.data(), size})) {
            finish(call, {std::nullopt, true});
            return;
        }
    }
    const auto rest = std::chrono::duration_cast<Milliseconds>(call->transferEnd - now);
    call->deadline = m_loop.after(std::min(call->receiver->longestPause, rest), [this, call] { finish(call, {std::nullopt, true}); });
}

/** The connection must not be freed inside its own callback, so that happens from the loop. */
void HttpClient::finish(Call *call, HttpOutcome outcome)
{
    if (call->outcome) {
        return;
    }
    outcome.bodyBytes = call->bodyBytes;
    outcome.isTooLarge = call->isTooLarge;
    call->outcome = std::move(outcome);
    call->deadline = {};
    call->cleanup = m_loop.after(Milliseconds(0), [this, call] {
        const auto owned = std::move(m_calls[call]);
        m_calls.erase(call);
        owned->callback(*owned->outcome);
    });
}

} // namespace sapphirespan
