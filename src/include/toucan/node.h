#pragma once

/// Common parts of both programs, apart from their engines: signals, the mailbox between the
/// control and the traffic thread, and the control link with its status and metrics pages.

#include <functional>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <toucan/config_agent.h>
#include <toucan/control_link.h>
#include <toucan/metrics.h>
#include <vector>

namespace toucan::node {

/// Longest request on a control link: the decoder recurses into what it contains.
inline constexpr std::size_t maxRequestBytes = 4096;

/// Installs handlers for SIGTERM, SIGINT (orderly stop) and SIGHUP (reload) and ignores SIGPIPE.
/// Call once, before threads are started.
void handleStopSignals();
/// True once a stop signal was received.
bool stopRequested();
/// Monotonic time at which the program was loaded.
instant loadedAt();
/// True once after a SIGHUP; several between two calls count as one.
bool takeReloadRequest();

/// Passes the newest configuration from the control thread to the traffic thread.
class config_mailbox
{
public:
    /// Replaces a configuration that was not taken yet.
    void put(const config_ptr &config);
    /// The configuration put since the last call, or null.
    config_ptr take();

private:
    std::mutex m_mutex;
    config_ptr m_next;
    std::atomic<bool> m_hasNext = false;
};

/// The latest status of the traffic thread, as JSON. Thread-safe.
class status_snapshot
{
public:
    void put(nlohmann::json status);
    nlohmann::json read() const;

private:
    mutable std::mutex m_mutex;
    nlohmann::json m_status = nlohmann::json::object();
};

/// Serves the control link: configuration pulls and status as CBOR messages, and the pages
/// /metrics and /status. Throws std::runtime_error when the address cannot be bound.
std::unique_ptr<control_server> serveControlLink(const endpoint &address, const config_agent &agent,
    const status_snapshot &status, const metrics::registry &metrics);

/// HTTP response 404 for a path that is not served.
http_response notFound();
/// An endpoint in the form that control_server takes.
listen_address listenAddress(const endpoint &address);

/// A random number of 52 bits, to identify a start of this process or one of its writes.
std::uint64_t randomNumber();

} // namespace toucan::node
