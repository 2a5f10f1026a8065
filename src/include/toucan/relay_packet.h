#pragma once

/// Datagrams between entries and target processes that relay segments: forwarded segments behind a
/// relay_header, and messages.

#include <boost/container/static_vector.hpp>
#include <toucan/error.h>
#include <toucan/generated/relay.h>
#include <toucan/store_point.h>
#include <variant>

namespace toucan {

/// What a forwarded segment is.
enum class relay_kind : std::uint8_t {
    opening = 1, ///< Opens a flow at the recipient's target or at the next candidate.
    established = 2, ///< Belongs to a flow that a candidate may hold.
    refused_opening = 3, ///< To the entry: no candidate takes the flow.
    not_found = 4, ///< To the entry: no candidate holds the flow.
};

/// Maximum number of target processes that a packet may be passed on to.
inline constexpr std::size_t maxHeaderCandidates = 8;
using candidate_list = boost::container::static_vector<endpoint, maxHeaderCandidates>;

/// Header of a forwarded segment; the segment follows unchanged.
struct relay_header
{
    relay_kind kind = relay_kind::established;
    store_point point; ///< Point of the configuration that the entry decided by.
    endpoint entry; ///< Entry that took the segment from the fabric.
    std::uint64_t serviceTag = 0; ///< serviceTagOf() the flow's service.
    std::uint64_t search = 0; ///< 1 + members asked before this list; 0 when no owner is searched.
    bool inconclusive = false; ///< A target asked before did not answer whether it holds the flow.
    std::uint64_t ageMs = 0; ///< Age of the caller's attempt to open the flow.
    std::uint64_t objectiveMs = 0; ///< Time within which to answer callers; 0 when unknown.
    std::uint64_t timeLimitMs = 0; ///< Time after which callers give up; 0 when unknown.
    std::uint64_t priority = 0; ///< Of the flow's route; 0 is the most urgent.
    std::uint64_t shortestWaitMs = 0; ///< Shortest wait at the candidates that were busy.
    endpoint shortestWaitAt; ///< The candidate with that wait; empty before the first busy one.
    candidate_list candidates; ///< Target processes to pass the packet on to, in this order.
};

/// Whether the target beside a process holds a flow. Sent in flow_answer as a number.
enum class flow_lookup_result : std::uint8_t {
    not_held, ///< Its target does not hold it.
    held, ///< Its target holds it.
    unknown, ///< Cannot be decided without a probe of the target.
};

/// Short tag of a service name, the same in every process.
std::uint64_t serviceTagOf(std::string_view service);

/// Maximum length of an encoded relay header, bytes.
inline constexpr std::size_t maxRelayHeaderBytes = 184;

/// True when a datagram starts like a forwarded segment rather than a message.
bool isRelayPacket(byte_view datagram);

/// Writes a header into `out`, which must hold maxRelayHeaderBytes bytes; returns its length.
std::size_t encodeRelayHeader(const relay_header &header, std::span<std::uint8_t> out);

/// A decoded header and a view of the segment behind it in the datagram.
struct relay_packet
{
    relay_header header;
    std::span<std::uint8_t> bytes;
};

/// Reads a forwarded segment; nullopt when the header is malformed.
std::optional<relay_packet> decodeRelayPacket(std::span<std::uint8_t> datagram);

/// Messages between entries and target processes.
using relay_message = std::variant<target_report, entry_notice, flow_owner, opening_kept,
    member_digest, digest_request, flow_question, flow_answer, flow_table_page, flow_table_request,
    flow_table_statement, unused_start>;

/// Writes a message as one datagram.
byte_buffer encodeRelayMessage(const relay_message &message);

/// Reads a message; bad_request when it is malformed.
result<relay_message> decodeRelayMessage(byte_view datagram);

} // namespace toucan
