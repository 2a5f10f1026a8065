#pragma once

/// The era of the platform's store as the answers to one process state it. Thread-safe.

#include <atomic>
#include <functional>
#include <map>
#include <mutex>
#include <optional>
#include <toucan/event_log.h>
#include <toucan/metrics.h>

namespace toucan {

/// Keeps the highest era that an answer stated, and tells of a rise: the store came back from an
/// older copy then, and what was read before may not stand there any more.
class store_era
{
public:
    store_era(event_log &log, metrics::registry &metrics)
        : m_log(log)
        , m_metrics(metrics)
    { }

    /// Zero while no answer has stated an era.
    std::uint64_t current() const { return m_current; }

    /// Takes in what one answer stated, nullopt for nothing. False when the answer is of an earlier
    /// era and must not be used. Calls the listeners after a rise.
    bool observe(std::optional<std::uint64_t> stated);

    /// A listener for rises, as long as this exists. It is called on the thread whose call met the
    /// new era, must return soon and may not end a listener.
    class listener
    {
    public:
        listener(store_era &era, std::function<void()> onIncrease);
        ~listener();
        listener(const listener &) = delete;
        listener &operator=(const listener &) = delete;

    private:
        store_era &m_era;
        std::uint64_t m_number;
    };

private:
    void reportIncrease(std::uint64_t before, std::uint64_t now);

    event_log &m_log;
    metrics::registry &m_metrics;
    std::atomic<std::uint64_t> m_current = 0;
    std::atomic<bool> m_missingLogged = false;
    std::mutex m_mutex;
    std::map<std::uint64_t, std::function<void()>> m_listeners;
    std::uint64_t m_nextListener = 0;
};

} // namespace toucan
