#pragma once

#include <toucan/entry_directory.h>
#include <toucan/relay_process.h>
#include <toucan/relay_target.h>
#include <toucan/settings.h>

namespace toucan {

/// The program round a relay_target: sockets, the target's reports, control links.
class target_relay_server : private relay_port
{
public:
    target_relay_server(const target_relay_settings &settings, std::string fileName,
        const platform_adapter &adapter);

    /// Serves until a stop signal; returns the exit status.
    int run();

private:
    void sendPeer(const endpoint &to, byte_view head, byte_view payload) override;
    void sendCaller(const endpoint &caller, byte_view bytes) override;
    void sendTarget(byte_view bytes) override;
    void fetchConfig(const endpoint &peer, std::uint64_t revision) override;

    std::unique_ptr<control_server> serveControl();
    http_response answer(const http_request &request);
    http_response answerReport(const target_liveness &report);
    void loop();
    bool discardAfterPause(instant now);
    void lookUpEntries(instant now);
    void reloadSettings(instant now, std::string_view cause);
    void handle(instant now, const config_event &event);
    void handle(instant now, const domains_event &event);
    void handle(instant now, const entries_event &event);
    void handle(instant now, const target_liveness &event);

    target_relay_settings m_settings;
    const platform_adapter &m_adapter;
    metrics::registry m_metrics;
    event_log m_log;
    std::uint64_t m_boot;
    relay_mailbox m_mailbox;
    config_shelf m_shelf;
    std::optional<udp_socket> m_peers;
    std::optional<udp_socket> m_outbound;
    settings_watch m_watch;
    pause_detector m_pauses;
    relay_target m_engine;
    std::unique_ptr<config_fetcher> m_fetcher;
    std::unique_ptr<directory_lookup> m_lookup;
    instant m_entriesHeard{};
    std::array<std::uint8_t, maximumSegment> m_buffer{};
};

} // namespace toucan
