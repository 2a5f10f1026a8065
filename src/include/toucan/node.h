#pragma once

/// What both programs share around their engines: the stop signal, the mailbox between the control
/// and the traffic thread, and the control link with its status and metrics pages.

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

/// Lets SIGTERM and SIGINT end the program in order. Call once, before threads are started.
void handleStopSignals();
/// True once a stop signal came.
bool stopRequested();
/// When the program was loaded.
instant loadedAt();
/// True once after each SIGHUP that came since handleStopSignals().
bool takeReloadRequest();

/// Hands the newest configuration from the control thread to the traffic thread.
class config_mailbox
{
public:
    void put(const config_ptr &config);
    /// The configuration put since the last call, or null.
    config_ptr take();

private:
    std::mutex m_mutex;
    config_ptr m_next;
    std::atomic<bool> m_hasNext = false;
};

/// The latest status of the traffic thread, as JSON.
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

/// The answer to a path that is not served.
http_response notFound();
/// An endpoint in the form that control_server takes.
listen_address listenAddress(const endpoint &address);

/// A random number for a start of this process.
std::uint64_t randomNumber();

} // namespace toucan::node
