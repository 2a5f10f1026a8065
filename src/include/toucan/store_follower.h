#pragma once

/// Follows one kind of objects in the platform's store on its own thread: lists it, then waits for
/// changes. Failed calls are repeated after an exponential backoff with jitter.

#include <atomic>
#include <condition_variable>
#include <functional>
#include <map>
#include <random>
#include <thread>
#include <toucan/event_log.h>
#include <toucan/metrics.h>
#include <toucan/platform_client.h>
#include <toucan/store_point.h>

namespace toucan {

/// Pauses between failed calls: doubled from 100 ms up to 0.8 s, each shortened at random by up to
/// half, so that the processes that wait for a store do not retry at the same time.
class retry_backoff
{
public:
    explicit retry_backoff(std::uint64_t seed)
        : m_random(seed)
    { }
    /// Counts a failure and returns the pause before the next call.
    std::chrono::milliseconds next();
    /// Starts again with the shortest pause, after a success.
    void reset() { m_failures = 0; }
    /// Failures since the last reset.
    std::uint64_t failures() const { return m_failures; }

private:
    std::mt19937_64 m_random;
    std::uint64_t m_failures = 0;
};

/// How to reach the store.
struct store_access
{
    endpoint address;
    std::chrono::milliseconds timeout{1000}; ///< Limit of one call; a watch's wait is added.
    const platform_dialect &dialect;
    metrics::registry &metrics;
    event_log &log;
    store_era &era;
};

/// Counts one call to the store: list, watch, get or put.
void countCall(const store_access &store, std::string_view call);

/// Waits up to `time`; false when the thread is to stop.
bool pauseThread(const std::stop_token &stop, std::chrono::milliseconds time);

/// Logs a failed call, counts it, and waits before the next; false when the thread is to stop.
bool pauseAfterFailure(const store_access &store, retry_backoff &backoff, const std::string &call,
    const error &failure, const std::stop_token &stop);

/// Follows one kind of objects.
class store_follower
{
public:
    /// All objects of the kind by name, as of a point of the store's history. Called on the
    /// follower's thread after each change.
    using snapshot = std::map<std::string, stored_object>;
    using handler = std::function<void(const store_point &point, const snapshot &objects)>;

    /// Each watch waits up to `watchTime`, which must be less than the time for which the store
    /// keeps its history.
    store_follower(store_access access, std::string kind, handler onChange,
        std::chrono::milliseconds watchTime = std::chrono::seconds(18));
    ~store_follower();

    /// Whether to follow changes. Active at first; an inactive follower starts no calls, but
    /// completes the one in progress. Thread-safe.
    void setActive(bool active);
    /// True while the follower is active and its newest call succeeded. Thread-safe.
    bool isFollowing() const { return m_following; }
    /// True when the newest call failed. Thread-safe.
    bool isLost() const { return m_lost; }

private:
    void run(const std::stop_token &stop);
    bool follow(const std::stop_token &stop, retry_backoff &backoff);
    void detectRestore(const object_list &all);
    bool waitUntil(const std::stop_token &stop, const std::function<bool()> &condition);
    void logUnreadable(const object_list &objects);
    void markFollowing();
    void markLost(const error &failure);

    store_access m_store;
    std::string m_kind;
    handler m_handler;
    std::chrono::milliseconds m_watchTime;
    platform_client m_client;
    store_era::listener m_eraListener; ///< Interrupts a watch of an earlier era.
    store_point m_lastListPoint; ///< Era and revision of the newest list.
    /// Whether the follower makes calls; first_list lists once and then waits for setActive().
    enum class call_mode : std::uint8_t { first_list, active, inactive };
    std::atomic<call_mode> m_mode = call_mode::first_list;
    std::atomic<bool> m_following = false;
    std::atomic<bool> m_lost = false;
    std::mutex m_mutex;
    std::condition_variable_any m_wake;
    std::jthread m_thread;
};

} // namespace toucan
