#pragma once

/// Adaptive limit on the concurrent requests of one target.
///
/// A target is cold from its start and again after a refused or lost request, a rise of its
/// latency or an unhealthy health report. While it is cold the limit is `coldSlots`. It becomes
/// warm once its latency is near that of warm members, or has halved, or, without such evidence,
/// after the warm-up time. From then on the limit grows by one after as many answers as the limit
/// without a rise of latency, up to `slots`. The target's own health reports can lower the limit
/// but never raise it.

#include <cstdint>
#include <string_view>
#include <toucan/endpoint.h>

namespace toucan {

/// Priority classes, most urgent first.
enum class request_class : std::uint8_t { submission, pull, watch };

/// Number of priority classes.
inline constexpr std::size_t requestClassCount = 3;

/// Name of a class, for logs and metrics.
std::string_view toString(request_class value);

/// Capacity of a target, from its service's record.
struct admission_options
{
    std::uint64_t slots = 10; ///< Concurrent requests when warm.
    std::uint64_t coldSlots = 1; ///< Concurrent requests when cold.
    std::chrono::milliseconds warmUp{10'000}; ///< Time until warm without evidence from latency.
};

/// Concurrency limit of one target. Not thread-safe.
class admission
{
public:
    admission(const admission_options &options, instant now);

    /// Applies changed options. The limit of a warm target does not grow by this.
    void setOptions(const admission_options &options);

    /// True when a request of the class may be sent to the target now. The last fifth of the slots
    /// is reserved for submissions.
    bool hasRoom(request_class value) const;
    /// Adds a request in progress.
    void acquire();
    /// Removes a request in progress, whatever its outcome.
    void release();

    /// Records an answer of the target after `latency`.
    void onAnswer(instant now, instant latency);
    /// Lowers the limit to that of a cold target: the target refused or lost a request, or became
    /// cold for another reason.
    void resetToCold(instant now);
    /// Calls resetToCold() when `age`, the time that a request has been in progress, shows that the
    /// request is lost.
    void onPending(instant now, instant age);
    /// Records a report of the target's health endpoint; an unhealthy one (cold, draining or no
    /// reply) lowers the limit.
    void onHealth(instant now, bool healthy);
    /// Sets the latency reported by warm members of the service; 0 when unknown.
    void setReferenceLatency(instant latency);

    std::uint64_t limit() const { return m_limit; }
    std::uint64_t inProgress() const { return m_inProgress; }
    /// True while the target is warm.
    bool isWarm() const { return m_warm; }
    /// Latency to expect now, warm or cold; 0 before the first few answers.
    instant expectedLatency() const;
    /// Mean latency while warm; 0 when unknown.
    instant typicalLatency() const { return m_typicalLatency; }

private:
    instant referenceLatency() const;
    bool meetsWarmCriteria(instant now) const;
    void updateWhileWarm(instant now, instant latency);

    admission_options m_options;
    std::uint64_t m_limit;
    std::uint64_t m_inProgress = 0;
    std::uint64_t m_answersSinceGrowth = 0;
    std::uint64_t m_answersSinceCold = 0;
    instant m_lastGrowth{};
    instant m_coldSince{};
    instant m_recentLatency{}; ///< Smoothed latency since the target turned cold or warm.
    instant m_peakColdLatency{}; ///< Largest smoothed latency since it turned cold.
    instant m_typicalLatency{};
    instant m_peerReferenceLatency{};
    bool m_warm = false;
    bool m_healthy = true;
};

} // namespace toucan
