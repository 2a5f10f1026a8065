#pragma once

/// Admission of new flows at the process beside a target: the last decision before the target, so
/// that an entry with old knowledge cannot break a bound. Pure decisions and small counters.
///
/// Load answered for: bursts of openings beyond a target's slots, and cold targets, which bear a
/// few openings a second and fall over under more.

#include <deque>
#include <string_view>
#include <toucan/target_liveness.h>

namespace toucan {

/// What becomes of an opening.
enum class opening_verdict : std::uint8_t {
    accepted,
    standing_unknown, ///< The target has not reported, or not for long.
    draining, ///< The target leaves.
    domain_out, ///< Operators took the failure domain out.
    wrong_service, ///< The target belongs to another service.
    route_stale, ///< The entry decided under a configuration that was replaced a while ago.
    cold, ///< The target is cold and has had its openings for this second.
    full, ///< The target holds as many flows as it can.
    busy, ///< All slots are taken and another candidate can be asked.
    waits, ///< All slots are taken, and nobody else can be asked: it waits for one.
    overloaded, ///< It would wait for longer than its caller's attempt lasts.
    silent, ///< The target does not answer openings.
};

/// Number of verdicts.
inline constexpr std::size_t openingVerdictCount = 12;

/// Name of a verdict in logs.
std::string_view toString(opening_verdict verdict);

/// What the verdict depends on.
struct opening_conditions
{
    target_standing standing = target_standing::unknown;
    bool isDomainOut = false;
    bool serviceMatches = true;
    bool isRouteStale = false;
    bool isTargetSilent = false;
    bool hasColdAllowance = true; ///< The cold limit has room.
    bool hasAlternative = false; ///< Another candidate can still be asked.
    std::uint64_t flows = 0;
    std::uint64_t maxFlows = 0; ///< 0 when not stated.
    std::uint64_t waitingRequests
        = 0; ///< Requests without an answer, and those expected on new flows.
    std::uint64_t slots = 0;
    std::uint64_t maxRequests = 0; ///< Requests that the target is given at once; 0: no limit.
};

/// Decides on one opening.
opening_verdict evaluateOpening(const opening_conditions &conditions);

/// Counts openings in a sliding second.
class opening_window
{
public:
    /// Openings in the second before `now`.
    std::size_t count(instant now);
    void add(instant now) { m_times.push_back(now); }

private:
    std::deque<instant> m_times;
};

/// A level with exponential forgetting, weighted by time.
class smoothed_level
{
public:
    /// `memory` is the time in which an old value loses two thirds of its weight.
    explicit smoothed_level(std::chrono::milliseconds memory)
        : m_memory(memory)
    { }
    /// The level is `value` from now on.
    void set(instant now, double value);
    /// The smoothed level.
    double read(instant now) const;

private:
    instant m_memory;
    instant m_at{};
    double m_value = 0;
    double m_smoothed = 0;
};

/// How much of its latest requests a target failed: flows that ended, from either side, before the
/// answer came. Old requests are forgotten, so that a target is tried again after a while.
///
/// Load answered for: a target that resets its flows has no queue, and would be offered the most.
class failure_share
{
public:
    /// A request ended.
    void add(instant now, bool failed);
    /// Load to report on top of the queue, thousandths of a slot.
    std::uint64_t penalty(instant now) const;

private:
    /// Weight that is left after some time of what was counted at m_at.
    double decayFactor(instant now) const;

    instant m_at{};
    double m_failed = 0;
    double m_total = 0;
};

} // namespace toucan
