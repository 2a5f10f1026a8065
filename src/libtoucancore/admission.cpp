#include <algorithm>
#include <array>
#include <toucan/admission.h>

namespace toucan {
namespace {

// Shortest time between two steps of growth.
constexpr std::chrono::milliseconds growthInterval{250};
// Answers slower than this many times the reference are a sign of a cold target.
constexpr int slowFactor = 2;
// A request pending for this many times the reference is as good as lost.
constexpr int pendingFactor = 4;
// Latencies below this are not judged: scheduling noise is larger.
constexpr std::chrono::milliseconds noiseFloor{10};
// The reference follows a lasting change upwards by this fraction an answer.
constexpr int driftDivisor = 256;
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

admission::admission(const admission_options &options)
    : m_options(options)
    , m_limit(options.coldSlots)
{ }

void admission::setOptions(const admission_options &options)
{
    m_options = options;
    m_limit = std::clamp<std::uint64_t>(m_limit, 1, std::max(options.slots, options.coldSlots));
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

void admission::onAnswer(instant now, instant latency)
{
    m_recent = m_recent == instant{} ? latency : (m_recent + latency) / 2;
    const bool slow
        = reference() != instant{} && m_recent > reference() * slowFactor && m_recent > noiseFloor;
    if (m_typical == instant{} || latency < m_typical)
        m_typical = latency;
    else
        m_typical += (latency - m_typical) / driftDivisor;
    if (slow) {
        collapse(now);
        return;
    }
    ++m_goodAnswers;
    if (!m_healthy || m_limit >= m_options.slots || m_goodAnswers < m_limit
        || now - m_lastChange < growthInterval)
        return;
    ++m_limit;
    m_goodAnswers = 0;
    m_lastChange = now;
}

void admission::collapse(instant now)
{
    m_limit = std::min(m_limit, std::max<std::uint64_t>(1, m_options.coldSlots));
    m_goodAnswers = 0;
    m_lastChange = now;
    m_lastCollapse = now;
}

void admission::onPending(instant now, instant age)
{
    if (reference() != instant{} && age > reference() * pendingFactor
        && age > noiseFloor * pendingFactor)
        collapse(now);
}

void admission::onHealth(instant now, bool healthy)
{
    m_healthy = healthy;
    if (!healthy)
        collapse(now);
}

void admission::setReference(instant latency)
{
    m_peerReference = latency;
}

} // namespace toucan
