#pragma once

/// What the parts of a target process's decisions share: who it is, the configuration in force,
/// what it heard of its peers, and the list of actions that the program carries out.

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

/// Everything that decisions can ask the program to do.
using action = std::variant<send_datagram, send_to_target, close_target_flow, pull_config,
    remove_member, record_span>;

/// How a target process handles packets: all mechanisms, or the plain baseline.
enum class target_policy : std::uint8_t {
    claims, ///< Everything.
    hash, ///< Hash over the own view and nothing else, to compare with.
};

/// Who a target process is.
struct target_identity
{
    std::string name;
    std::string service;
    std::string domain;
    endpoint data;
    endpoint control;
    std::uint64_t boot = 0;
};

/// What was last heard of another member.
struct peer_state
{
    heartbeat lastHeartbeat;
    instant lastSeen{};
    /// Requests sent its way since its last heartbeat, which does not count them yet.
    std::uint64_t sentSinceHeartbeat = 0;
};

/// When an entry last gave a sign.
struct entry_liveness
{
    instant lastSeen{}; ///< Of life.
    std::optional<instant> lastLeaveNotice; ///< That it stops.
};

/// Shared by the parts of one target process; used by its traffic thread alone.
struct target_context
{
    /// Silence after which a peer counts as dead.
    static constexpr std::chrono::milliseconds peerTimeout{1000};
    /// Silence after which an entry is not used for answers.
    static constexpr std::chrono::milliseconds entryTimeout{1500};
    /// Time for which an entry that said that it stops is not used: packets of it that the network
    /// delayed are no sign of life.
    static constexpr std::chrono::milliseconds leaveNoticeTimeout{2000};

    target_identity self;
    target_policy policy = target_policy::claims;
    config_ptr config;
    instant now{};
    instant started{};
    std::map<std::string, peer_state, std::less<>> peers;
    std::unordered_map<endpoint, entry_liveness> entries; ///< Last signs of each entry.
    std::vector<action> actions;
    std::mt19937_64 random;

    /// The own service, or nullptr while the configuration does not have it.
    const service_view *service() const;
    /// The own member record, or nullptr until this start is announced and in force.
    const member *selfMember() const;
    /// Version in force, 0 before the first configuration.
    std::uint64_t version() const { return config ? config->version : 0; }
    /// True when the peer was heard from lately. Always true for the own name.
    bool isAlive(std::string_view name) const;
    /// Boot number last heard from a peer, 0 when none was.
    std::uint64_t bootOf(std::string_view name) const;

    /// True when the entry was heard from lately and did not say that it stops.
    bool isEntryAlive(const endpoint &entry) const;

    /// The entry to send a packet for a caller through: the preferred one when it was heard from
    /// lately, else any that was.
    endpoint returnEntry(const endpoint &preferred) const;

    /// Queues a peer message.
    void send(const endpoint &to, const peer_message &message);
    /// Queues a forwarded packet.
    void sendPacket(const endpoint &to, const packet_header &header, byte_view payload);
};

} // namespace toucan
