#pragma once

#include "sapphirespan_net/loop/EventLoop.h"

#include <list>
#include <optional>
#include <vector>

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

/** What one connection attempt found. */
struct ConnectionResult {
    ConnectionOutcome outcome = ConnectionOutcome::notMade;
    int error = 0; ///< as in errno; 0 if it connected, or if nothing came within the deadline
    Microseconds duration {}; ///< from the call of probe() until this process learned the outcome
    bool isLate = false; ///< answered after the deadline, when the attempt was already reported as silent

    /** @returns the system's text for the error, or "none". */
    std::string errorText() const;
};

/** Time after the deadline in which a late answer is still noticed; covers the kernel's first repetition of an attempt, which comes after
    one second. */
inline constexpr Milliseconds lateAnswerWait {1500};

/** Tries TCP connections and closes them at once. Thread safety: none. */
class ConnectionProber
{
public:
    using Callback = std::function<void(const ConnectionResult &result)>;

    explicit ConnectionProber(EventLoop &loop);

    /** Attempts still open are given up; their callbacks are not called. */
    ~ConnectionProber();
    ConnectionProber(const ConnectionProber &) = delete;
    ConnectionProber &operator=(const ConnectionProber &) = delete;

    /** Starts an attempt. The callback comes from the loop, once with the outcome, and once more with isLate if an attempt that was silent
        is answered within lateAnswerWait of its deadline. Outcomes are reported in the order in which this process learned them. */
    void probe(const Endpoint &server, Milliseconds deadline, Callback callback);

private:
    struct Attempt;

    /** An outcome that is about to be reported. */
    struct Finding {
        Attempt *attempt = nullptr;
        bool isLast = true; ///< the attempt is removed
        std::optional<ConnectionResult> result; ///< nothing if an attempt is removed that was reported as silent before
    };

    void finish(Attempt *attempt, ConnectionOutcome outcome, int error);
    void fail(Attempt *attempt, int error);
    void finishAtDeadline(Attempt *attempt);
    void reportLater(const Finding &finding);
    void reportAll();

    EventLoop &m_loop;
    std::list<std::unique_ptr<Attempt>> m_attempts;
    std::vector<Finding> m_findings; ///< to be reported from the loop, in order
    EventHandle m_report;
    SystemClock m_clock;
};

} // namespace sapphirespan
