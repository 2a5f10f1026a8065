#include <algorithm>
#include <array>
#include <toucan/admission.h>

namespace toucan {
namespace {

// Minimum time between two increments of the limit.
constexpr std::chrono::milliseconds growthInterval{250};
// Smoothed latency above this multiple of the reference means that the target is cold.
constexpr int coldLatencyFactor = 2;
// A request pending for this multiple of the reference latency counts as lost.
constexpr int lostAgeFactor = 6;
// Latencies below this are not evaluated: scheduling noise is larger.
constexpr std::chrono::milliseconds noiseFloor{10};
// Answers needed before latency is evaluated.
constexpr std::uint64_t minAnswers = 4;
// A target is warm once its latency is at most this many halves of the reference.
constexpr int warmLatencyHalves = 3;
// Divisors of exponential smoothing.
constexpr int recentDivisor = 4;
constexpr int typicalDivisor = 32;
// One slot in this many is reserved for submissions, from the limit below on.
constexpr std::uint64_t reserveDivisor = 5;
constexpr std::uint64_t minLimitWithReserve = 3;

} // namespace

std::string_view toString(request_class value)
{
    static constexpr std::array<std::string_view, requestClassCount> names{
        "submission", "pull", "watch"};
    return names[static_cast<std::size_t>(value)];
}

admission::admission(const admission_options &options, instant now)
    : m_options(options)
    , m_limit(options.coldSlots)
    , m_coldSince(now)
{ }

void admission::setOptions(const admission_options &options)
{
    m_options = options;
    const auto cold = std::max<std::uint64_t>(options.coldSlots, 1);
    m_limit = m_warm ? std::clamp<std::uint64_t>(m_limit, 1, std::max(options.slots, cold)) : cold;
}

bool admission::hasRoom(request_class value) const
{
    if (value == request_class::submission || m_limit < minLimitWithReserve)
        return m_inProgress < m_limit;
    const auto reserve = std::max<std::uint64_t>(1, m_limit / reserveDivisor);
    return m_inProgress + reserve < m_limit;
}

void admission::acquire()
{
    ++m_inProgress;
}

void admission::release()
{
    if (m_inProgress > 0)
        --m_inProgress;
}

instant admission::referenceLatency() const
{
    if (m_peerReferenceLatency == instant{})
        return m_typicalLatency;
    return m_typicalLatency == instant{} ? m_peerReferenceLatency
                                         : std::min(m_typicalLatency, m_peerReferenceLatency);
}

instant admission::expectedLatency() const
{
    if (m_answersSinceCold < minAnswers)
        return {};
    return std::max(m_typicalLatency, m_recentLatency);
}

bool admission::meetsWarmCriteria(instant now) const
{
    if (!m_healthy)
        return false;
    if (now - m_coldSince >= m_options.warmUp)
        return true;
    if (m_answersSinceCold < minAnswers)
        return false;
    if (referenceLatency() != instant{})
        return m_recentLatency
            <= std::max<instant>(referenceLatency() * warmLatencyHalves / 2, noiseFloor);
    return m_recentLatency * 2 <= m_peakColdLatency;
}

void admission::onAnswer(instant now, instant latency)
{
    m_recentLatency = m_recentLatency == instant{}
        ? latency
        : m_recentLatency + (latency - m_recentLatency) / recentDivisor;
    ++m_answersSinceCold;
    if (!m_warm) {
        if (m_answersSinceCold >= minAnswers)
            m_peakColdLatency = std::max(m_peakColdLatency, m_recentLatency);
        if (!meetsWarmCriteria(now))
            return;
        m_warm = true;
        m_answersSinceGrowth = 0;
    }
    updateWhileWarm(now, latency);
}

void admission::updateWhileWarm(instant now, instant latency)
{
    const bool slow = referenceLatency() != instant{}
        && m_recentLatency > referenceLatency() * coldLatencyFactor && m_recentLatency > noiseFloor;
    if (slow) {
        resetToCold(now);
        return;
    }
    m_typicalLatency = m_typicalLatency == instant{}
        ? m_recentLatency
        : m_typicalLatency + (latency - m_typicalLatency) / typicalDivisor;
    ++m_answersSinceGrowth;
    if (m_limit >= m_options.slots || m_answersSinceGrowth < m_limit
        || now - m_lastGrowth < growthInterval)
        return;
    ++m_limit;
    m_answersSinceGrowth = 0;
    m_lastGrowth = now;
}

void admission::resetToCold(instant now)
{
    m_limit = std::min(m_limit, std::max<std::uint64_t>(1, m_options.coldSlots));
    m_warm = false;
    m_coldSince = now;
    m_answersSinceCold = 0;
    m_recentLatency = {};
    m_peakColdLatency = {};
    m_answersSinceGrowth = 0;
}

void admission::onPending(instant now, instant age)
{
    const bool lost = referenceLatency() != instant{} && age > referenceLatency() * lostAgeFactor
        && age > noiseFloor * lostAgeFactor;
    if (lost && m_warm)
        resetToCold(now);
}

void admission::onHealth(instant now, bool healthy)
{
    const bool turned = m_healthy && !healthy;
    m_healthy = healthy;
    if (turned && m_warm)
        resetToCold(now);
}

void admission::setReferenceLatency(instant latency)
{
    m_peerReferenceLatency = latency;
}

} // namespace toucan
