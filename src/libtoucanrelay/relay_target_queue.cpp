// relay_target: openings queued until the target has a free slot.

#include <algorithm>
#include <toucan/relay_target.h>

namespace toucan {
namespace {

using namespace std::chrono_literals;

// Minimum reduction of the wait that justifies one more hop to another target.
constexpr std::uint64_t minWaitGainMs = 10;

waiting_opening makeWaiting(instant now, const segment &head, const relay_packet &packet)
{
    auto header = packet.header;
    header.candidates.clear();
    header.shortestWaitAt = {};
    return {.head = head,
        .header = std::move(header),
        .bytes = byte_buffer(packet.bytes.begin(), packet.bytes.end()),
        .attemptStart = now - std::chrono::milliseconds(packet.header.ageMs),
        .objective = std::chrono::milliseconds(packet.header.objectiveMs)};
}

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

// Expected wait of an opening at this target, milliseconds.
std::uint64_t relay_target::expectedWait(instant now, const relay_header &header) const
{
    const waiting_opening opening{.attemptStart = now - std::chrono::milliseconds(header.ageMs),
        .objective = std::chrono::milliseconds(header.objectiveMs)};
    const auto wait = m_queue.expectedWait(now, opening, slots(), excessRequests());
    return static_cast<std::uint64_t>(wait.count());
}

// Records the wait at this target in the header for the candidates that are asked next.
void relay_target::recordWait(instant now, relay_header &header) const
{
    const auto wait = expectedWait(now, header);
    if (!header.shortestWaitAt || wait < header.shortestWaitMs) {
        header.shortestWaitMs = wait;
        header.shortestWaitAt = m_options.peer;
    }
}

// An earlier candidate with a shorter wait than this one; empty when this one has the shortest.
endpoint relay_target::candidateWithShorterQueue(instant now, const relay_header &header) const
{
    const bool isBetter = header.shortestWaitAt && header.shortestWaitAt != m_options.peer
        && header.shortestWaitMs + minWaitGainMs < expectedWait(now, header);
    return isBetter ? header.shortestWaitAt : endpoint{};
}

opening_verdict relay_target::queueOpening(
    instant now, const segment &head, const relay_packet &packet)
{
    if (!m_queue.offer(now, makeWaiting(now, head, packet), slots(), excessRequests()))
        return opening_verdict::overloaded;
    updateLoad(now);
    m_port.sendPeer(packet.header.entry,
        encodeRelayMessage(opening_kept{.caller = head.source, .service = head.destination}), {});
    return opening_verdict::waits;
}

void relay_target::dropExpired(instant now)
{
    for (const auto &item : m_queue.takeExpired(now))
        logOpening(now, item.head, "dropped: the caller's attempt ended in the queue");
}

// Queued openings are evaluated again: the target may have become draining, silent or out of
// service meanwhile.
void relay_target::serveQueue(instant now)
{
    if (m_queue.empty())
        return;
    dropExpired(now);
    while (const auto *next = m_queue.next(now)) {
        const auto verdict = evaluate(now, next->header);
        if (verdict == opening_verdict::waits)
            break;
        const auto item = *m_queue.take(next->head.flowFromCaller());
        logOpening(now, item.head, toString(verdict));
        m_verdicts[static_cast<std::size_t>(verdict)]->add();
        if (verdict == opening_verdict::accepted)
            acceptOpening(now, item.head, item.header, item.bytes);
        else
            passOn(item.header, relay_kind::refused_opening, item.bytes);
    }
    updateLoad(now);
}

void relay_target::onPause(instant now)
{
    m_queue.clear();
    updateLoad(now);
}

} // namespace toucan
