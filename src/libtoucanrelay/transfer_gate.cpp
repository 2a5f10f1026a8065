#include <algorithm>
#include <toucan/opening_queue.h>
#include <toucan/transfer_gate.h>

namespace toucan {
namespace {

using namespace std::chrono_literals;
using std::chrono::milliseconds;

// Time in which the link carries the windows of all running transfers: what a small request may
// have to wait for, about a third of the retransmission time.
constexpr double windowsMs = 60;
// Bytes that a caller sends without an acknowledgement, with the headers of the network.
constexpr double windowBytes = 16 * 1264;
// One transfer alone leaves the link idle while its target prepares the answer.
constexpr std::size_t minRunning = 2;
// A transfer without a segment for this long waits for its target, for a retransmission or has
// ended; it does not use the link.
constexpr instant idleTime = 100ms;
// Part of the objective that an opening may wait; the rest is for the transfer and the answer.
constexpr int objectivePart = 2;
// Without an objective, the same part of an attempt.
constexpr auto defaultObjective = attemptTime;
// Time in which a copy of an opening arrives.
constexpr instant copyDelay = 50ms;
// Time between two looks at openings that have waited too long but may not be refused.
constexpr instant lateInterval = 20ms;
// Part of an attempt that is left for the target's answer to an opening that has waited.
constexpr auto attemptReserve = 200ms;
// Weight of the newest time between two admissions: about the last ten count.
constexpr double smoothingWeight = 0.1;

// True when `copies` has every copy that a caller sends in the first `age` of its attempt and
// in the next moment.
bool hasAllCopies(std::uint32_t copies, instant age)
{
    std::uint32_t sent = 0;
    for (std::size_t i = 0; i < copyTimes.size(); ++i)
        sent |= age + copyDelay >= copyTimes[i] ? 1U << i : 0U;
    return (copies & sent) == sent;
}

} // namespace

void transfer_gate::setRate(double megabits)
{
    constexpr double bytesPerMsOfMegabit = 125;
    if (m_bytesPerMs == megabits * bytesPerMsOfMegabit)
        return;
    m_bytesPerMs = megabits * bytesPerMsOfMegabit;
    constexpr double usPerMs = 1000;
    m_turnUs = isLimited() ? windowBytes / m_bytesPerMs * usPerMs : 0;
    m_maxRunning
        = std::max(minRunning, static_cast<std::size_t>(m_bytesPerMs * windowsMs / windowBytes));
}

transfer_gate::verdict transfer_gate::offer(
    instant now, const segment &head, byte_view bytes, instant startedAt, milliseconds objective)
{
    const auto flow = head.flowFromCaller();
    if (!isLimited() || m_running.contains(flow))
        return verdict::admitted;
    if (const auto known = m_attempts.find(flow); known != m_attempts.end()) {
        m_waiting.at({known->second, flow}).copies |= 1U << head.copy;
        ++m_totals.copies;
        return verdict::copy;
    }
    if (m_waiting.empty() && m_running.size() >= m_maxRunning)
        sweep(now);
    if (m_waiting.empty() && m_running.size() < m_maxRunning) {
        m_running[flow] = m_lastAdmitted = now;
        return verdict::admitted;
    }
    const instant maxWait
        = (objective > 0ms ? std::min<milliseconds>(objective, attemptTime) : defaultObjective)
        / objectivePart;
    const auto end = startedAt + attemptTime - attemptReserve;
    if (expectedWait() > maxWait && hasAllCopies(1U << head.copy, now - startedAt)) {
        ++m_totals.refused;
        return verdict::refused;
    }
    ++m_totals.held;
    m_attempts[flow] = startedAt;
    m_waiting[{startedAt, flow}] = {.head = head,
        .bytes = byte_buffer(bytes.begin(), bytes.end()),
        .startedAt = startedAt,
        .heldSince = now,
        .latest = std::min(now + maxWait + maxWait / objectivePart, end),
        .copies = 1U << head.copy};
    return verdict::held;
}

// Wait of an opening behind all others, at the rate at which the last ones were admitted.
instant transfer_gate::expectedWait() const
{
    const auto ahead = static_cast<double>(m_waiting.size() + 1);
    return instant(static_cast<instant::rep>(ahead * m_turnUs));
}

void transfer_gate::onSegment(instant now, const segment &head)
{
    if (!isLimited())
        return;
    const auto found = m_running.find(head.flowFromCaller());
    if (found == m_running.end()) {
        // A transfer that pauses is one again with its next data; so is one of another entry.
        if (head.length > 0 && !head.finish && !head.reset)
            m_running[head.flowFromCaller()] = now;
        return;
    }
    found->second = now;
    if (head.finish || head.reset)
        m_running.erase(found);
}

// Ends the transfers without segments.
void transfer_gate::sweep(instant now)
{
    std::erase_if(m_running, [&](const auto &item) { return now - item.second >= idleTime; });
}

std::optional<transfer_gate::waiting_transfer> transfer_gate::next(instant now)
{
    if (m_waiting.empty())
        return std::nullopt;
    if (m_running.size() >= m_maxRunning)
        sweep(now);
    if (m_running.size() >= m_maxRunning)
        return std::nullopt;
    auto item = take(now, m_waiting.begin());
    if (item.heldSince <= m_lastAdmitted) {
        const auto turn = std::min(now - m_lastAdmitted, idleTime);
        m_turnUs += smoothingWeight * (static_cast<double>(turn.count()) - m_turnUs);
    }
    m_running[item.head.flowFromCaller()] = m_lastAdmitted = now;
    return item;
}

std::optional<transfer_gate::waiting_transfer> transfer_gate::takeLate(instant now)
{
    while (!m_waiting.empty() && now - m_waiting.begin()->second.startedAt >= attemptTime) {
        take(now, m_waiting.begin());
        ++m_totals.expired;
    }
    if (m_waiting.empty() || now < m_waiting.begin()->second.latest)
        return std::nullopt;
    const auto late = std::ranges::find_if(m_waiting, [&](const auto &entry) {
        const auto &item = entry.second;
        return now >= item.latest && hasAllCopies(item.copies, now - item.startedAt);
    });
    if (late == m_waiting.end())
        return std::nullopt;
    ++m_totals.refused;
    return take(now, late);
}

transfer_gate::waiting_transfer transfer_gate::take(
    instant now, std::map<place, waiting_transfer>::iterator position)
{
    auto item = std::move(position->second);
    m_waiting.erase(position);
    m_attempts.erase(item.head.flowFromCaller());
    m_totals.longestWait = std::max(m_totals.longestWait, now - item.heldSince);
    return item;
}

void transfer_gate::clear()
{
    m_running.clear();
    m_waiting.clear();
    m_attempts.clear();
}

std::optional<instant> transfer_gate::untilNext(instant now) const
{
    if (m_waiting.empty())
        return std::nullopt;
    const auto oldest
        = std::ranges::min_element(m_running, {}, [](const auto &item) { return item.second; });
    const auto due = oldest == m_running.end() ? now : oldest->second + idleTime;
    const auto latest = m_waiting.begin()->second.latest;
    const auto late = latest > now ? latest : now + lateInterval;
    return std::max(std::min(due, late) - now, instant{});
}

} // namespace toucan
