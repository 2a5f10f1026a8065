#include <algorithm>
#include <cmath>
#include <toucan/opening_queue.h>

namespace toucan {
namespace {

using namespace std::chrono_literals;
using std::chrono::milliseconds;

// The answer to an opening reaches its caller in a few milliseconds; the caller acknowledges it.
constexpr auto answerReserve = 20ms;
// Weight of the newest request in smoothed times: about the last ten requests count.
constexpr double smoothingWeight = 0.1;
// Durations are clamped to this range: others do not indicate how fast a queue is served.
constexpr auto minServiceTime = 2ms;
constexpr auto maxServiceTime = 1000ms;

// First requests arrive within this factor of the smoothed time plus one tick of the process.
constexpr double handshakeFactor = 3;
constexpr double handshakeReserveMs = 15;
// Callers with a longer time between opening and request have given up.
constexpr auto maxHandshakeTime = 100ms;

void smooth(double &value, milliseconds newest)
{
    value += smoothingWeight * (static_cast<double>(newest.count()) - value);
}

flow_key flowOf(const waiting_opening &item)
{
    return item.head.flowFromCaller();
}

} // namespace

instant attemptStartTime(instant now, std::uint32_t copy)
{
    return now - copyTimes[std::min<std::size_t>(copy, copyTimes.size() - 1)];
}

instant waiting_opening::deadline() const
{
    return attemptStart + attemptTime - answerReserve;
}

std::optional<instant> waiting_opening::latestTimelyStart(instant now, milliseconds answer) const
{
    const auto latest = attemptStart + objective - answer;
    return objective > 0ms && now <= latest ? std::optional(latest) : std::nullopt;
}

bool timelyFirst(
    const waiting_opening &left, const waiting_opening &right, instant now, milliseconds answer)
{
    const auto leftStart = left.latestTimelyStart(now, answer);
    const auto rightStart = right.latestTimelyStart(now, answer);
    if (leftStart.has_value() != rightStart.has_value())
        return leftStart.has_value();
    return leftStart ? *leftStart < *rightStart : left.deadline() < right.deadline();
}

bool byArrival(const waiting_opening &left, const waiting_opening &right, instant, milliseconds)
{
    return left.attemptStart < right.attemptStart;
}

void opening_queue::recordServiceTime(milliseconds duration)
{
    smooth(m_serviceMs, std::clamp<milliseconds>(duration, minServiceTime, maxServiceTime));
}

void opening_queue::recordHandshakeTime(milliseconds duration)
{
    smooth(m_handshakeMs, std::clamp<milliseconds>(duration, 0ms, maxHandshakeTime));
}

std::uint64_t opening_queue::maxConcurrency(std::uint64_t slots) const
{
    const auto onTheWay = std::ceil(static_cast<double>(slots) * m_handshakeMs / m_serviceMs);
    return slots + std::min(static_cast<std::uint64_t>(onTheWay), slots) + 1;
}

milliseconds opening_queue::handshakeTimeout() const
{
    return milliseconds(
        static_cast<std::int64_t>(m_handshakeMs * handshakeFactor + handshakeReserveMs));
}

milliseconds opening_queue::serviceTime() const
{
    return milliseconds(static_cast<std::int64_t>(m_serviceMs));
}

milliseconds opening_queue::answerTime() const
{
    return milliseconds(static_cast<std::int64_t>(m_handshakeMs + m_serviceMs));
}

milliseconds opening_queue::expectedWait(instant now, const waiting_opening &opening,
    std::uint64_t slots, std::uint64_t requestsAhead) const
{
    const auto answer = answerTime();
    const auto before = std::ranges::count_if(m_openings,
        [&](const waiting_opening &item) { return !m_order(opening, item, now, answer); });
    const auto requests = static_cast<double>(before) + static_cast<double>(requestsAhead) + 1;
    return milliseconds(static_cast<std::int64_t>(
        requests * m_serviceMs / static_cast<double>(std::max<std::uint64_t>(slots, 1))));
}

bool opening_queue::offer(
    instant now, waiting_opening opening, std::uint64_t slots, std::uint64_t requestsAhead)
{
    const auto same = find(flowOf(opening));
    if (same != m_openings.end()) {
        opening.attemptStart = std::min(opening.attemptStart, same->attemptStart);
        *same = std::move(opening);
        return true;
    }
    if (now + expectedWait(now, opening, slots, requestsAhead) > opening.deadline())
        return false;
    m_openings.push_back(std::move(opening));
    return true;
}

const waiting_opening *opening_queue::next(instant now) const
{
    const auto answer = answerTime();
    const auto first = std::ranges::min_element(m_openings,
        [&](const auto &left, const auto &right) { return m_order(left, right, now, answer); });
    return first == m_openings.end() ? nullptr : &*first;
}

std::vector<waiting_opening> opening_queue::takeExpired(instant now)
{
    const auto firstEnded = std::stable_partition(m_openings.begin(), m_openings.end(),
        [&](const waiting_opening &item) { return now < item.deadline(); });
    std::vector<waiting_opening> ended(
        std::make_move_iterator(firstEnded), std::make_move_iterator(m_openings.end()));
    m_openings.erase(firstEnded, m_openings.end());
    return ended;
}

std::vector<waiting_opening>::iterator opening_queue::find(const flow_key &flow)
{
    return std::ranges::find(m_openings, flow, flowOf);
}

bool opening_queue::contains(const flow_key &flow) const
{
    return std::ranges::find(m_openings, flow, flowOf) != m_openings.end();
}

std::optional<waiting_opening> opening_queue::take(const flow_key &flow)
{
    const auto found = find(flow);
    if (found == m_openings.end())
        return std::nullopt;
    auto taken = std::move(*found);
    m_openings.erase(found);
    return taken;
}

} // namespace toucan
