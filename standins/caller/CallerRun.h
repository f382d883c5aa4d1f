#pragma once

#include "tunnel/LwipTunnel.h"

#include <map>
#include <mutex>
#include <vector>

namespace sapphirespan {

struct CallerConnection;

/** A service that callers use. */
struct CallerTarget {
    std::string service;
    Endpoint address;
};

/** Counts of a run; every request ends in one of answers, broken or misdelivered. */
struct CallerCounts {
    std::uint64_t connections = 0;
    std::uint64_t requests = 0;
    std::uint64_t answers = 0;
    std::uint64_t broken = 0; ///< connections that failed, or whose last request was never answered
    std::uint64_t misdelivered = 0; ///< answers of another service or to another request
    std::int64_t slowestMs = 0; ///< longest time from request to answer
};

/** Holds many long connections open through the path and sends requests on each, one after another.

    Runs on lwIP's thread, but for its constructor, counts() and finish().
*/
class CallerRun
{
public:
    CallerRun(std::vector<CallerTarget> targets, std::size_t connections, Milliseconds requestInterval);
    ~CallerRun();
    CallerRun(const CallerRun &) = delete;
    CallerRun &operator=(const CallerRun &) = delete;

    /** Opens further connections, up to `count` in all. */
    void openUpTo(std::size_t count);

    /** Lets each idle connection send its next request when due. To be called every few milliseconds. */
    void advance();

    /** Stops new requests. @returns whether every connection has its last answer */
    bool finish();

    CallerCounts counts();

    /** @returns a line on each connection that broke, and on each that waits for an answer after finish(). */
    std::vector<std::string> brokenConnections();

private:
    friend struct CallerConnection;

    void open(const CallerTarget &target);

    std::vector<CallerTarget> m_targets;
    Milliseconds m_interval;
    SystemClock m_clock;
    CallerCounts m_counts;
    std::vector<std::unique_ptr<CallerConnection>> m_connections;
    std::uint64_t m_nextId = 1;
    bool m_isFinishing = false;
};

} // namespace sapphirespan
