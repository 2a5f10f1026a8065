#include <algorithm>
#include <toucan/link_scheduler.h>

namespace toucan {
namespace {

using namespace std::chrono_literals;

// Callers retransmit after this time.
constexpr instant retransmissionTime = 200ms;
// Backlog in the network up to which segments are passed on. That of bulk delays small requests
// by a twentieth of the shortest usual objective, and spans two wake-ups of the process.
constexpr std::array<instant, linkClassCount> networkBacklog{instant::max(), 20ms, 10ms};
// A wake-up refills the backlog in the network from this value.
constexpr instant refillAt = 5ms;
// The rest is left for what is not counted: digests, and connections to the store.
constexpr double usableShare = 0.98;
// Transfers are few enough that the segments of all their windows have room.
constexpr double maxQueuedMs = 400;
// Data within volumeSpan that makes a flow a transfer: more than its first window of half the usual
// size, so that requests of a few segments stay small.
constexpr std::size_t transferBytes = 9600;
constexpr instant volumeSpan = 1s;
// Bytes that a flow gets in each round; a little more than one segment of a transfer.
constexpr std::size_t quantum = 1500;

} // namespace

bool flow_volume::add(instant now, std::size_t bytes)
{
    if (now - m_since > volumeSpan) {
        m_since = now;
        m_bytes = 0;
    }
    m_bytes += static_cast<std::uint32_t>(bytes);
    return m_bytes > transferBytes;
}

void link_scheduler::setRate(double megabits)
{
    constexpr double bytesPerMsOfMegabit = 125;
    m_bytesPerMs = megabits * bytesPerMsOfMegabit * usableShare;
}

void link_scheduler::count(link_class kind, std::size_t bytes)
{
    if (!isLimited())
        return;
    m_totals.passedBytes[static_cast<std::size_t>(kind)] += bytes;
    m_unsettled += bytes + datagramOverhead;
}

// Adds what was sent since the last call to the link's backlog.
void link_scheduler::settle(instant now)
{
    constexpr double usPerMs = 1000;
    if (!isLimited()) {
        m_idleAt = now;
        return;
    }
    const auto bytes = static_cast<double>(std::exchange(m_unsettled, 0));
    m_idleAt = std::max(m_idleAt, now)
        + instant(static_cast<instant::rep>(bytes / m_bytesPerMs * usPerMs));
}

instant link_scheduler::backlog(instant now) const
{
    constexpr double usPerMs = 1000;
    if (!isLimited())
        return {};
    const auto bytes = queuedBytes() + m_unsettled;
    return std::max(m_idleAt - now, instant{})
        + instant(static_cast<instant::rep>(static_cast<double>(bytes) / m_bytesPerMs * usPerMs));
}

link_scheduler::verdict link_scheduler::offer(
    instant now, const link_segment &about, byte_view head, byte_view payload)
{
    const auto size = head.size() + payload.size();
    if (!isLimited())
        return verdict::pass;
    settle(now);
    auto &queue = queueOf(about.kind);
    if (queue.bytes == 0 && m_idleAt - now < networkBacklog[static_cast<std::size_t>(about.kind)]) {
        count(about.kind, size);
        return verdict::pass;
    }
    const auto found = queue.flows.find(about.flow);
    const bool isCopy = about.length > 0 && found != queue.flows.end()
        && std::ranges::any_of(found->second.segments, [&](const queued_segment &item) {
               return item.sequence == about.sequence && item.length == about.length;
           });
    if (isCopy) {
        ++m_totals.copies;
        return verdict::copy;
    }
    if (!makeRoom(now, size)) {
        ++m_totals.overflows;
        return verdict::full;
    }
    auto &flow = queue.flows[about.flow];
    if (flow.segments.empty())
        queue.turns.push_back(about.flow);
    flow.segments.push_back({.to = about.to,
        .sequence = about.sequence,
        .length = about.length,
        .headBytes = head.size(),
        .since = now,
        .bytes = byte_buffer(head.begin(), head.end())});
    auto &bytes = flow.segments.back().bytes;
    bytes.insert(bytes.end(), payload.begin(), payload.end());
    queue.bytes += size;
    ++m_totals.queued;
    return verdict::queued;
}

// Makes room for `size` bytes; false when there is none. The segments that have waited longest go
// first, if their callers have sent copies or will do so before they would be sent.
bool link_scheduler::makeRoom(instant now, std::size_t size)
{
    const auto capacity = static_cast<std::size_t>(maxQueuedMs * m_bytesPerMs);
    while (queuedBytes() + size > capacity) {
        auto &queue = queueOf(link_class::bulk);
        const auto oldest = std::ranges::min_element(queue.turns, {},
            [&](const flow_key &flow) { return queue.flows.at(flow).segments.front().since; });
        if (oldest == queue.turns.end()
            || now - queue.flows.at(*oldest).segments.front().since < retransmissionTime)
            return false;
        removeFirst(queue, oldest);
        ++m_totals.overflows;
    }
    return true;
}

// Removes the first segment of a flow, and the flow itself when that was its last one.
link_scheduler::queued_segment link_scheduler::removeFirst(
    class_queue &queue, const std::deque<flow_key>::iterator &turn)
{
    const auto found = queue.flows.find(*turn);
    auto &segments = found->second.segments;
    auto item = std::move(segments.front());
    segments.pop_front();
    queue.bytes -= item.bytes.size();
    if (segments.empty()) {
        queue.flows.erase(found);
        queue.turns.erase(turn);
    }
    return item;
}

// Deficit round robin: a flow sends while its share of the round lasts, then the next one.
link_scheduler::queued_segment link_scheduler::takeNext(class_queue &queue)
{
    while (true) {
        auto &flow = queue.flows.at(queue.turns.front());
        const auto size = flow.segments.front().bytes.size();
        if (flow.deficit >= size) {
            flow.deficit -= size;
            return removeFirst(queue, queue.turns.begin());
        }
        flow.deficit += quantum;
        queue.turns.push_back(queue.turns.front());
        queue.turns.pop_front();
    }
}

void link_scheduler::sendNext(instant now, link_class kind, const sender &send)
{
    const auto item = takeNext(queueOf(kind));
    m_totals.longestWait = std::max(m_totals.longestWait, now - item.since);
    count(kind, item.bytes.size());
    send(item.to, byte_view(item.bytes).first(item.headBytes),
        byte_view(item.bytes).subspan(item.headBytes));
}

void link_scheduler::release(instant now, const sender &send)
{
    for (const auto kind : {link_class::small, link_class::bulk}) {
        while (queueOf(kind).bytes > 0) {
            settle(now);
            if (m_idleAt - now >= networkBacklog[static_cast<std::size_t>(kind)])
                break;
            sendNext(now, kind, send);
        }
    }
}

void link_scheduler::flush(instant now, const sender &send)
{
    for (const auto kind : {link_class::small, link_class::bulk}) {
        while (queueOf(kind).bytes > 0)
            sendNext(now, kind, send);
    }
}

void link_scheduler::clear()
{
    m_queues = {};
    m_unsettled = 0;
    m_idleAt = {};
}

std::optional<instant> link_scheduler::untilRelease(instant now) const
{
    if (empty())
        return std::nullopt;
    return std::max(m_idleAt - now - refillAt, instant{});
}

} // namespace toucan
