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
#include <string_view>
#include <toucan/relay_packet.h>
#include <toucan/segment.h>
#include <unordered_map>
#include <vector>

namespace toucan {

/// Time from the first opening of a caller's attempt to the end of the attempt.
inline constexpr std::chrono::milliseconds attemptTime{1400};
/// Times, from the start of an attempt, at which a caller sends the opening and its copies.
inline constexpr std::array<std::chrono::milliseconds, 3> copyTimes{
    std::chrono::milliseconds(0), std::chrono::milliseconds(200), std::chrono::milliseconds(600)};

/// Start of the attempt whose opening with this copy number is received at `now`.
instant attemptStartTime(instant now, std::uint32_t copy);

/// Bit of a copy of an opening in waiting_opening::copies.
std::uint8_t copyBit(std::uint32_t copy);

/// Priorities that are told apart; all higher numbers count as the last one.
inline constexpr std::size_t priorityClassCount = 8;

/// Whether the refusal of a queued opening cannot meet a flow that opened elsewhere.
enum class refusal_proof : std::uint8_t {
    proven, ///< All copies that the caller has sent were received here.
    pending, ///< A copy may be in transit, here or to another process.
    missing, ///< A copy did not come here: another process may have placed it.
};

/// An opening in the queue.
struct waiting_opening
{
    segment head;
    relay_header header; ///< Of its packet; the candidates, which were all asked, are removed.
    byte_buffer bytes;
    instant attemptStart{}; ///< Start of the caller's attempt.
    std::chrono::milliseconds objective{0}; ///< Time within which to answer callers; 0: unknown.
    std::chrono::milliseconds timeLimit{0}; ///< Time after which callers give up; 0: unknown.
    std::uint64_t priority = 0; ///< Of the route; 0 is the most urgent.
    std::chrono::milliseconds cost{0}; ///< Expected time of its request; 0: the smoothed one.
    instant queuedAt{};
    std::uint8_t copies = 0; ///< Bit n: copy n was received.

    /// End of the attempt less the time that the answer takes to the caller, or earlier when the
    /// time limit ends before.
    instant deadline() const;
    /// Latest time at which the target can start on it and still answer within the objective;
    /// nullopt after that time, and without an objective.
    std::optional<instant> latestTimelyStart(instant now, std::chrono::milliseconds answer) const;
    /// Index of its priority, below priorityClassCount.
    std::size_t priorityClass() const;
    /// Whether a refusal now is certain not to meet an open flow.
    refusal_proof proofOfRefusal(instant now) const;
};

/// Order of the queue: true when `left` is served before `right`. `answer` is the expected time
/// from the offer of the flow to the answer.
using opening_order = bool (*)(const waiting_opening &left, const waiting_opening &right,
    instant now, std::chrono::milliseconds answer);
/// Openings that can be answered within their objectives come first, by latestTimelyStart(); then
/// the others by priority and deadline().
bool timelyFirst(const waiting_opening &left, const waiting_opening &right, instant now,
    std::chrono::milliseconds answer);
/// Orders by the start of the attempt; the baseline that timelyFirst is compared with.
bool byArrival(const waiting_opening &left, const waiting_opening &right, instant now,
    std::chrono::milliseconds answer);

/// How openings share the target.
struct queue_policy
{
    opening_order order = timelyFirst;
    /// While not all can be in time, less urgent openings and those of callers that were served
    /// more give way.
    bool sharesRoom = true;
    /// Late openings are refused at once when arrivals that can be in time occupy the target.
    /// Callers that try again at once count as such arrivals, so that a short backlog takes all of
    /// their tries; otherwise late openings wait for a gap until their attempts end.
    bool refusesLate = false;
    /// Least share of the served openings for each priority that waits.
    double classFloor = 0.2;
};

/// Why an opening leaves the queue unserved.
enum class queue_refusal : std::uint8_t {
    attempt_ended, ///< The deadline is reached.
    wait_too_long, ///< Those before it take the target until after its deadline.
    arrivals_first, ///< It is late, and arrivals that can be in time occupy the target.
    queue_full, ///< The queue, or the caller's part of it, is full.
    process_paused, ///< The process was suspended while it waited.
};

/// Number of reasons.
inline constexpr std::size_t queueRefusalCount = 5;

/// Name of a reason in logs and metrics.
std::string_view toString(queue_refusal reason);

/// Expectation for an opening, and what follows from it.
struct opening_forecast
{
    std::chrono::milliseconds wait{0}; ///< Expected time until it would be served.
    std::chrono::milliseconds left{0}; ///< Time until its deadline.
    std::optional<queue_refusal> refusal; ///< nullopt: it can wait.
};

/// An opening that was removed unserved.
struct unserved_opening
{
    waiting_opening opening;
    opening_forecast forecast;
    refusal_proof proof = refusal_proof::proven;
};

/// The waiting openings of one target. Not thread-safe.
class opening_queue
{
public:
    explicit opening_queue(queue_policy policy = {})
        : m_policy(policy)
    { }
    /// A queue in a fixed order, in which nothing gives way.
    explicit opening_queue(opening_order order)
        : m_policy({.order = order, .sharesRoom = false})
    { }

    /// Maximum number of openings, in all and of one caller's address; far more than any target
    /// serves during an attempt.
    static constexpr std::size_t maxOpenings = 1000;
    static constexpr std::size_t maxOpeningsPerCaller = 250;
    /// Maximum number of callers whose served openings are counted.
    static constexpr std::size_t maxCallers = 1000;

    /// Sets queue_policy::classFloor and queue_policy::refusesLate.
    void setPolicy(double classFloor, bool refusesLate)
    {
        m_policy.classFloor = classFloor;
        m_policy.refusesLate = refusesLate;
    }
    /// Sets the earliest starts of the next openings at a target that takes only so many each
    /// second; empty: no such limit.
    void setAllowedStarts(std::vector<instant> starts);
    /// Records the time that the target took for a request.
    void recordServiceTime(std::chrono::milliseconds duration);
    /// Records the time from the offer of a flow to the target to the flow's first request.
    void recordHandshakeTime(std::chrono::milliseconds duration);
    /// Records an opening that arrived and was not offered to the queue.
    void recordArrival(instant now, const waiting_opening &opening);
    /// Records an opening that was passed to the target.
    void recordServed(instant now, const endpoint &caller, std::size_t priorityClass);
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
    /// `workAhead` is the time of the requests at the target beyond its slots, for one slot.
    std::chrono::milliseconds expectedWait(instant now, const waiting_opening &opening,
        std::uint64_t slots, std::chrono::milliseconds workAhead) const;
    /// Queues an opening; false when it is refused, with lastForecast() as the reason. A copy of a
    /// queued opening replaces that one and keeps the earlier start of the attempt.
    bool offer(instant now, waiting_opening opening, std::uint64_t slots,
        std::chrono::milliseconds workAhead);
    /// Forecast of the opening that was offered last.
    const opening_forecast &lastForecast() const { return m_lastForecast; }
    /// Removes and returns the openings that cannot be served in time any more. One whose refusal
    /// is not proven yet stays until it is, or until its deadline.
    std::vector<unserved_opening> judge(
        instant now, std::uint64_t slots, std::chrono::milliseconds workAhead);
    /// The opening to serve next, before its deadline; nullptr when there is none.
    const waiting_opening *next(instant now);
    /// Removes and returns the openings that have reached their deadlines.
    std::vector<waiting_opening> takeExpired(instant now);
    /// Removes and returns all openings.
    std::vector<waiting_opening> takeAll();

    /// True when an opening of the flow is queued.
    bool contains(const flow_key &flow) const;
    /// Removes and returns the opening of a flow; nullopt when none is queued.
    std::optional<waiting_opening> take(const flow_key &flow);
    std::size_t size() const { return m_openings.size(); }
    bool empty() const { return m_openings.empty(); }
    /// Number of callers whose served openings are counted.
    std::size_t callerCount() const { return m_callers.size(); }

private:
    /// Capacity of the target as it was passed last.
    struct target_room
    {
        std::uint64_t slots = 1;
        double workAheadMs = 0;
    };

    /// Openings that are served before another.
    struct work_before
    {
        std::size_t count = 0;
        double ms = 0;
        double ofClassMs = 0; ///< Of the same priority.
    };

    /// An opening's place in the plan.
    struct planned_opening
    {
        std::size_t index = 0; ///< In m_openings.
        std::size_t priorityClass = 0;
        std::optional<instant> timelyStart;
        instant deadline{};
        double costMs = 0;
        double share = 0; ///< Openings of its caller that are served before it.
        bool gaveWay = false;
        opening_forecast forecast;
    };

    /// A value that loses two thirds of its weight in a fixed time.
    struct decaying_sum
    {
        double value = 0;
        instant at{};

        double read(instant now, std::chrono::milliseconds memory) const;
        void add(instant now, double amount, std::chrono::milliseconds memory);
    };

    std::vector<waiting_opening>::iterator find(const flow_key &flow);
    double costMsOf(const waiting_opening &opening) const;
    instant startAfter(
        instant now, const target_room &room, const work_before &before, double ownMs) const;
    void setRoom(std::uint64_t slots, std::chrono::milliseconds workAhead);
    std::optional<queue_refusal> fullFor(const endpoint &caller) const;
    void plan(instant now);
    void assignShares(instant now);
    void giveWay(instant now);
    instant reserveOf(const planned_opening &item) const;
    void schedule(instant now);
    std::optional<queue_refusal> refusalOf(
        instant now, const planned_opening &item, const work_before &before, bool isFirst) const;
    double arrivingLoad(instant now, std::size_t classes) const;
    bool canBeTimely(instant now, const planned_opening &item, const work_before &before) const;
    double floorFor(std::size_t waitingClasses) const;
    std::array<double, priorityClassCount> partsOfClasses() const;

    queue_policy m_policy;
    std::vector<waiting_opening> m_openings;
    std::vector<planned_opening> m_plan; ///< Of the time m_plannedAt.
    std::optional<std::size_t> m_next; ///< Opening to serve next by that plan.
    std::optional<instant> m_plannedAt; ///< nullopt after a change.
    target_room m_room;
    std::vector<instant> m_allowedStarts;
    opening_forecast m_lastForecast;
    std::array<double, priorityClassCount> m_credits{}; ///< Openings owed to each class's floor.
    std::unordered_map<std::uint32_t, decaying_sum> m_callers; ///< Served openings by address.
    /// Milliseconds of service that timely arrivals of each class need.
    std::array<decaying_sum, priorityClassCount> m_arrivingWork;
    std::array<decaying_sum, priorityClassCount> m_arrivals; ///< Their numbers.
    double m_serviceMs = 50; ///< Initial value: duration of short requests.
    double m_handshakeMs = 5; ///< Initial value: two round trips between VMs.
};

} // namespace toucan
