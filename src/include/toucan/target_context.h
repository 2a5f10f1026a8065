#pragma once

/// State shared by the components of a target process: its identity, the configuration in force,
/// the state of its peers, and the queue of actions that the program carries out.

#include <map>
#include <random>
#include <string>
#include <toucan/config.h>
#include <toucan/peer_message.h>
#include <variant>
#include <vector>

namespace toucan {

/// Send a datagram from the data socket.
struct send_datagram
{
    endpoint to;
    byte_buffer bytes;
};

/// Send a datagram to the target from the flow's own local socket, opened at first use.
struct send_to_target
{
    flow_key flow;
    byte_buffer bytes;
};

/// Close the flow's local socket; the next send opens a new one.
struct close_target_flow
{
    flow_key flow;
};

/// Fetch a configuration of at least `version` from a peer's control link.
struct pull_config
{
    endpoint control;
    std::uint64_t version = 0;
};

/// Record a span of a traced packet.
struct record_span
{
    std::uint64_t trace = 0;
    std::string_view hop;
    std::string detail;
};

/// Delete the record of a member that is gone, on the condition of its version.
struct remove_member
{
    std::string name;
    std::uint64_t version = 0;
};

/// Any action that the engines queue for the program.
using action = std::variant<send_datagram, send_to_target, close_target_flow, pull_config,
    remove_member, record_span>;

/// How a target process handles packets: with all mechanisms, or as a baseline for comparison.
enum class target_policy : std::uint8_t {
    claims, ///< All mechanisms: routing, admission, claims.
    hash, ///< Passes packets between callers and the target without routing, admission or claims.
};

/// Identity of a target process.
struct target_identity
{
    std::string name;
    std::string service;
    std::string domain;
    endpoint data;
    endpoint control;
    std::uint64_t boot = 0;
};

/// Latest state received from another member.
struct peer_state
{
    heartbeat lastHeartbeat;
    instant lastSeen{};
    /// Flows and requests sent to it since its last heartbeat, which does not include them yet.
    std::uint64_t sentSinceHeartbeat = 0;
};

/// Times of the latest messages of an entry.
struct entry_liveness
{
    instant lastSeen{}; ///< Time of its newest message.
    std::optional<instant> lastLeaveNotice; ///< Time of its newest notice that it stops.
};

/// Shared by the parts of one target process; used by its traffic thread alone.
struct target_context
{
    /// Silence after which a peer is no longer alive.
    static constexpr std::chrono::milliseconds peerTimeout{1000};
    /// Silence after which an entry is not used for answers.
    static constexpr std::chrono::milliseconds entryTimeout{1500};
    /// Time for which an entry is not used after its notice that it stops: its packets that the
    /// network delayed do not show that it is alive.
    static constexpr std::chrono::milliseconds leaveNoticeTimeout{2000};

    target_identity self;
    target_policy policy = target_policy::claims;
    config_ptr config;
    instant now{};
    instant started{};
    std::map<std::string, peer_state, std::less<>> peers;
    std::unordered_map<endpoint, entry_liveness> entries; ///< By data address.
    std::vector<action> actions;
    std::mt19937_64 random;

    /// The own service, or nullptr while the configuration does not contain it.
    const service_view *service() const;
    /// The own member record, or nullptr until this start is announced and in force.
    const member *selfMember() const;
    /// Version in force, 0 before the first configuration.
    std::uint64_t version() const { return config ? config->version : 0; }
    /// True when the peer sent a heartbeat within `peerTimeout`. Always true for the own name.
    bool isAlive(std::string_view name) const;
    /// Boot number in the latest heartbeat of a peer, 0 when none was received.
    std::uint64_t bootOf(std::string_view name) const;

    /// True when the entry sent a message within `entryTimeout` and no notice that it stops within
    /// `leaveNoticeTimeout`.
    bool isEntryAlive(const endpoint &entry) const;

    /// The entry through which to send a packet to a caller: the preferred one when it is alive,
    /// else any that is, else the preferred one.
    endpoint returnEntry(const endpoint &preferred) const;

    /// Queues a peer message.
    void send(const endpoint &to, const peer_message &message);
    /// Queues a forwarded packet.
    void sendPacket(const endpoint &to, const packet_header &header, byte_view payload);
};

} // namespace toucan
