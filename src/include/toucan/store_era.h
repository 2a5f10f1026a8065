#pragma once

/// The era of the platform's store, from the answers that one process receives. Thread-safe.

#include <atomic>
#include <functional>
#include <map>
#include <mutex>
#include <optional>
#include <toucan/event_log.h>
#include <toucan/metrics.h>

namespace toucan {

/// Keeps the highest era that an answer stated and notifies listeners when it increases: the store
/// was then restored from an older copy and may lack what was read before.
class store_era
{
public:
    store_era(event_log &log, metrics::registry &metrics)
        : m_log(log)
        , m_metrics(metrics)
    { }

    /// The highest era so far; 0 while no answer has stated one.
    std::uint64_t current() const { return m_current; }

    /// Takes the era that one answer stated, nullopt for none. False when the answer is of an
    /// earlier era and must not be used. Calls the listeners when the era increases.
    bool observe(std::optional<std::uint64_t> stated);

    /// Registers a callback for increases of the era during its lifetime. The callback runs on the
    /// thread that observed the new era, with a lock held: it must not block or destroy a listener.
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
