#pragma once

/// Runs a target engine on sockets, timers and threads.

#include <Poco/Net/PollSet.h>
#include <array>
#include <toucan/generated/settings.h>
#include <toucan/node.h>
#include <toucan/target_engine.h>
#include <toucan/trace.h>
#include <toucan/udp_socket.h>

namespace toucan {

/// The target process of `toucantarget`.
class target_server
{
public:
    explicit target_server(const target_settings &settings);

    /// Serves until a stop signal; returns the exit status.
    int run();

private:
    struct flow_socket
    {
        udp_socket socket;
        flow_key key;
    };

    void loop();
    void readDataSocket();
    void readFlowSocket(const flow_key &key);
    void execute();
    void execute(const send_datagram &item);
    void execute(const send_to_target &item);
    void execute(const close_target_flow &item);
    void execute(const pull_config &item);
    void execute(const remove_member &item);
    void execute(const record_span &item);
    void checkHealth();
    void publishStatus();

    target_settings m_settings;
    std::uint64_t m_boot;
    metrics::registry m_metrics;
    node::status_snapshot m_status;
    node::config_mailbox m_mailbox;
    tracer m_tracer;
    std::unique_ptr<config_agent> m_agent;
    std::optional<udp_socket> m_dataSocket;
    std::optional<udp_socket> m_healthSocket;
    std::unordered_map<flow_key, flow_socket> m_flowSockets;
    std::map<Poco::Net::Socket, flow_key> m_flowBySocket;
    Poco::Net::PollSet m_poll;
    std::unique_ptr<target_engine> m_engine;
    std::array<std::uint8_t, maxDatagramBytes> m_buffer{};
    instant m_lastTick{};
    instant m_lastHealth{};
    instant m_lastStatus{};
};

} // namespace toucan
