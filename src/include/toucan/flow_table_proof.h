#pragma once

/// Evidence that the flow table which an earlier start of a target process left still has all flows
/// of the target.

#include <map>
#include <optional>
#include <set>
#include <span>
#include <toucan/generated/relay.h>
#include <vector>

namespace toucan {

/// Collects the statements of entries on the starts of one process. A table has all flows up to the
/// end of the start that sent it; what later starts opened is missing in it. So it proves that a
/// flow is not held only if each entry that keeps it, and each other one that could be asked, knows
/// of no such start, or that start has stated that it accepted no opening. Not thread-safe.
class flow_table_proof
{
public:
    /// Sets the table by its first page.
    void setTable(const flow_table_page &firstPage);
    /// Takes an entry's statement. It adds to earlier ones: an entry forgets starts after a time,
    /// or all of them when it is started again.
    void add(instant now, const endpoint &entry, const flow_table_statement &statement);
    /// Keepers of the table and other entries in `expected` that have made no statement.
    std::vector<endpoint> missing(std::span<const endpoint> expected) const;
    /// A start after the one that sent the table, or any one without a table, that may have opened
    /// flows.
    std::optional<std::uint64_t> startBetween() const;
    /// True when the statements of an entry name all starts that it heard of since `time`.
    bool isCovered(const endpoint &entry, instant time) const;
    /// The same for any entry that has made a statement.
    bool isCovered(instant time) const;
    /// Number of entries that have made a statement.
    std::size_t statements() const { return m_statements.size(); }

private:
    /// A start as one entry has heard it, by the clock of this process.
    struct start
    {
        std::uint64_t boot = 0;
        instant firstHeard{};
        instant lastHeard{};
    };

    struct entry_statement
    {
        instant coveredSince = instant::max();
        std::vector<start> starts;
    };

    bool mayFollowTable(std::span<const start> heard, const start &item) const;

    std::uint64_t m_table = 0; ///< Start that sent the table; 0 when there is none.
    std::vector<endpoint> m_keepers;
    std::set<std::uint64_t> m_included; ///< Starts whose flows are in the table.
    std::map<endpoint, entry_statement> m_statements; ///< By entry.
    std::set<std::uint64_t> m_unused; ///< Starts that accepted no opening.
};

} // namespace toucan
