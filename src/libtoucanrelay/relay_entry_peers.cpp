// Messages between an entry and the other processes of its failure domain, and changes of the
// store.

#include <algorithm>
#include <toucan/relay_entry.h>

namespace toucan {
namespace {

using namespace std::chrono_literals;

// Entries of a failure domain exchange notices with their revisions this often; a configuration may
// take seconds to be in force.
constexpr auto noticeInterval = 500ms;
// Minimum number of entries that get a notice in one round.
constexpr std::size_t minNoticesPerRound = 16;
// Rounds in which each entry gets one notice, whatever their number: within the silence limit.
constexpr std::size_t maxNoticeRounds = 4;
// One round in this many lists other entries; a new entry requests the list anyway.
constexpr std::uint64_t entryListRounds = 8;
// Minimum time between two fetches of a configuration from a peer.
constexpr auto fetchInterval = 300ms;
// Messages of other entries of the domain arrive within this time of a start.
constexpr auto discoveryTime = 300ms;
// An entry that lost the store still counts as such for this long: outages last for seconds.
constexpr auto lostStoreTime = 10s;
// Target processes of one failure domain that keep a copy of the configuration.
constexpr std::size_t copiesPerDomain = 2;

} // namespace

void relay_entry::onPeerBytes(instant now, const endpoint &from, std::span<std::uint8_t> bytes)
{
    // What happened while nothing arrived is unknown, as after a pause.
    if (m_lastHeard && !isHearing(now))
        distrustKnowledge(now);
    m_lastHeard = now;
    if (const auto packet = decodeRelayPacket(bytes)) {
        handlePacket(now, from, *packet);
        return;
    }
    const auto message = decodeRelayMessage(bytes);
    if (const auto *value = valueOf(message))
        std::visit([&](const auto &item) { handle(now, from, item); }, *value);
    else
        m_malformed.add();
}

void relay_entry::handlePacket(instant now, const endpoint &from, const relay_packet &packet)
{
    const auto head = m_codec.decode(packet.bytes);
    if (!head) {
        m_malformed.add();
        return;
    }
    if (packet.header.kind == relay_kind::refused_opening)
        onRefused(now, from, packet.header, *head, packet.bytes);
    else if (packet.header.kind == relay_kind::not_found)
        onNotFound(now, from, packet.header, *head, packet.bytes);
    else
        m_malformed.add();
}

void relay_entry::handle(instant now, const endpoint &from, const target_report &message)
{
    const auto before = m_members.count();
    recordStart(now, from, message.boot, now);
    const auto change = m_members.apply(now, from, message);
    if (m_members.count() > before)
        m_memberAddedAt = now;
    if (change)
        handleMemberChanges(now, std::span(&*change, 1));
    applyReceivedState(now, from, message, "target process");
    const auto *member = m_members.at(from);
    if (message.wantsNotice && member)
        sendMemberNotice(now, *member);
}

void relay_entry::handle(instant now, const endpoint &from, const flow_table_page &message)
{
    const auto table = m_flowTables.keep(now, from, message);
    if (!table)
        return;
    logFlowTable(now, *table, "kept");
    // The notice of the stop may have been lost.
    if (const auto change = m_members.recordStopped(now, from, table->member, table->boot))
        handleMemberChanges(now, std::span(&*change, 1));
}

void relay_entry::handle(instant now, const endpoint &from, const flow_table_request &message)
{
    const auto *known = m_members.at(from);
    const auto pages = m_flowTables.pagesFor(now, from, message, known ? known->boot : 0);
    std::uint64_t flows = 0;
    for (const auto &page : pages) {
        send(from, page);
        flows += page.flows.size();
    }
    recordStart(now, from, message.boot, now);
    const auto covered
        = std::min(std::chrono::duration_cast<std::chrono::milliseconds>(now - m_knowledgeSince),
            start_history::retention);
    send(from,
        flow_table_statement{.member = message.member,
            .boot = message.boot,
            .starts = m_starts.startsOf(now, from, message.boot),
            .coversMs = static_cast<std::uint64_t>(covered.count())});
    if (!pages.empty())
        m_log.write(now,
            flow_table_passed{.member = message.member,
                .outcome = "returned",
                .boot = pages.front().boot,
                .flows = flows,
                .complete = pages.front().complete});
}

void relay_entry::handle(instant, const endpoint &, const flow_table_statement &)
{
    m_malformed.add();
}

void relay_entry::handle(instant now, const endpoint &from, const unused_start &message)
{
    m_starts.recordUnused(now, from, message.boot);
    m_flowTables.recordUnused(from, message.boot);
}

void relay_entry::recordStart(
    instant now, const endpoint &process, std::uint64_t boot, instant seenAt)
{
    m_starts.recordHeard(seenAt, process, boot);
    if (const auto dropped = m_flowTables.recordStart(now, process, boot, seenAt))
        logFlowTable(now, *dropped, "discarded: the process has started twice since");
}

void relay_entry::logFlowTable(
    instant now, const flow_table_keeper::summary &table, std::string_view outcome)
{
    m_log.write(now,
        flow_table_passed{.member = table.member,
            .outcome = std::string(outcome),
            .boot = table.boot,
            .flows = table.flows,
            .complete = table.complete,
            .ageMs = static_cast<std::uint64_t>(table.age.count())});
}

// Schedules an early digest to other domains; changes that come together share it.
void relay_entry::handleMemberChanges(instant now, std::span<const member_change> changes)
{
    constexpr auto gatheringTime = 20ms;
    for (const auto &change : changes)
        logMember(now, change);
    if (changes.empty())
        return;
    m_digestDue = std::min(m_digestDue, now + gatheringTime);
    retryParked(now);
}

void relay_entry::recordEntrySeen(
    instant now, const entry_place &entry, std::uint64_t boot, std::string_view name)
{
    const bool known = m_roster.at(entry.address) != nullptr;
    if (!m_roster.recordSeen(now, entry, boot))
        return;
    m_log.write(now,
        dependency_changed{.dependency = "entry",
            .name = std::string(name),
            .state = "regained",
            .reason = known ? "heard again" : "first message received"});
}

void relay_entry::handle(instant now, const endpoint &from, const entry_notice &message)
{
    if (from == m_options.peer)
        return;
    recordEntrySeen(now, {.address = from, .domain = message.domain}, message.boot, message.name);
    auto *peer = m_roster.at(from);
    peer->config = receivedStamp(message);
    peer->isDomainComplete = message.knowsDomain;
    peer->store = message.store <= static_cast<std::uint64_t>(store_standing::lost)
        ? static_cast<store_standing>(message.store)
        : store_standing::not_asked;
    if (message.leaving)
        m_roster.recordLeaving(from);
    applyReceivedState(now, from, message, "entry");
    onEntries(now, message.entries);
    if (message.wantsMembers)
        sendCompleteDomains(now, from);
    if (message.wantsNotice) {
        auto notice = makeNotice(now);
        notice.entries = m_roster.entriesToAnnounce(message.domain, now);
        send(from, notice);
    }
}

void relay_entry::fetchConfigIfNewer(instant now, const endpoint &from, const config_stamp &stamp)
{
    const bool isWanted = stamp.point.revision != 0 && m_choice.wouldTake(stamp);
    if (!isWanted || now - m_lastFetch < fetchInterval)
        return;
    m_lastFetch = now;
    m_port.fetchConfig(
        m_roster.sourceOf(m_choice.order(), stamp, from, m_options.boot, now), stamp);
}

void relay_entry::onEntries(instant now, std::span<const entry_place> entries)
{
    for (const auto &entry : entries) {
        if (m_roster.add(now, entry) && (entry.domain == m_options.domain || entry.domain.empty()))
            requestNotice(now, entry.address);
    }
    if (!entries.empty())
        askForMembers(now);
}

std::optional<bool> relay_entry::shouldFollowStore(instant now) const
{
    if (now - m_started < discoveryTime)
        return std::nullopt;
    return m_roster.shouldFollowStore(now, m_store);
}

void relay_entry::onStoreStanding(instant now, store_standing standing)
{
    // The store may be back after lostStoreTime, even if this entry makes no calls.
    const bool isForgotten = now - m_storeLostAt > lostStoreTime;
    if (standing == store_standing::not_asked && m_store == store_standing::lost && !isForgotten)
        return;
    if (standing == store_standing::lost)
        m_storeLostAt = now;
    if (std::exchange(m_store, standing) != standing)
        m_lastNotices = now - noticeInterval; // Other entries may have to take over or can stop.
}

void relay_entry::onConfig(instant now, const relay_config_ptr &config, std::string_view source)
{
    switch (m_choice.offer(config)) {
    case config_offer::ignored:
        return;
    case config_offer::deferred:
        logDeferred(now);
        return;
    case config_offer::confirmed:
        m_config = config;
        m_lastNotices = {};
        m_digestDue = now;
        return;
    case config_offer::in_force:
        useConfig(now, config, source);
        return;
    }
}

void relay_entry::useConfig(instant now, const relay_config_ptr &config, std::string_view source)
{
    std::size_t dropped = 0;
    if (m_config) {
        for (const auto &route : m_config->routes) {
            if (!config->routeAt(route.address)) {
                m_droppedRoutes.insert(route.address);
                ++dropped;
            }
        }
    }
    m_configAt = now;
    for (const auto &route : config->routes)
        m_droppedRoutes.erase(route.address);
    m_config = config;
    std::string faults;
    for (const auto &fault : config->faults)
        faults += (faults.empty() ? "" : "; ") + fault;
    m_log.write(now,
        configuration_changed{.era = config->stamp.point.era,
            .revision = config->stamp.point.revision,
            .version = config->stamp.version,
            .source = std::string(source),
            .routes = config->routes.size(),
            .dropped = dropped,
            .faults = std::move(faults)});
    m_lastNotices = {};
    m_digestDue = now;
    retryParked(now);
}

void relay_entry::onDomains(instant now, const domains_out &domains, std::string_view source)
{
    if (m_domains.apply(domains))
        announceDomains(now, source);
}

void relay_entry::announceDomains(instant now, std::string_view source)
{
    m_log.write(now, domainsLine(m_domains, source));
    // Target processes refuse openings by this list, so they get it at once.
    m_members.forEach([&](const relay_member &item) {
        if (item.isReportingDirectly(now))
            sendMemberNotice(now, item);
    });
    m_lastNotices = {};
    m_digestDue = now;
}

bool relay_entry::shouldKeepCopy(const relay_member &member) const
{
    std::size_t before = 0;
    m_members.forEach([&](const relay_member &other) {
        before += !other.lost && other.domain == member.domain && other.nameHash < member.nameHash;
    });
    return before < copiesPerDomain;
}

// An era settles only while the store is reachable: operators cannot write to it otherwise.
void relay_entry::updateStoreState(instant now)
{
    const auto era = m_domains.listed().point.era;
    if (m_store != store_standing::followed || era != m_followedEra)
        m_eraFollowedSince.reset();
    else if (!m_eraFollowedSince)
        m_eraFollowedSince = now;
    else if (now - *m_eraFollowedSince >= restoreSettleTime)
        settle(now, era);
    m_followedEra = era;
}

// Puts in force what was deferred after the store was restored from an older copy.
void relay_entry::settle(instant now, std::uint64_t era)
{
    if (m_choice.settle(era))
        useConfig(now, m_choice.inForce(), "settled");
    if (m_domains.settle(era))
        announceDomains(now, "settled");
}

void relay_entry::logDeferred(instant now)
{
    const auto &stamp = m_choice.deferred()->stamp;
    m_log.write(now,
        configuration_deferred{.era = stamp.point.era,
            .revision = stamp.point.revision,
            .version = stamp.version,
            .kept = m_config->stamp.version,
            .settlesInMs = static_cast<std::uint64_t>(restoreSettleTime.count())});
}

entry_notice relay_entry::makeNotice(instant now) const
{
    entry_notice notice{.name = m_options.name,
        .domain = m_options.domain,
        .boot = m_options.boot,
        .leaving = m_leavingSince.has_value(),
        .store = static_cast<std::uint64_t>(m_store)};
    notice.knowsDomain = isOwnDomainComplete(now);
    writeState(notice, stampOf(m_config), m_domains.listed(), m_choice.order().settledEra());
    return notice;
}

void relay_entry::send(const endpoint &to, const relay_message &message)
{
    m_port.sendPeer(to, encodeRelayMessage(message), {});
}

void relay_entry::requestNotice(instant now, const endpoint &to)
{
    auto notice = makeNotice(now);
    notice.wantsNotice = true;
    send(to, notice);
}

void relay_entry::sendMemberNotice(instant now, const relay_member &member)
{
    auto notice = makeNotice(now);
    notice.entries = m_roster.entriesToAnnounce(member.domain, now);
    const auto *rule = m_config ? m_config->serviceNamed(member.service) : nullptr;
    if (rule)
        notice.bounds.push_back({.service = rule->name,
            .flows = rule->flows,
            .coldRate = static_cast<std::uint64_t>(rule->coldRate * 1000)});
    notice.keepsCopy = shouldKeepCopy(member);
    send(member.address, notice);
}

// Members of the own domain that do not report here yet get a notice, so that they do.
void relay_entry::announceToMembers(instant now)
{
    m_members.forEach([&](const relay_member &item) {
        if (item.domain == m_options.domain && !item.isReportingDirectly(now) && !item.lost)
            sendMemberNotice(now, item);
    });
}

void relay_entry::sendNotices(instant now)
{
    auto due = m_roster.knownIn(m_options.domain);
    const auto round = std::max(minNoticesPerRound, due.size() / maxNoticeRounds + 1);
    // With more entries than fit a round, the time decides where each round starts.
    const auto offset = due.size() > round
        ? static_cast<std::size_t>(now / noticeInterval) * round % due.size()
        : 0;
    std::rotate(due.begin(), due.begin() + static_cast<std::ptrdiff_t>(offset), due.end());
    due.resize(std::min(due.size(), round));
    const auto plain = makeNotice(now);
    auto naming = plain;
    naming.entries = m_roster.entriesToAnnounce(m_options.domain, now);
    const bool names = m_noticeRounds++ % entryListRounds == 0;
    for (const auto &address : due) {
        auto notice = names ? naming : plain;
        notice.wantsNotice = isLearning(now) || !m_roster.isAlive(address, now);
        send(address, notice);
    }
    if (m_leavingSince)
        sendStopNotices(now, plain);
}

// Other domains choose other recipients for their digests before this entry ends.
void relay_entry::sendStopNotices(instant now, const entry_notice &notice)
{
    for (const auto &domain : m_roster.otherDomains()) {
        for (const auto &address : m_roster.delegatesOf(domain, now))
            send(address, notice);
    }
}

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

void relay_entry::updatePeers(instant now)
{
    if (now - m_lastNotices >= noticeInterval) {
        m_lastNotices = now;
        for (const auto &seed : m_options.seeds)
            m_roster.add(now, {.address = seed});
        sendNotices(now);
        announceToMembers(now);
        m_roster.sweep(now, m_options.seeds);
    }
    updateCompleteness(now);
    askForMembers(now);
    logLearning(now);
    sendDigests(now);
}

} // namespace toucan
