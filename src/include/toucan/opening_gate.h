#pragma once

/// Admission control for new flows at the process beside a target. It is the last decision before
/// the target, so that an entry with outdated state cannot exceed a limit. Pure functions and small
/// counters.
///
/// Designed for bursts of openings beyond a target's slots, and for cold targets, which sustain a
/// few openings a second and fail under more.

#include <deque>
#include <string_view>
#include <toucan/target_liveness.h>
#include <vector>

namespace toucan {

/// Admission decision on an opening.
enum class opening_verdict : std::uint8_t {
    accepted,
    standing_unknown, ///< No report of the target, or none within the silence limit.
    draining, ///< The target is draining or gone.
    domain_out, ///< Operators took the failure domain out of service.
    wrong_service, ///< The target belongs to another service.
    route_stale, ///< The entry used a configuration replaced more than 1.5 s ago.
    cold, ///< The target is cold and its openings of this second are used up.
    full, ///< The target holds its maximum number of flows.
    busy, ///< All slots are occupied; the next candidate is asked.
    waits, ///< The request limit is reached and no candidate is left: it is queued.
    overloaded, ///< It would wait past the end of its caller's attempt.
    silent, ///< The target does not answer openings.
};

/// Number of verdicts.
inline constexpr std::size_t openingVerdictCount = 12;

/// Name of a verdict in logs and metrics.
std::string_view toString(opening_verdict verdict);

/// Inputs of evaluateOpening().
struct opening_conditions
{
    target_standing standing = target_standing::unknown;
    bool isDomainOut = false;
    bool serviceMatches = true;
    bool isRouteStale = false;
    bool isTargetSilent = false;
    bool hasColdAllowance = true; ///< The cold limit is not reached.
    bool hasAlternative = false; ///< Another candidate is left.
    std::uint64_t flows = 0;
    std::uint64_t maxFlows = 0; ///< 0: no limit.
    std::uint64_t waitingRequests = 0; ///< Unanswered requests, and those expected on new flows.
    std::uint64_t slots = 0;
    std::uint64_t maxRequests = 0; ///< Concurrent requests sent to the target; 0: no limit.
};

/// Evaluates one opening against the target's state and limits. The first reason to refuse wins.
opening_verdict evaluateOpening(const opening_conditions &conditions);

/// Counts openings in a sliding window of one second.
class opening_window
{
public:
    /// Openings in the second before `now`.
    std::size_t count(instant now);
    /// Earliest times of the next `limit` openings when each second may have `limit` of them.
    std::vector<instant> nextStarts(instant now, std::size_t limit);
    void add(instant now) { m_times.push_back(now); }

private:
    std::deque<instant> m_times;
};

/// Exponential moving average of a level, weighted by the time that each value lasted.
class smoothed_level
{
public:
    /// `memory` is the time constant: an old value loses about two thirds of its weight in it.
    explicit smoothed_level(std::chrono::milliseconds memory)
        : m_memory(memory)
    { }
    /// Sets the level from `now` on.
    void set(instant now, double value);
    /// Returns the smoothed level.
    double read(instant now) const;

private:
    instant m_memory;
    instant m_at{};
    double m_value = 0;
    double m_smoothed = 0;
};

/// Share of a target's recent requests that failed, that is, whose flow was ended by either side
/// before the answer. Old requests decay, so that a target is tried again after some seconds.
///
/// A target that resets its flows has no queue and would be offered the most openings without this
/// penalty.
class failure_share
{
public:
    /// Records a request that ended.
    void add(instant now, bool failed);
    /// Load to report in addition to the queue, in thousandths of a slot.
    std::uint64_t penalty(instant now) const;

private:
    /// Factor on the counts of m_at at the time `now`.
    double decayFactor(instant now) const;

    instant m_at{};
    double m_failed = 0;
    double m_total = 0;
};

} // namespace toucan
