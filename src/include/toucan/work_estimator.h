#pragma once

/// Estimates the time that a target takes for requests, from those that it answered. Used by the
/// process beside a target, which sees requests begin and answers end; does no I/O.
///
/// Designed for requests that look alike and cost very different amounts of work: a few in a
/// hundred may take many times as long as the others. So it keeps distributions instead of means,
/// and estimates the remaining time of a request by the time for which it has run: the longer it
/// has run, the more certain it is one of the long ones. The distributions remember half a minute,
/// in which a rare kind of request occurs often enough. The target's speed is a factor of its own
/// that follows the newest requests and is forgotten within seconds.

#include <array>
#include <chrono>
#include <cstdint>
#include <map>
#include <toucan/endpoint.h>
#include <vector>

namespace toucan {

/// What distinguishes requests before they are answered.
struct work_kind
{
    endpoint route; ///< Service address of the flow.
    std::uint32_t bytes = 0; ///< Payload of the request's first segment.
    bool isFirst = false; ///< First request of its flow.
};

/// Distribution of times whose weights decay. Times are counted in buckets of a constant ratio, so
/// that its size does not depend on the number of requests.
class decaying_times
{
public:
    /// Adds a time with weight 1.
    void add(instant now, double ms);
    /// Weight of all times that are still remembered.
    double weight(instant now) const;
    /// Mean, 0 without times.
    double meanMs() const;
    /// Mean of the bucket that the median is in, 0 without times.
    double medianMs() const;
    /// Standard deviation over mean, 0 without times.
    double spread() const;
    /// Weight and sum of the remembered times that are longer than `ageMs`.
    struct tail
    {
        double weight = 0;
        double sumMs = 0;
    };
    tail longerThan(instant now, double ageMs) const;
    /// Time of the newest addition.
    instant newest() const { return m_newest; }

private:
    static constexpr std::size_t bucketCount = 28;
    struct bucket
    {
        double weight = 0;
        double sumMs = 0;
    };
    double decayUntil(instant now) const;
    static std::size_t bucketOf(double ms);

    std::array<bucket, bucketCount> m_buckets{};
    instant m_newest{};
};

/// The estimator of one target. Not thread-safe.
class work_estimator
{
public:
    /// Expected time of a request before any was measured.
    static constexpr std::chrono::milliseconds initialWork{50};
    /// Routes that are told apart; the one unused for longest makes room for a new one.
    static constexpr std::size_t maxRoutes = 32;
    /// Requests in progress that are tracked.
    static constexpr std::size_t maxRunning = 4096;

    /// Parts that can be switched off, to find out what each is worth.
    struct parts
    {
        bool byRoute = true; ///< Distributions by route and kind; otherwise one for all.
        bool residual = true; ///< Remaining time by the time run; otherwise the expected time.
    };
    work_estimator() = default;
    explicit work_estimator(parts enabled)
        : m_parts(enabled)
    { }

    /// A request was passed to the target; returns its number. `isMeasure`: the target had a free
    /// slot, so that the time to the answer is that of the work alone.
    std::uint64_t begin(instant now, const work_kind &kind, bool isMeasure);
    /// What was expected of a request that ended, and what was seen.
    struct outcome
    {
        double expectedMs = 0;
        double seenMs = 0;
        bool isMeasured = false; ///< Answered, and begun with a free slot.
    };
    /// A request ended. One without an answer tells only that it would have taken longer, which is
    /// not learned: callers give up long requests more often than short ones.
    outcome end(instant now, std::uint64_t number, bool answered);

    /// Expected time of a request that begins now, ms.
    double expectedMs(instant now, const work_kind &kind) const;
    /// Expected time of a request of any kind, ms.
    double meanMs(instant now) const;
    /// Expected remaining time of a request that has run for `ageMs`, ms.
    double remainingMs(instant now, const work_kind &kind, double ageMs) const;
    /// Sum of the expected remaining times of all requests in progress, ms.
    double remainingMs(instant now) const;
    /// Expected time until one of the requests in progress ends, ms; 0 when there is none.
    double nextEndMs(instant now) const;
    /// Factor by which the target takes longer at present than over the last half minute.
    double slowness(instant now) const;
    /// Expected time of a request of a route.
    struct route_mean
    {
        endpoint address;
        double meanMs = 0;
    };
    /// Routes with measured requests, at most maxRoutes.
    std::vector<route_mean> routes(instant now) const;
    /// False until enough was measured, and again after a minute or so without requests.
    bool isLearned(instant now) const;
    /// True while requests differ by so much that their number misrepresents the work.
    bool isUneven(instant now) const;

private:
    static constexpr std::size_t kindsOfRoute = 8;
    struct route_times
    {
        std::array<decaying_times, kindsOfRoute> kinds;
        decaying_times all;
        instant used{};
    };
    struct running_request
    {
        work_kind kind;
        instant begun{};
        double expectedMs = 0;
        bool isMeasure = false;
    };
    /// A measured time over the one that was usual for its kind, as a logarithm.
    struct speed_sample
    {
        instant at{};
        double logRatio = 0;
    };

    static std::size_t indexOf(const work_kind &kind);
    /// Distributions from the most special to the most general.
    std::array<const decaying_times *, 3> scopesOf(const work_kind &kind) const;
    double usualMs(instant now, const work_kind &kind) const;
    route_times &routeAt(instant now, const endpoint &route);

    parts m_parts;
    std::map<endpoint, route_times> m_routes;
    decaying_times m_all;
    std::map<std::uint64_t, running_request> m_running; ///< By number, oldest first.
    std::uint64_t m_lastNumber = 0;
    std::vector<speed_sample> m_speed; ///< Newest last.
};

} // namespace toucan
