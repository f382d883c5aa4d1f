#pragma once

#include "sapphirespan_net/loop/EventLoop.h"

#include <list>

namespace sapphirespan {

/** How a connection attempt ended. */
enum class ConnectionOutcome : std::uint8_t {
    connected,
    refused, ///< the host reset the connection
    silent, ///< nothing came within the deadline, or a router reported that the host is out of reach
    notMade, ///< this machine could not make the attempt, for example for lack of descriptors; says nothing about the host
    count
};

template<>
struct NameTable<ConnectionOutcome> {
    static constexpr std::array<std::string_view, enumCount<ConnectionOutcome>> names {"connected", "refused", "silent", "not_made"};
};

/** Tries TCP connections and closes them at once. Thread safety: none. */
class ConnectionProber
{
public:
    using Callback = std::function<void(ConnectionOutcome outcome)>;

    explicit ConnectionProber(EventLoop &loop);

    /** Attempts still open are given up; their callbacks are not called. */
    ~ConnectionProber();
    ConnectionProber(const ConnectionProber &) = delete;
    ConnectionProber &operator=(const ConnectionProber &) = delete;

    /** Starts an attempt; the callback comes from the loop. */
    void probe(const Endpoint &server, Milliseconds deadline, Callback callback);

    /** @returns why the latest attempt that could not be made was not. */
    const std::string &lastFailure() const
    {
        return m_lastFailure;
    }

private:
    struct Attempt;

    void finish(Attempt *attempt, ConnectionOutcome outcome);
    ConnectionOutcome outcomeOf(int error);
    ConnectionOutcome outcomeNow(int descriptor);

    EventLoop &m_loop;
    std::list<std::unique_ptr<Attempt>> m_attempts;
    std::string m_lastFailure;
};

} // namespace sapphirespan
