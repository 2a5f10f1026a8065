#pragma once

/// What the programs that relay segments share round their engines: events for the traffic thread,
/// sockets, the fetching of configurations from peers, settings that change, and pauses of the VM.

#include <condition_variable>
#include <deque>
#include <filesystem>
#include <future>
#include <poll.h>
#include <thread>
#include <toucan/event_log.h>
#include <toucan/generated/relay.h>
#include <toucan/node.h>
#include <toucan/platform_adapter.h>
#include <toucan/udp_socket.h>

namespace toucan {

/// A configuration from the store or a peer.
struct config_event
{
    relay_config_ptr config;
    std::string source;
};

/// Failure domains out of service.
struct domains_event
{
    domains_out domains;
};

/// Entries on the store's list.
struct entries_event
{
    std::vector<entry_place> entries;
};

/// Somebody asks for the process's state.
struct status_request
{
    std::shared_ptr<std::promise<nlohmann::json>> answer;
};

/// What other threads have for the traffic thread.
using relay_event
    = std::variant<config_event, domains_event, entries_event, target_liveness, status_request>;

/// Passes events to the traffic thread. Thread-safe.
class relay_mailbox
{
public:
    void put(relay_event event);
    /// Everything that came since the last call.
    std::vector<relay_event> take();

private:
    std::mutex m_mutex;
    std::vector<relay_event> m_events;
    std::atomic<bool> m_hasEvents = false;
};

/// The process's state, from the traffic thread that empties the mailbox.
nlohmann::json requestStatus(relay_mailbox &mailbox);

/// The newest configuration for control links, which any thread may read.
class published_config
{
public:
    /// Replaces what is there.
    void put(const relay_config_ptr &config);
    relay_config_ptr get() const;
    /// Answers a control link that asks for another one than it has; null when there is none.
    nlohmann::json answerIfDifferent(const nlohmann::json &have);

private:
    mutable std::mutex m_mutex;
    relay_config_ptr m_config;
    byte_buffer m_packed; ///< The text of one revision as peers get it.
    relay_config_ptr m_packedConfig; ///< What was packed.
};

/// A stamp as it stands in messages on control links.
nlohmann::json writeStamp(const config_stamp &stamp);

/// Compresses a configuration's text for peers.
byte_buffer packText(const std::string &text);
/// The text of `size` bytes again; nullopt when the bytes are no packed text, or are cut short.
std::optional<std::string> unpackText(byte_view packed, std::size_t size);

/// Fetches configurations from peers on a thread of its own.
class config_fetcher
{
public:
    using handler = std::function<void(const relay_config_ptr &config, const endpoint &from)>;
    config_fetcher(const platform_adapter &adapter, event_log &log, handler onConfig);
    ~config_fetcher();

    /// Fetches from a control link what it has, unless it is `have`. Replaces a request that still
    /// waits.
    void request(const endpoint &control, const config_stamp &have);

private:
    struct job
    {
        endpoint control;
        config_stamp have;
    };
    void run(const std::stop_token &stop);
    void fetch(const job &item);

    const platform_adapter &m_adapter;
    event_log &m_log;
    handler m_handler;
    std::mutex m_mutex;
    std::condition_variable_any m_wake;
    std::optional<job> m_next;
    std::jthread m_thread;
};

/// Notices that the VM stood still: the steady clock does not count that time.
class pause_detector
{
public:
    /// Length of a pause since the last call, zero when there was none worth noting.
    std::chrono::milliseconds check();

private:
    std::optional<std::chrono::nanoseconds> m_clockDifference;
};

/// Processor time that the process has used, milliseconds.
std::uint64_t processorTime();

/// Notices a changed settings file, with or without a signal.
class settings_watch
{
public:
    explicit settings_watch(std::string fileName);
    /// "signal" or "file" when the file is to be read again, empty otherwise. Looks at the file
    /// every two seconds.
    std::string_view pollChange(instant now);
    const std::string &fileName() const { return m_fileName; }

private:
    std::string m_fileName;
    std::filesystem::file_time_type m_modifiedAt;
    instant m_lastPoll{};
};

/// The seeds' peer addresses: their IP with the port that is the same on all VMs.
std::vector<endpoint> seedPeers(std::span<const endpoint> seeds, const endpoint &ownPeer);

/// Reads all datagrams that wait on a socket, up to a batch. Returns how many there were.
template <class F>
std::size_t readBatch(udp_socket &socket, std::span<std::uint8_t> buffer, F &&handle)
{
    // Other sockets get their turn after this many.
    constexpr std::size_t maxDatagrams = 64;
    std::size_t count = 0;
    for (; count < maxDatagrams; ++count) {
        const auto datagram = socket.receive(buffer);
        if (!datagram)
            break;
        handle(datagram->from, buffer.first(datagram->payload.size()));
    }
    return count;
}

/// Waits until one of the sockets is readable or the time is over.
void waitForSockets(std::span<const udp_socket *const> sockets, std::chrono::milliseconds timeout);

} // namespace toucan
