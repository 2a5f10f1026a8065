#include <algorithm>
#include <toucan/relay_target.h>

namespace toucan {
namespace {

using namespace std::chrono_literals;

// Time for which reports are sent to an entry that sends nothing. Seeds are reported to always.
constexpr auto entryRetention = 60s;
// Segments of unknown flows that wait for the target's answer, at most 1.2 KB each.
constexpr std::size_t maxProbes = 500;
// Targets return a segment within a millisecond, and a search has many other members to ask.
constexpr auto probeAnswerTimeout = 20ms;
// Callers retransmit after 200 ms, and targets acknowledge every second segment of a flow at once.
constexpr std::size_t minUnansweredSegments = 3;
constexpr auto minUnansweredTime = 500ms;
// Entries receive a new configuration within 1 s; the platform's shortest limit is 3 s.
constexpr auto staleRouteTolerance = 1500ms;
// Covers retransmissions of a closed flow's last segments.
constexpr auto closedFlowRetention = 4s;
// A target returns a segment within a millisecond; the first retransmission follows after 200 ms.
constexpr auto probeRetention = 1s;
constexpr auto sweepInterval = 1s;
constexpr auto loadMemory = 1s;
// Bytes of one flow that can be in transit: 16 packets of 1,200 bytes, with a wide margin.
constexpr std::uint32_t sequenceWindow = 1U << 20U;

} // namespace

relay_target::relay_target(relay_target_options options, const segment_codec &codec,
    relay_port &port, metrics::registry &metrics, event_log &log, instant now)
    : m_options(std::move(options))
    , m_codec(codec)
    , m_port(port)
    , m_metrics(metrics)
    , m_log(log)
    , m_refusalWait(metrics.distributionOf("toucan_refusal_wait_ms"))
    , m_returnedOpenings(metrics.numberOf("toucan_openings_returned_total"))
    , m_passedOn(metrics.numberOf("toucan_segments_passed_on_total"))
    , m_malformed(metrics.numberOf("toucan_malformed_datagrams_total"))
    , m_firstAnswer(metrics.distributionOf("toucan_first_answer_ms"))
    , m_unansweredRequests(metrics.numberOf("toucan_requests_unanswered_total"))
    , m_expectedWorkMs(metrics.numberOf("toucan_work_expected_ms_total"))
    , m_seenWorkMs(metrics.numberOf("toucan_work_seen_ms_total"))
    , m_estimateErrorMs(metrics.numberOf("toucan_work_error_ms_total"))
    , m_measuredRequests(metrics.numberOf("toucan_work_measured_total"))
    , m_load(loadMemory)
    , m_work(loadMemory)
    , m_estimator(m_options.estimator)
    , m_lastTick(now)
    , m_flowTableComplete(m_options.firstStart)
    , m_observedSince(now)
    , m_recoveryEnded(m_options.firstStart)
    , m_started(now)
{
    for (std::size_t i = 0; i < m_verdicts.size(); ++i)
        m_verdicts[i] = &metrics.numberOf(
            "toucan_openings_judged_total", "verdict", toString(static_cast<opening_verdict>(i)));
    for (std::size_t i = 0; i < m_refusals.size(); ++i)
        m_refusals[i] = &metrics.numberOf(
            "toucan_openings_refused_total", "reason", toString(static_cast<queue_refusal>(i)));
    m_queue.setPolicy(m_options.classFloor, m_options.refusesLate);
}

void relay_target::onPeerBytes(instant now, const endpoint &from, std::span<std::uint8_t> bytes)
{
    if (const auto packet = decodeRelayPacket(bytes)) {
        const auto head = m_codec.decode(packet->bytes);
        if (head && packet->header.kind == relay_kind::opening)
            onOpening(now, *head, *packet);
        else if (head && packet->header.kind == relay_kind::established)
            onEstablished(now, from, *head, *packet);
        else
            m_malformed.add();
        return;
    }
    const auto message = decodeRelayMessage(bytes);
    if (const auto *value = valueOf(message))
        std::visit([&](const auto &item) { handle(now, from, item); }, *value);
    else
        m_malformed.add();
}

void relay_target::onOpening(instant now, const segment &head, const relay_packet &packet)
{
    const auto key = head.flowFromCaller();
    const auto &header = packet.header;
    const auto found = m_flows.find(key);
    if (found != m_flows.end() && found->second.state != flow_state::probing) {
        // A copy of the opening: the target answers it again.
        found->second.lastPacketAt = now;
        m_port.sendTarget(packet.bytes);
        return;
    }
    auto next = header;
    auto verdict = evaluate(now, header);
    const bool isCold = verdict == opening_verdict::cold;
    updateQueuePace(now);
    // A copy of a queued opening does not overtake others.
    if (m_queue.contains(key)) {
        verdict = queueOpening(now, head, packet);
    } else if (verdict == opening_verdict::busy || (isCold && !header.candidates.empty())) {
        recordWait(now, head, next);
    } else if (verdict == opening_verdict::waits || isCold) {
        const auto better = candidateWithShorterQueue(now, head, header);
        next.shortestWaitAt = {};
        if (better)
            next.candidates.assign(1, better);
        verdict = better ? opening_verdict::busy : queueOpening(now, head, packet);
    }
    logOpening(now, head, toString(verdict),
        verdict == opening_verdict::overloaded ? &m_queue.lastForecast() : nullptr);
    m_verdicts[static_cast<std::size_t>(verdict)]->add();
    if (verdict == opening_verdict::accepted) {
        m_queue.recordArrival(now, makeWaiting(now, head, header));
        acceptOpening(now, head, header, packet.bytes);
    } else if (verdict != opening_verdict::waits) {
        passOn(next, relay_kind::refused_opening, packet.bytes);
    }
    // It may take the time of others that wait.
    if (verdict == opening_verdict::waits)
        judgeQueue(now);
}

void relay_target::acceptOpening(
    instant now, const segment &head, const relay_header &header, byte_view bytes)
{
    const auto key = head.flowFromCaller();
    ++m_acceptedOpenings;
    m_recentOpenings.add(now);
    auto &item = m_flows[key];
    item = {.entry = header.entry,
        .candidates = header.candidates,
        .serviceTag = header.serviceTag,
        .point = header.point,
        .pendingSegment = byte_buffer(bytes.begin(), bytes.end()),
        .openedAt = now,
        .lastPacketAt = now};
    m_unansweredOpenings.emplace_back(now, key);
    m_queue.recordServed(
        now, head.source, waiting_opening{.priority = header.priority}.priorityClass());
    expectRequest(now, key, item);
    m_port.sendTarget(bytes);
}

opening_verdict relay_target::evaluate(instant now, const relay_header &header)
{
    const auto &newest = m_newestConfig.point;
    const bool isComparable
        = header.point.era == newest.era || (header.point.era != 0 && newest.era != 0);
    const bool stale
        = isComparable && header.point < newest && now - m_newestConfigSince > staleRouteTolerance;
    return evaluateOpening({.standing = standing(now),
        .isDomainOut = m_domains.inForce().contains(m_options.domain),
        .serviceMatches = header.serviceTag == serviceTagOf(service()),
        .isRouteStale = stale,
        .isTargetSilent = shouldRefuseAsSilent(now),
        .hasColdAllowance = m_recentOpenings.count(now) < coldLimit(),
        .hasAlternative = !header.candidates.empty(),
        .flows = heldFlowCount(),
        .maxFlows = m_bounds.flows,
        .waitingRequests = occupiedSlots(),
        .slots = slots(),
        .maxRequests = slots() == 0 ? 0 : m_queue.maxConcurrency(slots())});
}

// Sends a packet to its next candidate, or back to the entry when no candidate is left.
void relay_target::passOn(const relay_header &header, relay_kind kindWhenExhausted, byte_view bytes)
{
    auto next = header;
    auto to = header.entry;
    if (next.candidates.empty()) {
        next.kind = kindWhenExhausted;
    } else {
        to = next.candidates.front();
        next.candidates.erase(next.candidates.begin());
    }
    m_passedOn.add();
    std::array<std::uint8_t, maxRelayHeaderBytes> head{};
    const auto size = encodeRelayHeader(next, head);
    m_port.sendPeer(to, byte_view(head).first(size), bytes);
}

void relay_target::onEstablished(
    instant now, const endpoint &from, const segment &head, const relay_packet &packet)
{
    const auto key = head.flowFromCaller();
    const auto &header = packet.header;
    auto found = m_flows.find(key);
    const auto result = lookUpFlow(now, key, head.acknowledged);
    if (result == flow_lookup_result::not_held) {
        passOn(header, relay_kind::not_found, packet.bytes);
        return;
    }
    if (found == m_flows.end()) {
        found = m_flows
                    .emplace(key,
                        flow{.state = flow_state::probing, .openedAt = now, .lastPacketAt = now})
                    .first;
    }
    auto &item = found->second;
    item.entry = header.entry;
    if (result == flow_lookup_result::unknown)
        item.state = flow_state::probing;
    if (item.state == flow_state::probing) {
        item.candidates = header.candidates;
        item.serviceTag = header.serviceTag;
        item.point = header.point;
        item.search = header.search;
        item.inconclusive = header.inconclusive;
        item.callerAcknowledged = head.acknowledged;
        item.callerFinished = head.finish;
        keepProbe(now, found, packet.bytes);
    } else if (item.state == flow_state::offered) {
        item.state = flow_state::open;
        item.pendingSegment.clear();
        item.candidates.clear();
    }
    if (item.state == flow_state::open)
        trackCallerSegment(now, item, head);
    // The entry searched for the owner, or cannot tell which of several targets the caller chose.
    if (item.state == flow_state::open && (from != header.entry || !header.candidates.empty()))
        notifyEntry(key, item);
    m_port.sendTarget(packet.bytes);
}

// A target that is not running must not end the search, so the newest segment is kept until the
// target answers.
void relay_target::keepProbe(instant now, flow_map::iterator it, byte_view bytes)
{
    if (m_probes.size() >= maxProbes)
        return;
    it->second.pendingSegment.assign(bytes.begin(), bytes.end());
    m_probes.emplace_back(now, it->first);
}

void relay_target::passOnProbes(instant now)
{
    const auto firstRecent = std::ranges::find_if(
        m_probes, [&](const auto &probe) { return now - probe.first < probeAnswerTimeout; });
    for (auto current = m_probes.begin(); current != firstRecent; ++current) {
        const auto found = m_flows.find(current->second);
        if (found == m_flows.end() || found->second.state != flow_state::probing
            || found->second.pendingSegment.empty())
            continue;
        recordUnanswered(found->second);
        if (!isSilenceConclusive(now, found->second))
            found->second.inconclusive = true;
        passOnProbe(found);
    }
    m_probes.erase(m_probes.begin(), firstRecent);
}

// Targets may delay the acknowledgement of a segment without data, so that its missing answer shows
// nothing.
void relay_target::recordUnanswered(const flow &item)
{
    const auto head = m_codec.decode(item.pendingSegment);
    if (!head || head->length == 0)
        return;
    if (m_unansweredData.segments++ == 0)
        m_unansweredData.since = m_attendedTime;
}

// A target that starves, or answers late for another reason, leaves a few segments unanswered.
bool relay_target::isDataUnanswered(std::size_t segments) const
{
    return m_unansweredData.segments >= segments
        && m_attendedTime - m_unansweredData.since >= minUnansweredTime;
}

// A target that has not reported since this process started and does not answer data is not
// running.
bool relay_target::isSilenceConclusive(instant now, const flow &item) const
{
    const auto head = m_codec.decode(item.pendingSegment);
    const bool isUnseen = standing(now) == target_standing::gone && m_targetLastSeen == instant{}
        && isDataUnanswered(minUnansweredSegments);
    return isTargetAbsent(now) || (isUnseen && head && head->length > 0);
}

void relay_target::passOnProbe(flow_map::iterator it)
{
    auto &item = it->second;
    if (!item.pendingSegment.empty())
        passOn(headerOf(item), relay_kind::not_found, item.pendingSegment);
    item.pendingSegment.clear();
}

relay_header relay_target::headerOf(const flow &item)
{
    return {.kind = relay_kind::established,
        .point = item.point,
        .entry = item.entry,
        .serviceTag = item.serviceTag,
        .search = item.search,
        .inconclusive = item.inconclusive,
        .candidates = item.candidates};
}

// The caller acknowledges the answer that it accepted to its opening; other targets' answers have
// other sequence numbers. A target sends no data before that, so the number matches exactly.
bool relay_target::acknowledgesThisTarget(const flow &item, std::uint32_t acknowledged) const
{
    if (item.state != flow_state::offered)
        return true;
    return item.targetSequence && acknowledged == *item.targetSequence + 1;
}

flow_lookup_result relay_target::lookUpFlow(
    instant now, const flow_key &key, std::uint32_t acknowledged) const
{
    const auto found = m_flows.find(key);
    const bool isTracked = found != m_flows.end() && found->second.state != flow_state::probing;
    if (isTracked && acknowledgesThisTarget(found->second, acknowledged))
        return flow_lookup_result::held;
    if (found != m_flows.end() && found->second.mayHaveOpened)
        return m_targetRefused ? flow_lookup_result::not_held : flow_lookup_result::unknown;
    const bool isCertain = isTracked || isFlowTableComplete(now) || m_targetRefused;
    return isCertain ? flow_lookup_result::not_held : flow_lookup_result::unknown;
}

void relay_target::handle(instant now, const endpoint &from, const flow_question &message)
{
    flow_answer answer;
    for (const auto &item : message.flows) {
        const flow_key key{.caller = item.caller, .service = item.service};
        const auto held = lookUpFlow(now, key, static_cast<std::uint32_t>(item.acknowledged));
        answer.flows.push_back({.caller = item.caller,
            .service = item.service,
            .search = item.search,
            .word = static_cast<std::uint64_t>(held)});
    }
    m_port.sendPeer(from, encodeRelayMessage(answer), {});
}

void relay_target::notifyEntry(const flow_key &key, flow &item)
{
    item.notifiedEntry = item.entry;
    m_port.sendPeer(item.entry,
        encodeRelayMessage(flow_owner{.caller = key.caller, .service = key.service}), {});
}

void relay_target::trackCallerSegment(instant now, flow &item, const segment &head)
{
    item.lastPacketAt = now;
    item.callerAcknowledged = head.acknowledged;
    item.callerFinished = item.callerFinished || head.finish || head.reset;
    // Targets drop the requests of a flow that its caller resets.
    if (head.reset)
        endRequest(now, item, false);
    if (head.length == 0)
        return;
    const auto end = head.sequence + head.length;
    const bool isNew = !item.callerNext
        || (end - *item.callerNext != 0 && end - *item.callerNext < sequenceWindow);
    if (!isNew)
        return;
    item.callerNext = end;
    beginRequest(now, item, head);
}

std::size_t relay_target::heldFlowCount() const
{
    return static_cast<std::size_t>(std::ranges::count_if(m_flows, [](const auto &item) {
        return item.second.state != flow_state::probing || item.second.mayHaveOpened;
    }));
}

void relay_target::onTick(instant now)
{
    // A process that was not scheduled observed nothing.
    m_attendedTime += std::min<instant>(now - m_lastTick, tickInterval);
    m_lastTick = now;
    checkUnanswered(now);
    expireExpectedRequests(now);
    passOnProbes(now);
    serveQueue(now);
    sendReports(now, standing(now) != m_reportedStanding);
    if (m_leaving) {
        sendStopNotice(now);
        sendFlowTable(now);
    } else {
        requestFlowTable(now);
    }
    if (now - m_lastSweep >= sweepInterval) {
        m_lastSweep = now;
        sweepFlows(now);
        m_metrics.numberOf("toucan_flows").set(m_flows.size());
        m_metrics.numberOf("toucan_requests_waiting").set(m_waitingRequests);
        m_metrics.numberOf("toucan_openings_waiting").set(m_queue.size());
        recordWorkMetrics(now);
        m_metrics.numberOf("toucan_standing").set(static_cast<std::uint64_t>(standing(now)));
        m_metrics.numberOf("toucan_config_revision").set(m_newestConfig.point.revision);
        m_metrics.numberOf("toucan_domains_revision").set(m_domains.inForce().point.revision);
        m_metrics.numberOf("toucan_store_era").set(m_domains.inForce().point.era);
        std::erase_if(m_entries, [&](const auto &item) {
            const bool isSeed
                = std::ranges::find(m_options.seeds, item.first) != m_options.seeds.end();
            return !isSeed && now - item.second.lastSeen > entryRetention;
        });
    }
}

void relay_target::sweepFlows(instant now)
{
    for (auto it = m_flows.begin(); it != m_flows.end();) {
        const auto current = it++;
        const auto &item = current->second;
        const auto idle = now - item.lastPacketAt;
        const bool closed = item.callerFinished && item.targetFinished;
        if (closed && idle > closedFlowRetention)
            erase(now, current, "closed");
        else if (item.state != flow_state::open && item.mayHaveOpened
            && idle <= m_options.flowLifetime)
            continue;
        else if (item.state == flow_state::offered && idle > closedFlowRetention)
            erase(now, current, "never opened");
        else if (item.state == flow_state::probing && idle > probeRetention)
            m_flows.erase(current);
        else if (idle > m_options.flowLifetime)
            erase(now, current, "idle");
    }
}

void relay_target::erase(instant now, flow_map::iterator it, std::string_view outcome)
{
    auto &item = it->second;
    cancelExpectedRequest(item);
    endRequest(now, item, false);
    using std::chrono::duration_cast;
    using std::chrono::milliseconds;
    m_log.write(now,
        flow_ended{.caller = it->first.caller,
            .service = it->first.service,
            .outcome = std::string(outcome),
            .ageMs
            = static_cast<std::uint64_t>(duration_cast<milliseconds>(now - item.openedAt).count()),
            .requests = item.requests,
            .slowestMs = static_cast<std::uint64_t>(item.slowestAnswer.count())});
    m_flows.erase(it);
}

void relay_target::logOpening(instant now, const segment &head, std::string_view outcome,
    const opening_forecast *forecast, instant waited)
{
    using std::chrono::duration_cast;
    using std::chrono::milliseconds;
    const auto figure = [&](auto read) {
        return forecast ? static_cast<std::uint64_t>(read(*forecast).count()) : 0;
    };
    m_log.write(now,
        opening_decided{.caller = head.source,
            .service = head.destination,
            .copy = head.copy,
            .outcome = std::string(outcome),
            .target = m_options.name,
            .load = occupiedSlots() + m_queue.size(),
            .eligible = m_flows.size(),
            .revision = m_newestConfig.point.revision,
            .domainsRevision = m_domains.inForce().point.revision,
            .reason = forecast && forecast->refusal ? std::string(toString(*forecast->refusal))
                                                    : std::string(),
            .waitedMs = static_cast<std::uint64_t>(duration_cast<milliseconds>(waited).count()),
            .expectedWaitMs = figure([](const auto &item) { return item.wait; }),
            .leftMs = figure([](const auto &item) { return item.left; }),
            .serviceMs = forecast ? static_cast<std::uint64_t>(m_queue.serviceTime().count()) : 0,
            .slots = forecast ? slots() : 0});
}

} // namespace toucan
