#pragma once

#include "sapphirespan_net/http/HttpServer.h"

#include <set>

struct evhttp_request;

namespace sapphirespan {

/** The end of one request: an answer, or nothing when none came within the deadline or the connection failed.

    `wasSent` tells whether the request may have reached the server: if not, it certainly took no effect.
*/
struct HttpOutcome {
    std::optional<HttpResponse> response; ///< header names in lower case
    bool wasSent = false;
    std::size_t bodyBytes = 0; ///< of an answer that was received piece by piece, also if it did not end
    bool isTooLarge = false; ///< the answer was above the limit of the client
};

/** Takes the body of an answer while it arrives, so that it is not held as a whole. */
struct HttpReceiver {
    /** @param head without its body @returns whether to go on; else the request ends without an answer */
    std::function<bool(const HttpResponse &head, std::string_view piece)> take;
    Milliseconds longestPause {0}; ///< between two pieces
    Milliseconds longestTransfer {0}; ///< between the first piece and the end
};

/** @returns a text as part of a path or query: what is no letter, digit or one of "-._~" is percent-encoded. */
std::string percentEncoded(std::string_view text);

/** Sends HTTP requests, each on a connection of its own, so that a late answer cannot be taken for another's.

    Thread safety: none.
*/
class HttpClient
{
public:
    using Callback = std::function<void(const HttpOutcome &outcome)>;

    explicit HttpClient(EventLoop &loop);

    /** Requests still open are given up; their callbacks are not called. */
    ~HttpClient();
    HttpClient(const HttpClient &) = delete;
    HttpClient &operator=(const HttpClient &) = delete;

    /** Sends a request. @param target path and query, encoded @param deadline after which the outcome is "no answer" */
    void send(const Endpoint &server, HttpMethod method, const std::string &target, const std::map<std::string, std::string> &headers,
              const std::string &body, Milliseconds deadline, Callback callback);

    /** Gets a resource whose body may be large. @param target path and query, encoded
        @param deadline until the first piece of the body, or the end of an answer without one
        @param callback is called after the last piece; its response has no body
    */
    void receive(const Endpoint &server, const std::string &target, Milliseconds deadline, HttpReceiver receiver, Callback callback);

private:
    struct Call;

    Call *begin(const Endpoint &server, Milliseconds deadline, Callback callback);
    void request(Call *call, HttpMethod method, const std::string &target, const std::map<std::string, std::string> &headers,
                 const std::string &body);
    void takePiece(Call *call, evhttp_request *answer);
    void finish(Call *call, HttpOutcome outcome);

    EventLoop &m_loop;
    std::map<Call *, std::unique_ptr<Call>> m_calls;
};

} // namespace sapphirespan
