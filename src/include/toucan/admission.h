#pragma once

/// How many requests a target is trusted with at once.
///
/// A target counts as cold from its start and from the first sign of trouble. While it is cold the
/// limit is what a cold target bears. It counts as warm once its latency is that of warm members,
/// or has fallen to half of what it was, or, when nothing else tells, after the warm-up time. Then
/// the limit grows by one for each full round of answers in good time. What the target says of
/// itself can lower the limit but never raise it.

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

/// What a target bears, from its service's record.
struct admission_options
{
    std::uint64_t slots = 10; ///< Requests at once when warm.
    std::uint64_t coldSlots = 1; ///< Requests at once when cold.
    std::chrono::milliseconds warmUp{10'000}; ///< Time until warm when latency tells nothing.
};

/// The limit of one target. Not thread-safe.
class admission
{
public:
    admission(const admission_options &options, instant now);

    /// Applies changed options; the limit of a warm target never grows by this.
    void setOptions(const admission_options &options);

    /// True when a request of the class may be passed on now. The last fifth of the slots is kept
    /// for submissions.
    bool hasRoom(request_class value) const;
    /// Counts a request in.
    void acquire();
    /// Counts a request out, whatever became of it.
    void release();

    /// A request was answered after `latency`.
    void onAnswer(instant now, instant latency);
    /// The target refused a request, lost one, or is known to have turned cold.
    void resetToCold(instant now);
    /// A request has been in progress for `age`; collapses the limit when that is too long.
    void onPending(instant now, instant age);
    /// The target's health endpoint reports; `cold` or `draining` ones lower the limit.
    void onHealth(instant now, bool healthy);
    /// Latency that warm members of the service report; 0 when unknown.
    void setReferenceLatency(instant latency);

    std::uint64_t limit() const { return m_limit; }
    std::uint64_t inProgress() const { return m_inProgress; }
    /// True once the target counts as warm.
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
