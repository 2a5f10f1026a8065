#include <algorithm>
#include <toucan/flow_table_proof.h>

namespace toucan {

void flow_table_proof::setTable(const flow_table_page &firstPage)
{
    m_table = firstPage.boot;
    m_keepers = firstPage.keepers;
    m_included = {firstPage.earlier.begin(), firstPage.earlier.end()};
    m_included.insert(m_table);
}

void flow_table_proof::add(
    instant now, const endpoint &entry, const flow_table_statement &statement)
{
    auto &[coveredSince, heard] = m_statements[entry];
    coveredSince
        = std::min<instant>(coveredSince, now - std::chrono::milliseconds(statement.coversMs));
    for (const auto &item : statement.starts) {
        if (item.unused)
            m_unused.insert(item.boot);
        const auto lastHeard = now - std::chrono::milliseconds(item.lastHeardMs);
        const auto known = std::ranges::find(heard, item.boot, &start::boot);
        if (known != heard.end())
            known->lastHeard = std::max<instant>(known->lastHeard, lastHeard);
        else
            heard.push_back({.boot = item.boot,
                .firstHeard = now - std::chrono::milliseconds(item.firstHeardMs),
                .lastHeard = lastHeard});
    }
}

std::vector<endpoint> flow_table_proof::missing(std::span<const endpoint> expected) const
{
    std::set<endpoint> entries(m_keepers.begin(), m_keepers.end());
    entries.insert(expected.begin(), expected.end());
    std::erase_if(entries, [&](const endpoint &entry) { return m_statements.contains(entry); });
    return {entries.begin(), entries.end()};
}

// Messages may be read late, so a start precedes the table's only if it was both first and last
// heard before.
bool flow_table_proof::mayFollowTable(std::span<const start> heard, const start &item) const
{
    if (m_included.contains(item.boot) || m_unused.contains(item.boot))
        return false;
    const auto sender = std::ranges::find(heard, m_table, &start::boot);
    const bool precedes = sender != heard.end() && item.firstHeard < sender->firstHeard
        && item.lastHeard < sender->lastHeard;
    return !precedes;
}

bool flow_table_proof::isCovered(const endpoint &entry, instant time) const
{
    const auto found = m_statements.find(entry);
    return found != m_statements.end() && found->second.coveredSince <= time;
}

bool flow_table_proof::isCovered(instant time) const
{
    return std::ranges::any_of(
        m_statements, [&](const auto &item) { return item.second.coveredSince <= time; });
}

std::optional<std::uint64_t> flow_table_proof::startBetween() const
{
    for (const auto &statement : m_statements) {
        const auto &heard = statement.second.starts;
        const auto found = std::ranges::find_if(
            heard, [&](const start &item) { return mayFollowTable(heard, item); });
        if (found != heard.end())
            return found->boot;
    }
    return std::nullopt;
}

} // namespace toucan
