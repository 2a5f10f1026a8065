#pragma once

/// Encoding of the datagrams between the system's processes: forwarded packets, which start with a
/// packet_header, and peer messages.

#include <optional>
#include <toucan/error.h>
#include <toucan/generated/messages.h>
#include <variant>

namespace toucan {

/// Kind and direction of a forwarded packet.
enum class packet_kind : std::uint8_t {
    to_target = 1, ///< From an entry, or a member that passed it on, to a member.
    to_caller = 2, ///< From a member to an entry, for the caller.
    from_fabric
    = 4, ///< From a fabric that encapsulates, to an entry; the header names caller and service.
    spilled
    = 3, ///< From a flow's owner to a member with more capacity, which runs or refuses it itself.
};

/// Operation of a claim_request.
enum class claim_operation : std::uint8_t {
    claim, ///< Record the claim for the claimer.
    void_attempt, ///< End the claimer's claim; this and earlier attempts must never run.
    settle, ///< Keep the answer.
    release, ///< End the claimer's claim; the attempt may still run elsewhere.
};

/// A holder's reply to a claim_request.
enum class claim_verdict : std::uint8_t {
    granted, ///< Recorded for the claimer (or voided, or settled, as requested).
    held, ///< Another claimer has the claim.
    voided, ///< This attempt was refused before; it must not run.
    answered, ///< It ran; the answer is attached.
    abstained, ///< The holder cannot decide: it is synchronizing, or its memory is full.
    stale, ///< The claimer's list of holders is older than the holder's.
};

/// Any peer message.
using peer_message = std::variant<heartbeat, claim_request, claim_reply, ledger_pull, ledger_part,
    flow_pointers, flow_handover, flow_accepted, probe, probe_reply>;

/// Maximum size of an encoded packet header.
inline constexpr std::size_t maxHeaderBytes = 64;

/// Maximum UDP payload that is received.
inline constexpr std::size_t maxDatagramBytes = 65535;

/// True when a datagram starts as a forwarded packet, not as a peer message.
bool isPacket(byte_view datagram);

/// Writes a header into `out`, which must hold maxHeaderBytes bytes; returns its length.
std::size_t encodeHeader(const packet_header &header, std::span<std::uint8_t> out);

/// A header and the payload after it, which is a view of the datagram.
struct decoded_packet
{
    packet_header header;
    byte_view payload;
};

/// Reads a forwarded packet; nullopt when the header is malformed.
std::optional<decoded_packet> decodePacket(byte_view datagram);

/// Writes a header and payload as one datagram.
byte_buffer encodePacket(const packet_header &header, byte_view payload);

/// Writes a peer message as one datagram.
byte_buffer encodeMessage(const peer_message &message);

/// Reads a peer message; bad_request when it is malformed.
result<peer_message> decodeMessage(byte_view datagram);

} // namespace toucan
