#pragma once

/// Starts of target processes that an entry has heard of in reports, digests and requests.

#include <span>
#include <toucan/relay_members.h>
#include <unordered_map>
#include <vector>

namespace toucan {

/// Starts heard by one entry, by address of the process. Not thread-safe.
class start_history
{
public:
    /// Time for which a start is kept after it was last heard; flow tables are kept for as long.
    static constexpr std::chrono::milliseconds retention = member_table::plannedStopTime;
    /// Starts of one process that are kept; the oldest are dropped first.
    static constexpr std::size_t maxStarts = 16;

    /// Records that the process at `from` ran as start `boot` at `seenAt`.
    void recordHeard(instant seenAt, const endpoint &from, std::uint64_t boot);
    /// Records the statement of start `boot` that it has accepted no opening.
    void recordUnused(instant now, const endpoint &from, std::uint64_t boot);
    /// Starts of the process at `from` heard within `retention` before `now`, in the order in which
    /// they were first heard, without `except`.
    std::vector<heard_start> startsOf(
        instant now, const endpoint &from, std::uint64_t except) const;
    /// Drops the processes of which no start was heard within `retention`.
    void sweep(instant now);
    /// Number of processes.
    std::size_t size() const { return m_starts.size(); }

private:
    struct start
    {
        std::uint64_t boot = 0;
        instant firstHeard{};
        instant lastHeard{};
        bool unused = false;
    };

    static bool isCurrent(instant now, const start &item);
    start &findOrAdd(instant seenAt, const endpoint &from, std::uint64_t boot);

    std::unordered_map<endpoint, std::vector<start>> m_starts; ///< In the order first heard.
};

} // namespace toucan
