#pragma once

#include <toucan/entry_directory.h>
#include <toucan/relay_program.h>
#include <toucan/relay_target.h>

namespace toucan {

/// Runs a relay_target: sockets, liveness reports of the target, control links.
class target_relay_server : private relay_program<target_relay_settings>
{
public:
    target_relay_server(const target_relay_settings &settings, std::string fileName,
        const platform_adapter &adapter);

    /// Serves until a stop signal; returns the exit status.
    int run();

private:
    void sendCaller(const endpoint &caller, byte_view bytes) override;
    void sendTarget(byte_view bytes) override;

    http_response answer(const incoming_request &question);
    http_response answerReport(const target_liveness &report);
    void loop();
    void lookUpEntries(instant now);
    void startLookup(instant now);
    void handle(instant now, const config_event &event);
    void handle(instant now, const domains_event &event);
    void handle(instant now, const entries_event &event);
    void handle(instant now, const target_liveness &event);
    void handle(instant now, const status_request &event);

    std::optional<udp_socket> m_outboundSocket;
    relay_target m_engine;
    // Read by the thread that answers requests; the settings may change meanwhile.
    const std::string m_service;
    const endpoint m_target;
    std::unique_ptr<directory_lookup> m_lookup;
    instant
        m_lookupIntervalStart{}; ///< Time of the newest lookup, or when an entry was last alive.
};

} // namespace toucan
