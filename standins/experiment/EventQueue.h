#pragma once

#include "sapphirespan_base/sapphirespan_base.h"

#include <functional>
#include <queue>
#include <vector>

namespace sapphirespan {

/** Runs actions in the order of their logical time, on a clock that it moves. Thread safety: none. */
class EventQueue
{
public:
    using Action = std::function<void()>;

    /** Runs an action after `delay` of logical time. Actions of equal time run in the order in which they were added. */
    void after(Microseconds delay, Action action)
    {
        m_queue.push({m_clock.elapsed() + delay, m_next++, std::move(action)});
    }

    /** Runs every action that falls within the next `length`. */
    void runFor(Microseconds length)
    {
        const auto end = m_clock.elapsed() + length;
        while (!m_queue.empty() && m_queue.top().time <= end) {
            auto event = std::move(const_cast<Event &>(m_queue.top())); // the moved-from element is popped at once
            m_queue.pop();
            m_clock.advance(event.time - m_clock.elapsed());
            event.action();
        }
        m_clock.advance(end - m_clock.elapsed());
    }

    const ManualClock &clock() const
    {
        return m_clock;
    }

private:
    struct Event {
        Microseconds time;
        std::uint64_t number;
        Action action;

        bool operator<(const Event &other) const
        {
            return std::tie(other.time, other.number) < std::tie(time, number);
        }
    };

    ManualClock m_clock;
    std::priority_queue<Event> m_queue;
    std::uint64_t m_next = 0;
};

} // namespace sapphirespan
