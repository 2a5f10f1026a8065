#include <algorithm>
#include <array>
#include <toucan/admission.h>

namespace toucan {
namespace {

// Shortest time between two steps of growth.
constexpr std::chrono::milliseconds growthInterval{250};
// Smoothed latency above this many times the reference is a sign of a cold target.
constexpr int slowFactor = 2;
// A request pending for this many times the reference is as good as lost.
constexpr int pendingFactor = 6;
// Latencies below this are not judged: scheduling noise is larger.
constexpr std::chrono::milliseconds noiseFloor{10};
// Answers needed before latency is judged.
constexpr std::uint64_t fewestAnswers = 4;
// A cold target's latency is within this many halves of the reference once it is warm.
constexpr int warmHalves = 3;
// Weights of smoothing, as divisors.
constexpr int recentDivisor = 4;
constexpr int typicalDivisor = 32;
// One slot in this many is kept for submissions.
constexpr std::uint64_t reserveDivisor = 5;
constexpr std::uint64_t smallestWithReserve = 3;

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
    if (value == request_class::submission || m_limit < smallestWithReserve)
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

instant admission::reference() const
{
    if (m_peerReference == instant{})
        return m_typical;
    return m_typical == instant{} ? m_peerReference : std::min(m_typical, m_peerReference);
}

instant admission::usualLatency() const
{
    if (m_answersSinceCold < fewestAnswers)
        return {};
    return std::max(m_typical, m_recent);
}

bool admission::looksWarm(instant now) const
{
    if (!m_healthy)
        return false;
    if (now - m_coldSince >= m_options.warmUp)
        return true;
    if (m_answersSinceCold < fewestAnswers)
        return false;
    if (reference() != instant{})
        return m_recent <= std::max<instant>(reference() * warmHalves / 2, noiseFloor);
    return m_recent * 2 <= m_coldPeak;
}

void admission::onAnswer(instant now, instant latency)
{
    m_recent = m_recent == instant{} ? latency : m_recent + (latency - m_recent) / recentDivisor;
    ++m_answersSinceCold;
    if (!m_warm) {
        if (m_answersSinceCold >= fewestAnswers)
            m_coldPeak = std::max(m_coldPeak, m_recent);
        if (!looksWarm(now))
            return;
        m_warm = true;
        m_goodAnswers = 0;
    }
    learnWhileWarm(now, latency);
}

void admission::learnWhileWarm(instant now, instant latency)
{
    const bool slow
        = reference() != instant{} && m_recent > reference() * slowFactor && m_recent > noiseFloor;
    if (slow) {
        collapse(now);
        return;
    }
    m_typical
        = m_typical == instant{} ? m_recent : m_typical + (latency - m_typical) / typicalDivisor;
    ++m_goodAnswers;
    if (m_limit >= m_options.slots || m_goodAnswers < m_limit
        || now - m_lastGrowth < growthInterval)
        return;
    ++m_limit;
    m_goodAnswers = 0;
    m_lastGrowth = now;
}

void admission::collapse(instant now)
{
    m_limit = std::min(m_limit, std::max<std::uint64_t>(1, m_options.coldSlots));
    m_warm = false;
    m_coldSince = now;
    m_answersSinceCold = 0;
    m_recent = {};
    m_coldPeak = {};
    m_goodAnswers = 0;
}

void admission::onPending(instant now, instant age)
{
    const bool lost = reference() != instant{} && age > reference() * pendingFactor
        && age > noiseFloor * pendingFactor;
    if (lost && m_warm)
        collapse(now);
}

void admission::onHealth(instant now, bool healthy)
{
    const bool turned = m_healthy && !healthy;
    m_healthy = healthy;
    if (turned && m_warm)
        collapse(now);
}

void admission::setReference(instant latency)
{
    m_peerReference = latency;
}

} // namespace toucan
