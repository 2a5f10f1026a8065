#pragma once

/// Routing decisions of an entry. Holds no state per flow and does no I/O. Used by one thread.

#include <toucan/coap.h>
#include <toucan/config.h>
#include <toucan/metrics.h>
#include <toucan/target_context.h>
#include <unordered_map>

namespace toucan {

/// Start options of an entry.
struct entry_options
{
    endpoint data; ///< Own address, to which members send packets for callers.
    endpoint control; ///< Own control link.
    std::uint64_t traceEvery = 0; ///< One packet in this many is traced; 0 traces none.
    std::uint64_t seed = 0; ///< For trace identifiers.
};

/// Destination of a caller's packet.
struct entry_decision
{
    endpoint to; ///< Unset when no service has the address or no member is listed.
    packet_header header;
};

/// Decides where callers' packets go and probes members and other entries.
class entry_engine
{
public:
    entry_engine(const entry_options &options, metrics::registry &metrics);

    /// Selects a member for a caller's packet to a service address. The only allocation is a record
    /// per member with unanswered packets.
    entry_decision onCallerPacket(instant now, const endpoint &caller, const endpoint &service);

    /// Error for a request that cannot be forwarded: no service has the address, or the service has
    /// no member now. Another entry may have forwarded a copy of the request, so the outcome of a
    /// non-idempotent request is reported as unknown, never as refused.
    error_kind undeliverableKind(const endpoint &service, const coap::message &request) const;

    /// Records a member's packet for a caller as a sign that the member is alive. Returns false
    /// when the packet must not be forwarded.
    bool onReturnPacket(instant now, const endpoint &from, const packet_header &header);

    /// Processes a peer message from a member or an entry.
    void onMessage(instant now, const endpoint &from, const peer_message &message);
    /// Applies a newer configuration; older ones are ignored.
    void onConfig(instant now, const config_ptr &config);
    /// Probes members that have not replied, and a few members and entries at random. Call about
    /// every 20 ms.
    void onTick(instant now);

    /// Notifies all members that this process stops, so that they send nothing through it. Call
    /// several times, since datagrams may be lost.
    void sendLeaveNotices();

    /// Returns the actions queued since the last call.
    std::vector<action> takeActions();
    std::uint64_t version() const { return m_config ? m_config->version : 0; }
    /// Number of members that were probed because a reply is overdue.
    std::size_t suspectedCount() const;

private:
    struct member_health
    {
        instant waitingSince{}; ///< Time of the first unanswered packet; zero when there is none.
        instant lastProbe{};
    };

    bool isSuspected(const member &item, instant now) const;
    void reconcileVersion(instant now, const endpoint &from, std::uint64_t version);
    void send(const endpoint &to, const peer_message &message);
    void probePeers(instant now);
    void probeMembers();

    entry_options m_options;
    metrics::number &m_unknownService;
    config_ptr m_config;
    std::unordered_map<endpoint, member_health> m_unanswered; ///< Members with unanswered packets.
    std::unordered_map<endpoint, instant> m_lastVersionNotice;
    std::vector<action> m_actions;
    std::mt19937_64 m_random;
    std::uint64_t m_packets = 0;
    instant m_lastPeerProbe{};
};

} // namespace toucan
