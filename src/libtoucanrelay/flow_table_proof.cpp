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

void flow_table_proof::add(const endpoint &entry, const flow_table_statement &statement)
{
    for (const auto &item : statement.starts) {
        if (item.unused)
            m_unused.insert(item.boot);
    }
    m_starts[entry] = statement.starts;
}

std::vector<endpoint> flow_table_proof::missing(std::span<const endpoint> expected) const
{
    std::set<endpoint> entries(m_keepers.begin(), m_keepers.end());
    entries.insert(expected.begin(), expected.end());
    std::erase_if(entries, [&](const endpoint &entry) { return m_starts.contains(entry); });
    return {entries.begin(), entries.end()};
}

// Messages may be read late, so a start precedes the table's only if it was both first and last
// heard before.
bool flow_table_proof::mayFollowTable(
    std::span<const heard_start> heard, const heard_start &item) const
{
    if (m_included.contains(item.boot) || m_unused.contains(item.boot))
        return false;
    const auto sender = std::ranges::find(heard, m_table, &heard_start::boot);
    const bool precedes = sender != heard.end() && item.firstHeardMs > sender->firstHeardMs
        && item.lastHeardMs > sender->lastHeardMs;
    return !precedes;
}

std::optional<std::uint64_t> flow_table_proof::startBetween() const
{
    for (const auto &[entry, heard] : m_starts) {
        const auto found = std::ranges::find_if(
            heard, [&](const heard_start &item) { return mayFollowTable(heard, item); });
        if (found != heard.end())
            return found->boot;
    }
    return std::nullopt;
}

} // namespace toucan
