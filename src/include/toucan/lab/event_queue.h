#pragma once

/// Things to do at given times, in order of time and then of being added.

#include <functional>
#include <queue>
#include <toucan/endpoint.h>

namespace toucan::lab {

/// A queue of things to do. Not thread-safe.
class event_queue
{
public:
    void at(instant time, std::function<void()> act)
    {
        m_events.push({.time = time, .order = m_order++, .act = std::move(act)});
    }
    /// Does everything that is due by `end`; `now` is each one's time meanwhile and `end` at last.
    void runUntil(instant end, instant &now)
    {
        while (!m_events.empty() && m_events.top().time <= end) {
            const auto next = m_events.top();
            m_events.pop();
            now = next.time;
            next.act();
        }
        now = end;
    }

private:
    struct event
    {
        instant time;
        std::uint64_t order;
        std::function<void()> act;
        bool operator>(const event &other) const
        {
            return std::tie(time, order) > std::tie(other.time, other.order);
        }
    };

    std::priority_queue<event, std::vector<event>, std::greater<>> m_events;
    std::uint64_t m_order = 0;
};

} // namespace toucan::lab
