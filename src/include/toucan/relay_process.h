#pragma once

/// Common parts of the programs that relay segments, apart from their engines: events for the
/// traffic thread, sockets, configurations fetched from peers, changed settings, and pauses of the
/// VM.

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

/// A request for the process's state.
struct status_request
{
    std::shared_ptr<std::promise<nlohmann::json>> answer;
};

/// An event that another thread sends to the traffic thread.
using relay_event
    = std::variant<config_event, domains_event, entries_event, target_liveness, status_request>;

/// Passes events to the traffic thread. Thread-safe.
class relay_mailbox
{
public:
    /// Appends an event.
    void put(relay_event event);
    /// All events put since the last call.
    std::vector<relay_event> take();

private:
    std::mutex m_mutex;
    std::vector<relay_event> m_events;
    std::atomic<bool> m_hasEvents = false;
};

/// Requests the process's state from the traffic thread, which empties the mailbox; an object with
/// the field `error` when it does not answer within 500 ms.
nlohmann::json requestStatus(relay_mailbox &mailbox);

/// The newest configuration, for control links. Thread-safe.
class published_config
{
public:
    /// Replaces the configuration.
    void put(const relay_config_ptr &config);
    /// The configuration, or null.
    relay_config_ptr get() const;
    /// The answer to a peer that has the configuration with the stamp `have`; null when this
    /// process has the same one or none.
    nlohmann::json answerIfDifferent(const nlohmann::json &have);

private:
    mutable std::mutex m_mutex;
    relay_config_ptr m_config;
    byte_buffer m_packed; ///< Compressed text of one revision, as sent to peers.
    relay_config_ptr m_packedConfig; ///< The configuration that m_packed was made from.
};

/// Encodes a stamp for messages on control links.
nlohmann::json writeStamp(const config_stamp &stamp);

/// Compresses a configuration's text for peers.
byte_buffer packText(const std::string &text);
/// Decompresses a text of `size` bytes; nullopt when the input is malformed or truncated.
std::optional<std::string> unpackText(byte_view packed, std::size_t size);

/// Fetches configurations from peers on its own thread.
class config_fetcher
{
public:
    using handler = std::function<void(const relay_config_ptr &config, const endpoint &from)>;
    /// Calls `onConfig` on the fetcher's thread with each configuration received.
    config_fetcher(const platform_adapter &adapter, event_log &log, handler onConfig);
    ~config_fetcher();

    /// Fetches the configuration from a control link, unless it is `have`. Replaces a request that
    /// is still waiting. Thread-safe.
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

/// Detects that the VM was suspended: the steady clock does not count that time.
class pause_detector
{
public:
    /// Length of the pause since the last call; zero when it was shorter than 500 ms.
    std::chrono::milliseconds check();

private:
    std::optional<std::chrono::nanoseconds> m_clockDifference;
};

/// CPU time that the process has used, in milliseconds.
std::uint64_t processorTime();

/// Detects a changed settings file, with or without a signal.
class settings_watch
{
public:
    explicit settings_watch(std::string fileName);
    /// "signal" or "file", the reason to read the file again; empty otherwise. Checks the file's
    /// modification time every two seconds.
    std::string_view pollChange(instant now);
    const std::string &fileName() const { return m_fileName; }

private:
    std::string m_fileName;
    std::filesystem::file_time_type m_modifiedAt;
    instant m_lastPoll{};
};

/// The seeds' peer addresses: their IP with the port of `ownPeer`, which is the same on all VMs.
std::vector<endpoint> seedPeers(std::span<const endpoint> seeds, const endpoint &ownPeer);

/// Reads the datagrams queued on a socket, up to 64. Returns their number.
template <class F>
std::size_t readBatch(udp_socket &socket, std::span<std::uint8_t> buffer, F &&handle)
{
    // Limited, so that one busy socket does not starve the others.
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

/// Waits until one of the sockets is readable or the timeout expires.
void waitForSockets(std::span<const udp_socket *const> sockets, std::chrono::milliseconds timeout);

} // namespace toucan
