#include <algorithm>
#include <toucan/digest_book.h>
#include <toucan/message_state.h>
#include <utility>

namespace toucan {
namespace {

using namespace std::chrono_literals;

// A digest lists the changes of this time, so that two digests may be lost.
constexpr instant repeatTime = digestInterval * 3;
// A page with this many members fits a datagram.
constexpr std::size_t maxMembersPerPage = 16;
// Hashes may differ for this long while changes are in transit.
constexpr auto mismatchTolerance = 300ms;
// Minimum time between two requests for a whole digest of the same domain.
constexpr auto wholeRequestInterval = 500ms;

member_state stateOf(instant now, const relay_member &item)
{
    using std::chrono::duration_cast;
    using std::chrono::milliseconds;
    const auto silenceMs
        = duration_cast<milliseconds>(std::max(now - item.lastSeen, instant{})).count();
    return {.name = item.name,
        .service = item.service,
        .address = item.address,
        .boot = item.boot,
        .lifetime = item.lifetime,
        .order = item.order,
        .standing = static_cast<std::uint64_t>(item.standing),
        .slots = item.slots,
        .flows = item.flows,
        .load = item.load,
        .workUs = item.workUs,
        .meanUs = item.meanUs,
        .openRate = item.openRate,
        .leaving = item.leaving,
        .lost = item.lost,
        .silentMs = static_cast<std::uint64_t>(silenceMs)};
}

// The members that an entry keeps are missing in digests of earlier versions.
bool statesKept(const member_digest &page)
{
    return page.keptCount >= page.count;
}

instant timeOfRequest(const member_digest &page)
{
    return std::chrono::milliseconds(page.requestedAtMs);
}

std::pair<endpoint, std::string> keyOf(const member_digest &page)
{
    return {page.origin, page.domain};
}

} // namespace

std::vector<member_digest> digest_book::make(instant now, const member_table &members,
    std::string_view domain, const digest_origin &origin, bool complete, bool whole)
{
    const auto summary = members.summaryOf(domain);
    const auto kept = members.keptOf(domain);
    member_digest head{.origin = origin.address,
        .originDomain = origin.domain,
        .boot = origin.boot,
        .number = ++m_number,
        .domain = std::string(domain),
        .complete = complete,
        .whole = whole,
        .count = summary.count,
        .hash = summary.hash,
        .keptCount = kept.count,
        .keptHash = kept.hash};
    writeState(head, origin.config, origin.domains, origin.settledEra);
    std::vector<member_digest> pages{head};
    members.forEach([&](const relay_member &item) {
        if (item.domain != domain || (!whole && now - item.changedAt > repeatTime))
            return;
        if (pages.back().members.size() == maxMembersPerPage)
            pages.push_back(head);
        pages.back().members.push_back(stateOf(now, item));
    });
    return pages;
}

// Pages of one digest share a number, and may come in any order.
bool digest_book::isNew(const member_digest &page)
{
    auto &seen = m_seen[keyOf(page)];
    if (seen.boot == page.boot && page.number < seen.newest)
        return false;
    seen.boot = page.boot;
    seen.newest = page.number;
    return true;
}

digest_outcome digest_book::apply(instant now, member_table &members, const member_digest &page)
{
    digest_outcome outcome{.isNew = isNew(page)};
    if (!outcome.isNew)
        return outcome;
    auto &view = m_views[page.domain];
    if (page.originDomain == page.domain)
        view.lastSeen = now;
    // An entry of a third domain may reach members that this one does not.
    const bool isSecondHand = page.requestedAtMs > 0 && page.originDomain != page.domain;
    if (page.requestedAtMs == 0)
        view.lastReported = now;
    if (isSecondHand && !page.complete
        && std::chrono::milliseconds(page.unheardMs) > member_table::goneAfter)
        view.unheardAt[page.originDomain] = std::min(timeOfRequest(page), now);
    if (!page.whole && !isSecondHand)
        members.recordDomainSeen(now, page.domain);
    for (const auto &state : page.members) {
        if (auto change = members.apply(now, page.domain, state, !isSecondHand))
            outcome.changes.push_back(std::move(*change));
    }
    // Only a digest of an entry that has all members of the domain shows which members are gone.
    if (!page.complete)
        return outcome;
    view.count = page.count;
    view.keptCount = page.keptCount;
    view.statedAt = page.requestedAtMs > 0 ? timeOfRequest(page) : now;
    if (page.whole)
        collect(now, members, page, view, outcome);
    compare(now, members, page, view, outcome);
    return outcome;
}

// Once all pages of a whole digest have arrived, members that are on none of them are lost.
void digest_book::collect(instant now, member_table &members, const member_digest &page,
    domain_view &view, digest_outcome &outcome)
{
    auto &pages = m_pages[keyOf(page)];
    if (pages.boot != page.boot || pages.number != page.number)
        pages = {.boot = page.boot, .number = page.number};
    for (const auto &state : page.members) {
        pages.kept.insert(state.name);
        if (!state.lost && !state.leaving)
            pages.inUse.insert(state.name);
    }
    if (statesKept(page) && pages.kept.size() >= page.keptCount) {
        view.includedHash = page.keptHash;
        recordStatement(now, page, view);
    }
    if (pages.inUse.size() < page.count || std::exchange(pages.pruned, true))
        return;
    for (auto &change : members.markOthersLost(now, page.domain, pages.inUse))
        outcome.changes.push_back(std::move(change));
}

// Replies to an earlier start of this process, or with a time that no request had, state nothing.
void digest_book::recordStatement(instant now, const member_digest &page, domain_view &view)
{
    if (page.requestedAtMs == 0 || timeOfRequest(page) > now)
        return;
    const bool isOwn = page.originDomain == page.domain;
    auto &statementAt = isOwn ? view.ownStatementAt : view.otherStatementAt;
    statementAt = std::max(statementAt.value_or(instant{}), timeOfRequest(page));
}

void digest_book::compare(instant now, member_table &members, const member_digest &page,
    domain_view &view, digest_outcome &outcome)
{
    const member_table::summary theirs{.count = page.count, .hash = page.hash};
    auto &differsSince = m_seen[keyOf(page)].differsSince;
    const bool isSameInUse = members.summaryOf(page.domain) == theirs;
    const bool keepsAll = !statesKept(page) || view.includedHash == page.keptHash
        || members.keptOf(page.domain)
            == member_table::summary{.count = page.keptCount, .hash = page.keptHash};
    // A requested reply may rest on a digest of this entry. Entries would confirm to each other for
    // ever that a member runs of which none hears.
    if (isSameInUse && page.requestedAtMs == 0)
        members.confirm(now, page.domain);
    if (isSameInUse && keepsAll) {
        differsSince.reset();
        view.complete = true;
        if (statesKept(page))
            recordStatement(now, page, view);
        return;
    }
    if (!differsSince)
        differsSince = now;
    // A whole digest of an incomplete domain is requested at once.
    const bool isDue = !view.complete || now - *differsSince > mismatchTolerance;
    if (isDue && now - view.requestedAt > wholeRequestInterval) {
        view.requestedAt = now;
        outcome.needsWhole = true;
    }
}

void digest_book::forgetCompleteness()
{
    for (auto &[domain, view] : m_views) {
        view.complete = false;
        view.ownStatementAt.reset();
        view.otherStatementAt.reset();
        view.unheardAt.clear();
    }
}

bool digest_book::isComplete(std::string_view domain) const
{
    const auto found = m_views.find(domain);
    return found != m_views.end() && found->second.complete;
}

std::optional<std::uint64_t> digest_book::countOf(std::string_view domain) const
{
    const auto found = m_views.find(domain);
    return found == m_views.end() ? std::nullopt : found->second.count;
}

std::optional<std::uint64_t> digest_book::keptCountOf(std::string_view domain) const
{
    const auto found = m_views.find(domain);
    return found == m_views.end() ? std::nullopt : found->second.keptCount;
}

std::optional<instant> digest_book::statedAt(std::string_view domain) const
{
    const auto found = m_views.find(domain);
    return found == m_views.end() ? std::nullopt : found->second.statedAt;
}

std::optional<instant> digest_book::lastSeen(std::string_view domain) const
{
    const auto found = m_views.find(domain);
    return found == m_views.end() ? std::nullopt : found->second.lastSeen;
}

// Each substitute receives reports of some members only, so all of them have to have sent a digest.
bool digest_book::hasStatementSince(std::string_view domain, instant since) const
{
    const auto found = m_views.find(domain);
    if (found == m_views.end())
        return false;
    const auto &view = found->second;
    return view.ownStatementAt >= since + digestTransitTime
        || view.otherStatementAt >= since + digestInterval + digestTransitTime;
}

bool digest_book::hasForeignStatementSince(std::string_view domain, instant since) const
{
    const auto found = m_views.find(domain);
    return found != m_views.end() && found->second.otherStatementAt >= since;
}

std::optional<instant> digest_book::statementAt(std::string_view domain) const
{
    const auto found = m_views.find(domain);
    return found == m_views.end()
        ? std::nullopt
        : std::max(found->second.ownStatementAt, found->second.otherStatementAt);
}

std::optional<instant> digest_book::ownStatementAt(std::string_view domain) const
{
    const auto found = m_views.find(domain);
    return found == m_views.end() ? std::nullopt : found->second.ownStatementAt;
}

bool digest_book::isUnheardSince(
    std::string_view domain, const std::string &witness, instant since) const
{
    const auto found = m_views.find(domain);
    if (found == m_views.end())
        return false;
    const auto asked = found->second.unheardAt.find(witness);
    return asked != found->second.unheardAt.end() && asked->second >= since;
}

std::optional<instant> digest_book::lastReported(std::string_view domain) const
{
    const auto found = m_views.find(domain);
    return found == m_views.end() ? std::nullopt : found->second.lastReported;
}

} // namespace toucan
