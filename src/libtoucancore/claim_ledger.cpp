#include <algorithm>
#include <toucan/claim_ledger.h>
#include <toucan/ranking.h>

namespace toucan {
namespace {

// Claimer of a key for which two claimers were imported. No member can have this name.
constexpr std::string_view contestedClaimer = "*";

} // namespace

std::size_t bytes_hash::operator()(const byte_buffer &bytes) const noexcept
{
    return hashBytes(bytes);
}

claim_ledger::claim_ledger(const ledger_options &options)
    : m_options(options)
{ }

claim_ledger::claim *claim_ledger::findOrCreate(instant now, const byte_buffer &key)
{
    const auto found = m_claims.find(key);
    if (found != m_claims.end()) {
        touch(now, found->first, found->second);
        return &found->second;
    }
    if (m_claims.size() >= m_options.capacity)
        return nullptr;
    m_recordingOrder.push_back({now, key});
    claim &created = m_claims[key];
    created.recorded = now;
    return &created;
}

void claim_ledger::touch(instant now, const byte_buffer &key, claim &entry)
{
    constexpr std::chrono::seconds granularity{1};
    if (now - entry.recorded < granularity)
        return;
    entry.recorded = now;
    m_recordingOrder.push_back({now, key});
}

claim_ledger::verdict claim_ledger::apply(instant now, const claim_request &request)
{
    claim *entry = findOrCreate(now, request.key);
    if (!entry)
        return {.kind = claim_verdict::abstained};
    switch (static_cast<claim_operation>(request.operation)) {
    case claim_operation::claim:
        return applyClaim(*entry, request);
    case claim_operation::void_attempt:
        return applyVoid(*entry, request);
    case claim_operation::settle:
        return applySettle(*entry, request);
    case claim_operation::release:
        return applyRelease(*entry, request);
    }
    return {.kind = claim_verdict::abstained};
}

claim_ledger::verdict claim_ledger::applyClaim(claim &entry, const claim_request &request)
{
    if (!entry.answer.empty())
        return {.kind = claim_verdict::answered, .answer = entry.answer};
    // A claim of another claimer has precedence over a voided attempt: its request may be running,
    // and "voided" would report that it is not.
    const bool own = entry.claimer == request.claimer && entry.boot == request.boot;
    if (!entry.claimer.empty() && !own)
        return {.kind = claim_verdict::held, .other = entry.claimer, .otherBoot = entry.boot};
    if (request.attempt < entry.voidedAttempts)
        return {.kind = claim_verdict::voided};
    entry.claimer = request.claimer;
    entry.boot = request.boot;
    entry.imported = false;
    entry.round = std::max(own ? entry.round : 0, request.round);
    return {.kind = claim_verdict::granted};
}

claim_ledger::verdict claim_ledger::applyVoid(claim &entry, const claim_request &request)
{
    if (!entry.answer.empty())
        return {.kind = claim_verdict::answered, .answer = entry.answer};
    const bool own = entry.claimer == request.claimer && entry.boot == request.boot;
    if (!entry.claimer.empty() && !own)
        return {.kind = claim_verdict::held, .other = entry.claimer, .otherBoot = entry.boot};
    // A late datagram of an earlier round: the claimer has claimed again since.
    if (!entry.claimer.empty() && request.round < entry.round)
        return {.kind = claim_verdict::stale};
    entry.claimer.clear();
    entry.boot = 0;
    entry.imported = false;
    entry.voidedAttempts = std::max(entry.voidedAttempts, request.attempt + 1);
    return {.kind = claim_verdict::granted};
}

claim_ledger::verdict claim_ledger::applySettle(claim &entry, const claim_request &request)
{
    if (entry.answer.empty()) {
        entry.claimer = request.claimer;
        entry.boot = request.boot;
        entry.answer = request.answer;
    }
    return {.kind = claim_verdict::granted};
}

claim_ledger::verdict claim_ledger::applyRelease(claim &entry, const claim_request &request)
{
    if (entry.claimer == request.claimer && entry.boot == request.boot && !entry.imported
        && entry.answer.empty() && request.round >= entry.round)
        entry.claimer.clear();
    return {.kind = claim_verdict::granted};
}

void claim_ledger::importClaimer(claim &entry, const ledger_claim &source)
{
    if (source.claimer.empty())
        return;
    if (entry.claimer.empty()) {
        entry.claimer = source.claimer;
        entry.boot = source.boot;
        entry.round = source.round;
        entry.imported = true;
        return;
    }
    if (entry.claimer == source.claimer && entry.boot == source.boot) {
        entry.round = std::max(entry.round, source.round);
        return;
    }
    // Two claimers: which of them has the majority is unknown here, so neither is granted the
    // claim.
    entry.claimer = contestedClaimer;
    entry.boot = 0;
    entry.imported = true;
}

bool claim_ledger::import(instant now, std::span<const ledger_claim> claims)
{
    return std::ranges::all_of(claims, [&](const ledger_claim &source) {
        const bool known = m_claims.contains(source.key);
        const auto age
            = std::chrono::milliseconds(std::min<std::uint64_t>(source.ageMs, 1'000'000'000));
        claim *entry = findOrCreate(now - (known ? instant{} : instant(age)), source.key);
        if (!entry)
            return false;
        entry->voidedAttempts = std::max(entry->voidedAttempts, source.voidedAttempts);
        if (entry->answer.empty())
            entry->answer = source.answer;
        importClaimer(*entry, source);
        return true;
    });
}

std::vector<ledger_claim> claim_ledger::part(instant now, std::uint64_t cursor, std::size_t limit,
    const key_filter &isWanted, std::uint64_t &next) const
{
    std::vector<ledger_claim> claims;
    const auto start = std::max(cursor, m_firstPosition);
    const auto end = m_firstPosition + m_recordingOrder.size();
    auto position = start;
    for (; position < end && claims.size() < limit; ++position) {
        const auto &key = m_recordingOrder[position - m_firstPosition].key;
        const auto found = m_claims.find(key);
        if (found == m_claims.end()
            || found->second.recorded != m_recordingOrder[position - m_firstPosition].recorded
            || !isWanted(key))
            continue;
        const claim &entry = found->second;
        const auto age
            = std::chrono::duration_cast<std::chrono::milliseconds>(now - entry.recorded);
        claims.push_back({.key = key,
            .claimer = entry.claimer,
            .boot = entry.boot,
            .voidedAttempts = entry.voidedAttempts,
            .answer = entry.answer,
            .ageMs = static_cast<std::uint64_t>(std::max<std::int64_t>(age.count(), 0)),
            .round = entry.round});
    }
    next = position < end ? position : 0;
    return claims;
}

void claim_ledger::expire(instant now)
{
    while (!m_recordingOrder.empty()
        && now - m_recordingOrder.front().recorded > m_options.retention) {
        const auto found = m_claims.find(m_recordingOrder.front().key);
        if (found != m_claims.end() && found->second.recorded == m_recordingOrder.front().recorded)
            m_claims.erase(found);
        m_recordingOrder.pop_front();
        ++m_firstPosition;
    }
}

} // namespace toucan
