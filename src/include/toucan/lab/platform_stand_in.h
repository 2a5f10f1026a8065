#pragma once

/// Stand-in for the platform's object service: objects with versions, conditional writes, waiting
/// for changes, and faults on demand. Counts every call.

#include <Poco/Net/HTTPServer.h>
#include <Poco/ThreadPool.h>
#include <condition_variable>
#include <deque>
#include <map>
#include <memory>
#include <mutex>
#include <nlohmann/json.hpp>
#include <optional>
#include <toucan/config.h>

namespace toucan::lab {

/// How the stand-in misbehaves.
struct platform_faults
{
    bool down = false; ///< Closes every connection without an answer.
    std::chrono::milliseconds delay{0}; ///< Before each call is handled.
    bool loseWriteAnswers = false; ///< Writes take effect, their answers are cut off.
    bool deafWatches = false; ///< Waiting watches hear of no change.
    bool busy = false; ///< Every call is refused with 429.
    bool hideEra = false; ///< Answers state no era.
};

/// The object store and its HTTP server. Thread-safe.
class platform_stand_in
{
public:
    explicit platform_stand_in(const endpoint &address);
    /// Ends waiting watches and returns when no request is in progress.
    ~platform_stand_in();
    platform_stand_in(const platform_stand_in &) = delete;
    platform_stand_in &operator=(const platform_stand_in &) = delete;

    void setFaults(const platform_faults &faults);
    /// Comes back from a copy as of `age` ago: what was written since is gone, its versions are
    /// given out again and the era rises. `cutWatches` ends waiting watches without an answer.
    void restore(std::chrono::milliseconds age, bool cutWatches = true);
    /// Value of the header `Store-Era`; nullopt when answers state none.
    std::optional<std::uint64_t> statedEra() const;
    platform_faults faults() const;

    /// Calls so far: {"reads", "writes", "waits", "waitingNow"}.
    nlohmann::json counts() const;

    // What the HTTP handler calls.
    struct outcome
    {
        int status = 200;
        nlohmann::json body;
    };
    outcome list();
    outcome listKind(const std::string &kind);
    outcome watchKind(
        const std::string &kind, std::uint64_t version, std::chrono::milliseconds wait);
    /// Drops the history and cuts off all watches. A watch from before then waits in vain, as the
    /// users' platform lets it.
    void forgetHistory();
    /// True when the watches that began before `epoch` were cut off.
    bool isCutOff(std::uint64_t epoch) const;
    std::uint64_t watchEpoch() const;
    outcome get(const std::string &kind, const std::string &name);
    outcome put(const std::string &kind, const std::string &name, const nlohmann::json &body,
        std::optional<std::uint64_t> expected);
    outcome remove(
        const std::string &kind, const std::string &name, std::optional<std::uint64_t> expected);
    outcome changesAfter(std::uint64_t version, std::chrono::milliseconds wait);

private:
    using object_id = std::pair<std::string, std::string>;
    struct change
    {
        std::uint64_t version;
        object_id id;
        nlohmann::json body; ///< Null for a removal.
        std::chrono::steady_clock::time_point at;
    };
    nlohmann::json describe(const object_id &id) const;
    std::uint64_t record(const object_id &id, const nlohmann::json &body);
    std::uint64_t versionOf(const object_id &id) const;

    mutable std::mutex m_mutex;
    std::condition_variable m_changed;
    std::map<object_id, stored_object> m_objects;
    std::deque<change> m_changes;
    std::uint64_t m_forgotten = 0; ///< Watches hear of later changes only.
    std::uint64_t m_version = 1;
    platform_faults m_faults;
    std::uint64_t m_era = 1;
    bool m_stopping = false;
    std::uint64_t m_watchEpoch = 0;
    std::uint64_t m_reads = 0;
    std::uint64_t m_writes = 0;
    std::uint64_t m_waits = 0;
    std::uint64_t m_waitingNow = 0;
    // Joined before what its threads use goes away; the server stops without waiting for them.
    Poco::ThreadPool m_threads;
    std::unique_ptr<Poco::Net::HTTPServer> m_server;
};

} // namespace toucan::lab
