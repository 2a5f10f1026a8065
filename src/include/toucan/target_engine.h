#pragma once

/// Decisions of a target process. Does no I/O: the program passes in datagrams, configurations and
/// the time, and carries out the queued actions. Used by one thread.

#include <toucan/flow_router.h>
#include <toucan/member_removal.h>
#include <toucan/request_runner.h>

namespace toucan {

/// Start options of a target process.
struct target_options
{
    target_identity identity;
    target_policy policy = target_policy::claims;
    std::uint64_t seed = 0; ///< For random choices.
    ledger_options ledger;
};

/// State of a target process for its status report.
struct target_status
{
    std::uint64_t version = 0;
    std::uint64_t flows = 0;
    std::uint64_t inProgress = 0;
    std::uint64_t limit = 0;
    std::uint64_t claims = 0;
    std::uint64_t packets = 0; ///< Callers' packets received, for any service.
    /// starting, serving, draining, drained or out. A drained member owns no flows and has no
    /// unanswered requests, and the stop is in force at all live peers.
    std::string state;
};

/// Routes packets, runs requests and exchanges state with peers for one target process.
class target_engine
{
public:
    target_engine(const target_options &options, metrics::registry &metrics, instant now);

    /// Processes a datagram from the data socket.
    void onDatagram(instant now, const endpoint &from, byte_view datagram);
    /// Processes a datagram that the target sent to a flow's local socket.
    void onTargetDatagram(instant now, const flow_key &key, byte_view datagram);
    /// Applies a newer configuration; older ones are ignored.
    void onConfig(instant now, const config_ptr &config);
    /// Records a result of the target's health endpoint; `healthy` is false when it reports cold or
    /// draining, or does not reply.
    void onHealth(instant now, bool healthy);
    /// Runs periodic work. Call about every 20 ms.
    void onTick(instant now);

    /// Returns the actions queued since the last call.
    std::vector<action> takeActions();
    target_status status() const;
    std::uint64_t version() const { return m_context.version(); }

private:
    void advance(instant now);
    void onPacket(const endpoint &from, const decoded_packet &packet);
    void onMessage(const endpoint &from, const peer_message &message);
    void handle(const endpoint &from, const heartbeat &message);
    void handle(const endpoint &from, const claim_request &message);
    void handle(const endpoint &from, const claim_reply &message);
    void handle(const endpoint &from, const ledger_pull &message);
    void handle(const endpoint &from, const ledger_part &message);
    void handle(const endpoint &from, const flow_pointers &message);
    void handle(const endpoint &from, const flow_handover &message);
    void handle(const endpoint &from, const flow_accepted &message);
    void handle(const endpoint &from, const probe &message);
    void handle(const endpoint &from, const probe_reply &message);

    void deliver(flow &item, const packet_header &header, byte_view payload);
    void onEmptyMessage(flow &item, const coap::message &message, byte_view payload);
    bool spill(const packet_header &header, byte_view payload);
    void reconcileVersion(const endpoint &from, std::uint64_t version);
    void sendHeartbeats();
    void probeEntries();
    void drainFlows();
    bool isDrained() const;
    bool isStopInForceAtPeers() const;
    void handOver(flow &item, const member &to);
    void giveUpFlows();
    void closeFlow(const flow_key &key);
    bool isKnownRegistration(flow &item, const coap::message &message, byte_view datagram);
    void onWatchAnswer(flow &item, const coap::message &message, bool isAnswer);
    void replayWatches();
    void reopenSilentFlows();
    void sendToCaller(const flow &item, byte_view payload);

    target_context m_context;
    metrics::registry &m_metrics;
    flow_table m_flows;
    claim_holder m_holder;
    flow_router m_router;
    request_runner m_requests;
    member_removal m_removal;
    instant m_lastRemoval{};
    instant m_lastHeartbeat{};
    instant m_lastProbe{};
    instant m_lastDrain{};
    std::map<endpoint, instant>
        m_lastStaleNotice; ///< Time of the latest notice of a newer configuration, by receiver.
    std::uint16_t m_lastMessageId = 0;
    std::uint64_t m_packets = 0;
    bool m_wasOut = false;
    std::optional<std::uint64_t> m_stopVersion; ///< Version of the configuration with the stop.
};

} // namespace toucan
