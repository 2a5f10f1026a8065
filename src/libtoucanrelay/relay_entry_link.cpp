#include <toucan/relay_entry.h>

// The part of relay_entry that keeps what it sends within the rate of the VM's network link.

namespace toucan {
namespace {

using namespace std::chrono_literals;

// Backlog from which the link is short; one window of a caller takes less.
constexpr instant shortBacklog = 50ms;
// Time without such a backlog after which the link has room again.
constexpr instant easedAfter = 1s;

} // namespace

void relay_entry::setOptions(relay_entry_options options)
{
    m_options = std::move(options);
    m_link.setRate(m_options.linkRate);
    m_transfers.setRate(m_options.linkRate);
}

// True when an opening may be placed now. Those that a target may have received are not judged
// again: a reset would not be truthful.
bool relay_entry::admitTransfer(
    instant now, const segment &head, const route_rule &route, byte_view bytes, instant startedAt)
{
    if (route.kind != request_kind::upload || !m_transfers.isLimited())
        return true;
    const auto known = m_flows.find(head.flowFromCaller());
    if (known != m_flows.end() && !known->second.tried.empty())
        return true;
    switch (m_transfers.offer(now, head, bytes, startedAt, route.objective)) {
    case transfer_gate::verdict::admitted:
        return true;
    case transfer_gate::verdict::held:
        logOpening(now, head, "held: the link has no room", nullptr, 0);
        return false;
    case transfer_gate::verdict::copy:
        return false;
    case transfer_gate::verdict::refused:
        logOpening(now, head, "reset: the link has no room", nullptr, 0);
        resetFlow(now, head, "the link has no room");
        return false;
    }
    return true;
}

// Sends a segment of an open flow to its owner, when the link has room for it.
void relay_entry::forwardInTurn(instant now, const segment &head, const route_rule &route,
    cached_flow &cached, const relay_header &header, byte_view bytes)
{
    if (!m_link.isLimited()) {
        forward(cached.owner, header, bytes);
        return;
    }
    const bool isUpload = route.kind == request_kind::upload;
    if (isUpload)
        m_transfers.onSegment(now, head);
    const bool isBulk = cached.volume.add(now, head.length) || isUpload;
    std::array<std::uint8_t, maxRelayHeaderBytes> buffer{};
    const auto encoded = byte_view(buffer).first(encodeRelayHeader(header, buffer));
    const link_segment about{.to = cached.owner,
        .flow = head.flowFromCaller(),
        .sequence = head.sequence,
        .length = head.length,
        .kind = isBulk ? link_class::bulk : link_class::small};
    if (m_link.offer(now, about, encoded, bytes) == link_scheduler::verdict::pass)
        m_port.sendPeer(cached.owner, encoded, bytes);
}

void relay_entry::placeHeldOpenings(instant now)
{
    while (const auto item = m_transfers.takeLate(now)) {
        logOpening(now, item->head, "reset: the link has no room", nullptr, 0);
        resetFlow(now, item->head, "the link has no room");
    }
    while (const auto item = m_transfers.next(now))
        routeOpening(now, item->head, item->bytes, item->startedAt);
}

void relay_entry::serveLink(instant now)
{
    placeHeldOpenings(now);
    if (!m_link.empty())
        m_link.release(now, [this](const endpoint &to, byte_view head, byte_view payload) {
            m_port.sendPeer(to, head, payload);
        });
    logLink(now);
}

std::optional<instant> relay_entry::untilLinkDue(instant now) const
{
    const auto segment = m_link.untilRelease(now);
    const auto opening = m_transfers.untilNext(now);
    return segment && opening ? std::min(*segment, *opening) : segment ? segment : opening;
}

void relay_entry::discardQueued()
{
    m_link.clear();
    m_transfers.clear();
}

void relay_entry::flushQueued(instant now)
{
    m_link.flush(now, [this](const endpoint &to, byte_view head, byte_view payload) {
        m_port.sendPeer(to, head, payload);
    });
}

// One line when the link becomes short, and one when it has had room for a while.
void relay_entry::logLink(instant now)
{
    const bool isShort = m_transfers.waiting() > 0 || m_link.backlog(now) >= shortBacklog;
    const bool wasShort = m_linkShortAt.has_value();
    if (isShort)
        m_linkShortAt = now;
    else if (wasShort && now - *m_linkShortAt >= easedAfter)
        m_linkShortAt.reset();
    if (wasShort == m_linkShortAt.has_value())
        return;
    const auto &link = m_link.totals();
    const auto &transfers = m_transfers.totals();
    m_log.write(now,
        link_state_changed{.state = isShort ? "short" : "eased",
            .running = m_transfers.running(),
            .waiting = m_transfers.waiting(),
            .queuedBytes = m_link.queuedBytes(),
            .held = transfers.held,
            .refused = transfers.refused,
            .queued = link.queued,
            .copies = link.copies + transfers.copies,
            .overflows = link.overflows});
}

void relay_entry::publishLinkMetrics()
{
    if (!m_link.isLimited())
        return;
    const auto milliseconds = [](instant time) {
        return static_cast<std::uint64_t>(
            std::chrono::duration_cast<std::chrono::milliseconds>(time).count());
    };
    constexpr std::array<std::string_view, linkClassCount> classes{"control", "small", "bulk"};
    const auto &link = m_link.totals();
    for (std::size_t i = 0; i < linkClassCount; ++i) {
        m_metrics.numberOf("toucan_link_passed_bytes_total", "class", classes[i])
            .set(link.passedBytes[i]);
        m_metrics.numberOf("toucan_link_queued_bytes", "class", classes[i])
            .set(m_link.queuedBytes(static_cast<link_class>(i)));
    }
    m_metrics.numberOf("toucan_link_longest_wait_ms").set(milliseconds(m_link.takeLongestWait()));
    m_metrics.numberOf("toucan_link_copies_dropped_total").set(link.copies);
    m_metrics.numberOf("toucan_link_overflows_total").set(link.overflows);
    m_metrics.numberOf("toucan_link_searched_bytes_total").set(m_searchedBytes);
    m_metrics.numberOf("toucan_transfers_running").set(m_transfers.running());
    m_metrics.numberOf("toucan_transfers_held").set(m_transfers.waiting());
    m_metrics.numberOf("toucan_transfers_expired_total").set(m_transfers.totals().expired);
    m_metrics.numberOf("toucan_transfers_longest_wait_ms")
        .set(milliseconds(m_transfers.takeLongestWait()));
}

} // namespace toucan
