#pragma once

#include "sapphirespan_net/loop/EventLoop.h"

#include <list>

namespace sapphirespan {

/** How a connection attempt ended. */
enum class ConnectionOutcome : std::uint8_t {
    connected,
    refused, ///< reset, or reported unreachable
    silent, ///< nothing came within the deadline
    count
};

template<>
struct NameTable<ConnectionOutcome> {
    static constexpr std::array<std::string_view, enumCount<ConnectionOutcome>> names {"connected", "refused", "silent"};
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

private:
    struct Attempt;

    void finish(Attempt *attempt, ConnectionOutcome outcome);

    EventLoop &m_loop;
    std::list<std::unique_ptr<Attempt>> m_attempts;
};

} // namespace sapphirespan
