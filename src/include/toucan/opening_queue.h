#pragma once

/// Queue of openings at the process beside a target that wait for capacity of the target. Pure
/// functions of the times that are passed in.
///
/// Designed for more openings than all targets sustain for some seconds, as after a loss of power,
/// when every caller retransmits and targets are cold. In order of arrival all callers would be
/// served late until the backlog is gone. So callers that can still be answered within their
/// route's objective come first, and the others follow by the deadlines of their attempts.

#include <array>
#include <chrono>
#include <optional>
#include <span>
#include <toucan/relay_packet.h>
#include <toucan/segment.h>
#include <vector>

namespace toucan {

/// Time from the first opening of a caller's attempt to the end of the attempt.
inline constexpr std::chrono::milliseconds attemptTime{1400};
/// Times, from the start of an attempt, at which a caller sends the opening and its copies.
inline constexpr std::array<std::chrono::milliseconds, 3> copyTimes{
    std::chrono::milliseconds(0), std::chrono::milliseconds(200), std::chrono::milliseconds(600)};

/// Start of the attempt whose opening with this copy number is received at `now`.
instant attemptStartTime(instant now, std::uint32_t copy);

/// An opening in the queue.
struct waiting_opening
{
    segment head;
    relay_header header; ///< Of its packet; the candidates, which were all asked, are removed.
    byte_buffer bytes;
    instant attemptStart{}; ///< Start of the caller's attempt.
    std::chrono::milliseconds objective{0}; ///< Time within which to answer callers; 0: unknown.

    /// End of the attempt less the time that the answer takes to the caller.
    instant deadline() const;
    /// Latest time at which the target can start on it and still answer within the objective;
    /// nullopt after that time, and without an objective.
    std::optional<instant> latestTimelyStart(instant now, std::chrono::milliseconds answer) const;
};

/// Order of the queue: true when `left` is served before `right`. `answer` is the expected time
/// from the offer of the flow to the answer.
using opening_order = bool (*)(const waiting_opening &left, const waiting_opening &right,
    instant now, std::chrono::milliseconds answer);
/// Openings that can be answered within their objectives come first, by latestTimelyStart(); then
/// the others by deadline().
bool timelyFirst(const waiting_opening &left, const waiting_opening &right, instant now,
    std::chrono::milliseconds answer);
/// Orders by the start of the attempt; the baseline that timelyFirst is compared with.
bool byArrival(const waiting_opening &left, const waiting_opening &right, instant now,
    std::chrono::milliseconds answer);

/// The waiting openings of one target. Not thread-safe.
class opening_queue
{
public:
    explicit opening_queue(opening_order order = timelyFirst)
        : m_order(order)
    { }

    /// Records the time that the target took for a request.
    void recordServiceTime(std::chrono::milliseconds duration);
    /// Records the time from the offer of a flow to the target to the flow's first request.
    void recordHandshakeTime(std::chrono::milliseconds duration);
    /// Time after the offer of a flow after which its first request is no longer expected.
    std::chrono::milliseconds handshakeTimeout() const;
    /// Smoothed time in which the target answers a request.
    std::chrono::milliseconds serviceTime() const;
    /// Smoothed time from the offer of a flow to the answer to its first request.
    std::chrono::milliseconds answerTime() const;
    /// Maximum number of concurrent requests at the target: one for each slot, those in transit
    /// while a slot serves one, and one that waits for the first free slot.
    std::uint64_t maxConcurrency(std::uint64_t slots) const;

    /// Expected wait of an opening that arrives now, behind those that are served before it.
    /// `requestsAhead` is the number of requests at the target beyond its slots.
    std::chrono::milliseconds expectedWait(instant now, const waiting_opening &opening,
        std::uint64_t slots, std::uint64_t requestsAhead) const;
    /// Queues an opening; false when it would not be served before its deadline. A copy of a queued
    /// opening replaces that one and keeps the earlier start of the attempt.
    bool offer(
        instant now, waiting_opening opening, std::uint64_t slots, std::uint64_t requestsAhead);
    /// The opening to serve next; nullptr when the queue is empty.
    const waiting_opening *next(instant now) const;
    /// Removes and returns the openings that have reached their deadlines.
    std::vector<waiting_opening> takeExpired(instant now);
    /// Removes all openings, without a reply to their callers.
    void clear() { m_openings.clear(); }

    /// True when an opening of the flow is queued.
    bool contains(const flow_key &flow) const;
    /// Removes and returns the opening of a flow; nullopt when none is queued.
    std::optional<waiting_opening> take(const flow_key &flow);
    std::size_t size() const { return m_openings.size(); }
    bool empty() const { return m_openings.empty(); }

private:
    std::vector<waiting_opening>::iterator find(const flow_key &flow);

    opening_order m_order;
    std::vector<waiting_opening> m_openings;
    double m_serviceMs = 50; ///< Initial value: duration of short requests.
    double m_handshakeMs = 5; ///< Initial value: two round trips between VMs.
};

} // namespace toucan
