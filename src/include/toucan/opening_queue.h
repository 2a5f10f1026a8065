#pragma once

/// Openings that wait at the process beside a target until the target has room, and in which order
/// they get it. Pure decisions on times that are passed in.
///
/// Load answered for: more openings than all targets bear for some seconds, as after a loss of
/// power, when every caller sends again and targets are cold. In order of arrival everybody would
/// be served late until the backlog is gone. Here callers that can still be answered within their
/// route's objective come first, and the others get what is left, by the ends of their attempts.

#include <array>
#include <chrono>
#include <optional>
#include <span>
#include <toucan/relay_packet.h>
#include <toucan/segment.h>
#include <vector>

namespace toucan {

/// A caller's attempt to open a flow ends this long after its first opening.
inline constexpr std::chrono::milliseconds attemptTime{1400};
/// The first opening and its copies are sent at these times of the attempt.
inline constexpr std::array<std::chrono::milliseconds, 3> copyTimes{
    std::chrono::milliseconds(0), std::chrono::milliseconds(200), std::chrono::milliseconds(600)};

/// When the attempt began whose opening, of this copy, came just now.
instant attemptStartTime(instant now, std::uint32_t copy);

/// An opening that waits.
struct waiting_opening
{
    segment head;
    relay_header header; ///< Of the packet that brought it; its candidates were asked.
    byte_buffer bytes;
    instant attemptStart{}; ///< When the caller's attempt began.
    std::chrono::milliseconds objective{0}; ///< Time in which callers want the answer; 0: unknown.

    /// When the attempt ends, less the time that the answer needs on its way.
    instant deadline() const;
    /// Latest time at which the target can take it and still answer within the objective; nullopt
    /// once that time is over, and without an objective.
    std::optional<instant> latestTimelyStart(instant now, std::chrono::milliseconds answer) const;
};

/// How waiting openings are ordered: true when `left` is served before `right`, with an answer that
/// comes `answer` after the target took the opening.
using opening_order = bool (*)(const waiting_opening &left, const waiting_opening &right,
    instant now, std::chrono::milliseconds answer);
/// Those that can be answered within their objectives, by the latest time for that; then the others
/// by the ends of their attempts.
bool timelyFirst(const waiting_opening &left, const waiting_opening &right, instant now,
    std::chrono::milliseconds service);
/// By the begin of the attempt; to measure the other one against.
bool byArrival(const waiting_opening &left, const waiting_opening &right, instant now,
    std::chrono::milliseconds service);

/// The waiting openings of one target. Not thread-safe.
class opening_queue
{
public:
    explicit opening_queue(opening_order order = timelyFirst)
        : m_order(order)
    { }

    /// The target took this long for a request.
    void recordServiceTime(std::chrono::milliseconds duration);
    /// A flow's first request came this long after the target was offered the flow.
    void recordHandshakeTime(std::chrono::milliseconds duration);
    /// Time after the offer of a flow in which its first request comes, if it comes at all.
    std::chrono::milliseconds handshakeTimeout() const;
    /// Smoothed time that the target takes for a request.
    std::chrono::milliseconds serviceTime() const;
    /// Smoothed time from the offer of a flow to the answer to its first request.
    std::chrono::milliseconds answerTime() const;
    /// Requests that the target is given at once: one for each slot, those that are on their way
    /// while a slot works on one, and one to wait for the slot that is free first.
    std::uint64_t maxConcurrency(std::uint64_t slots) const;

    /// How long an opening that came now would wait behind those that are served before it, with
    /// `ahead` more requests at the target than it has slots.
    std::chrono::milliseconds expectedWait(instant now, const waiting_opening &opening,
        std::uint64_t slots, std::uint64_t requestsAhead) const;
    /// Takes an opening in; false when it would not be served before its caller's attempt ends.
    /// A copy of one that waits already takes its place and its time.
    bool offer(
        instant now, waiting_opening opening, std::uint64_t slots, std::uint64_t requestsAhead);
    /// The opening whose turn it is; nullptr when none waits.
    const waiting_opening *next(instant now) const;
    /// Removes the openings whose callers' attempts have ended.
    std::vector<waiting_opening> takeExpired(instant now);
    /// Removes all: the process stood still, and what was true of them is not known any more.
    void clear() { m_openings.clear(); }

    bool contains(const flow_key &flow) const;
    /// Removes and returns the opening of a flow; nullopt when none waits.
    std::optional<waiting_opening> take(const flow_key &flow);
    std::size_t size() const { return m_openings.size(); }
    bool empty() const { return m_openings.empty(); }

private:
    std::vector<waiting_opening>::iterator find(const flow_key &flow);

    opening_order m_order;
    std::vector<waiting_opening> m_openings;
    double m_serviceMs = 50; ///< Until requests were seen: what short requests take.
    double m_handshakeMs = 5; ///< Until requests were seen: two round trips between VMs.
};

} // namespace toucan
