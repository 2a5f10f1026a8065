#pragma once

/// Segments of a reliable transport between callers and targets, as far as a load balancer
/// needs them. The platform's adapter provides the codec that decodes the bytes.

#include <optional>
#include <toucan/endpoint.h>

namespace toucan {

/// Maximum length of a segment with head and payload, bytes.
inline constexpr std::size_t maxSegmentBytes = 2048;

/// The head of one segment.
struct segment
{
    endpoint source; ///< Sender's end of the flow.
    endpoint destination; ///< Recipient's end of the flow.
    bool synchronize = false;
    bool acknowledge = false;
    bool finish = false;
    bool reset = false;
    bool returned = false; ///< Refused and sent back by a target, otherwise unchanged.
    std::uint32_t sequence = 0;
    std::uint32_t acknowledged = 0; ///< Next byte that the sender expects.
    std::uint32_t copy = 0; ///< Number of the retransmission of an opening; 0 for the original.
    std::uint32_t length = 0; ///< Payload bytes.

    /// True for the first segment of a flow or a copy of it.
    bool isOpening() const { return synchronize && !acknowledge; }
    /// The flow of a segment that a caller sent.
    flow_key flowFromCaller() const { return {.caller = source, .service = destination}; }
    /// The flow of a segment that a target sent.
    flow_key flowFromTarget() const { return {.caller = destination, .service = source}; }
};

/// Decodes and encodes segments; a table of functions without state, usable by any thread.
struct segment_codec
{
    /// Decodes a head; nullopt when the bytes are no segment.
    std::optional<segment> (*decode)(byte_view bytes);
    /// Encodes a segment without the sender's proof of origin, which only the two ends can add.
    byte_buffer (*encode)(const segment &head, byte_view payload);
    /// Restores a returned segment to the one that was sent, so that another target can take it.
    void (*clearReturned)(std::span<std::uint8_t> bytes);
};

/// Encodes a reset of a flow on behalf of the service. `sequence` is the caller's last
/// acknowledgement; any value is accepted for a flow that never opened.
inline byte_buffer makeReset(
    const segment_codec &codec, const flow_key &flow, std::uint32_t sequence)
{
    return codec.encode(
        {.source = flow.service, .destination = flow.caller, .reset = true, .sequence = sequence},
        {});
}

} // namespace toucan
