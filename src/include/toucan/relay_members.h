#pragma once

/// An entry's view of target processes: from their own reports inside its failure domain, from
/// other entries' digests outside of it.

#include <map>
#include <memory>
#include <set>
#include <string>
#include <toucan/generated/relay.h>
#include <toucan/target_liveness.h>
#include <unordered_map>
#include <vector>

namespace toucan {

/// One target process and its target.
struct relay_member
{
    std::string name;
    std::uint64_t nameHash = 0; ///< Input to rendezvous ranking.
    std::string service;
    std::string domain;
    endpoint address;
    std::uint64_t boot = 0;
    std::uint64_t order = 0; ///< Number of the newest report of that boot.
    std::uint64_t lifetime = 0; ///< Number of the target's lifetime.
    target_standing standing = target_standing::unknown;
    std::uint64_t slots = 0;
    std::uint64_t flows = 0;
    std::uint64_t waiting = 0;
    std::uint64_t load = 0; ///< Smoothed waiting requests for each slot, thousandths.
    std::uint64_t workUs = 0; ///< Smoothed time of work still to do for each slot, microseconds.
    std::uint64_t meanUs = 0; ///< Expected time of a request there, microseconds; 0: unknown.
    std::uint64_t openRate = 0; ///< Openings per second that a cold target can take.
    std::uint64_t openedSince = 0; ///< Openings sent to it since the newest report.
    std::chrono::milliseconds interval{250}; ///< Time between two updates of its state.
    instant lastSeen{}; ///< Time of its newest report, also by way of other entries.
    instant suspectedSince{}; ///< When an opening to it was found unanswered; zero: none.
    instant refusedAt{}; ///< When it last refused an opening of this entry.
    bool lost = false; ///< Silent beyond the limit, or stopped: it gets no segments.
    bool leaving = false; ///< Its process reported that it stops, perhaps to restart.
    instant reportedAt{}; ///< Its last report to this entry itself; zero when none.
    std::chrono::milliseconds reportInterval{250}; ///< Time between its own reports to this entry.
    instant confirmedAt{}; ///< When its domain's entries last saw it; zero when unknown.
    instant domainSeenAt{}; ///< Last digest of its domain, whichever members it lists.
    bool reportedLost = false; ///< Its domain's entries report it as lost.
    instant changedAt{}; ///< Last change that other entries need.
    std::uint64_t reportedLoad = 0; ///< Load at the last change.
    std::uint64_t reportedWorkUs = 0; ///< Work at the last change.
    std::uint64_t reportedMeanUs = 0; ///< Time of a request at the last change.
    std::uint64_t stateHash = 0; ///< Over the fields that must be equal in all entries.

    /// True while at most one of its updates is late or lost.
    bool isFresh(instant now) const { return !lost && now - lastSeen < interval * 5 / 2; }
    /// True while it reports to this entry itself; one report may be late or lost.
    bool isReportingDirectly(instant now) const
    {
        return reportedAt != instant{} && now - reportedAt < reportInterval * 5 / 2;
    }
    /// True while reports of it or digests of its domain arrive, so that an opening sent there is
    /// likely to arrive.
    bool isReachable(instant now) const;
    /// True while its process is stopped as planned and may start again beside its target, which
    /// holds flows.
    bool isRestarting(instant now) const;
    /// Time from which on its silence may show that it is gone.
    instant goneAt() const;
    /// True when no target runs there, so that no flow can be open there.
    bool holdsNoFlows() const { return standing == target_standing::gone && flows == 0; }
    /// True when it is not lost and no opening to it is unanswered.
    bool isAnswering() const { return !lost && suspectedSince == instant{}; }
    /// Load including openings sent since the newest report, thousandths of a slot.
    std::uint64_t expectedLoad() const;
    /// Work before an opening that is sent now, including that of openings sent since the newest
    /// report, in requests of `meanUs` for each slot; only while meanUs is known.
    double expectedQueue() const;
};

/// State of a member as text: "lost" or its standing.
std::string_view stateNameOf(const relay_member &item);

/// A change of a member's state, for the log.
struct member_change
{
    const relay_member *member = nullptr;
    std::string from;
    std::string to;
};

/// All members, by service. Not thread-safe.
class member_table
{
public:
    /// Silence after which a member is not used. Reports come at least each 250 ms to few entries;
    /// a process that is killed is back within about a second.
    static constexpr std::chrono::milliseconds silenceLimit{1500};
    /// Silence after which a member is gone for its callers: none waits longer for an answer, and a
    /// killed process restarts sooner.
    static constexpr std::chrono::milliseconds goneAfter{4000};
    /// Silence after which a member is gone that stopped as planned while its target held flows:
    /// its process restarts within this time.
    static constexpr std::chrono::milliseconds plannedStopTime{15000};
    /// Silence after which a member is removed: flows live for a minute at most.
    static constexpr std::chrono::milliseconds forgetAfter{60000};

    /// Silence after which a member known only from digests is lost: three digests.
    static constexpr std::chrono::milliseconds digestSilenceLimit{3000};
    /// Silence of a domain after which its members get openings only when there are no others: one
    /// digest of both delegates is missing.
    static constexpr std::chrono::milliseconds domainSilenceLimit{1500};

    /// Applies a report; nullopt when it is late or changes neither state nor lifetime.
    std::optional<member_change> apply(
        instant now, const endpoint &from, const target_report &report);
    /// Applies another entry's state of a member of `domain`. A newer state and a current report
    /// of the member itself are kept. `isReachable`: the member is likely to be reachable from
    /// here.
    std::optional<member_change> apply(
        instant now, std::string_view domain, const member_state &state, bool isReachable = true);
    /// Records that the process at `from` stops as planned beside a target that may hold flows, as
    /// the flow table of its start `boot` shows; returns the change.
    std::optional<member_change> recordStopped(
        instant now, const endpoint &from, const std::string &name, std::uint64_t boot);
    /// Records that a digest of the domain was received.
    void recordDomainSeen(instant now, std::string_view domain);
    /// Records that another entry's digest confirms the states of a domain's members.
    void confirm(instant now, std::string_view domain);
    /// Marks members of a domain that are not in `names` as lost, unless they report to this entry;
    /// returns those that were in use.
    std::vector<member_change> markOthersLost(
        instant now, std::string_view domain, const std::set<std::string> &names);
    /// Number of members of a domain that are not lost, and a hash over their states, equal in
    /// entries with the same view.
    struct summary
    {
        std::uint64_t count = 0;
        std::uint64_t hash = 0;
        bool operator==(const summary &) const = default;
    };
    summary summaryOf(std::string_view domain) const;
    /// Number of members of a domain in the table, lost and stopped ones included, and a hash over
    /// their names, addresses and planned stops. Any of them may hold flows.
    summary keptOf(std::string_view domain) const;
    /// Marks silent members as lost and removes long silent ones; returns the changes.
    std::vector<member_change> onTick(instant now);
    /// Members of a service, in no order; empty when there are none.
    std::span<relay_member *const> membersOf(std::string_view service) const;
    /// The member at an address, or nullptr.
    relay_member *at(const endpoint &address) const;
    /// Names of the services that have members.
    std::vector<std::string_view> services() const;
    /// Number of members, lost ones included.
    std::size_t count() const { return m_members.size(); }
    /// Number of members that are not lost.
    std::size_t aliveCount() const;
    /// Calls visit(member) for all.
    template <class F>
    void forEach(F &&visit) const
    {
        for (const auto &[address, item] : m_members)
            visit(*item);
    }

private:
    relay_member *find(std::string_view name) const;
    relay_member *findOrAdd(const endpoint &from, const std::string &name);
    void remove(const endpoint &address);
    void rebuildIndex();

    std::unordered_map<endpoint, std::unique_ptr<relay_member>> m_members; ///< By address.
    std::map<std::string, std::vector<relay_member *>, std::less<>> m_services;
};

} // namespace toucan
