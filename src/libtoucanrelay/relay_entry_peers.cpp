// What an entry learns from other processes and the store, and tells them.

#include <algorithm>
#include <toucan/relay_entry.h>

namespace toucan {
namespace {

using namespace std::chrono_literals;

// Entries tell each other their revisions this often; a configuration has seconds to be in force.
constexpr auto noticeInterval = 500ms;
// Entries that are told in one round.
constexpr std::size_t noticesPerRound = 16;
// Entries that are named in one notice, so that it fits a datagram.
constexpr std::size_t namedEntries = 64;
constexpr std::size_t namedMembers = 96;
// Silence after which an entry is no longer named to others.
constexpr auto entrySilence = 4s;
// A member that other entries name but that stays unheard by this one is cut off from it.
constexpr auto namedLifetime = 4s;
// Silence after which an entry is forgotten.
constexpr auto entryForget = 60s;
// Fetches of a configuration from a peer: at most one at a time in this long.
constexpr auto fetchInterval = 300ms;
// Copies of the configuration that target processes of one failure domain keep.
constexpr std::size_t copiesPerDomain = 2;

} // namespace

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
    }
    m_configAt = now;
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
    const auto heard = heardEntries(now);
    const auto room = std::min(heard.size(), namedEntries - notice.entries.size());
    notice.entries.insert(
        notice.entries.end(), heard.begin(), heard.begin() + static_cast<std::ptrdiff_t>(room));
    return notice;
}

std::vector<endpoint> relay_entry::heardEntries(instant now) const
{
    std::vector<endpoint> heard;
    for (const auto &[address, peer] : m_entries) {
        if (now - peer.heard < entrySilence)
            heard.push_back(address);
    }
    return heard;
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

void relay_entry::tendPeers(instant now)
{
    if (now - m_lastNotices < noticeInterval)
        return;
    m_lastNotices = now;
    sendNotices(now);
    std::erase_if(m_named, [&](const auto &item) { return now - item.second > namedLifetime; });
    std::erase_if(m_entries, [&](const auto &item) {
        const bool isSeed = std::ranges::find(m_options.seeds, item.first) != m_options.seeds.end();
        return !isSeed && now - item.second.heard > entryForget;
    });
}

} // namespace toucan
