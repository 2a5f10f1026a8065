#include <algorithm>
#include <fmt/format.h>
#include <toucan/ranking.h>
#include <toucan/relay_entry.h>

namespace toucan {
namespace {

using namespace std::chrono_literals;

// Time after a start in which reports of targets may still be missing, so that "no target" is not
// certain: the platform's targets report about each 1.2 s.
constexpr auto learningTime = 3s;
// Targets answer openings within a few milliseconds, also across failure domains.
constexpr auto openingAnswerTimeout = 100ms;
// Time between two tries of parked openings.
constexpr auto parkedRetryInterval = 40ms;
// Delay of the next try for an opening that all targets asked have refused during learningTime:
// others may be ready by then.
constexpr auto refusedRetryDelay = 100ms;
// A target process that keeps an opening reports it for each copy; copies come 400 ms apart at
// most.
constexpr auto keptTimeout = 450ms;
// Parked openings that a member gets for each of its reports, in multiples of its slots, so that
// the members that report first do not get all of them.
constexpr std::uint64_t parkedRounds = 2;
// Parked openings take a few hundred bytes each.
constexpr std::size_t maxParkedOpenings = 2000;
// Time in which a reset reaches the caller before its attempt ends.
constexpr auto resetReserve = 20ms;
// After the caller closes a flow, retransmissions still need the owner.
constexpr auto finishedLifetime = 8s;
constexpr auto sweepInterval = 2s;
// An entry is ready after this time even if it may not have all members: callers that the fabric
// sends to other entries until then wait there.
constexpr auto incompleteReadyDelay = 1s;
// Time without a configuration from the store or another process after which openings are rejected.
// It is longer than an attempt to open a flow, and an outage of this length is as likely as not to
// outlast the next attempt.
constexpr auto configTimeout = 2s;
// The fabric checks readiness each 0.5 s and removes an entry after two misses, both answered late
// in the worst case.
constexpr auto fabricRemovalTime = 1300ms;
// Packets that still arrive show that the fabric has not removed the entry yet.
constexpr auto quietBeforeExit = 400ms;
// Part of the grace that is left for shutdown.
constexpr auto exitReserve = 1s;

} // namespace

relay_entry::relay_entry(relay_entry_options options, const segment_codec &codec, relay_port &port,
    metrics::registry &metrics, event_log &log, instant now)
    : m_options(std::move(options))
    , m_codec(codec)
    , m_port(port)
    , m_metrics(metrics)
    , m_log(log)
    , m_openings(metrics.numberOf("toucan_openings_total", "outcome", "placed"))
    , m_forwarded(metrics.numberOf("toucan_segments_forwarded_total"))
    , m_openingsToOthers(metrics.numberOf("toucan_openings_to_other_domains_total"))
    , m_bytesToOthers(metrics.numberOf("toucan_bytes_to_other_domains_total"))
    , m_searches(metrics.numberOf("toucan_searches_total", "outcome", "asked"))
    , m_dropped(metrics.numberOf("toucan_segments_dropped_total"))
    , m_malformed(metrics.numberOf("toucan_malformed_datagrams_total"))
    , m_distances(m_options.domain)
    , m_roster(m_options.peer, m_options.domain)
    , m_link(m_options.linkRate)
    , m_transfers(m_options.linkRate)
    , m_started(now)
    , m_knowledgeSince(now)
{ }

void relay_entry::onCallerBytes(instant now, std::span<std::uint8_t> bytes)
{
    const auto head = m_codec.decode(bytes);
    if (!head || head->returned) {
        m_malformed.add();
        return;
    }
    m_lastCaller = now;
    if (head->isOpening()) {
        if (head->copy > 0)
            suspectOwner(now, head->flowFromCaller());
        routeOpening(now, *head, bytes, attemptStartTime(now, head->copy));
    } else if (m_config) {
        onEstablished(now, *head, m_config->routeAt(head->destination), bytes);
    } else {
        // Without a configuration; the caller retransmits the segment.
        m_dropped.add();
    }
}

void relay_entry::routeOpening(instant now, const segment &head, byte_view bytes, instant startedAt)
{
    if (!m_config) {
        if (isWithoutConfig(now))
            resetFlow(now, head, "no configuration is known");
        else
            park(now, head, bytes, startedAt);
        return;
    }
    const auto *route = m_config->routeAt(head.destination);
    if (!route)
        resetFlow(now, head, "no route has the address");
    else if (admitTransfer(now, head, *route, bytes, startedAt))
        onOpening(now, head, *route, bytes, startedAt);
}

// Keeps an opening for the short time until it can be placed, instead of waiting for the caller's
// next copy, which may come much later or not at all.
void relay_entry::park(
    instant now, const segment &head, byte_view bytes, instant startedAt, instant notBefore)
{
    const auto flow = head.flowFromCaller();
    parked_opening item{.head = head,
        .bytes = byte_buffer(bytes.begin(), bytes.end()),
        .startedAt = startedAt,
        .notBefore = notBefore};
    if (m_parked.size() >= maxParkedOpenings && !m_parked.contains(flow)) {
        endParked(now, item, "too many openings wait");
        return;
    }
    auto &cached = m_flows[flow];
    cached.wasParked = true;
    cached.parkedCopies |= copyBit(head.copy);
    m_parked[flow] = std::move(item);
}

// A target that was sent a copy may have answered it, by way of this entry or of another one that
// received the copy. So an opening is reset only when all copies that the caller has sent were
// parked here.
void relay_entry::endParked(instant now, const parked_opening &item, std::string_view reason)
{
    const auto found = m_flows.find(item.head.flowFromCaller());
    const waiting_opening opening{.attemptStart = item.startedAt,
        .copies = found == m_flows.end() ? copyBit(item.head.copy) : found->second.parkedCopies};
    const bool mayBeOpen
        = found != m_flows.end() && (found->second.established || found->second.owner);
    const bool isProven = opening.proofOfRefusal(now) == refusal_proof::proven;
    if (mayBeOpen || !isProven || now >= item.startedAt + attemptTime) {
        m_dropped.add();
        return;
    }
    logOpening(now, item.head, fmt::format("reset: {}", reason), nullptr, 0);
    resetFlow(now, item.head, reason);
    m_flows.erase(item.head.flowFromCaller());
}

bool relay_entry::isWithoutConfig(instant now) const
{
    return !m_config && now - m_started >= configTimeout;
}

// A reset shows callers at once that their openings could not be placed and that no request has
// run.
void relay_entry::rejectParked(instant now)
{
    if (m_parked.empty() || !isWithoutConfig(now))
        return;
    for (const auto &[flow, item] : std::exchange(m_parked, {})) {
        if (now < item.startedAt + attemptTime)
            resetFlow(now, item.head, "no configuration is known");
        m_flows.erase(flow);
    }
}

// Openings whose callers have waited least come first: they can still be answered in time.
void relay_entry::retryParked(instant now)
{
    if (m_parked.empty() || !m_config || now - m_lastRetry < parkedRetryInterval)
        return;
    m_lastRetry = now;
    std::vector<parked_opening> ended;
    std::vector<parked_opening> due;
    for (const auto &[flow, item] : m_parked) {
        if (now + parkedRetryInterval >= item.startedAt + attemptTime - resetReserve)
            ended.push_back(item);
        else if (mayBePlaced(now, item))
            due.push_back(item);
    }
    for (const auto &item : ended) {
        m_parked.erase(item.head.flowFromCaller());
        endParked(now, item, "no target took the flow in time");
    }
    std::ranges::sort(due, std::greater<>(), &parked_opening::startedAt);
    for (const auto &item : due) {
        m_parked.erase(item.head.flowFromCaller());
        routeOpening(now, item.head, item.bytes, item.startedAt);
    }
}

// False while a new try would have the same result as the last one.
bool relay_entry::mayBePlaced(instant now, const parked_opening &item) const
{
    const auto *route = m_config->routeAt(item.head.destination);
    if (!route || now < item.notBefore)
        return !route;
    const auto members
        = m_members.membersOf(route->serviceFor(hashFlow(item.head.flowFromCaller())));
    const auto canTake = [&](const relay_member *member) {
        return takesOpenings(*member, m_domains.inForce(), now) && hasCredit(*member, parkedRounds);
    };
    return std::ranges::any_of(members, canTake) || !(isLearning(now) || mayBecomeReady(members));
}

void relay_entry::onOpening(
    instant now, const segment &head, const route_rule &route, byte_view bytes, instant startedAt)
{
    auto &cached = m_flows[head.flowFromCaller()];
    cached.lastPacket = now;
    if (cached.startedAt == instant{} || startedAt < cached.startedAt)
        cached.startedAt = startedAt;
    if (cached.owner && (cached.established || isKept(cached, now))) {
        // A late copy: the owner answers it again, or already keeps the opening.
        forward(cached.owner, openingHeader(now, route, head, cached), bytes);
        return;
    }
    placeOpening(now, head, route, cached, bytes);
}

bool relay_entry::isKept(const cached_flow &cached, instant now) const
{
    return cached.keptAt && now - *cached.keptAt < keptTimeout;
}

relay_header relay_entry::openingHeader(
    instant now, const route_rule &route, const segment &head, const cached_flow &cached) const
{
    using std::chrono::duration_cast;
    using std::chrono::milliseconds;
    auto header = headerFor(relay_kind::opening, route.serviceFor(hashFlow(head.flowFromCaller())));
    header.ageMs = static_cast<std::uint64_t>(
        duration_cast<milliseconds>(std::max(now - cached.startedAt, instant{})).count());
    header.objectiveMs = static_cast<std::uint64_t>(route.objective.count());
    header.timeLimitMs = static_cast<std::uint64_t>(route.timeLimit.count());
    header.priority = route.priority;
    return header;
}

// A copy of an opening shows that the first one had no answer for longer than any target takes.
void relay_entry::suspectOwner(instant now, const flow_key &flow)
{
    const auto found = m_flows.find(flow);
    if (found == m_flows.end() || found->second.established || !found->second.owner
        || isKept(found->second, now))
        return;
    auto *member = m_members.at(found->second.owner);
    if (!member || member->lastSeen > found->second.openedAt
        || now - found->second.openedAt < openingAnswerTimeout)
        return;
    if (member->suspectedSince == instant{})
        logMember(now, {.member = member, .from = "answers", .to = "suspected"});
    member->suspectedSince = now;
}

void relay_entry::placeOpening(
    instant now, const segment &head, const route_rule &route, cached_flow &cached, byte_view bytes)
{
    const auto hash = hashFlow(head.flowFromCaller());
    const auto &service = route.serviceFor(hash);
    const auto members = m_members.membersOf(service);
    placement_request request{.flowHash = hash,
        .domain = m_options.domain,
        .out = m_domains.inForce(),
        .tried = {cached.tried.data(), cached.tried.size()},
        .now = now,
        .maxRoundsPerReport = cached.wasParked ? parkedRounds : 0,
        .distances = &m_distances};
    auto chosen = m_options.place(members, request);
    if (chosen.order.empty()) {
        cached.tried.clear();
        request.tried = {};
        chosen = m_options.place(members, request);
    }
    if (chosen.order.empty()) {
        if (isLearning(now) || mayBecomeReady(members)) {
            logOpening(now, head, "parked: targets have not reported yet", nullptr, 0);
            park(now, head, bytes, cached.startedAt);
            return;
        }
        logOpening(now, head, "reset: no target takes flows", nullptr, 0);
        resetFlow(now, head, "no target takes flows");
        return;
    }
    auto header = openingHeader(now, route, head, cached);
    for (const auto *other : std::span(chosen.order.data(), chosen.order.size()).subspan(1))
        header.candidates.push_back(other->address);
    auto *first = chosen.order.front();
    const auto end = expectedEnd(*first, request);
    logOpening(now, head, "placed", first, chosen.eligible, end.value_or(expected_end{}));
    if (first->domain != m_options.domain)
        m_openingsToOthers.add();
    ++first->openedSince;
    cached.owner = first->address;
    cached.openedAt = now;
    cached.keptAt.reset();
    for (auto *member : chosen.order) {
        if (cached.tried.size() < cached.tried.capacity())
            cached.tried.push_back(member->address);
    }
    m_openings.add();
    forward(first->address, header, bytes);
}

void relay_entry::onEstablished(
    instant now, const segment &head, const route_rule *route, std::span<std::uint8_t> bytes)
{
    const auto flow = head.flowFromCaller();
    if (!route && m_droppedRoutes.contains(head.destination)) {
        m_flows.erase(flow);
        resetFlow(now, head, "the route was dropped");
        return;
    }
    if (!route) {
        // The route may be in a newer configuration that other entries already have.
        m_dropped.add();
        return;
    }
    auto &cached = m_flows[flow];
    cached.lastPacket = now;
    cached.finishing = cached.finishing || head.finish || head.reset;
    auto *owner = cached.owner ? m_members.at(cached.owner) : nullptr;
    const bool isOwnerUsable
        = cached.owner && (!owner || !owner->lost || isOwnerRestarting(now, cached));
    if (!isOwnerUsable && !adoptStoppedOwner(now, flow, cached)) {
        search(now, head, *route, cached, bytes);
        return;
    }
    auto header = headerFor(relay_kind::established, route->serviceFor(hashFlow(flow)));
    // Several targets may have answered the opening; which answer the caller used is known only
    // there.
    if (!cached.confirmed) {
        for (const auto &other : cached.tried) {
            if (other != cached.owner && header.candidates.size() < header.candidates.capacity())
                header.candidates.push_back(other);
        }
    }
    if (!header.candidates.empty() && !cached.ownerAskedAt)
        cached.ownerAskedAt = now;
    cached.established = true;
    m_forwarded.add();
    if (owner && owner->domain != m_options.domain)
        m_bytesToOthers.add(bytes.size());
    forwardInTurn(now, head, *route, cached, header, bytes);
}

void relay_entry::resetFlow(
    instant now, const segment &head, std::string_view reason, const search_evidence &evidence)
{
    using std::chrono::duration_cast;
    using std::chrono::milliseconds;
    const auto shortest = evidence.silent > 0 ? evidence.shortestSilence : instant{};
    const auto flow = head.flowFromCaller();
    m_parked.erase(flow);
    m_metrics.numberOf("toucan_resets_total", "reason", reason).add();
    m_log.write(now,
        flow_reset{.caller = flow.caller,
            .service = flow.service,
            .reason = std::string(reason),
            .revision = stampOf(m_config).point.revision,
            .open = !head.isOpening(),
            .asked = evidence.asked,
            .known = m_members.count(),
            .returned = evidence.returned,
            .denied = evidence.denied,
            .silent = evidence.silent,
            .shortestSilenceMs
            = static_cast<std::uint64_t>(duration_cast<milliseconds>(shortest).count()),
            .withoutTarget = evidence.withoutTarget,
            .knowledge = head.isOpening() ? std::vector<std::string>() : describeKnowledge(now)});
    m_port.sendCaller(flow.caller, makeReset(m_codec, flow, head.acknowledged));
}

bool relay_entry::isLearning(instant now) const
{
    return now - m_started < learningTime;
}

bool relay_entry::mayBecomeReady(std::span<relay_member *const> members) const
{
    return std::ranges::any_of(members, [&](const relay_member *item) {
        return !item->lost && !m_domains.inForce().contains(item->domain)
            && item->standing != target_standing::draining
            && item->standing != target_standing::gone;
    });
}

relay_header relay_entry::headerFor(relay_kind kind, std::string_view service) const
{
    return {.kind = kind,
        .point = stampOf(m_config).point,
        .entry = m_options.peer,
        .serviceTag = serviceTagOf(service)};
}

void relay_entry::forward(const endpoint &to, const relay_header &header, byte_view bytes)
{
    std::array<std::uint8_t, maxRelayHeaderBytes> head{};
    const auto size = encodeRelayHeader(header, head);
    m_link.count(link_class::control, size + bytes.size());
    if (header.search > 0)
        m_searchedBytes += size + bytes.size();
    m_port.sendPeer(to, byte_view(head).first(size), bytes);
}

void relay_entry::onRefused(instant now, const endpoint &from, const relay_header &header,
    const segment &head, byte_view bytes)
{
    const auto found = m_flows.find(head.flowFromCaller());
    const auto *route = m_config ? m_config->routeAt(head.destination) : nullptr;
    if (found == m_flows.end() || !route || found->second.established)
        return;
    auto &cached = found->second;
    // It waited at its sender. A copy that was placed elsewhere meanwhile may have been taken.
    if (header.shortestWaitAt == from && cached.owner != from)
        return;
    cached.owner = {};
    cached.keptAt.reset();
    const auto attemptEnd = cached.startedAt + attemptTime;
    if (now >= attemptEnd) {
        m_flows.erase(found);
        return;
    }
    for (const auto &address : cached.tried) {
        if (auto *member = m_members.at(address))
            member->refusedAt = now;
    }
    const auto &service = route->serviceFor(hashFlow(head.flowFromCaller()));
    const placement_request request{.flowHash = hashFlow(head.flowFromCaller()),
        .domain = m_options.domain,
        .out = m_domains.inForce(),
        .tried = {cached.tried.data(), cached.tried.size()},
        .now = now};
    // One more round with other targets; after that all that could be asked have refused.
    if (!std::exchange(cached.refusedOnce, true) && now + resetReserve < attemptEnd
        && !m_options.place(m_members.membersOf(service), request).order.empty()) {
        placeOpening(now, head, *route, cached, bytes);
        return;
    }
    if (isLearning(now) && now + refusedRetryDelay < attemptEnd) {
        logOpening(now, head, "parked: refused by all targets asked", nullptr, 0);
        cached.refusedOnce = false;
        cached.tried.clear();
        park(now, head, bytes, cached.startedAt, now + refusedRetryDelay);
        return;
    }
    logOpening(now, head, "reset: refused by all targets asked", nullptr, 0);
    resetFlow(now, head, "refused by all targets asked");
    m_flows.erase(found);
}

void relay_entry::onTick(instant now)
{
    updateStoreState(now);
    updatePeers(now);
    for (const auto &change : m_members.onTick(now))
        logMember(now, change);
    rejectParked(now);
    retryParked(now);
    retryInconclusiveSearches(now);
    advanceSearches(now);
    serveLink(now);
    if (now - m_lastSweep >= sweepInterval) {
        m_lastSweep = now;
        sweepFlows(now);
        for (const auto &[domain, roundTrip] : m_distances.roundTrips())
            m_metrics.numberOf("toucan_domain_round_trip_us", "domain", domain).set(roundTrip);
        m_transfers.sweep(now);
        m_flowTables.sweep(now);
        m_starts.sweep(now);
        publishGauges(now);
    }
}

void relay_entry::sweepFlows(instant now)
{
    std::erase_if(m_flows, [&](const auto &item) {
        const auto idle = now - item.second.lastPacket;
        return idle > m_options.flowLifetime || (item.second.finishing && idle > finishedLifetime);
    });
}

void relay_entry::publishGauges(instant now)
{
    const auto milliseconds = [](instant time) {
        return static_cast<std::uint64_t>(
            std::chrono::duration_cast<std::chrono::milliseconds>(time).count());
    };
    instant oldest{};
    m_members.forEach([&](const relay_member &item) {
        if (!item.lost)
            oldest = std::max(oldest, now - item.lastSeen);
    });
    m_metrics.numberOf("toucan_flows").set(m_flows.size());
    m_metrics.numberOf("toucan_parked_openings").set(m_parked.size());
    m_metrics.numberOf("toucan_members").set(m_members.aliveCount());
    m_metrics.numberOf("toucan_members_lost").set(m_members.count() - m_members.aliveCount());
    m_metrics.numberOf("toucan_oldest_report_ms").set(milliseconds(oldest));
    m_metrics.numberOf("toucan_config_revision").set(stampOf(m_config).point.revision);
    m_metrics.numberOf("toucan_config_age_ms").set(m_config ? milliseconds(now - m_configAt) : 0);
    m_metrics.numberOf("toucan_domains_revision").set(m_domains.inForce().point.revision);
    m_metrics.numberOf("toucan_store_era").set(m_domains.inForce().point.era);
    publishLinkMetrics();
}

bool relay_entry::isReady(instant now) const
{
    if (m_leavingSince || !m_config)
        return false;
    // Without members no opening can be placed, but other entries may have none either.
    return (m_members.aliveCount() > 0 && areMembersKnown(now))
        || now - m_started > incompleteReadyDelay;
}

void relay_entry::startLeaving(instant now)
{
    if (m_leavingSince)
        return;
    m_leavingSince = now;
    m_lastNotices = now;
    sendNotices(now);
}

bool relay_entry::mayExit(instant now) const
{
    if (!m_leavingSince)
        return false;
    const auto since = now - *m_leavingSince;
    return since + exitReserve >= m_options.grace
        || (since >= fabricRemovalTime && now - m_lastCaller >= quietBeforeExit && m_link.empty()
            && m_transfers.waiting() == 0);
}

void relay_entry::logOpening(instant now, const segment &head, std::string_view outcome,
    const relay_member *target, std::size_t eligible, const expected_end &end)
{
    using std::chrono::duration_cast;
    using std::chrono::milliseconds;
    const auto age = target ? duration_cast<milliseconds>(now - target->lastSeen).count() : 0;
    if (!target)
        m_metrics.numberOf("toucan_openings_total", "outcome", outcome).add();
    m_log.write(now,
        opening_decided{.caller = head.source,
            .service = head.destination,
            .copy = head.copy,
            .outcome = std::string(outcome),
            .target = target ? target->name : std::string(),
            .load = target ? target->expectedLoad() : 0,
            .loadAgeMs = static_cast<std::uint64_t>(age),
            .endMs = static_cast<std::uint64_t>(end.totalMs()),
            .workMs = static_cast<std::uint64_t>(end.workMs),
            .costMs = static_cast<std::uint64_t>(end.costMs),
            .distanceMs = static_cast<std::uint64_t>(end.distanceMs),
            .eligible = eligible,
            .revision = stampOf(m_config).point.revision,
            .domainsRevision = m_domains.inForce().point.revision});
}

} // namespace toucan
