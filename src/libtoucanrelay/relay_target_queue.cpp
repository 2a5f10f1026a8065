// relay_target: openings queued until the target has a free slot.

#include <algorithm>
#include <cmath>
#include <toucan/relay_target.h>

namespace toucan {
namespace {

using namespace std::chrono_literals;

// Minimum reduction of the wait that justifies one more hop to another target.
constexpr std::uint64_t minWaitGainMs = 10;
// Minimum time between two judgements of the queue without a new opening.
constexpr auto judgeInterval = 10ms;

} // namespace

std::uint64_t relay_target::slots() const
{
    return m_liveness.latest() ? m_liveness.latest()->slots : 0;
}

void relay_target::updateLoad(instant now)
{
    m_load.set(now, static_cast<double>(m_waitingRequests + m_queue.size()));
    m_work.set(now, remainingWork(now));
}

// Reserves a slot for the first request of a new flow, which follows within a few round trips.
void relay_target::expectRequest(instant now, const flow_key &key, flow &item)
{
    item.isRequestExpected = true;
    ++m_expectedRequests;
    m_expectedFlows.emplace_back(now, key);
}

void relay_target::cancelExpectedRequest(flow &item)
{
    if (std::exchange(item.isRequestExpected, false))
        --m_expectedRequests;
}

void relay_target::expireExpectedRequests(instant now)
{
    const auto limit = m_queue.handshakeTimeout();
    while (!m_expectedFlows.empty() && now - m_expectedFlows.front().first > limit) {
        const auto found = m_flows.find(m_expectedFlows.front().second);
        if (found != m_flows.end() && found->second.openedAt == m_expectedFlows.front().first)
            cancelExpectedRequest(found->second);
        m_expectedFlows.pop_front();
    }
}

waiting_opening relay_target::makeWaiting(
    instant now, const segment &head, const relay_header &header) const
{
    return {.head = head,
        .attemptStart = now - std::chrono::milliseconds(header.ageMs),
        .objective = std::chrono::milliseconds(header.objectiveMs),
        .timeLimit = std::chrono::milliseconds(header.timeLimitMs),
        .priority = header.priority,
        .cost = expectedCost(now)};
}

// Time of the requests at the target beyond its slots, for one slot. While requests cost very
// different amounts, those without a slot follow each other at the rate at which the running ones
// are expected to end.
std::chrono::milliseconds relay_target::workAhead(instant now) const
{
    const auto excess = excessRequests();
    if (!m_estimator.isUneven(now))
        return static_cast<std::int64_t>(excess) * m_queue.serviceTime();
    const auto ms = static_cast<double>(excess * slots()) * m_estimator.nextEndMs(now);
    return std::chrono::milliseconds(std::lround(ms));
}

// Expected time of an opening's first request at the target.
std::chrono::milliseconds relay_target::expectedCost(instant now) const
{
    return m_estimator.isUneven(now)
        ? std::chrono::milliseconds(std::lround(m_estimator.meanMs(now)))
        : m_queue.serviceTime();
}

// A cold target takes only some openings each second, whatever its slots.
void relay_target::updateQueuePace(instant now)
{
    const bool isLimited
        = standing(now) == target_standing::cold && coldLimit() <= opening_queue::maxOpenings;
    m_queue.setAllowedStarts(
        isLimited ? m_recentOpenings.nextStarts(now, coldLimit()) : std::vector<instant>());
}

// Expected wait of an opening at this target, milliseconds.
std::uint64_t relay_target::expectedWait(
    instant now, const segment &head, const relay_header &header) const
{
    const auto wait
        = m_queue.expectedWait(now, makeWaiting(now, head, header), slots(), workAhead(now));
    return static_cast<std::uint64_t>(wait.count());
}

// Records the wait at this target in the header for the candidates that are asked next.
void relay_target::recordWait(instant now, const segment &head, relay_header &header) const
{
    const auto wait = expectedWait(now, head, header);
    if (!header.shortestWaitAt || wait < header.shortestWaitMs) {
        header.shortestWaitMs = wait;
        header.shortestWaitAt = m_options.peer;
    }
}

// An earlier candidate with a shorter wait than this one; empty when this one has the shortest.
endpoint relay_target::candidateWithShorterQueue(
    instant now, const segment &head, const relay_header &header) const
{
    const bool isBetter = header.shortestWaitAt && header.shortestWaitAt != m_options.peer
        && header.shortestWaitMs + minWaitGainMs < expectedWait(now, head, header);
    return isBetter ? header.shortestWaitAt : endpoint{};
}

opening_verdict relay_target::queueOpening(
    instant now, const segment &head, const relay_packet &packet)
{
    auto opening = makeWaiting(now, head, packet.header);
    opening.header = packet.header;
    opening.header.candidates.clear();
    opening.header.shortestWaitAt = {};
    opening.bytes.assign(packet.bytes.begin(), packet.bytes.end());
    if (!m_queue.offer(now, std::move(opening), slots(), workAhead(now))) {
        m_refusals[static_cast<std::size_t>(*m_queue.lastForecast().refusal)]->add();
        m_refusalWait.add(0);
        return opening_verdict::overloaded;
    }
    updateLoad(now);
    m_port.sendPeer(packet.header.entry,
        encodeRelayMessage(opening_kept{.caller = head.source, .service = head.destination}), {});
    return opening_verdict::waits;
}

// The opening was not passed to the target. Its entry takes the refusal only from the process that
// keeps the opening: a copy may have been placed elsewhere meanwhile.
void relay_target::refuseWaiting(instant now, const unserved_opening &item)
{
    using std::chrono::duration_cast;
    using std::chrono::milliseconds;
    const auto &opening = item.opening;
    const auto waited = now - opening.queuedAt;
    const bool isProven = item.proof != refusal_proof::missing;
    logOpening(now, opening.head,
        isProven ? toString(opening_verdict::overloaded) : "left to the process with its copies",
        &item.forecast, waited);
    m_verdicts[static_cast<std::size_t>(opening_verdict::overloaded)]->add();
    m_refusals[static_cast<std::size_t>(*item.forecast.refusal)]->add();
    m_refusalWait.add(static_cast<double>(duration_cast<milliseconds>(waited).count()));
    if (isProven)
        returnWaiting(opening);
}

void relay_target::returnWaiting(const waiting_opening &opening)
{
    auto header = opening.header;
    header.shortestWaitAt = m_options.peer;
    passOn(header, relay_kind::refused_opening, opening.bytes);
}

void relay_target::judgeQueue(instant now)
{
    m_lastJudged = now;
    const auto refused = m_queue.judge(now, slots(), workAhead(now));
    std::ranges::for_each(refused, [&](const auto &item) { refuseWaiting(now, item); });
}

// Queued openings are evaluated again: the target may have become draining, silent or out of
// service meanwhile.
void relay_target::serveQueue(instant now)
{
    if (m_queue.empty())
        return;
    updateQueuePace(now);
    while (const auto *next = m_queue.next(now)) {
        const auto verdict = evaluate(now, next->header);
        if (verdict == opening_verdict::waits || verdict == opening_verdict::cold)
            break;
        const auto item = *m_queue.take(next->head.flowFromCaller());
        logOpening(now, item.head, toString(verdict));
        m_verdicts[static_cast<std::size_t>(verdict)]->add();
        if (verdict == opening_verdict::accepted)
            acceptOpening(now, item.head, item.header, item.bytes);
        else if (item.proofOfRefusal(now) != refusal_proof::missing)
            returnWaiting(item);
    }
    if (now - m_lastJudged >= judgeInterval)
        judgeQueue(now);
    updateLoad(now);
}

void relay_target::onPause(instant now)
{
    for (auto &opening : m_queue.takeAll()) {
        const auto proof = opening.proofOfRefusal(now);
        refuseWaiting(now,
            {.opening = std::move(opening),
                .forecast = {.refusal = queue_refusal::process_paused},
                .proof = proof});
    }
    updateLoad(now);
}

} // namespace toucan
