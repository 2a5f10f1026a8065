#pragma once

/// Runs an entry engine on sockets, timers and threads.

#include <Poco/Net/PollSet.h>
#include <array>
#include <toucan/entry_engine.h>
#include <toucan/generated/settings.h>
#include <toucan/node.h>
#include <toucan/trace.h>
#include <toucan/udp_socket.h>

namespace toucan {

/// The entry process of `toucanbridge serve`.
class bridge_server
{
public:
    explicit bridge_server(const bridge_settings &settings);

    /// Serves until a stop signal; returns the exit status.
    int run();

private:
    void loop();
    bool advanceStop(instant now);
    void readDataSocket();
    void readServiceSocket(const endpoint &service, udp_socket &socket);
    void forwardToMember(const endpoint &caller, const endpoint &service, byte_view payload);
    void forwardToCaller(const endpoint &from, const decoded_packet &packet);
    void answerUndeliverable(const endpoint &caller, const endpoint &service, byte_view payload);
    void sendToCaller(const packet_header &header, byte_view payload);
    void executeActions();
    void applyConfig(const config_ptr &config);
    void publishStatus();

    bridge_settings m_settings;
    metrics::registry m_metrics;
    metrics::number &m_packetsFromCallers;
    metrics::number &m_packetsToCallers;
    node::status_snapshot m_status;
    node::config_mailbox m_mailbox;
    tracer m_tracer;
    std::unique_ptr<config_agent> m_agent;
    entry_engine m_engine;
    std::optional<udp_socket> m_dataSocket;
    std::map<endpoint, udp_socket>
        m_serviceSockets; ///< By service address; used with a direct fabric.
    std::map<Poco::Net::Socket, endpoint> m_serviceBySocket;
    endpoint m_fabricAddress; ///< Source of the newest packet from an encapsulating
                              ///< fabric; packets for callers are sent there.
    Poco::Net::PollSet m_poll;
    std::array<std::uint8_t, maxDatagramBytes> m_buffer{};
    instant m_lastTick{};
    instant m_lastStatus{};
    std::optional<instant> m_stoppingSince;
    int m_leaveNotices = 0;
};

} // namespace toucan
