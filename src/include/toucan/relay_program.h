#pragma once

/// Base class of the two programs that run a relay engine: settings that change at run time, the
/// socket for other processes, the configuration that peers can fetch, control links and pauses of
/// the VM.

#include <toucan/log.h>
#include <toucan/metrics.h>
#include <toucan/relay_port.h>
#include <toucan/relay_process.h>
#include <toucan/settings.h>

namespace toucan {

/// Base of a program with settings of type `T`. All code runs on the traffic thread, except the
/// handlers of the control server and of the fetcher.
template <class T>
class relay_program : protected relay_port
{
protected:
    relay_program(
        const T &settings, std::string fileName, const platform_adapter &adapter, std::string part)
        : m_settings(settings)
        , m_adapter(adapter)
        , m_log(part, settings.logRate)
        , m_part(std::move(part))
        , m_boot(node::randomNumber())
        , m_settingsWatch(std::move(fileName))
    { }

    /// A socket to open and the address to bind it to.
    struct socket_binding
    {
        std::optional<udp_socket> &socket;
        endpoint address;
    };

    /// Opens the socket for other processes and those in `others`. Returns the exit status when a
    /// socket cannot be bound, nullopt otherwise.
    std::optional<int> bindSockets(std::span<const socket_binding> others)
    {
        std::vector<socket_binding> all(others.begin(), others.end());
        all.push_back({m_peerSocket, m_settings.listen ? m_settings.listen : m_settings.peer});
        for (auto &[socket, address] : all) {
            auto bound = udp_socket::bind(address);
            if (const auto *failure = errorOf(bound)) {
                log::part(m_part)->error("A socket cannot be bound. {}", failure->detail);
                return errorInfo(failure->kind).exitCode;
            }
            socket.emplace(std::get<udp_socket>(std::move(bound)));
        }
        return std::nullopt;
    }

    /// Calls onConfig(config, source) on the fetcher's thread for each fetched configuration.
    void startFetcher(config_fetcher::handler onConfig)
    {
        m_fetcher = std::make_unique<config_fetcher>(m_adapter, m_log, std::move(onConfig));
    }

    /// Starts the server of control links, the metrics page and the platform's requests, which
    /// `answer` handles. Handlers run on the server's threads.
    std::unique_ptr<control_server> serveControl(
        std::function<http_response(const incoming_request &)> answer)
    {
        std::vector addresses{
            node::listenAddress(m_settings.control), node::listenAddress(m_settings.readiness)};
        if (m_settings.reports)
            addresses.push_back(node::listenAddress(m_settings.reports));
        const auto listen = [&](const std::vector<listen_address> &on) {
            return std::make_unique<control_server>(
                on,
                [this](const std::vector<std::uint8_t> &request) {
                    return nlohmann::json::to_cbor(answerControl(request));
                },
                [this, answer](const http_request &request) {
                    if (request.method == "GET" && request.path == "/metrics")
                        return http_response{.body = metricsText()};
                    return answer(m_adapter.readRequest(request));
                });
        };
        if (!m_settings.metrics)
            return listen(addresses);
        auto withMetrics = addresses;
        withMetrics.push_back(node::listenAddress(m_settings.metrics));
        try {
            return listen(withMetrics);
        } catch (const std::runtime_error &failure) {
            // The process runs without this listener: the control address serves the page too.
            m_log.write(monotonicNow(),
                dependency_changed{.dependency = "metrics address",
                    .name = toString(m_settings.metrics),
                    .state = "lost",
                    .reason = failure.what()});
            return listen(addresses);
        }
    }

    /// Text of the metrics page, with the processor time brought up to date.
    std::string metricsText()
    {
        m_metrics.numberOf("toucan_processor_ms_total").set(processorTime());
        return m_metrics.text();
    }

    /// Answers a CBOR message received on a control link.
    nlohmann::json answerControl(const std::vector<std::uint8_t> &request)
    {
        if (request.size() > node::maxRequestBytes)
            return {{"error", "the request is too long"}};
        const auto message = nlohmann::json::from_cbor(request, true, false);
        const auto operation
            = message.is_object() ? message.value("op", nlohmann::json()) : message;
        if (operation == "config")
            return m_publishedConfig.answerIfDifferent(message.value("have", nlohmann::json()));
        if (operation == "status")
            return requestStatus(m_mailbox);
        return {{"error", "expected op config or status"}};
    }

    /// Logs, at the first call only, that the process can serve, and sets the start time metric.
    void reportReadyOnce(instant now)
    {
        if (std::exchange(m_isReadyReported, true))
            return;
        const auto started
            = std::chrono::duration_cast<std::chrono::milliseconds>(now - node::loadedAt());
        m_log.write(now, process_ready{.startMs = static_cast<std::uint64_t>(started.count())});
        m_metrics.numberOf("toucan_start_ms").set(static_cast<std::uint64_t>(started.count()));
    }

    void logStart()
    {
        m_log.write(monotonicNow(),
            process_started{.name = m_settings.name,
                .domain = m_settings.domain,
                .boot = m_boot,
                .peer = m_settings.peer});
    }
    void logStop(std::string_view stage, std::size_t flows)
    {
        m_log.write(monotonicNow(), process_stopping{.stage = std::string(stage), .flows = flows});
    }

    /// After a pause of the VM, drops the datagrams queued in `socket`: they were sent under
    /// conditions that no longer hold. Returns whether there was a pause.
    bool discardAfterPause(instant now, udp_socket &socket)
    {
        const auto paused = m_pauseDetector.check();
        if (paused == instant{})
            return false;
        std::uint64_t discarded = 0;
        while (socket.receive(m_buffer))
            ++discarded;
        m_log.write(now,
            clock_jumped{
                .pausedMs = static_cast<std::uint64_t>(paused.count()), .discarded = discarded});
        return true;
    }

    /// Reads the settings file again after it changed or a reload signal arrived. Returns whether
    /// settings that take effect at run time have changed.
    bool reloadSettings(instant now)
    {
        const auto cause = m_settingsWatch.pollChange(now);
        if (cause.empty())
            return false;
        settings_reloaded line{.cause = std::string(cause), .outcome = "read"};
        const auto loaded = settings::load<T>(m_settingsWatch.fileName());
        if (const auto *failure = errorOf(loaded)) {
            line.outcome = failure->detail;
        } else {
            auto change = settings::takeReloadable(m_settings, *valueOf(loaded));
            line.applied = std::move(change.applied);
            line.atNextStart = std::move(change.atNextStart);
        }
        log::setLevel(m_settings.logLevel);
        m_log.setRate(m_settings.logRate);
        m_log.write(now, line);
        return !line.applied.empty();
    }

    /// Address, timeout and dialect for access to the platform's store.
    store_access storeAccess()
    {
        return {.address = m_settings.platform,
            .timeout = m_settings.platformTimeout,
            .dialect = m_adapter.objects,
            .metrics = m_metrics,
            .log = m_log,
            .era = m_storeEra};
    }

    void sendPeer(const endpoint &to, byte_view head, byte_view payload) override
    {
        m_peerSocket->send(to, head, payload);
    }
    void fetchConfig(const endpoint &peer, const config_stamp &) override
    {
        m_fetcher->request(
            {.ip = peer.ip, .port = m_settings.control.port}, stampOf(m_publishedConfig.get()));
    }

    T m_settings;
    const platform_adapter &m_adapter;
    metrics::registry m_metrics;
    event_log m_log;
    store_era m_storeEra{m_log, m_metrics};
    std::string m_part;
    std::uint64_t m_boot;
    relay_mailbox m_mailbox;
    published_config m_publishedConfig;
    std::optional<udp_socket> m_peerSocket;
    settings_watch m_settingsWatch;
    pause_detector m_pauseDetector;
    bool m_isReadyReported = false;
    std::unique_ptr<config_fetcher> m_fetcher;
    std::array<std::uint8_t, maxSegmentBytes> m_buffer{};
};

} // namespace toucan
