// What a target process exchanges with entries.

#include <algorithm>
#include <toucan/message_state.h>
#include <toucan/ranking.h>
#include <toucan/relay_target.h>

namespace toucan {
namespace {

using namespace std::chrono_literals;

// Reports to few entries come this often; with more entries, less often, so that the process sends
// at most 32 a second.
constexpr auto reportInterval = 250ms;
constexpr auto intervalForEachEntry = 31ms;
// Every this many reports an entry is asked for its notice, and twice this many at a start.
constexpr std::uint64_t noticeEvery = 4;
constexpr auto entrySilence = 5s;
constexpr auto copyFetchInterval = 700ms;
// Silence of all entries of the own failure domain after which others are reported to as well: at a
// start this long, later a missed notice.
constexpr auto homeSilence = 1s;
constexpr std::size_t substitutes = 4;

std::chrono::milliseconds intervalFor(std::size_t entries)
{
    return std::max<std::chrono::milliseconds>(
        reportInterval, intervalForEachEntry * static_cast<std::int64_t>(entries));
}

} // namespace

void relay_target::handle(instant, const endpoint &, const target_report &)
{
    m_malformed.add();
}

void relay_target::handle(instant, const endpoint &, const flow_owner &)
{
    m_malformed.add();
}

void relay_target::handle(instant, const endpoint &, const opening_kept &)
{
    m_malformed.add();
}

void relay_target::handle(instant, const endpoint &, const member_digest &)
{
    m_malformed.add();
}

void relay_target::handle(instant, const endpoint &, const digest_request &)
{
    m_malformed.add();
}

void relay_target::handle(instant, const endpoint &, const flow_answer &)
{
    m_malformed.add();
}

void relay_target::handle(instant now, const endpoint &from, const entry_notice &message)
{
    auto &entry = m_entries[from];
    const bool isNew = entry.boot != message.boot;
    entry.boot = message.boot;
    entry.domain = message.domain;
    if (now - entry.heard > entrySilence)
        m_log.write(now,
            dependency_changed{.dependency = "entry",
                .name = message.name,
                .state = "regained",
                .reason = "its notice came"});
    entry.heard = now;
    const auto told = receivedStamp(message);
    m_order.settle(message.settledEra);
    if (m_order.supersedes(told, m_newest)) {
        m_newest = told;
        m_newestAt = now;
    }
    const bool isSettled = m_domains.settle(message.settledEra);
    if (m_domains.apply(receivedDomains(message)) || isSettled)
        m_log.write(now, domainsLine(m_domains, message.name));
    for (const auto &bounds : message.bounds) {
        if (bounds.service == service())
            m_bounds = bounds;
    }
    if (message.keepsCopy && m_order.supersedes(told, m_copy)
        && now - m_lastCopyFetch >= copyFetchInterval) {
        m_lastCopyFetch = now;
        m_port.fetchConfig(from, told);
    }
    onEntries(now, message.entries);
    if (isNew) {
        // It knows nothing of this process yet.
        m_entries[from].reported = {};
        sendReports(now, false);
    }
    if (message.leaving)
        m_entries[from].heard = now - entrySilence;
}

void relay_target::onEntries(instant now, std::span<const entry_place> entries)
{
    bool added = false;
    for (const auto &place : entries) {
        // Unheard so far, but worth reporting to for a while.
        const auto [found, isNew] = m_entries.try_emplace(
            place.address, entry_state{.domain = place.domain, .heard = now - entrySilence});
        if (found->second.domain.empty())
            found->second.domain = place.domain;
        added |= isNew;
    }
    if (added)
        sendReports(now, false);
}

bool relay_target::hearsEntries(instant now) const
{
    return std::ranges::any_of(
        m_entries, [&](const auto &item) { return now - item.second.heard < entrySilence; });
}

// The entries of the own failure domain. While none of them is heard, a few others, which pass on
// what they hear; seeds count as such until their domain is known.
std::vector<endpoint> relay_target::reportedEntries(instant now) const
{
    std::vector<endpoint> home;
    std::vector<endpoint> others;
    std::optional<instant> lastHeard;
    for (const auto &[address, entry] : m_entries) {
        (entry.domain == m_options.domain ? home : others).push_back(address);
        if (entry.domain == m_options.domain && entry.boot != 0)
            lastHeard = std::max(lastHeard.value_or(instant{}), entry.heard);
    }
    const auto noticeInterval = intervalFor(home.size()) * static_cast<int>(noticeEvery);
    const auto limit
        = lastHeard ? std::max<instant>(homeSilence, noticeInterval * 3 / 2) : instant(homeSilence);
    if (!home.empty() && now - lastHeard.value_or(m_started) < limit)
        return home;
    // Each process has an order of its own, so that they do not all choose the same ones.
    const auto weight = [&](const endpoint &address) {
        return rankWeight(m_options.boot, hashText(toString(address)));
    };
    std::ranges::sort(others, std::greater<>(), weight);
    others.resize(std::min(others.size(), substitutes));
    home.insert(home.end(), others.begin(), others.end());
    return home;
}

void relay_target::sendReports(instant now, bool atOnce)
{
    for (const auto &seed : m_options.seeds)
        m_entries.try_emplace(seed, entry_state{.heard = now - entrySilence});
    const auto recipients = reportedEntries(now);
    const auto interval = intervalFor(recipients.size());
    m_reportedStanding = standing(now);
    const auto known = std::max<std::uint64_t>(slots(), 1);
    constexpr double thousand = 1000;
    target_report report{.member = m_options.name,
        .service = service(),
        .domain = m_options.domain,
        .boot = m_options.boot,
        .lifetime = m_liveness.lifetime(),
        .standing = static_cast<std::uint64_t>(m_reportedStanding),
        .slots = known,
        .flows = heldFlows(),
        .waiting = occupied() + m_queue.size(),
        .load = static_cast<std::uint64_t>(m_load.read(now) * thousand / static_cast<double>(known))
            + m_failures.penalty(now),
        .openRate = coldLimit(),
        .leaving = m_leaving,
        .intervalMs = static_cast<std::uint64_t>(interval.count())};
    writeState(report, m_copy, m_domains.listed(), m_order.settledEra());
    for (const auto &address : recipients) {
        auto &entry = m_entries[address];
        if (!atOnce && now - entry.reported < interval)
            continue;
        entry.reported = now;
        report.order = ++m_reportOrder;
        report.wantsNotice = entry.reports++ % noticeEvery == 0 || now - entry.heard > entrySilence;
        m_port.sendPeer(address, encodeRelayMessage(report), {});
    }
}

void relay_target::startLeaving(instant now)
{
    m_leaving = true;
    sendReports(now, true);
}

} // namespace toucan
