#include <algorithm>
#include <condition_variable>
#include <random>
#include <toucan/store_follower.h>
#include <toucan/udp_socket.h>

namespace toucan {
namespace {

using namespace std::chrono_literals;

constexpr auto minPause = 100ms;
// Up to 0.8 s: a process that starts while the store is unavailable serves no flows until it
// returns.
constexpr std::uint64_t maxDoublings = 3;

} // namespace

std::chrono::milliseconds retry_backoff::next()
{
    const auto maxPause = minPause * (1U << std::min(m_failures, maxDoublings));
    ++m_failures;
    std::uniform_int_distribution<std::int64_t> part(maxPause.count() / 2, maxPause.count());
    return std::chrono::milliseconds(part(m_random));
}

bool pauseThread(const std::stop_token &stop, std::chrono::milliseconds time)
{
    std::mutex mutex;
    std::condition_variable_any wake;
    std::unique_lock lock(mutex);
    wake.wait_for(lock, stop, time, [] { return false; });
    return !stop.stop_requested();
}

void countCall(const store_access &store, std::string_view call)
{
    store.metrics.numberOf("toucan_store_calls_total", "call", call).add();
}

bool pauseAfterFailure(const store_access &store, retry_backoff &backoff, const std::string &call,
    const error &failure, const std::stop_token &stop)
{
    const auto time = backoff.next();
    store.metrics.numberOf("toucan_store_failures_total", "error", errorInfo(failure.kind).name)
        .add();
    store.log.write(monotonicNow(),
        store_call_failed{.call = call,
            .error = failure.detail,
            .failures = backoff.failures(),
            .retryMs = static_cast<std::uint64_t>(time.count())});
    return pauseThread(stop, time);
}

store_follower::store_follower(
    store_access access, std::string kind, handler onChange, std::chrono::milliseconds watchTime)
    : m_store(access)
    , m_kind(std::move(kind))
    , m_handler(std::move(onChange))
    , m_watchTime(watchTime)
    , m_client(m_store.address, m_store.timeout, m_store.dialect, &m_store.era)
    , m_eraListener(m_store.era, [this] { m_client.interrupt(); })
    , m_thread([this](const std::stop_token &stop) { run(stop); })
{ }

store_follower::~store_follower()
{
    m_thread.request_stop();
    m_client.cancel();
}

void store_follower::run(const std::stop_token &stop)
{
    retry_backoff backoff(std::random_device{}());
    const auto mayCall = [this] { return m_mode != call_mode::inactive; };
    while (!stop.stop_requested()) {
        if (!waitUntil(stop, mayCall) || !follow(stop, backoff))
            return;
    }
}

void store_follower::setActive(bool active)
{
    const auto mode = active ? call_mode::active : call_mode::inactive;
    if (m_mode == mode)
        return;
    const std::lock_guard lock(m_mutex);
    m_mode = mode;
    m_wake.notify_all();
}

// False when the thread is to stop.
bool store_follower::waitUntil(const std::stop_token &stop, const std::function<bool()> &condition)
{
    std::unique_lock lock(m_mutex);
    if (condition())
        return true;
    m_following = false;
    return m_wake.wait(lock, stop, condition);
}

// Lists and then watches until a call fails; false when the thread is to stop.
bool store_follower::follow(const std::stop_token &stop, retry_backoff &backoff)
{
    countCall(m_store, "list");
    const auto listed = m_client.list(m_kind);
    const auto *all = valueOf(listed);
    if (!all) {
        markLost(*errorOf(listed));
        // After one failure, waits for setActive(): until then the process may not need to retry.
        return pauseAfterFailure(m_store, backoff, "list " + m_kind, *errorOf(listed), stop)
            && waitUntil(stop, [this] { return m_mode != call_mode::first_list; });
    }
    markFollowing();
    snapshot objects;
    for (const auto &object : all->objects)
        objects[object.name] = object;
    detectRestore(*all);
    logUnreadable(*all);
    m_handler({.era = all->era, .revision = all->version}, objects);
    auto revision = all->version;
    while (!stop.stop_requested()) {
        if (m_mode != call_mode::active) {
            // Changes in the meantime are missed, so the next call is a list.
            const bool wasListed = m_mode == call_mode::first_list;
            if (!wasListed || !waitUntil(stop, [this] { return m_mode != call_mode::first_list; }))
                return !stop.stop_requested();
            if (m_mode != call_mode::active)
                return true;
        }
        countCall(m_store, "watch");
        const auto outcome = m_client.changesAfter(revision, m_watchTime, m_kind, all->era);
        const auto *changes = valueOf(outcome);
        if (stop.stop_requested())
            return false;
        // The store reuses revisions after a restore, so a watch from an older one proves nothing.
        if (m_store.era.current() != all->era)
            return true;
        if (!changes) {
            const auto &failure = *errorOf(outcome);
            if (failure.kind == error_kind::not_found) {
                m_store.log.write(monotonicNow(),
                    store_call_failed{.call = "watch " + m_kind,
                        .error = "the changes since revision " + std::to_string(revision)
                            + " are no longer available; listing again"});
                return true;
            }
            markLost(failure);
            return pauseAfterFailure(m_store, backoff, "watch " + m_kind, failure, stop);
        }
        markFollowing();
        logUnreadable(*changes);
        backoff.reset();
        revision = std::max(revision, changes->version);
        for (const auto &object : changes->objects) {
            if (object.body.is_null())
                objects.erase(object.name);
            else
                objects[object.name] = object;
        }
        m_handler({.era = all->era, .revision = revision}, objects);
    }
    return false;
}

void store_follower::detectRestore(const object_list &all)
{
    const store_point point{.era = all.era, .revision = all.version};
    const auto before = std::exchange(m_lastListPoint, point);
    if (before.era == 0 || before.era == point.era)
        return;
    m_store.log.write(monotonicNow(),
        store_restored{.kind = m_kind,
            .eraBefore = before.era,
            .revisionBefore = before.revision,
            .era = point.era,
            .revision = point.revision,
            .objects = all.objects.size()});
}

// Other writers' objects may be malformed; what was known of them before stays.
void store_follower::logUnreadable(const object_list &objects)
{
    if (objects.unreadable > 0)
        m_store.log.write(monotonicNow(),
            objects_ignored{
                .kind = m_kind, .count = objects.unreadable, .reason = "they cannot be read"});
}

void store_follower::markFollowing()
{
    m_following = true;
    if (!m_lost.exchange(false))
        return;
    m_store.log.write(monotonicNow(),
        dependency_changed{
            .dependency = "store", .name = m_kind, .state = "regained", .reason = "it answered"});
}

void store_follower::markLost(const error &failure)
{
    m_following = false;
    if (m_lost.exchange(true))
        return;
    m_store.log.write(monotonicNow(),
        dependency_changed{
            .dependency = "store", .name = m_kind, .state = "lost", .reason = failure.detail});
}

} // namespace toucan
