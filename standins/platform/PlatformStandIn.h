#pragma once

#include "sapphirespan_platform/sapphirespan_platform.h"

#include <list>

namespace sapphirespan {

/** How the stand-in misbehaves, by command. */
struct PlatformFaults {
    bool isDown = false; ///< answers nothing
    Milliseconds delay {0}; ///< before each answer
    int loseAnswers = 0; ///< writes that take effect without an answer
    bool isStale = false; ///< reads see the objects as they were when this began
};

/** The platform's object API in memory: versions, conditional writes, lists, waiting reads, rates and faults.

    `POST /admin/faults?down=0|1&delay_ms=N&lose_answers=N&stale=0|1` sets faults, `GET /admin/calls` tells calls.
    Thread safety: none.
*/
class PlatformStandIn
{
public:
    explicit PlatformStandIn(EventLoop &loop);

    void handle(const HttpRequest &request, const std::shared_ptr<HttpExchange> &exchange);

private:
    using Objects = std::map<std::string, StoredObject>; ///< by "kind/name"

    /** A waiting read. */
    struct Watch {
        std::string key;
        std::uint64_t after = 0;
        SteadyTime until;
        std::shared_ptr<HttpExchange> exchange;
    };

    /** Calls of the running second, for the rates. */
    struct Rate {
        SteadyTime second {};
        int calls = 0;
    };

    void serve(const HttpRequest &request, const std::shared_ptr<HttpExchange> &exchange);
    void serveRead(const HttpRequest &request, const std::string &key, const std::shared_ptr<HttpExchange> &exchange);
    void serveList(const std::string &kind, const std::shared_ptr<HttpExchange> &exchange);
    void serveWrite(const HttpRequest &request, const std::string &key, const std::shared_ptr<HttpExchange> &exchange);
    void serveAdmin(const HttpRequest &request, const std::shared_ptr<HttpExchange> &exchange);
    void setFaults(const HttpRequest &request);
    void wakeWatches(const std::string &key);
    void expireWatches();
    bool isWithinRate(Rate &rate, int mostPerSecond);
    const Objects &readable() const;

    EventLoop &m_loop;
    SystemClock m_clock;
    Objects m_objects;
    Objects m_stale;
    PlatformFaults m_faults;
    std::list<Watch> m_watches;
    std::list<EventHandle> m_delayed;
    Rate m_reads;
    Rate m_writes;
    std::uint64_t m_readCalls = 0;
    std::uint64_t m_writeCalls = 0;
    EventHandle m_timer;
};

} // namespace sapphirespan
