#pragma once

#include "sapphirespan_base/sapphirespan_base.h"

#include <functional>
#include <memory>

struct event;
struct event_base;

namespace sapphirespan {

/** Deletes libevent events. */
struct EventDeleter {
    void operator()(event *handle) const;
};

/** A registered timer, signal handler or descriptor; unregistered on destruction. */
class EventHandle
{
public:
    EventHandle() = default;

private:
    friend class EventLoop;
    std::unique_ptr<std::function<void()>> m_callback;
    std::unique_ptr<event, EventDeleter> m_event;
};

/** The one loop of a process. Thread safety: none; all calls come from the thread that runs it. */
class EventLoop
{
public:
    EventLoop();
    ~EventLoop();
    EventLoop(const EventLoop &) = delete;
    EventLoop &operator=(const EventLoop &) = delete;

    /** Runs until stop(). */
    void run();

    /** Handles what is pending, waiting for at most one event. */
    void runOnce();

    /** Makes run() return after the present callback. */
    void stop();

    /** Calls back every `period` while the handle lives. @pre period > 0 */
    EventHandle every(Milliseconds period, std::function<void()> callback);

    /** Calls back once after `delay`, unless the handle is destroyed before. */
    EventHandle after(Milliseconds delay, std::function<void()> callback);

    /** Calls back when a process signal arrives. */
    EventHandle onSignal(int signalNumber, std::function<void()> callback);

    /** Calls back whenever a descriptor can be read. */
    EventHandle onReadable(int descriptor, std::function<void()> callback);

    event_base *base() const
    {
        return m_base;
    }

private:
    EventHandle registered(int descriptor, short flags, std::optional<Milliseconds> time, std::function<void()> callback);

    event_base *m_base;
};

} // namespace sapphirespan
