#pragma once

/// All decisions of an entry. Keeps nothing for a flow; does no I/O. Used by one thread.

#include <toucan/coap.h>
#include <toucan/config.h>
#include <toucan/metrics.h>
#include <toucan/target_context.h>
#include <unordered_map>

namespace toucan {

/// How an entry starts.
struct entry_options
{
    endpoint data; ///< Own address, which members answer to.
    endpoint control; ///< Own control link.
    std::uint64_t traceEvery = 0; ///< One packet in this many is traced; 0 traces none.
    std::uint64_t seed = 0; ///< For trace identifiers.
};

/// Where a caller's packet goes.
struct entry_decision
{
    endpoint to; ///< None when no service has the address or no member can take it.
    packet_header header;
};

/// The engine of one entry.
class entry_engine
{
public:
    entry_engine(const entry_options &options, metrics::registry &metrics);

    /// A caller's packet for a service address. Allocates nothing.
    entry_decision onCallerPacket(instant now, const endpoint &caller, const endpoint &service);

    /// Why a request cannot be passed on, for its caller: no service has the address, or the
    /// service has no member now. Another entry may have passed a copy of it on, so a request that
    /// is not idempotent is never said to be refused.
    error_kind undeliverableKind(const endpoint &service, const coap::message &request) const;

    /// A member's datagram carrying a packet for a caller was heard; also notes that it is alive.
    /// Returns false when the packet must not be passed on.
    bool onReturnPacket(instant now, const endpoint &from, const packet_header &header);

    /// A peer message from a member or an entry.
    void onMessage(instant now, const endpoint &from, const peer_message &message);
    /// A newer configuration is in force; older ones are ignored.
    void onConfig(instant now, const config_ptr &config);
    /// Time passed: probes members that have been silent. Call every 20 ms or so.
    void onTick(instant now);

    /// The process stops: members are told to send nothing through it. Call several times, since
    /// datagrams are lost.
    void sendLeaving();

    /// Actions decided since the last call.
    std::vector<action> takeActions();
    std::uint64_t version() const { return m_config ? m_config->version : 0; }
    /// Members that are taken for dead.
    std::size_t suspectedCount() const;

private:
    struct member_health
    {
        instant waitingSince{}; ///< First unanswered packet; zero when none is.
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
    std::unordered_map<endpoint, member_health> m_unanswered; ///< Members that owe a sign of life.
    std::unordered_map<endpoint, instant> m_lastVersionNotice;
    std::vector<action> m_actions;
    std::mt19937_64 m_random;
    std::uint64_t m_packets = 0;
    instant m_lastPeerProbe{};
};

} // namespace toucan
