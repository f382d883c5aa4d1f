#include "sapphirespan_net/probe/ConnectionProber.h"

#include <event2/bufferevent.h>
#include <event2/event.h>

#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>

#include <cerrno>
#include <cstring>
#include <utility>

namespace sapphirespan {

namespace {

/** @param error as in errno, of an attempt that failed */
ConnectionOutcome outcomeOf(int error)
{
    switch (error) {
    case ECONNREFUSED:
    case ECONNRESET:
        return ConnectionOutcome::refused;
    case ETIMEDOUT:
    case EHOSTUNREACH:
    case ENETUNREACH:
        return ConnectionOutcome::silent;
    default:
        return ConnectionOutcome::notMade;
    }
}

} // namespace

std::string ConnectionResult::errorText() const
{
    return error != 0 ? std::strerror(error) : "none";
}

struct ConnectionProber::Attempt {
    ConnectionProber *prober = nullptr;
    bufferevent *connection = nullptr;
    EventHandle deadline;
    EventHandle lateDeadline;
    Callback callback;
    SteadyTime startedAt {};
    bool isOverdue = false; ///< reported as silent; a late answer may still come
    bool isOver = false;

    Attempt() = default;
    ~Attempt()
    {
        if (connection != nullptr) {
            bufferevent_free(connection);
        }
    }
    Attempt(const Attempt &) = delete;
    Attempt &operator=(const Attempt &) = delete;
};

ConnectionProber::ConnectionProber(EventLoop &loop)
    : m_loop(loop)
{
}

ConnectionProber::~ConnectionProber() = default;

void ConnectionProber::probe(const Endpoint &server, Milliseconds deadline, Callback callback)
{
    auto *attempt = m_attempts.emplace_back(std::make_unique<Attempt>()).get();
    attempt->prober = this;
    attempt->callback = std::move(callback);
    attempt->startedAt = m_clock.steadyNow();
    attempt->deadline = m_loop.after(deadline, [this, attempt] { finishAtDeadline(attempt); });
    attempt->connection = bufferevent_socket_new(m_loop.base(), -1, BEV_OPT_CLOSE_ON_FREE);
    bufferevent_setcb(
        attempt->connection, nullptr, nullptr,
        [](bufferevent *, short what, void *context) {
            auto *mine = static_cast<Attempt *>(context);
            if ((what & BEV_EVENT_CONNECTED) != 0) {
                mine->prober->finish(mine, ConnectionOutcome::connected, 0);
            } else {
                mine->prober->fail(mine, EVUTIL_SOCKET_ERROR());
            }
        },
        attempt);
    sockaddr_in address {};
    address.sin_family = AF_INET;
    address.sin_port = htons(server.port);
    std::memcpy(&address.sin_addr, server.address.bytes.data(), IpAddress::sizeV4);
    if (bufferevent_socket_connect(attempt->connection, reinterpret_cast<sockaddr *>(&address), sizeof address) != 0) {
        fail(attempt, EVUTIL_SOCKET_ERROR());
    }
}

void ConnectionProber::fail(Attempt *attempt, int error)
{
    finish(attempt, outcomeOf(error), error);
}

/** At the deadline an answer may have come already that a late loop has not handled yet. */
void ConnectionProber::finishAtDeadline(Attempt *attempt)
{
    const int descriptor = bufferevent_getfd(attempt->connection);
    pollfd state {descriptor, POLLOUT, 0};
    if (::poll(&state, 1, 0) <= 0) {
        finish(attempt, ConnectionOutcome::silent, 0);
        return;
    }
    int error = 0;
    socklen_t length = sizeof error;
    ::getsockopt(descriptor, SOL_SOCKET, SO_ERROR, &error, &length);
    if (error != 0) {
        fail(attempt, error);
    } else {
        finish(attempt, ConnectionOutcome::connected, 0);
    }
}

void ConnectionProber::finish(Attempt *attempt, ConnectionOutcome outcome, int error)
{
    if (attempt->isOver) {
        return;
    }
    const bool isAnswer = outcome == ConnectionOutcome::connected || outcome == ConnectionOutcome::refused;
    const bool isLate = attempt->isOverdue;
    attempt->isOverdue = true;
    attempt->isOver = isLate || isAnswer || error != 0 || outcome == ConnectionOutcome::notMade;
    if (!attempt->isOver) {
        attempt->lateDeadline = m_loop.after(lateAnswerWait, [this, attempt] { finish(attempt, ConnectionOutcome::silent, 0); });
    }
    const ConnectionResult result {outcome, error, m_clock.steadyNow() - attempt->startedAt, isLate};
    reportLater({attempt, attempt->isOver, isLate && !isAnswer ? std::nullopt : std::optional(result)});
}

/** A connection must not be freed inside its own callback, so outcomes are reported, and attempts removed, from the loop. */
void ConnectionProber::reportLater(const Finding &finding)
{
    if (m_findings.empty()) {
        m_report = m_loop.after(Milliseconds(0), [this] { reportAll(); });
    }
    m_findings.push_back(finding);
}

void ConnectionProber::reportAll()
{
    const auto timer = std::move(m_report);
    for (const auto &[attempt, isLast, result] : std::exchange(m_findings, {})) {
        const auto callback = attempt->callback;
        if (isLast) {
            m_attempts.remove_if([gone = attempt](const auto &item) { return item.get() == gone; });
        }
        if (result) {
            callback(*result);
        }
    }
}

} // namespace sapphirespan
