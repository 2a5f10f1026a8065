// relay_target: segments from the target, and the start and end of requests.

#include <algorithm>
#include <cmath>
#include <toucan/relay_target.h>

namespace toucan {

void relay_target::beginRequest(instant now, flow &item, const segment &head)
{
    cancelExpectedRequest(item);
    if (item.waitingSince)
        return;
    if (item.requests == 0)
        m_queue.recordHandshakeTime(
            std::chrono::duration_cast<std::chrono::milliseconds>(now - item.openedAt));
    ++item.requests;
    item.waitingSince = now;
    item.beganWithFreeSlot = m_waitingRequests < slots();
    ++m_waitingRequests;
    const work_kind kind{
        .route = head.destination, .bytes = head.length, .isFirst = item.requests == 1};
    item.workNumber = m_estimator.begin(now, kind, item.beganWithFreeSlot);
    updateLoad(now);
}

void relay_target::endRequest(instant now, flow &item, bool answered)
{
    if (!item.waitingSince)
        return;
    const auto took
        = std::chrono::duration_cast<std::chrono::milliseconds>(now - *item.waitingSince);
    item.slowestAnswer = std::max(item.slowestAnswer, took);
    item.waitingSince.reset();
    --m_waitingRequests;
    recordEstimate(m_estimator.end(now, item.workNumber, answered));
    updateLoad(now);
    m_failures.add(now, !answered);
    if (answered)
        m_firstAnswer.add(static_cast<double>(took.count()));
    else
        m_unansweredRequests.add();
    if (answered && item.beganWithFreeSlot)
        m_queue.recordServiceTime(took);
}

// Time of work still to do: requests in progress, those expected on offered flows, and the queue.
double relay_target::remainingWork(instant now) const
{
    const auto coming = static_cast<double>(m_expectedRequests + m_queue.size());
    return m_estimator.remainingMs(now) + coming * m_estimator.meanMs(now);
}

void relay_target::recordEstimate(const work_estimator::outcome &outcome)
{
    if (!outcome.isMeasured)
        return;
    const auto whole = [](double ms) { return static_cast<std::uint64_t>(std::lround(ms)); };
    m_measuredRequests.add();
    m_expectedWorkMs.add(whole(outcome.expectedMs));
    m_seenWorkMs.add(whole(outcome.seenMs));
    m_estimateErrorMs.add(whole(std::abs(outcome.expectedMs - outcome.seenMs)));
}

void relay_target::recordWorkMetrics(instant now)
{
    constexpr double thousand = 1000;
    const auto whole = [](double value) { return static_cast<std::uint64_t>(std::lround(value)); };
    m_metrics.numberOf("toucan_work_remaining_ms").set(whole(remainingWork(now)));
    m_metrics.numberOf("toucan_work_slowness_thousandths")
        .set(whole(m_estimator.slowness(now) * thousand));
    for (const auto &route : m_estimator.routes(now))
        m_metrics.numberOf("toucan_work_route_ms", "route", toString(route.address))
            .set(whole(route.meanMs));
}

void relay_target::onTargetBytes(instant now, std::span<std::uint8_t> bytes)
{
    const auto head = m_codec.decode(bytes);
    if (!head) {
        m_malformed.add();
        return;
    }
    if (m_silentSince)
        m_log.write(now,
            dependency_changed{.dependency = "target",
                .name = service(),
                .state = "regained",
                .reason = "target answers again"});
    m_silentSince.reset();
    recordTargetSeen(now);
    if (head->returned) {
        onReturned(now, *head, bytes);
        return;
    }
    const auto key = head->flowFromTarget();
    auto found = m_flows.find(key);
    if (head->reset && found != m_flows.end() && found->second.state == flow_state::probing) {
        // The segment was only a probe; another target may hold the flow.
        passOnProbe(found);
        return;
    }
    if (found == m_flows.end()) {
        // Opened before this process started, or already removed.
        found = m_flows
                    .emplace(
                        key, flow{.state = flow_state::open, .openedAt = now, .lastPacketAt = now})
                    .first;
    }
    m_port.sendCaller(key.caller, bytes);
    trackTargetSegment(now, found, *head);
    serveQueue(now);
}

void relay_target::trackTargetSegment(instant now, flow_map::iterator it, const segment &head)
{
    auto &item = it->second;
    item.lastPacketAt = now;
    if (head.synchronize) {
        item.targetSequence = head.sequence;
        item.pendingSegment.clear();
        std::erase_if(
            m_unansweredOpenings, [&](const auto &waiting) { return waiting.second == it->first; });
        return;
    }
    // Targets also acknowledge the end of flows that they no longer hold.
    const bool isFinalAcknowledgement = item.callerFinished && head.length == 0 && !head.finish;
    const bool isUndecided = item.state == flow_state::probing
        || (item.state == flow_state::offered && item.mayHaveOpened);
    if (isUndecided && !isFinalAcknowledgement) {
        // The target answered, so it holds the flow.
        item.state = flow_state::open;
        item.pendingSegment.clear();
        if (item.entry)
            notifyEntry(it->first, item);
    }
    // After an end without data the request will not be answered.
    if (head.length > 0 || head.finish || head.reset)
        endRequest(now, item, head.length > 0);
    item.targetFinished = item.targetFinished || head.finish;
    if (head.reset)
        erase(now, it, "reset by target");
}

void relay_target::onReturned(instant now, const segment &head, std::span<std::uint8_t> bytes)
{
    m_codec.clearReturned(bytes);
    const auto key = head.flowFromCaller();
    const auto found = m_flows.find(key);
    if (head.isOpening()) {
        logOpening(now, head, "turned away by the target");
        if (found == m_flows.end() || found->second.state != flow_state::offered)
            return;
        m_returnedOpenings.add();
        passOnOpening(found->second, bytes);
        std::erase_if(
            m_unansweredOpenings, [&](const auto &waiting) { return waiting.second == key; });
        erase(now, found, "turned away");
        return;
    }
    if (found == m_flows.end())
        return;
    // Another target may hold the flow.
    const auto header = headerOf(found->second);
    found->second.pendingSegment.clear();
    if (found->second.state != flow_state::probing)
        erase(now, found, "not held by the target");
    else
        found->second.mayHaveOpened = false;
    if (header.entry)
        passOn(header, relay_kind::not_found, bytes);
}

void relay_target::passOnOpening(flow &item, byte_view opening)
{
    const relay_header header{.kind = relay_kind::opening,
        .point = item.point,
        .entry = item.entry,
        .serviceTag = item.serviceTag,
        .candidates = item.candidates};
    passOn(header, relay_kind::refused_opening, opening);
    item.candidates.clear();
}

} // namespace toucan
