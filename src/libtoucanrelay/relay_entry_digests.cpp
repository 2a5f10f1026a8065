// Digests between entries of different failure domains, and discovery of all members after a start.

#include <algorithm>
#include <toucan/relay_entry.h>

namespace toucan {
namespace {

using namespace std::chrono_literals;

// Minimum time between two digests.
constexpr auto minDigestGap = 100ms;
// Time between two requests for all members after a start, until they are known.
constexpr auto memberRequestInterval = 100ms;
// Time after a start for which they are requested.
constexpr auto learningTime = 3s;
// Entries asked with each request.
constexpr std::size_t entriesPerRequest = 2;
// Time without a digest from a domain's own entries after which other entries that its members
// report to send digests of it.
constexpr instant ownDigestTimeout = digestInterval * 2;
// Entries exchange notices each 500 ms.
constexpr auto missedNoticeTime = 1s;
// Minimum time between two requests for news of the same domain.
constexpr auto newsRequestInterval = 150ms;
// All members are known within a few seconds of a start; until then a line is logged this often.
constexpr auto learningLogInterval = 1s;

// A member reports at once to a new entry that sends it a message. When no other entry announces
// this one, a member reports within learningIntervals of its report intervals; its reports are
// awaited for at least minLearningTime.
constexpr auto minLearningTime = 500ms;
constexpr int learningIntervals = 2;
// Without any report, a domain counts as empty after the time in which target processes find its
// entries.
constexpr instant learningTimeWithoutReports = 3s;

std::uint64_t millisecondsOf(instant time)
{
    return static_cast<std::uint64_t>(
        std::chrono::duration_cast<std::chrono::milliseconds>(time).count());
}

} // namespace

// The view of the members may be outdated, so the entry requests it as after a start.
void relay_entry::onPause(instant now)
{
    m_started = now;
    distrustKnowledge(now);
}

void relay_entry::distrustKnowledge(instant now)
{
    m_knowledgeSince = now;
    m_ownDomainComplete = false;
    m_membersWereKnown = false;
    m_digests.forgetCompleteness();
}

digest_origin relay_entry::originOf() const
{
    return {.address = m_options.peer,
        .domain = m_options.domain,
        .boot = m_options.boot,
        .config = stampOf(m_config),
        .domains = m_domains.listed(),
        .settledEra = m_choice.order().settledEra()};
}

// Failure domains that this entry sends digests of: its own when it is a delegate, and domains
// without entries whose members report here instead.
std::vector<std::string> relay_entry::domainsToReport(instant now) const
{
    std::set<std::string> domains;
    if (m_roster.isDelegate(now, m_leavingSince.has_value()))
        domains.insert(m_options.domain);
    m_members.forEach([&](const relay_member &item) {
        const auto lastSeen = m_digests.lastSeen(item.domain);
        if (item.isReportingDirectly(now) && !item.lost && item.domain != m_options.domain
            && (!lastSeen || now - *lastSeen > ownDigestTimeout))
            domains.insert(item.domain);
    });
    return {domains.begin(), domains.end()};
}

void relay_entry::sendDigests(instant now)
{
    const bool isDue = now - m_lastDigests >= digestInterval
        || (now >= m_digestDue && now - m_lastDigests >= minDigestGap);
    if (!isDue)
        return;
    m_lastDigests = now;
    m_digestDue = instant::max();
    for (const auto &domain : domainsToReport(now)) {
        const auto pages = m_digests.make(
            now, m_members, domain, originOf(), isDomainComplete(domain, now), false);
        std::vector<endpoint> recipients;
        for (const auto &other : m_roster.otherDomains()) {
            const auto delegates = m_roster.delegatesOf(other, now);
            recipients.insert(recipients.end(), delegates.begin(), delegates.end());
        }
        if (domain != m_options.domain) {
            const auto own = m_roster.forwardingIn(m_options.domain, now);
            recipients.insert(recipients.end(), own.begin(), own.end());
        }
        for (const auto &page : pages) {
            const auto bytes = encodeRelayMessage(page);
            for (const auto &to : recipients)
                m_port.sendPeer(to, bytes, {});
        }
    }
}

void relay_entry::sendWholeDigest(instant now, const endpoint &to, std::string_view domain)
{
    replyTo(now, to, {.domain = std::string(domain)});
}

void relay_entry::replyTo(instant now, const endpoint &to, const digest_request &request)
{
    const auto heard = std::max(
        m_digests.lastReported(request.domain).value_or(m_knowledgeSince), m_knowledgeSince);
    const bool isOwn = request.domain == m_options.domain;
    // A domain that is not heard any more may have other members by now.
    const bool isStated = request.requestedAtMs == 0 || isOwn || now - heard <= ownDigestTimeout;
    auto pages = m_digests.make(now, m_members, request.domain, originOf(),
        isStated && isDomainComplete(request.domain, now), !request.news);
    for (auto &page : pages) {
        page.unheardMs = isOwn ? 0 : millisecondsOf(now - heard);
        page.direct = request.news;
        page.requestedAtMs = request.requestedAtMs;
        send(to, page);
    }
}

// Failure domains other than `domain` with entries that are alive.
std::vector<std::string> relay_entry::witnessesFor(std::string_view domain, instant now) const
{
    auto witnesses = m_roster.otherDomains();
    witnesses.push_back(m_options.domain);
    std::erase_if(witnesses, [&](const std::string &other) {
        return other == domain || m_roster.aliveIn(other, now).empty();
    });
    return witnesses;
}

// True while other entries of the domain, or digests of it, are received here.
bool relay_entry::isDomainHeard(std::string_view domain, instant now) const
{
    if (domain == m_options.domain)
        return m_roster.isHeardIn(domain, now, missedNoticeTime)
            && (!isYoung(now) || m_digests.hasForeignStatementSince(domain, m_knowledgeSince));
    return now - m_digests.lastReported(domain).value_or(instant{}) <= ownDigestTimeout;
}

// Asks for newer knowledge of a domain than the periodic digests give. Either delegate of the
// domain has it; an entry of each other domain is asked while this one does not hear it.
void relay_entry::requestNews(instant now, const std::string &domain)
{
    auto &requestedAt = m_newsRequestedAt[domain];
    const bool isHeard = isDomainHeard(domain, now);
    if (now - requestedAt < (isHeard ? newsRequestInterval : newsRequestInterval * 2))
        return;
    requestedAt = now;
    const auto turn = static_cast<std::size_t>(now / newsRequestInterval);
    std::vector<endpoint> sources;
    const auto addOne = [&](std::span<const endpoint> entries) {
        if (!entries.empty())
            sources.push_back(entries[turn % entries.size()]);
    };
    addOne(m_roster.delegatesOf(domain, now));
    if (!isHeard) {
        for (const auto &other : witnessesFor(domain, now))
            addOne(m_roster.aliveIn(other, now));
    }
    for (const auto &source : sources)
        send(source,
            digest_request{.domain = domain, .news = true, .requestedAtMs = millisecondsOf(now)});
}

// Sends whole digests of all complete domains to an entry that starts.
void relay_entry::sendCompleteDomains(instant now, const endpoint &to)
{
    auto domains = otherDomains();
    domains.push_back(m_options.domain);
    for (const auto &domain : domains) {
        if (isDomainComplete(domain, now))
            sendWholeDigest(now, to, domain);
    }
}

// Sends a digest at once when the own domain becomes complete, so that others need not wait for the
// next interval.
void relay_entry::updateCompleteness(instant now)
{
    if (!m_ownDomainComplete && isOwnDomainComplete(now)) {
        m_ownDomainComplete = true;
        m_digestDue = now;
    }
}

void relay_entry::handle(instant now, const endpoint &from, const digest_request &message)
{
    replyTo(now, from, message);
}

void relay_entry::handle(instant now, const endpoint &from, const member_digest &message)
{
    if (message.origin == m_options.peer)
        return;
    if (from == message.origin)
        recordEntrySeen(
            now, {.address = from, .domain = message.originDomain}, message.boot, toString(from));
    const auto outcome = m_digests.apply(now, m_members, message);
    if (!outcome.isNew)
        return;
    // Processes of other domains do not report their starts here.
    for (const auto &state : message.members)
        recordStart(
            now, state.address, state.boot, now - std::chrono::milliseconds(state.silentMs));
    applyReceivedState(now, from, message, "entry");
    // Digests of other domains reach the delegates, which pass them on in their own domain, also to
    // entries that stop: those forward packets until the fabric has left them.
    if (from == message.origin && message.originDomain != m_options.domain && !message.whole
        && !message.direct) {
        const auto bytes = encodeRelayMessage(message);
        for (const auto &to : m_roster.forwardingIn(m_options.domain, now))
            m_port.sendPeer(to, bytes, {});
    }
    for (const auto &change : outcome.changes)
        logMember(now, change);
    if (!outcome.changes.empty())
        retryParked(now);
    if (outcome.needsWhole)
        send(from, digest_request{.domain = message.domain, .requestedAtMs = millisecondsOf(now)});
}

// After a start the members are requested from entries of the own domain, and from those of other
// domains while no entry of the own domain is known.
void relay_entry::askForMembers(instant now)
{
    if (now - m_knowledgeSince > learningTime || now - m_lastMembersAsked < memberRequestInterval
        || areMembersKnown(now))
        return;
    auto candidates = m_roster.aliveIn(m_options.domain, now);
    if (candidates.empty())
        candidates = m_roster.knownIn(m_options.domain);
    if (candidates.empty()) {
        for (const auto &domain : m_roster.otherDomains()) {
            const auto delegates = m_roster.delegatesOf(domain, now);
            candidates.insert(candidates.end(), delegates.begin(), delegates.end());
        }
    }
    if (candidates.empty())
        return;
    m_lastMembersAsked = now;
    const auto turn = static_cast<std::size_t>(now / memberRequestInterval) * entriesPerRequest;
    auto notice = makeNotice(now);
    notice.wantsMembers = true;
    for (std::size_t i = 0; i < std::min(entriesPerRequest, candidates.size()); ++i)
        send(candidates[(turn + i) % candidates.size()], notice);
}

void relay_entry::logLearning(instant now)
{
    const bool isComplete = areMembersKnown(now);
    const bool isDue = now - m_learningLoggedAt >= learningLogInterval;
    if (m_membersWereKnown || (!isComplete && !isDue))
        return;
    m_membersWereKnown = isComplete;
    m_learningLoggedAt = now;
    members_learned line{.complete = isComplete, .sinceStartMs = millisecondsOf(now - m_started)};
    auto domains = otherDomains();
    domains.push_back(m_options.domain);
    for (const auto &domain : domains) {
        const auto known = m_members.summaryOf(domain).count;
        line.known += known;
        line.expected += m_digests.countOf(domain).value_or(known);
        const auto kept = m_members.keptOf(domain).count;
        line.kept += kept;
        line.expectedKept += m_digests.keptCountOf(domain).value_or(kept);
        if (!isDomainComplete(domain, now))
            line.incomplete.push_back(domain);
    }
    m_log.write(now, line);
}

// For each failure domain: members known of those that another entry keeps, and the age of that
// entry's statement.
std::vector<std::string> relay_entry::describeKnowledge(instant now) const
{
    auto domains = otherDomains();
    domains.push_back(m_options.domain);
    std::ranges::transform(domains, domains.begin(), [&](const std::string &domain) {
        const auto known = std::to_string(m_members.keptOf(domain).count);
        const auto kept = m_digests.keptCountOf(domain);
        const auto statedAt = m_digests.statedAt(domain);
        if (!kept || !statedAt)
            return domain + ' ' + known + ", no statement";
        return domain + ' ' + known + " of " + std::to_string(*kept) + ", "
            + std::to_string(millisecondsOf(now - *statedAt)) + " ms old";
    });
    return domains;
}

std::vector<std::string> relay_entry::otherDomains() const
{
    auto domains = m_options.domains.empty() ? m_roster.otherDomains() : m_options.domains;
    std::erase(domains, m_options.domain);
    return domains;
}

bool relay_entry::isDomainComplete(std::string_view domain, instant now) const
{
    return domain == m_options.domain ? isOwnDomainComplete(now) : m_digests.isComplete(domain);
}

// True when entries of the silent member's domain, to which it reports, have stated that they have
// not heard it either.
bool relay_entry::isStatedGone(const relay_member &item, instant now) const
{
    return isHearing(now) && m_digests.ownStatementAt(item.domain) >= item.goneAt();
}

// True when no other entry has heard the silent member, as far as those that can be asked know. It
// may report to entries that are down.
bool relay_entry::isUnheardElsewhere(const relay_member &item, instant now) const
{
    return isHearing(now)
        && (m_digests.statementAt(item.domain) >= item.goneAt() || isDomainGone(item.domain, now)
            || (item.domain == m_options.domain && m_roster.alive(now).empty()));
}

// The own domain's members report here, and other entries of the domain list members that have not
// reported yet. When all entries start together, the members' report intervals decide. Other
// domains are complete by digests; a domain without any digest counts as gone after the same time
// as a silent member.
bool relay_entry::areMembersKnown(instant now) const
{
    const auto others = otherDomains();
    return isOwnDomainComplete(now) && std::ranges::all_of(others, [&](const std::string &domain) {
        return m_digests.isComplete(domain)
            || (!m_digests.lastSeen(domain) && now - m_knowledgeSince > member_table::goneAfter);
    });
}

// Failure domains of which members may be unknown here that may have held flows at `since`.
std::vector<std::string> relay_entry::domainsWithoutNews(instant since, instant now) const
{
    auto domains = otherDomains();
    std::erase_if(domains, [&](const std::string &domain) {
        return m_digests.hasStatementSince(domain, since) || isDomainGone(domain, now);
    });
    if (!isOwnDomainKnown(since, now))
        domains.push_back(m_options.domain);
    return domains;
}

// A domain that this entry does not hear may be cut off from it only, so an entry of each other
// domain has to confirm that. A member of a domain without running entries reports to entries of
// other domains, which tell all others before goneAfter has passed.
bool relay_entry::isDomainGone(std::string_view domain, instant now) const
{
    const auto heard
        = std::max(m_digests.lastReported(domain).value_or(m_knowledgeSince), m_knowledgeSince);
    const auto silentAt = heard + member_table::goneAfter;
    const auto witnesses = witnessesFor(domain, now);
    return domain != m_options.domain && now > silentAt && isHearing(now)
        && std::ranges::all_of(witnesses, [&](const std::string &witness) {
               return m_digests.isUnheardSince(domain, witness, silentAt);
           });
}

// True when the members of the own domain include each that may have held flows at `since`. Not all
// of them report here: one may be stopped, and links or datagrams of another may be lost. Other
// entries of the domain know of these. While this entry is young, its peers may be as well, so
// those of other domains have to state which members there were before.
bool relay_entry::isOwnDomainKnown(instant since, instant now) const
{
    const auto &domain = m_options.domain;
    const bool hasWitness = !witnessesFor(domain, now).empty();
    if (hasWitness && isYoung(now) && !m_digests.hasForeignStatementSince(domain, m_knowledgeSince))
        return false;
    if (!m_roster.forwardingIn(domain, now).empty())
        return m_digests.hasStatementSince(domain, since);
    if (!isOwnDomainComplete(now))
        return false;
    if (hasWitness)
        return m_digests.hasStatementSince(
            domain, std::max(since, m_knowledgeSince) - digestInterval);
    const bool mayHavePeers
        = now - m_knowledgeSince < entry_roster::silenceLimit && !m_roster.knownIn(domain).empty();
    return isHearing(now) && !mayHavePeers;
}

// True while members may be unknown that stopped as planned before this entry started.
bool relay_entry::isYoung(instant now) const
{
    return now - m_knowledgeSince < member_table::plannedStopTime;
}

// An entry that receives nothing from other processes is itself cut off.
bool relay_entry::isHearing(instant now) const
{
    return m_lastHeard && now - *m_lastHeard <= member_table::silenceLimit;
}

bool relay_entry::isOwnDomainComplete(instant now) const
{
    if (m_ownDomainComplete || m_digests.isComplete(m_options.domain))
        return true;
    // Another entry has all members and sends them on request.
    if (m_roster.hasCompletePeer(now))
        return false;
    instant requiredTime{};
    m_members.forEach([&](const relay_member &item) {
        if (item.isReportingDirectly(now))
            requiredTime = std::max<instant>(requiredTime,
                std::max<instant>(minLearningTime, item.interval * learningIntervals));
    });
    if (requiredTime == instant{})
        requiredTime = learningTimeWithoutReports;
    return now - m_knowledgeSince >= requiredTime
        && now - std::max(m_knowledgeSince, m_memberAddedAt) >= requiredTime / 2;
}

} // namespace toucan
