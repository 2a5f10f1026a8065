// relay_target: the flow table that outlasts a planned restart of the process. Entries keep it
// meanwhile, as VMs have no persistent storage.

#include <algorithm>
#include <toucan/flow_table_keeper.h>
#include <toucan/ranking.h>
#include <toucan/relay_target.h>

namespace toucan {
namespace {

using namespace std::chrono_literals;

// Entries that keep the table, and times that it is sent: a datagram or an entry may be lost.
constexpr std::size_t maxKeepers = 3;
constexpr std::size_t maxTableSends = 3;
// Entries asked for the table. Those known at the start may not include all that keep it.
constexpr std::size_t maxKeepersAsked = 12;
// Time for which the statements of silent keepers are awaited: a request or reply may be lost.
constexpr auto statementTimeout = 250ms;
// Time from the start of a target to its second report: a report without a reply ends after 1 s.
constexpr int maxIntervalsToSecondReport = 3;
// Earlier starts named in a table.
constexpr std::size_t maxEarlierStarts = 8;
// Entries return tables for this time after a start. Interval between the first requests, which
// doubles.
constexpr auto recoveryTime = flow_table_keeper::retention;
constexpr auto firstRequestInterval = 100ms;
// A page fits a datagram.
constexpr std::size_t maxFlowsPerPage = 32;

std::string outcomeOf(const std::optional<std::uint64_t> &between)
{
    return between ? "not used: start " + std::to_string(*between) + " came after it" : "confirmed";
}

} // namespace

// Entries of a failure domain, or of all others when `domain` is empty, in an order that is the
// same after a restart.
std::vector<endpoint> relay_target::entriesByRank(
    instant now, std::string_view domain, bool alive) const
{
    constexpr auto silenceLimit = 5s;
    std::vector<endpoint> entries;
    for (const auto &[address, entry] : m_entries) {
        const bool isIncluded
            = domain.empty() ? entry.domain != m_options.domain : entry.domain == domain;
        if (isIncluded && (!alive || now - entry.lastSeen < silenceLimit))
            entries.push_back(address);
    }
    const auto hash = hashText(m_options.name);
    std::ranges::sort(entries, std::greater<>(),
        [&](const endpoint &address) { return rankWeight(hash, hashText(toString(address))); });
    return entries;
}

std::vector<flow_table_page> relay_target::makeFlowTable(instant now) const
{
    const auto &latest = m_liveness.latest();
    flow_table_page page{.member = m_options.name,
        .boot = m_options.boot,
        .complete = isFlowTableComplete(now),
        .observedMs = static_cast<std::uint64_t>(
            std::chrono::duration_cast<std::chrono::milliseconds>(now - observedSince()).count()),
        .target = latest ? latest->id : std::string(),
        .service = service(),
        .startedMs = latest ? latest->startedMs : 0,
        .sequence = latest ? latest->sequence : 0,
        .slots = slots(),
        .draining = latest && latest->draining};
    std::vector<flow_table_page> pages(1, page);
    for (const auto &[key, item] : m_flows) {
        const bool isProbe = item.state == flow_state::probing && !item.mayHaveOpened;
        if (isProbe || (item.callerFinished && item.targetFinished))
            continue;
        if (pages.back().flows.size() == maxFlowsPerPage)
            pages.push_back(page);
        pages.back().flows.push_back({.caller = key.caller,
            .service = key.service,
            .acknowledged = item.callerAcknowledged,
            .open = item.state == flow_state::open,
            .answered = item.targetSequence.has_value(),
            .sequence = item.targetSequence.value_or(0),
            .precedesReport = latest && item.openedAt < m_liveness.lastSeen(),
            .callerFinished = item.callerFinished,
            .targetFinished = item.targetFinished});
    }
    if (m_isTableConfirmed) {
        auto &earlier = pages.front().earlier;
        earlier = m_restoredPage->earlier;
        earlier.push_back(m_restoredPage->boot);
        earlier.erase(earlier.begin(),
            earlier.end()
                - static_cast<std::ptrdiff_t>(std::min(earlier.size(), maxEarlierStarts)));
    }
    for (std::size_t number = 0; number < pages.size(); ++number) {
        pages[number].page = number;
        pages[number].pages = pages.size();
    }
    return pages;
}

// A process that leaves accepts no more openings, so that no flow is missing in the table. Those on
// their way may still open until it ends.
void relay_target::sendFlowTable(instant now)
{
    if (m_flowTableSends >= maxTableSends)
        return;
    if (m_flowTableSends++ == 0)
        prepareFlowTable(now);
    if (m_statesUnused) {
        const auto statement
            = encodeRelayMessage(unused_start{.member = m_options.name, .boot = m_options.boot});
        for (const auto &entry : entriesToAsk(now))
            m_port.sendPeer(entry, statement, {});
    }
    // The flows of a target that has ended are reset by its next lifetime or its closed port.
    if (m_targetRefused || (m_liveness.latest() && m_liveness.latest()->leaving))
        return;
    for (const auto &keeper : m_flowTableKeepers) {
        for (const auto &page : m_flowTable)
            m_port.sendPeer(keeper, page, {});
    }
}

void relay_target::prepareFlowTable(instant now)
{
    m_statesUnused = isUnused(now);
    // The entries keep the complete table that this start got.
    const bool isKept = m_restoredPage && m_restoredPage->complete;
    if (m_statesUnused && (isKept || heldFlowCount() == 0)) {
        m_log.write(now,
            flow_table_passed{.member = m_options.name,
                .outcome = "none sent: no opening was accepted",
                .boot = m_options.boot,
                .copies = entriesToAsk(now).size()});
        return;
    }
    m_flowTableKeepers = entriesByRank(now, m_options.domain, true);
    const auto others = entriesByRank(now, {}, false);
    m_flowTableKeepers.insert(m_flowTableKeepers.end(), others.begin(), others.end());
    m_flowTableKeepers.resize(std::min(m_flowTableKeepers.size(), maxKeepers));
    auto pages = makeFlowTable(now);
    pages.front().keepers = m_flowTableKeepers;
    std::ranges::for_each(pages, [&](auto &page) { page.unused = m_statesUnused; });
    std::ranges::transform(pages, std::back_inserter(m_flowTable),
        [](const auto &page) { return encodeRelayMessage(page); });
    m_log.write(now,
        flow_table_passed{.member = m_options.name,
            .outcome = m_statesUnused ? "sent: no opening was accepted" : "sent",
            .boot = m_options.boot,
            .flows = heldFlowCount(),
            .complete = pages.front().complete,
            .copies = m_flowTableKeepers.size()});
}

// True while this start has added nothing to the table that an earlier one may have left and that
// was not returned, or not confirmed, yet.
bool relay_target::isUnused(instant now) const
{
    return m_acceptedOpenings == 0 && !m_recoveryEnded && !isFlowTableComplete(now);
}

// Those of the own failure domain first, and all that keep the table that was returned.
std::vector<endpoint> relay_target::entriesToAsk(instant now) const
{
    auto entries = entriesByRank(now, m_options.domain, false);
    const auto others = entriesByRank(now, {}, false);
    entries.insert(entries.end(), others.begin(), others.end());
    entries.resize(std::min(entries.size(), maxKeepersAsked));
    if (m_restoredPage)
        std::ranges::copy_if(
            m_restoredPage->keepers, std::back_inserter(entries), [&](const endpoint &keeper) {
                return std::ranges::find(entries, keeper) == entries.end();
            });
    return entries;
}

// Entries that run, as far as is known: their statements are worth waiting for.
std::vector<endpoint> relay_target::heardEntriesToAsk(instant now) const
{
    auto entries = entriesToAsk(now);
    std::erase_if(entries, [&](const endpoint &entry) {
        const auto found = m_entries.find(entry);
        return found == m_entries.end() || found->second.boot == 0;
    });
    return entries;
}

void relay_target::requestFlowTable(instant now)
{
    judgeRestoredTable(now);
    if (m_recoveryEnded || m_leaving || now < m_nextTableRequest)
        return;
    judgeEarlierStarts(now);
    m_nextTableRequest = now + std::max<instant>(firstRequestInterval, now - m_started);
    if (now - m_started > recoveryTime) {
        endRecovery(now, m_restoredPage ? "statements are missing" : "not restored");
        return;
    }
    const auto request
        = encodeRelayMessage(flow_table_request{.member = m_options.name, .boot = m_options.boot});
    for (const auto &entry : entriesToAsk(now))
        m_port.sendPeer(entry, request, {});
}

void relay_target::endRecovery(instant now, std::string_view outcome)
{
    m_recoveryEnded = true;
    m_returnedPages.clear();
    m_log.write(now,
        flow_table_passed{.member = m_options.name,
            .outcome = std::string(outcome),
            .boot = m_restoredPage ? m_restoredPage->boot : 0,
            .complete = isFlowTableComplete(now),
            .copies = m_tableProof.statements()});
}

// For entries that have just become known.
void relay_target::requestFlowTableAtOnce(instant now)
{
    m_nextTableRequest = now;
    requestFlowTable(now);
}

void relay_target::handle(instant, const endpoint &, const flow_table_request &)
{
    m_malformed.add();
}

void relay_target::handle(instant, const endpoint &, const unused_start &)
{
    m_malformed.add();
}

void relay_target::handle(instant now, const endpoint &from, const flow_table_statement &message)
{
    if (message.member != m_options.name || message.boot != m_options.boot)
        return;
    m_tableProof.add(now, from, message);
    judgeRestoredTable(now);
    judgeEarlierStarts(now);
    const auto between = m_tableProof.startBetween();
    if (m_recoveryEnded && between && std::exchange(m_isTableConfirmed, false))
        endRecovery(now, outcomeOf(between));
}

void relay_target::handle(instant now, const endpoint &, const flow_table_page &message)
{
    const bool isRestored = m_restoredPage && (m_restoredPage->complete || !message.complete);
    if (m_recoveryEnded || isRestored || message.member != m_options.name
        || message.boot == m_options.boot)
        return;
    if (!m_returnedPages.empty() && m_returnedPages.begin()->second.boot != message.boot)
        m_returnedPages.clear();
    m_returnedPages.try_emplace(message.page, message);
    if (m_returnedPages.size() == message.pages)
        restoreFlowTable(now);
}

void relay_target::restoreFlowTable(instant now)
{
    const auto pages = std::exchange(m_returnedPages, {});
    const auto &first = pages.begin()->second;
    const target_liveness before{.id = first.target,
        .service = first.service,
        .startedMs = first.startedMs,
        .sequence = first.sequence,
        .slots = first.slots,
        .draining = first.draining};
    const auto &latest = m_liveness.latest();
    const bool isSucceeded = latest && latest->startedMs > before.startedMs;
    // The only report so far may be a late one of an earlier lifetime.
    const bool isNewest = !latest || latest->startedMs < before.startedMs;
    if (isNewest && !before.id.empty())
        m_liveness.restore(m_started, before);
    for (const auto &[number, page] : pages) {
        for (const auto &record : page.flows)
            restoreFlow(now, record);
    }
    m_flowTableComplete = m_flowTableComplete && !isNewest;
    if (isSucceeded)
        endLifetime(now, m_started, "the target started anew");
    m_log.write(now,
        flow_table_passed{.member = m_options.name,
            .outcome = "restored",
            .boot = first.boot,
            .flows = heldFlowCount(),
            .complete = first.complete,
            .ageMs = static_cast<std::uint64_t>(
                std::chrono::duration_cast<std::chrono::milliseconds>(now - m_started).count())});
    m_restoredPage = first;
    m_restoredAt = now;
    m_isTableConfirmed = false;
    m_tableProof.setTable(first);
    judgeRestoredTable(now);
}

// The table is proof only up to the end of the start that sent it; entries state what starts came
// since. A silent one is waited for briefly only, as it may have stopped.
void relay_target::judgeRestoredTable(instant now)
{
    if (!m_restoredPage || m_recoveryEnded)
        return;
    const bool isComplete = m_tableProof.missing(heardEntriesToAsk(now)).empty();
    if (!isComplete && now - m_restoredAt < statementTimeout)
        return;
    const auto between = m_tableProof.startBetween();
    m_isTableConfirmed = !between;
    // A complete table may still be on its way.
    const bool isAwaited = !m_restoredPage->complete && now - m_restoredAt < statementTimeout;
    if (isComplete && !isAwaited)
        endRecovery(now, outcomeOf(between));
}

// A start that passed openings to the target had reported to the entries of its failure domain.
// Those that were listening by then name it in their statements.
void relay_target::judgeEarlierStarts(instant now)
{
    if (m_restoredPage || now - m_started < statementTimeout) {
        m_isOnlyStart = false;
        return;
    }
    const auto targetStart = m_started - m_options.reportInterval * maxIntervalsToSecondReport;
    const auto homeEntries = entriesByRank(now, m_options.domain, false);
    const bool isHomeCovered = std::ranges::any_of(homeEntries,
        [&](const endpoint &entry) { return m_tableProof.isCovered(entry, targetStart); });
    // After a loss of power everywhere no entry was listening, and the targets are new as well.
    const bool haveAllStarted
        = m_tableProof.statements() > 0 && !m_tableProof.isCovered(targetStart);
    const bool isCovered = isHomeCovered || haveAllStarted;
    const auto earlier = m_tableProof.startBetween();
    const bool isOnlyStart = isCovered && !earlier;
    if (std::exchange(m_isOnlyStart, isOnlyStart) == isOnlyStart)
        return;
    m_log.write(now,
        earlier_starts_judged{.member = m_options.name,
            .outcome = isOnlyStart ? "none is known" : "an entry has heard of one",
            .boot = earlier.value_or(0),
            .statements = m_tableProof.statements()});
}

void relay_target::restoreFlow(instant now, const tracked_flow &record)
{
    const flow_key key{.caller = record.caller, .service = record.service};
    const auto [found, isNew] = m_flows.try_emplace(key);
    auto &item = found->second;
    if (!isNew && item.state != flow_state::probing)
        return;
    // Flows opened after the target's newest report may belong to its next lifetime.
    item.openedAt = record.precedesReport ? m_started - 1ms : m_started;
    item.lastPacketAt = now;
    item.callerAcknowledged
        = std::max(item.callerAcknowledged, static_cast<std::uint32_t>(record.acknowledged));
    item.callerFinished = item.callerFinished || record.callerFinished;
    item.targetFinished = record.targetFinished;
    if (record.answered)
        item.targetSequence = static_cast<std::uint32_t>(record.sequence);
    item.state = record.open ? flow_state::open : flow_state::offered;
    item.mayHaveOpened = !record.open;
    if (record.open && item.entry)
        notifyEntry(key, item);
}

} // namespace toucan
