#include "sapphirespan_net/loop/EventLoop.h"

#include <event2/event.h>

#include <cassert>
#include <csignal>

namespace sapphirespan {

namespace {

void callBack(evutil_socket_t /*descriptor*/, short /*flags*/, void *context)
{
    (*static_cast<std::function<void()> *>(context))();
}

timeval timevalOf(Milliseconds time)
{
    return {static_cast<time_t>(time.count() / 1000), static_cast<suseconds_t>((time.count() % 1000) * 1000)};
}

} // namespace

void EventDeleter::operator()(event *handle) const
{
    event_free(handle);
}

EventLoop::EventLoop()
    : m_base(event_base_new())
{
    std::signal(SIGPIPE, SIG_IGN);
}

EventLoop::~EventLoop()
{
    event_base_free(m_base);
}

void EventLoop::run()
{
    event_base_loop(m_base, EVLOOP_NO_EXIT_ON_EMPTY);
}

void EventLoop::runOnce()
{
    event_base_loop(m_base, EVLOOP_ONCE);
}

void EventLoop::stop()
{
    event_base_loopbreak(m_base);
}

EventHandle EventLoop::registered(int descriptor, short flags, std::optional<Milliseconds> time, std::function<void()> callback)
{
    EventHandle handle;
    handle.m_callback = std::make_unique<std::function<void()>>(std::move(callback));
    handle.m_event.reset(event_new(m_base, descriptor, flags, callBack, handle.m_callback.get()));
    const auto delay = timevalOf(time.value_or(Milliseconds(0)));
    event_add(handle.m_event.get(), time ? &delay : nullptr);
    return handle;
}

EventHandle EventLoop::every(Milliseconds period, std::function<void()> callback)
{
    assert(period.count() > 0);
    return registered(-1, EV_PERSIST, period, std::move(callback));
}

EventHandle EventLoop::after(Milliseconds delay, std::function<void()> callback)
{
    return registered(-1, 0, delay, std::move(callback));
}

EventHandle EventLoop::onSignal(int signalNumber, std::function<void()> callback)
{
    return registered(signalNumber, EV_SIGNAL | EV_PERSIST, std::nullopt, std::move(callback));
}

EventHandle EventLoop::onReadable(int descriptor, std::function<void()> callback)
{
    return registered(descriptor, EV_READ | EV_PERSIST, std::nullopt, std::move(callback));
}

} // namespace sapphirespan
