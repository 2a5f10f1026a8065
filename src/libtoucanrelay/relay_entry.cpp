#include <algorithm>
#include <toucan/ranking.h>
#include <toucan/relay_entry.h>

namespace toucan {
namespace {

using namespace std::chrono_literals;

// Targets report within this time of a start of everything: the platform's targets report about
// each 1.2 s. Until then "no target" is not yet known to be true.
constexpr auto learningTime = 3s;
// A member reports at once to an entry that it hears for the first time; without other entries to
// name this one, it has reported after this many of its intervals.
constexpr auto shortestLearning = 500ms;
constexpr int learningIntervals = 2;
// A caller's attempt to open a flow ends this long after its first opening, and the age of its
// copies.
constexpr auto attemptTime = 1400ms;
constexpr std::array copyAges{instant(0ms), instant(200ms), instant(600ms)};
// Targets answer openings within a few milliseconds, also across failure domains.
constexpr auto answerLimit = 100ms;
// Openings that wait are tried again this often.
constexpr auto parkedInterval = 40ms;
// An opening that all targets refuse is tried again for this long, less than a caller's first aim,
// and then reset so that the caller can decide.
constexpr auto refusedWait = 200ms;
// Openings that wait, a few hundred bytes each.
constexpr std::size_t mostParked = 2000;
// A member silent for longer is gone for its callers: none waits longer for an answer, and a killed
// process is back sooner.
constexpr auto memberGone = 4s;
// A process that is stopped for planned work starts again within this; its target serves on and
// still holds its flows.
constexpr auto plannedStopTime = 15s;
// Entries tell each other their revisions this often; a configuration has seconds to be in force.
constexpr auto noticeInterval = 500ms;
// Entries that are told in one round.
constexpr std::size_t noticesPerRound = 16;
// Entries that are named in one notice, so that it fits a datagram.
constexpr std::size_t namedEntries = 64;
constexpr std::size_t namedMembers = 96;
// A member that other entries name but that stays unheard by this one is cut off from it.
constexpr auto namedLifetime = 4s;
// Silence after which an entry is no longer named to others.
constexpr auto entrySilence = 4s;
// Silence after which an entry is forgotten.
constexpr auto entryForget = 60s;
// A flow whose caller has closed it needs the owner for a few retransmissions.
constexpr auto finishedLifetime = 8s;
constexpr auto sweepInterval = 2s;
// Fetches of a configuration from a peer: at most one at a time in this long.
constexpr auto fetchInterval = 300ms;
// Members that one search asks. Beyond that it would cost more than the caller's next try.
constexpr std::size_t mostSearched = 96;
// Tells searches that go backwards in the number that travels with them.
constexpr std::uint64_t backwardsMark = 1U << 15U;
// Copies of the configuration that target processes of one failure domain keep.
constexpr std::size_t copiesPerDomain = 2;
// The fabric asks each 0.5 s and needs two misses, both answered late at worst.
constexpr auto leaveRotation = 1300ms;
// Packets that still come show that the fabric has not noticed yet.
constexpr auto quietBeforeExit = 400ms;
// Left of the grace for closing down.
constexpr auto exitReserve = 1s;

std::vector<std::string> sharesOf(const route_rule &route)
{
    std::vector<std::string> services;
    std::ranges::transform(route.shares, std::back_inserter(services), &route_share::service);
    return services;
}

} // namespace

relay_entry::relay_entry(relay_entry_options options, const segment_codec &codec, relay_port &port,
    metrics::registry &metrics, event_log &log, instant now)
    : m_options(std::move(options))
    , m_codec(codec)
    , m_port(port)
    , m_log(log)
    , m_openings(metrics.numberOf("toucan_openings_total"))
    , m_forwarded(metrics.numberOf("toucan_segments_forwarded_total"))
    , m_searches(metrics.numberOf("toucan_searches_total"))
    , m_notFound(metrics.numberOf("toucan_searches_not_found_total"))
    , m_resets(metrics.numberOf("toucan_resets_total"))
    , m_dropped(metrics.numberOf("toucan_segments_dropped_total"))
    , m_malformed(metrics.numberOf("toucan_malformed_datagrams_total"))
    , m_started(now)
{ }

// --- Callers' segments

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
        takeOpening(now, *head, bytes);
    } else if (m_config) {
        onEstablished(now, *head, m_config->routeAt(head->destination), bytes);
    } else {
        // Nothing is known; the caller sends the segment again.
        m_dropped.add();
    }
}

void relay_entry::takeOpening(instant now, const segment &head, byte_view bytes)
{
    if (!m_config) {
        park(now, head, bytes);
        return;
    }
    const auto *route = m_config->routeAt(head.destination);
    if (route)
        onOpening(now, head, *route, bytes);
    else
        resetFlow(now, head, "no route has the address");
}

// Keeps an opening for the short time in which the process learns what it needs, instead of leaving
// it to the caller's next copy, which may come much later or not at all.
void relay_entry::park(instant now, const segment &head, byte_view bytes)
{
    const auto age = copyAges[std::min<std::size_t>(head.copy, copyAges.size() - 1)];
    if (m_parked.size() >= mostParked && !m_parked.contains(head.flowFromCaller())) {
        m_dropped.add();
        return;
    }
    m_parked[head.flowFromCaller()] = {.head = head,
        .bytes = byte_buffer(bytes.begin(), bytes.end()),
        .until = now + attemptTime - age};
}

void relay_entry::retryParked(instant now)
{
    if (m_parked.empty() || !m_config || now - m_lastRetry < parkedInterval)
        return;
    m_lastRetry = now;
    for (auto &[flow, item] : std::exchange(m_parked, {})) {
        if (now < item.until)
            takeOpening(now, item.head, item.bytes);
        else
            m_dropped.add();
    }
}

void relay_entry::onOpening(
    instant now, const segment &head, const route_rule &route, byte_view bytes)
{
    auto &cached = m_flows[head.flowFromCaller()];
    cached.lastPacket = now;
    if (cached.established && cached.owner) {
        // A late copy: the owner answers it again.
        auto header
            = headerFor(relay_kind::opening, route.serviceFor(hashFlow(head.flowFromCaller())));
        forward(cached.owner, header, bytes);
        return;
    }
    place(now, head, route, cached, bytes);
}

// A copy of an opening means that the first one went unanswered for longer than any target takes.
void relay_entry::suspectOwner(instant now, const flow_key &flow)
{
    const auto found = m_flows.find(flow);
    if (found == m_flows.end() || found->second.established || !found->second.owner)
        return;
    auto *member = m_members.at(found->second.owner);
    if (!member || member->heard > found->second.openedAt
        || now - found->second.openedAt < answerLimit)
        return;
    if (member->suspectedSince == instant{})
        logMember(now, {.member = member, .from = "answers", .to = "suspected"});
    member->suspectedSince = now;
}

void relay_entry::place(
    instant now, const segment &head, const route_rule &route, cached_flow &cached, byte_view bytes)
{
    const auto hash = hashFlow(head.flowFromCaller());
    const auto &service = route.serviceFor(hash);
    const auto members = m_members.membersOf(service);
    placement_request request{.flowHash = hash,
        .domain = m_options.domain,
        .out = m_domains,
        .tried = {cached.tried.data(), cached.tried.size()},
        .now = now};
    auto chosen = m_options.place(members, request);
    if (chosen.order.empty()) {
        cached.tried.clear();
        request.tried = {};
        chosen = m_options.place(members, request);
    }
    if (chosen.order.empty()) {
        if (isLearning(now) || mayBecomeReady(service)) {
            logOpening(now, head, "parked: targets have not reported yet", nullptr, 0);
            park(now, head, bytes);
            return;
        }
        logOpening(now, head, "reset: no target takes flows", nullptr, 0);
        resetFlow(now, head, "no target takes flows");
        return;
    }
    auto header = headerFor(relay_kind::opening, service);
    for (const auto *other : std::span(chosen.order.data(), chosen.order.size()).subspan(1))
        header.candidates.push_back(other->address);
    auto *first = chosen.order.front();
    logOpening(now, head, "placed", first, chosen.eligible);
    ++first->openedSince;
    cached.owner = first->address;
    cached.openedAt = now;
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
        // A route of a version that is not known here: other entries know it.
        m_dropped.add();
        return;
    }
    auto &cached = m_flows[flow];
    cached.lastPacket = now;
    cached.finishing = cached.finishing || head.finish || head.reset;
    auto *owner = cached.owner ? m_members.at(cached.owner) : nullptr;
    if (!cached.owner || (owner && owner->lost)) {
        // Each further search goes the other way round: one that gets no answer ended at a process
        // that has just gone down.
        search(now, head, *route, cached, {.backwards = cached.searches++ % 2 == 1}, bytes);
        return;
    }
    auto header = headerFor(relay_kind::established, route->serviceFor(hashFlow(flow)));
    // Several targets may have answered the opening; which one the caller took is known to them.
    if (!cached.confirmed) {
        for (const auto &other : cached.tried) {
            if (other != cached.owner && header.candidates.size() < header.candidates.capacity())
                header.candidates.push_back(other);
        }
    }
    cached.established = true;
    m_forwarded.add();
    forward(cached.owner, header, bytes);
}

// Everybody who may hold the flow: targets of the route's services first, then all others, because
// a route may have gone to another service since the flow opened.
std::vector<relay_member *> relay_entry::wholeSearchOrder(
    instant now, const route_rule &route, const flow_key &flow) const
{
    const auto hash = hashFlow(flow);
    const auto &current = route.serviceFor(hash);
    auto services = sharesOf(route);
    std::stable_partition(
        services.begin(), services.end(), [&](const auto &name) { return name == current; });
    for (const auto &name : m_members.services()) {
        if (std::ranges::find(services, name) == services.end())
            services.emplace_back(name);
    }
    std::vector<relay_member *> order;
    for (const auto &service : services) {
        const auto part = searchOrder(m_members.membersOf(service), hash, m_options.domain);
        order.insert(order.end(), part.begin(), part.end());
        if (order.size() >= mostSearched)
            break;
    }
    // A search ends unanswered at a process that is down, and waits at one whose target is; both
    // come last.
    std::stable_partition(order.begin(), order.end(), [&](const relay_member *item) {
        return item->isFresh(now) && item->standing != target_standing::unknown
            && !item->holdsNothing();
    });
    return order;
}

// Asks the members behind those of the search order that were asked.
void relay_entry::search(instant now, const segment &head, const route_rule &route,
    cached_flow &cached, const search_state &state, byte_view bytes)
{
    const auto asked = state.asked;
    auto order = wholeSearchOrder(now, route, head.flowFromCaller());
    if (state.backwards)
        std::ranges::reverse(order);
    cached.owner = {};
    cached.tried.clear();
    cached.confirmed = false;
    cached.established = true;
    if (order.empty()) {
        m_dropped.add();
        logSearch(now, head, "nobody to ask", {}, 0, cached);
        return;
    }
    if (asked >= order.size()) {
        m_notFound.add();
        logSearch(now, head, "not found", {}, order.size(), cached);
        if (!state.doubtful && searchIsConclusive(now, order)) {
            resetFlow(now, head, "no target holds the flow");
            m_flows.erase(head.flowFromCaller());
        }
        return;
    }
    auto header = headerFor(relay_kind::established, order[asked]->service);
    header.search = asked + 1 + (state.backwards ? backwardsMark : 0);
    header.doubtful = state.doubtful;
    const auto behind = std::span(order).subspan(asked + 1);
    for (const auto *member : behind.first(std::min(behind.size(), maximumCandidates)))
        header.candidates.push_back(member->address);
    m_searches.add();
    logSearch(now, head, "asked", order[asked]->name, header.candidates.size() + 1, cached);
    forward(order[asked]->address, header, bytes);
}

// Every target that could hold the flow was asked and said no: the process has known its members
// for long enough, none was left out, and the silent ones are gone.
bool relay_entry::searchIsConclusive(instant now, std::span<relay_member *const> order) const
{
    if (!knowsMembers(now) || order.size() >= mostSearched)
        return false;
    bool conclusive = true;
    m_members.forEach([&](const relay_member &item) {
        const instant limit = item.leaving ? plannedStopTime : memberGone;
        conclusive &= !item.lost || now - item.heard > limit;
    });
    return conclusive;
}

// Members that other entries name are told of this one and report at once, and the process waits
// for all of them. Without other entries the members' own intervals have to do.
bool relay_entry::knowsMembers(instant now) const
{
    instant longest = shortestLearning;
    if (!m_introducedAt) {
        m_members.forEach([&](const relay_member &item) {
            longest = std::max<instant>(longest, item.interval * learningIntervals);
        });
    }
    return m_named.empty() && now - m_started >= longest
        && now - std::max(m_started, m_memberAddedAt) >= longest / 2;
}

void relay_entry::resetFlow(instant now, const segment &head, std::string_view reason)
{
    const auto flow = head.flowFromCaller();
    m_parked.erase(flow);
    m_resets.add();
    m_log.write(now,
        flow_reset{.caller = flow.caller,
            .service = flow.service,
            .reason = std::string(reason),
            .revision = m_config ? m_config->revision : 0,
            .open = !head.isOpening()});
    m_port.sendCaller(flow.caller, makeReset(m_codec, flow, head.acknowledged));
}

bool relay_entry::isLearning(instant now) const
{
    return now - m_started < learningTime;
}

bool relay_entry::mayBecomeReady(std::string_view service)
{
    return std::ranges::any_of(m_members.membersOf(service), [&](const relay_member *item) {
        return !item->lost && !m_domains.contains(item->domain)
            && item->standing != target_standing::draining
            && item->standing != target_standing::gone;
    });
}

relay_header relay_entry::headerFor(relay_kind kind, std::string_view service) const
{
    return {.kind = kind,
        .revision = m_config ? m_config->revision : 0,
        .entry = m_options.peer,
        .serviceTag = serviceTagOf(service)};
}

void relay_entry::forward(const endpoint &to, const relay_header &header, byte_view bytes)
{
    std::array<std::uint8_t, maximumRelayHeader> head{};
    const auto size = encodeRelayHeader(header, head);
    m_port.sendPeer(to, byte_view(head).first(size), bytes);
}

// --- Other processes

void relay_entry::onPeerBytes(instant now, const endpoint &from, std::span<std::uint8_t> bytes)
{
    if (const auto packet = decodeRelayPacket(bytes)) {
        handlePacket(now, *packet);
        return;
    }
    const auto message = decodeRelayMessage(bytes);
    if (const auto *value = valueOf(message))
        std::visit([&](const auto &item) { handle(now, from, item); }, *value);
    else
        m_malformed.add();
}

void relay_entry::handlePacket(instant now, const relay_packet &packet)
{
    const auto head = m_codec.decode(packet.bytes);
    if (!head) {
        m_malformed.add();
        return;
    }
    if (packet.header.kind == relay_kind::refused_opening)
        onRefused(now, *head, packet.bytes);
    else if (packet.header.kind == relay_kind::not_found)
        onNotFound(now, packet.header, *head, packet.bytes);
    else
        m_malformed.add();
}

void relay_entry::onRefused(instant now, const segment &head, byte_view bytes)
{
    const auto found = m_flows.find(head.flowFromCaller());
    const auto *route = m_config ? m_config->routeAt(head.destination) : nullptr;
    if (found == m_flows.end() || !route || found->second.established)
        return;
    auto &cached = found->second;
    cached.owner = {};
    for (const auto &address : cached.tried) {
        if (auto *member = m_members.at(address))
            member->refusedAt = now;
    }
    const auto &service = route->serviceFor(hashFlow(head.flowFromCaller()));
    const placement_request request{.flowHash = hashFlow(head.flowFromCaller()),
        .domain = m_options.domain,
        .out = m_domains,
        .tried = {cached.tried.data(), cached.tried.size()},
        .now = now};
    // One more round with others; then every target that could be asked has said no.
    if (!std::exchange(cached.refusedOnce, true)
        && !m_options.place(m_members.membersOf(service), request).order.empty()) {
        place(now, head, *route, cached, bytes);
        return;
    }
    if (!cached.refusedSince)
        cached.refusedSince = now;
    // Queues are short: a target that refuses now often has room a moment later.
    if (isLearning(now) || now - *cached.refusedSince < refusedWait) {
        logOpening(now, head, "parked: refused by all targets asked", nullptr, 0);
        cached.refusedOnce = false;
        cached.tried.clear();
        park(now, head, bytes);
        return;
    }
    logOpening(now, head, "reset: refused by all targets asked", nullptr, 0);
    resetFlow(now, head, "refused by all targets asked");
    m_flows.erase(found);
}

void relay_entry::onNotFound(
    instant now, const relay_header &header, const segment &head, byte_view bytes)
{
    const auto *route = m_config ? m_config->routeAt(head.destination) : nullptr;
    const auto found = m_flows.find(head.flowFromCaller());
    if (!route || found == m_flows.end())
        return;
    // Each packet is searched for on its own; the header says how far its search has come. The
    // owner in the cache may be known again meanwhile.
    const bool backwards = header.search >= backwardsMark;
    const auto place = backwards ? header.search - backwardsMark : header.search;
    const auto asked = place == 0 ? 0 : place + maximumCandidates;
    if (header.search != 0 && found->second.owner) {
        forward(found->second.owner,
            headerFor(relay_kind::established, route->serviceFor(hashFlow(head.flowFromCaller()))),
            bytes);
        return;
    }
    search(now, head, *route, found->second,
        {.asked = asked, .backwards = backwards, .doubtful = header.doubtful}, bytes);
}

void relay_entry::handle(instant now, const endpoint &from, const flow_owner &message)
{
    const flow_key flow{.caller = message.caller, .service = message.service};
    const auto found = m_flows.find(flow);
    if (found == m_flows.end())
        return;
    auto &cached = found->second;
    const bool searched = !cached.owner;
    cached.owner = from;
    cached.confirmed = true;
    cached.tried.clear();
    cached.searches = 0;
    if (!searched)
        return;
    const auto *member = m_members.at(from);
    m_log.write(now,
        flow_searched{.caller = flow.caller,
            .service = flow.service,
            .outcome = "found",
            .target = member ? member->name : toString(from)});
}

void relay_entry::handle(instant now, const endpoint &from, const target_report &message)
{
    const auto before = m_members.count();
    const auto change = m_members.apply(now, from, message);
    if (m_members.count() > before)
        m_memberAddedAt = now;
    m_named.erase(from);
    if (change) {
        logMember(now, *change);
        retryParked(now);
    }
    noteRevision(now, from, message.copyRevision);
    onDomains(
        now, {.revision = message.domainsRevision, .names = message.domainsOut}, "target process");
    const auto *member = m_members.at(from);
    if (message.wantsNotice && member)
        tellMember(now, *member);
}

void relay_entry::handle(instant now, const endpoint &from, const entry_notice &message)
{
    if (from == m_options.peer)
        return;
    const bool known = m_entries.contains(from);
    auto &peer = m_entries[from];
    if (!known || now - peer.heard > entrySilence)
        m_log.write(now,
            dependency_changed{.dependency = "entry",
                .name = message.name,
                .state = "regained",
                .reason = known ? "heard again" : "heard for the first time"});
    peer.heard = message.leaving ? now - entrySilence : now;
    peer.revision = message.revision;
    noteRevision(now, from, message.revision);
    onDomains(now, {.revision = message.domainsRevision, .names = message.domainsOut}, "entry");
    onEntries(now, message.entries);
    meetMembers(now, message.members);
    if (message.wantsNotice)
        answerEntry(now, from);
}

// Members that other entries know and this one does not: they are told of this entry, so that they
// report to it at once.
void relay_entry::meetMembers(instant now, std::span<const endpoint> members)
{
    if (!members.empty() && !m_introducedAt)
        m_introducedAt = now;
    for (const auto &address : members) {
        if (m_members.at(address))
            continue;
        m_named[address] = now;
        sendNotice(address, makeNotice(now));
    }
}

void relay_entry::noteRevision(instant now, const endpoint &from, std::uint64_t revision)
{
    const auto have = m_config ? m_config->revision : 0;
    if (revision <= have || now - m_lastFetch < fetchInterval)
        return;
    m_lastFetch = now;
    m_port.fetchConfig(from, revision);
}

void relay_entry::onEntries(instant now, std::span<const endpoint> peers)
{
    for (const auto &peer : peers) {
        if (peer == m_options.peer || m_entries.contains(peer))
            continue;
        m_entries.emplace(peer, entry_peer{.heard = now - entrySilence});
        tellEntry(now, peer, true);
    }
}

void relay_entry::onConfig(instant now, const relay_config_ptr &config, std::string_view source)
{
    if (m_config && config->revision <= m_config->revision)
        return;
    std::size_t dropped = 0;
    if (m_config) {
        for (const auto &route : m_config->routes) {
            if (!config->routeAt(route.address)) {
                m_droppedRoutes.insert(route.address);
                ++dropped;
            }
        }
    } else {
        m_configAt = now;
    }
    for (const auto &route : config->routes)
        m_droppedRoutes.erase(route.address);
    m_config = config;
    std::string faults;
    for (const auto &fault : config->faults)
        faults += (faults.empty() ? "" : "; ") + fault;
    m_log.write(now,
        configuration_changed{.revision = config->revision,
            .version = config->version,
            .source = std::string(source),
            .routes = config->routes.size(),
            .dropped = dropped,
            .faults = std::move(faults)});
    m_lastNotices = {};
    retryParked(now);
}

void relay_entry::onDomains(instant now, const domains_out &domains, std::string_view source)
{
    if (domains.revision <= m_domains.revision)
        return;
    const bool changed = domains.names != m_domains.names;
    m_domains = domains;
    if (!changed)
        return;
    m_log.write(now,
        domains_changed{
            .revision = domains.revision, .source = std::string(source), .out = domains.names});
    // Target processes refuse openings by this; they are told at once.
    m_members.forEach([&](const relay_member &item) { tellMember(now, item); });
    m_lastNotices = {};
}

bool relay_entry::shouldKeepCopy(const relay_member &member) const
{
    std::size_t before = 0;
    m_members.forEach([&](const relay_member &other) {
        before += !other.lost && other.domain == member.domain && other.nameHash < member.nameHash;
    });
    return before < copiesPerDomain;
}

entry_notice relay_entry::makeNotice(instant now) const
{
    entry_notice notice{.name = m_options.name,
        .domain = m_options.domain,
        .boot = m_options.boot,
        .revision = m_config ? m_config->revision : 0,
        .domainsRevision = m_domains.revision,
        .domainsOut = m_domains.names,
        .leaving = m_leavingSince.has_value()};
    if (!m_leavingSince)
        notice.entries.push_back(m_options.peer);
    for (const auto &[address, peer] : m_entries) {
        if (now - peer.heard < entrySilence && notice.entries.size() < namedEntries)
            notice.entries.push_back(address);
    }
    return notice;
}

void relay_entry::sendNotice(const endpoint &to, const entry_notice &notice)
{
    m_port.sendPeer(to, encodeRelayMessage(notice), {});
}

void relay_entry::tellEntry(instant now, const endpoint &to, bool wantsNotice)
{
    auto notice = makeNotice(now);
    notice.wantsNotice = wantsNotice;
    sendNotice(to, notice);
}

void relay_entry::answerEntry(instant now, const endpoint &to)
{
    auto notice = makeNotice(now);
    m_members.forEach([&](const relay_member &item) {
        if (item.isFresh(now) && notice.members.size() < namedMembers)
            notice.members.push_back(item.address);
    });
    sendNotice(to, notice);
}

void relay_entry::tellMember(instant now, const relay_member &member)
{
    auto notice = makeNotice(now);
    const auto *rule = m_config ? m_config->serviceNamed(member.service) : nullptr;
    if (rule)
        notice.bounds.push_back({.service = rule->name,
            .flows = rule->flows,
            .coldRate = static_cast<std::uint64_t>(rule->coldRate * 1000)});
    notice.keepsCopy = shouldKeepCopy(member);
    sendNotice(member.address, notice);
}

void relay_entry::sendNotices(instant now)
{
    for (const auto &seed : m_options.seeds) {
        if (seed != m_options.peer && !m_entries.contains(seed))
            m_entries.emplace(seed, entry_peer{.heard = now - entrySilence});
    }
    std::vector<endpoint> due;
    for (const auto &[address, peer] : m_entries)
        due.push_back(address);
    // With more entries than fit a round, each round starts where the order of the time puts it.
    const auto offset = due.size() > noticesPerRound
        ? static_cast<std::size_t>(now / noticeInterval) * noticesPerRound % due.size()
        : 0;
    std::rotate(due.begin(), due.begin() + static_cast<std::ptrdiff_t>(offset), due.end());
    due.resize(std::min(due.size(), noticesPerRound));
    for (const auto &address : due)
        tellEntry(now, address, isLearning(now) || m_entries[address].heard + entrySilence <= now);
}

// --- Time

void relay_entry::onTick(instant now)
{
    if (now - m_lastNotices >= noticeInterval) {
        m_lastNotices = now;
        sendNotices(now);
        std::erase_if(m_named, [&](const auto &item) { return now - item.second > namedLifetime; });
        std::erase_if(m_entries, [&](const auto &item) {
            const bool isSeed
                = std::ranges::find(m_options.seeds, item.first) != m_options.seeds.end();
            return !isSeed && now - item.second.heard > entryForget;
        });
    }
    for (const auto &change : m_members.onTick(now))
        logMember(now, change);
    retryParked(now);
    if (now - m_lastSweep >= sweepInterval) {
        m_lastSweep = now;
        sweepFlows(now);
    }
}

void relay_entry::sweepFlows(instant now)
{
    std::erase_if(m_flows, [&](const auto &item) {
        const auto idle = now - item.second.lastPacket;
        return idle > m_options.flowLifetime || (item.second.finishing && idle > finishedLifetime);
    });
}

bool relay_entry::isReady(instant now) const
{
    if (m_leavingSince || !m_config)
        return false;
    // Without members nothing can be served, but other entries may be no better off.
    return (m_members.aliveCount() > 0 && m_named.empty()) || now - m_started > learningTime;
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
        || (since >= leaveRotation && now - m_lastCaller >= quietBeforeExit);
}

// --- Log

void relay_entry::logMember(instant now, const member_change &change)
{
    m_log.write(now,
        member_changed{.member = change.member->name,
            .service = change.member->service,
            .domain = change.member->domain,
            .address = change.member->address,
            .from = change.from,
            .to = change.to,
            .order = change.member->order});
}

void relay_entry::logOpening(instant now, const segment &head, std::string_view outcome,
    const relay_member *target, std::size_t eligible)
{
    using std::chrono::duration_cast;
    using std::chrono::milliseconds;
    const auto age = target ? duration_cast<milliseconds>(now - target->heard).count() : 0;
    m_log.write(now,
        opening_decided{.caller = head.source,
            .service = head.destination,
            .copy = head.copy,
            .outcome = std::string(outcome),
            .target = target ? target->name : std::string(),
            .load = target ? target->expectedLoad() : 0,
            .loadAgeMs = static_cast<std::uint64_t>(age),
            .eligible = eligible,
            .revision = m_config ? m_config->revision : 0,
            .domainsRevision = m_domains.revision});
}

void relay_entry::logSearch(instant now, const segment &head, std::string_view outcome,
    std::string_view target, std::size_t asked, const cached_flow &cached)
{
    m_log.write(now,
        flow_searched{.caller = head.source,
            .service = head.destination,
            .outcome = std::string(outcome),
            .target = std::string(target),
            .asked = asked,
            .searches = cached.searches});
}

} // namespace toucan
