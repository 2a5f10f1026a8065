#pragma once

/// Flow tables of target processes that stopped as planned, which an entry keeps until the next
/// starts of the processes request them.

#include <map>
#include <optional>
#include <set>
#include <toucan/relay_members.h>
#include <toucan/segment.h>
#include <unordered_map>
#include <vector>

namespace toucan {

/// Tables kept by one entry. Not thread-safe.
class flow_table_keeper
{
public:
    /// Time for which a table is kept.
    static constexpr std::chrono::milliseconds retention = member_table::plannedStopTime;
    /// Processes whose tables are kept at once.
    static constexpr std::size_t maxTables = 128;
    /// Pages of one table.
    static constexpr std::size_t maxPages = 128;

    /// A table without its flows, for the log.
    struct summary
    {
        std::string member;
        std::uint64_t boot = 0;
        std::size_t flows = 0;
        bool complete = false;
        std::chrono::milliseconds age{};
    };

    /// Stores a page; returns the table when this was its last missing page.
    std::optional<summary> keep(instant now, const endpoint &from, const flow_table_page &page);
    /// Records that the process at `from` ran as start `boot` at `seenAt`. A table is of no use
    /// once a start that may have opened flows has followed the next one; it is dropped and
    /// returned.
    std::optional<summary> recordStart(
        instant now, const endpoint &from, std::uint64_t boot, instant seenAt);
    /// Records the statement of start `boot` that it has accepted no opening: it takes no table out
    /// of use.
    void recordUnused(const endpoint &from, std::uint64_t boot);
    /// The pages of the last start before `request.boot` that may have accepted openings; empty
    /// unless all are there. `knownBoot`:
    /// newest start of the process that this entry knows of, 0 when none.
    std::vector<flow_table_page> pagesFor(instant now, const endpoint &from,
        const flow_table_request &request, std::uint64_t knownBoot) const;
    /// The stopped process whose target holds the flow, or an empty endpoint.
    endpoint ownerOf(instant now, const flow_key &flow) const;
    /// Drops the tables that are older than `retention`.
    void sweep(instant now);
    std::size_t size() const { return m_tables.size(); }

private:
    struct table
    {
        std::string member;
        std::uint64_t boot = 0;
        std::uint64_t previousBoot = 0; ///< The start whose table this one replaced.
        std::uint64_t nextBoot = 0; ///< The start after `boot`; 0 while the process is stopped.
        std::set<std::uint64_t> unused; ///< Later starts that accepted no opening.
        instant keptAt{};
        std::size_t pageCount = 0;
        std::map<std::uint64_t, flow_table_page> pages;
        std::unordered_map<flow_key, bool> flows; ///< True when open.

        bool isWhole() const { return pages.size() == pageCount; }
    };

    static summary summaryOf(instant now, const table &item);

    std::map<endpoint, table> m_tables;
};

} // namespace toucan
