// relay_target: messages exchanged with entries.

#include <algorithm>
#include <toucan/message_state.h>
#include <toucan/ranking.h>
#include <toucan/relay_target.h>

namespace toucan {
namespace {

using namespace std::chrono_literals;

// Interval of reports to each entry; it grows with the number of entries so that the process sends
// at most 32 reports a second.
constexpr auto minReportInterval = 250ms;
constexpr auto reportIntervalPerEntry = 31ms;
// One in this many reports to an entry asks for its notice; all do while the entry is silent.
constexpr std::uint64_t reportsPerNotice = 4;
constexpr auto entrySilenceLimit = 5s;
constexpr auto copyFetchInterval = 700ms;
// Silence of all entries of the own failure domain after which entries of other domains are
// reported to as well. At a start it is this time; with many entries, the time of a missed notice.
constexpr auto homeSilenceLimit = 1s;
// A notice of a stop may be lost, and the process runs on for a few ticks only.
constexpr std::size_t maxStopNotices = 3;
constexpr std::size_t maxSubstituteEntries = 4;
// Time for which a substitute that does not answer is tried before the next one.
constexpr auto substituteTrialTime = 250ms;

std::chrono::milliseconds intervalFor(std::size_t entries)
{
    return std::max<std::chrono::milliseconds>(
        minReportInterval, reportIntervalPerEntry * static_cast<std::int64_t>(entries));
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
    if (now - entry.lastSeen > entrySilenceLimit && !message.leaving)
        m_log.write(now,
            dependency_changed{.dependency = "entry",
                .name = message.name,
                .state = "regained",
                .reason = "notice received"});
    entry.lastSeen = now;
    const auto received = receivedStamp(message);
    m_order.settle(message.settledEra);
    if (m_order.supersedes(received, m_newestConfig)) {
        m_newestConfig = received;
        m_newestConfigSince = now;
    }
    const bool isSettled = m_domains.settle(message.settledEra);
    if (m_domains.apply(receivedDomains(message)) || isSettled)
        m_log.write(now, domainsLine(m_domains, message.name));
    for (const auto &bounds : message.bounds) {
        if (bounds.service == service())
            m_bounds = bounds;
    }
    if (message.keepsCopy && m_order.supersedes(received, m_configCopy)
        && now - m_lastConfigFetch >= copyFetchInterval) {
        m_lastConfigFetch = now;
        m_port.fetchConfig(from, received);
    }
    onEntries(now, message.entries);
    if (isNew) {
        // A new or restarted entry has no state of this process yet.
        m_entries[from].lastReportSent = {};
        sendReports(now, false);
        requestFlowTableAtOnce(now);
    }
    if (message.leaving)
        m_entries[from].lastSeen = now - entrySilenceLimit;
}

void relay_target::onEntries(instant now, std::span<const entry_place> entries)
{
    bool added = false;
    for (const auto &place : entries) {
        // Nothing was received from it yet; it is reported to until entryRetention ends.
        const auto [found, isNew] = m_entries.try_emplace(place.address,
            entry_state{.domain = place.domain, .lastSeen = now - entrySilenceLimit});
        if (found->second.domain.empty())
            found->second.domain = place.domain;
        added |= isNew;
    }
    if (added) {
        sendReports(now, false);
        requestFlowTableAtOnce(now);
    }
}

bool relay_target::hasAliveEntry(instant now) const
{
    return std::ranges::any_of(m_entries,
        [&](const auto &item) { return now - item.second.lastSeen < entrySilenceLimit; });
}

// The entries of the own failure domain. While all of them are silent, also a few of other domains,
// which pass on what they receive. Seeds count as others until their domain is known.
std::vector<endpoint> relay_target::reportRecipients(instant now) const
{
    std::vector<endpoint> home;
    std::vector<endpoint> others;
    std::optional<instant> lastSeen;
    for (const auto &[address, entry] : m_entries) {
        (entry.domain == m_options.domain ? home : others).push_back(address);
        if (entry.domain == m_options.domain && entry.boot != 0)
            lastSeen = std::max(lastSeen.value_or(instant{}), entry.lastSeen);
    }
    const auto noticeInterval = intervalFor(home.size()) * static_cast<int>(reportsPerNotice);
    const auto limit = lastSeen ? std::max<instant>(homeSilenceLimit, noticeInterval * 3 / 2)
                                : instant(homeSilenceLimit);
    if (!home.empty() && now - lastSeen.value_or(m_started) < limit)
        return home;
    const auto substitutes = substitutesAmong(now, std::move(others), home.size());
    home.insert(home.end(), substitutes.begin(), substitutes.end());
    return home;
}

// Those that answer, and while there are too few of them the others in turn: substitutes may be
// down as well.
std::vector<endpoint> relay_target::substitutesAmong(
    instant now, std::vector<endpoint> entries, std::size_t homeEntries) const
{
    // The order depends on the process, so that processes do not all choose the same entries.
    const auto weight = [&](const endpoint &address) {
        return rankWeight(m_options.boot, hashText(toString(address)));
    };
    std::ranges::sort(entries, std::greater<>(), weight);
    const auto interval = intervalFor(homeEntries + maxSubstituteEntries);
    const auto limit = std::max<instant>(homeSilenceLimit, interval * 5 / 2);
    const auto silent
        = std::stable_partition(entries.begin(), entries.end(), [&](const endpoint &address) {
              const auto &entry = m_entries.at(address);
              return entry.boot != 0 && now - entry.lastSeen < limit;
          });
    const auto answering = static_cast<std::size_t>(silent - entries.begin());
    if (answering < maxSubstituteEntries && silent != entries.end()) {
        const auto turn = static_cast<std::size_t>((now - m_started) / substituteTrialTime);
        const auto first = turn * (maxSubstituteEntries - answering) % (entries.size() - answering);
        std::rotate(silent, silent + static_cast<std::ptrdiff_t>(first), entries.end());
    }
    entries.resize(std::min(entries.size(), maxSubstituteEntries));
    return entries;
}

void relay_target::sendReports(instant now, bool atOnce)
{
    for (const auto &seed : m_options.seeds)
        m_entries.try_emplace(seed, entry_state{.lastSeen = now - entrySilenceLimit});
    const auto recipients = reportRecipients(now);
    const auto interval = intervalFor(recipients.size());
    m_reportedStanding = standing(now);
    const auto known = std::max<std::uint64_t>(slots(), 1);
    constexpr double thousand = 1000;
    updateLoad(now);
    const auto work = workFigures(now, static_cast<double>(known));
    target_report report{.member = m_options.name,
        .service = service(),
        .domain = m_options.domain,
        .boot = m_options.boot,
        .lifetime = m_liveness.lifetime(),
        .standing = static_cast<std::uint64_t>(m_reportedStanding),
        .slots = known,
        .flows = reportedFlowCount(now),
        .waiting = occupiedSlots() + m_queue.size(),
        .load = static_cast<std::uint64_t>(m_load.read(now) * thousand / static_cast<double>(known))
            + m_failures.penalty(now),
        .workUs = work.remainingUs,
        .meanUs = work.meanUs,
        .openRate = coldLimit(),
        .leaving = m_leaving,
        .intervalMs = static_cast<std::uint64_t>(interval.count())};
    writeState(report, m_configCopy, m_domains.listed(), m_order.settledEra());
    for (const auto &address : recipients) {
        auto &entry = m_entries[address];
        if (!atOnce && now - entry.lastReportSent < interval)
            continue;
        entry.lastReportSent = now;
        report.order = ++m_reportOrder;
        // Only substitutes that answer are kept.
        report.wantsNotice = entry.reportsSent++ % reportsPerNotice == 0
            || now - entry.lastSeen > entrySilenceLimit || entry.domain != m_options.domain;
        m_port.sendPeer(address, encodeRelayMessage(report), {});
    }
}

// Where requests cost the same, their number is the better measure of what is left to do.
relay_target::work_figures relay_target::workFigures(instant now, double slotCount) const
{
    if (!m_estimator.isLearned(now))
        return {};
    constexpr double thousand = 1000;
    const auto meanMs = std::max(m_estimator.meanMs(now), 1.0);
    const auto left = m_estimator.isUneven(now) ? m_work.read(now) : m_load.read(now) * meanMs;
    const auto penalty = static_cast<double>(m_failures.penalty(now)) * meanMs / thousand;
    return {.remainingUs = static_cast<std::uint64_t>((left / slotCount + penalty) * thousand),
        .meanUs = static_cast<std::uint64_t>(meanMs * thousand)};
}

// Entries take a member without flows whose target is gone as one that holds none.
std::size_t relay_target::reportedFlowCount(instant now) const
{
    const bool isCertain = isFlowTableComplete(now) || isTargetAbsent(now);
    return std::max<std::size_t>(heldFlowCount(), isCertain ? 0 : 1);
}

void relay_target::startLeaving(instant now)
{
    m_leaving = true;
    sendStopNotice(now);
    sendFlowTable(now);
}

// An entry that hears no notice takes the process for gone after a few seconds of silence.
void relay_target::sendStopNotice(instant now)
{
    if (m_stopNotices >= maxStopNotices)
        return;
    ++m_stopNotices;
    sendReports(now, true);
}

} // namespace toucan
