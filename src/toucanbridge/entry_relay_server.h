#pragma once

#include <toucan/entry_directory.h>
#include <toucan/relay_entry.h>
#include <toucan/relay_program.h>

namespace toucan {

/// Runs a relay_entry: sockets, access to the store, control links.
class entry_relay_server : private relay_program<entry_relay_settings>
{
public:
    entry_relay_server(const entry_relay_settings &settings, std::string fileName,
        const platform_adapter &adapter);

    /// Serves until a stop signal; returns the exit status.
    int run();

private:
    void sendCaller(const endpoint &caller, byte_view bytes) override;
    void sendTarget(byte_view bytes) override;

    void startStore();
    void readConfig(const store_point &point, const stored_object &object);
    void queueConfig(const relay_config_ptr &config, std::string source);
    http_response answer(const incoming_request &question) const;
    void loop();
    std::chrono::milliseconds waitTime(instant now) const;
    void updateStoreState(instant now);
    void updateRegistration(instant now);
    nlohmann::json describeStatus(instant now) const;
    void handle(instant now, const config_event &event);
    void handle(instant now, const domains_event &event);
    void handle(instant now, const entries_event &event);
    void handle(instant now, const target_liveness &event);
    void handle(instant now, const status_request &event);

    std::atomic<bool> m_ready = false;
    std::optional<udp_socket> m_callerSocket;
    relay_entry m_engine;
    std::unique_ptr<store_follower> m_configFollower;
    std::unique_ptr<store_follower> m_domainsFollower;
    std::unique_ptr<entry_registration> m_registration;
    instant m_lastAliveReport{};
    std::uint64_t m_registrationEra = 0; ///< Newest era passed to m_registration.
    std::size_t m_ignoredDomains = 0; ///< Of the newest list of domains out of service.
    relay_config_ptr m_lastPublished; ///< Newest configuration put into m_publishedConfig.
};

} // namespace toucan
