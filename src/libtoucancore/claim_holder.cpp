#include <algorithm>
#include <toucan/claim_holder.h>
#include <toucan/ranking.h>

namespace toucan {
namespace {

constexpr std::chrono::milliseconds pullInterval{50};
// Time after which the remaining sources are asked less often.
constexpr std::chrono::seconds fastPullTime{2};
constexpr std::chrono::milliseconds slowPullInterval{1000};
// Time after which a source that has not sent all its claims may count as missing.
constexpr std::chrono::milliseconds sourceTimeout{600};
// Time after which members that left the list are no longer asked.
constexpr std::chrono::seconds delistedTimeout{2};
constexpr std::size_t maxClaimsPerPart = 64;
// Several parts are sent per request, which saves a round trip for each.
constexpr std::size_t maxPartsPerPull = 8;

} // namespace

claim_holder::claim_holder(target_context &context, const ledger_options &options)
    : m_context(context)
    , m_options(options)
    , m_ledger(options)
{ }

claim_reply claim_holder::apply(const claim_request &request)
{
    claim_reply reply{.operation = request.operation,
        .key = request.key,
        .round = request.round,
        .holder = m_context.self.name,
        .version = m_context.version()};
    const auto set
        = [&](claim_verdict verdict) { reply.verdict = static_cast<std::uint64_t>(verdict); };
    const bool settles = request.operation == static_cast<std::uint64_t>(claim_operation::settle);
    const auto *self = m_context.selfMember();
    if (!settles && (!self || !self->isListed() || !m_ready)) {
        set(claim_verdict::abstained);
        return reply;
    }
    if (!settles && request.listHash != m_listHash) {
        set(request.version < m_context.version() ? claim_verdict::stale
                                                  : claim_verdict::abstained);
        return reply;
    }
    const auto verdict = m_ledger.apply(m_context.now, request);
    set(verdict.kind);
    reply.other = verdict.other;
    reply.otherBoot = verdict.otherBoot;
    reply.answer.assign(verdict.answer.begin(), verdict.answer.end());
    return reply;
}

void claim_holder::restartSync()
{
    m_ready = false;
    ++m_round;
    m_roundStarted = m_context.now;
    for (auto &[name, item] : m_sources) {
        item.cursor = 0;
        item.outOfOrderParts.clear();
        item.done = false;
        item.complete = false;
    }
    m_lastPull = {};
    onTick();
}

void claim_holder::onConfig()
{
    const auto *service = m_context.service();
    if (!service || !m_context.selfMember())
        return;
    // Members that left the list are asked too until the synchronization is complete.
    if (m_ready) {
        std::erase_if(m_sources, [&](const auto &item) {
            const auto *found = service->find(item.first);
            return !found || (!found->isListed() && service->listHash == m_listHash);
        });
    }
    for (const auto &item : service->members) {
        const bool known = m_sources.contains(item.name);
        if (item.name == m_context.self.name || (!item.isListed() && !known))
            continue;
        source &entry = m_sources[item.name];
        entry.address = item.data;
        entry.domain = item.domain;
        entry.listed = item.isListed();
    }
    if (service->listHash == m_listHash && m_round != 0)
        return;
    m_listHash = service->listHash;
    restartSync();
}

bool claim_holder::isLedgerComplete() const
{
    const auto *self = m_context.selfMember();
    return m_hasSynced || (self && self->firstBoot)
        || m_context.now - m_context.started > m_options.retention;
}

void claim_holder::onPull(const endpoint &from, const ledger_pull &message)
{
    // Claims that are granted here under an older list after this reply would be missing at the
    // requesting member.
    if (message.version > m_context.version())
        return;
    // Under the same list only the keys that the requesting member holds are needed.
    const auto *service = m_context.service();
    const bool sameList = service && message.listHash == m_listHash;
    const auto isWanted = [&](const byte_buffer &key) {
        if (!sameList)
            return true;
        const auto holders = claimHolders(key, service->members);
        return std::ranges::find(holders, message.member, &member::name) != holders.end();
    };
    auto cursor = message.cursor;
    for (std::size_t i = 0; i < maxPartsPerPull; ++i) {
        ledger_part part{.member = m_context.self.name,
            .round = message.round,
            .version = m_context.version(),
            .complete = isLedgerComplete(),
            .cursor = cursor};
        part.claims = m_ledger.part(m_context.now, cursor, maxClaimsPerPart, isWanted, part.next);
        m_context.send(from, part);
        cursor = part.next;
        if (cursor == 0)
            return;
    }
}

void claim_holder::onPart(const endpoint &from, const ledger_part &message)
{
    const auto found = m_sources.find(message.member);
    if (found == m_sources.end() || message.round != m_round || found->second.done
        || message.cursor < found->second.cursor || from != found->second.address)
        return;
    source &item = found->second;
    if (!m_ledger.import(m_context.now, message.claims))
        return;
    item.outOfOrderParts[message.cursor] = message.next;
    ++item.parts;
    for (auto next = item.outOfOrderParts.find(item.cursor); next != item.outOfOrderParts.end();
         next = item.outOfOrderParts.find(item.cursor)) {
        item.cursor = next->second;
        item.outOfOrderParts.erase(next);
        if (item.cursor == 0) {
            item.done = true;
            item.complete = message.complete;
            finishIfPossible();
            return;
        }
    }
    if (item.outOfOrderParts.empty() && item.parts >= maxPartsPerPull)
        pull(item);
}

bool claim_holder::areMissingClaimsTolerable() const
{
    std::set<std::string_view> missingDomains;
    std::size_t missing = 0;
    std::set<std::string_view> domains{m_context.self.domain};
    const auto addMissing = [&](std::string_view domain) {
        missingDomains.insert(domain);
        ++missing;
    };
    if (!isLedgerComplete())
        addMissing(m_context.self.domain);
    for (const auto &[name, item] : m_sources) {
        domains.insert(item.domain);
        if (!item.done || !item.complete)
            addMissing(item.domain);
    }
    // A single holder has no second copy of its claims.
    const std::size_t tolerated = m_sources.empty() ? 0 : 1;
    return domains.size() >= holderCount ? missingDomains.size() <= 1 : missing <= tolerated;
}

void claim_holder::finishIfPossible()
{
    const bool allDone = std::ranges::all_of(m_sources, [&](const auto &item) {
        const bool isSilent
            = m_context.peers.contains(item.first) && !m_context.isAlive(item.first);
        return item.second.done || isSilent;
    });
    const bool waited = m_context.now - m_roundStarted > sourceTimeout;
    const bool aged = m_context.now - m_roundStarted > m_options.retention;
    if (m_ready || !((allDone || waited) && (areMissingClaimsTolerable() || aged)))
        return;
    m_ready = true;
    m_hasSynced = true;
}

void claim_holder::pull(source &from)
{
    from.parts = 0;
    m_context.send(from.address,
        ledger_pull{.member = m_context.self.name,
            .boot = m_context.self.boot,
            .round = m_round,
            .version = m_context.version(),
            .cursor = from.cursor,
            .listHash = m_listHash});
}

void claim_holder::onTick()
{
    m_ledger.expire(m_context.now);
    if (m_round == 0 || m_ready)
        return;
    finishIfPossible();
    const auto interval
        = m_context.now - m_roundStarted < fastPullTime ? pullInterval : slowPullInterval;
    if (m_ready || (m_lastPull != instant{} && m_context.now - m_lastPull < interval))
        return;
    m_lastPull = m_context.now;
    for (auto &[name, item] : m_sources) {
        if (!item.done && (item.listed || m_context.now - m_roundStarted < delistedTimeout))
            pull(item);
    }
}

} // namespace toucan
