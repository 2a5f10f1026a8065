#pragma once

/// Keeps the configuration up to date: announces the process, follows the platform, and fetches
/// missing changes from peers. Runs on its own control thread; a second thread waits for the
/// platform.

#include <atomic>
#include <condition_variable>
#include <deque>
#include <functional>
#include <map>
#include <mutex>
#include <spdlog/spdlog.h>
#include <thread>
#include <toucan/config_history.h>
#include <toucan/platform_client.h>
#include <variant>

namespace toucan {

/// Options of a process's agent.
struct agent_options
{
    endpoint platform;
    std::chrono::milliseconds platformTimeout{1000};
    std::vector<endpoint> peers; ///< Control links to start from while the platform is down.
    std::string_view kind; ///< Kind of the own record.
    std::string name; ///< Name of the own record.
    nlohmann::json record; ///< The own record, announced at each start.
    /// Watches the platform for changes; other processes receive them from peers.
    bool watchesPlatform = false;
};

/// Maintains the configuration of one process.
class config_agent
{
public:
    /// Called on the control thread with each newer configuration.
    using publish_handler = std::function<void(const config_ptr &)>;

    config_agent(agent_options options, publish_handler handler);
    ~config_agent();
    config_agent(const config_agent &) = delete;
    config_agent &operator=(const config_agent &) = delete;

    /// Fetches the configuration from a peer that has at least this version. Thread-safe.
    void requestPull(const endpoint &control, std::uint64_t version);
    /// Deletes an object from the platform if it still has this version. Thread-safe.
    void requestRemoval(const std::string &kind, const std::string &name, std::uint64_t version);
    /// The configuration in force, or null. Thread-safe.
    config_ptr current() const;
    /// True once the platform has the own record. Thread-safe.
    bool isAnnounced() const { return m_announced; }

    /// The changes that a peer at version `have` lacks; null when there are none. Thread-safe.
    nlohmann::json answerPull(std::uint64_t have) const;

private:
    struct pull_event
    {
        endpoint control;
        std::uint64_t version;
    };
    struct removal_event
    {
        std::string kind;
        std::string name;
        std::uint64_t version;
    };
    using event = std::variant<pull_event, config_update, removal_event>;

    void post(event item);
    void runControl(const std::stop_token &stop);
    void runPlatform(const std::stop_token &stop);
    bool announce(platform_client &client);
    void follow(platform_client &client, const std::stop_token &stop);
    void handle(const pull_event &item);
    void handle(const config_update &item);
    void handle(const removal_event &item);
    void checkAnnouncement(const config_snapshot &config);
    bool pause(const std::stop_token &stop, std::chrono::milliseconds time);
    std::uint64_t version() const;

    agent_options m_options;
    publish_handler m_handler;
    std::shared_ptr<spdlog::logger> m_log;
    mutable std::mutex m_mutex;
    std::condition_variable_any m_wake;
    std::deque<event> m_events;
    config_history m_history;
    std::atomic<bool> m_announced = false;
    /// Configurations from this version on contain the own record.
    std::atomic<std::uint64_t> m_announcedVersion = 0;
    std::jthread m_platformThread;
    std::jthread m_controlThread;
};

/// Fetches the changes that a process at version `have` lacks from a control link; nullopt when
/// there are none or the link does not answer.
std::optional<config_update> pullUpdate(
    const endpoint &control, std::uint64_t have, std::chrono::milliseconds timeout);

/// Sends a request to a control link and decodes the answer; nullopt when there is none or it is
/// malformed.
std::optional<nlohmann::json> queryControlLink(
    const endpoint &control, const nlohmann::json &request, std::chrono::milliseconds timeout);

} // namespace toucan
