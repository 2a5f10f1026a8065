#pragma once

/// Emulator of entries and target processes that relay segments: the real engines on a simulated
/// network, clock, store, targets and callers, all driven by one seed. Checks the promises towards
/// callers and targets while it runs.

#include <memory>
#include <random>
#include <set>
#include <toucan/lab/event_queue.h>
#include <toucan/lab/segment_callers.h>
#include <toucan/relay_entry.h>
#include <toucan/relay_target.h>

namespace toucan::lab {

/// Size and manners of an emulated fleet.
struct relay_fleet_options
{
    std::size_t entries = 3;
    std::size_t targets = 6;
    std::vector<std::string> domains{"a", "b", "c"};
    double loss = 0; ///< Share of datagrams between processes that are lost.
    std::uint64_t seed = 1;
    std::uint64_t slots = 9;
    std::uint64_t firstReport = 1; ///< Number of a target's first report.
    std::chrono::milliseconds work{50}; ///< Time that a target works on a request.
    bool logs = false; ///< Structured log lines go to standard output.
    placement_policy place = placeByLoad;
    work_estimator::parts estimator;
    /// Time that a target works on a flow's request; `work` for each when empty. Targets that have
    /// it work on `slots` requests at once, others on any number.
    std::function<std::chrono::milliseconds(
        std::size_t target, const flow_key &flow, std::uint32_t request)>
        workOf;
    std::chrono::microseconds domainDelay{0}; ///< More for datagrams between failure domains.
};

/// Loses chosen datagrams between one entry and other processes.
struct datagram_filter
{
    std::size_t entry = 0;
    std::set<std::size_t> lost; ///< Numbers of its datagrams since the filter was set, from 0.
};

/// An emulated fleet.
class relay_fleet
{
public:
    relay_fleet(relay_fleet_options options, const segment_codec &codec);
    ~relay_fleet();

    /// Lets simulated time pass.
    void run(std::chrono::milliseconds time);
    instant now() const { return m_now; }

    /// Opens a flow through a random entry and sends one request; returns the number of the flow.
    std::size_t openFlow() { return m_callers.open(mainAddress()); }
    /// The same for a caller in a failure domain, whose segments go through entries of it.
    std::size_t openFlowIn(const std::string &domain);
    /// Time from the opening of a flow to the newest answer on it; nullopt without one.
    std::optional<std::chrono::microseconds> answeredAfter(std::size_t flow) const;
    /// Sends another request on an open flow, through a random entry.
    void request(std::size_t flow) { m_callers.request(flow); }
    /// Callers use only these entries from now on; all when empty.
    void useEntries(std::set<std::size_t> entries) { m_usedEntries = std::move(entries); }
    /// True when the flow's newest request was answered.
    bool wasAnswered(std::size_t flow) const { return m_callers.wasAnswered(flow); }
    /// True when the system reset the flow.
    bool wasReset(std::size_t flow) const { return m_callers.wasReset(flow); }
    /// Target that holds the flow, or nullopt.
    std::optional<std::size_t> holder(std::size_t flow) const;

    std::size_t addEntry();
    void killEntry(std::size_t entry);
    void startEntry(std::size_t entry);
    void leaveEntry(std::size_t entry);
    /// Its VM stands still for some time; datagrams of that time are lost.
    void pauseEntry(std::size_t entry, std::chrono::milliseconds time);
    bool entryIsReady(std::size_t entry) const;
    /// Process of the system beside a target.
    void killProcess(std::size_t target);
    void startProcess(std::size_t target);
    /// Stops it as planned; it ends a moment later.
    void leaveProcess(std::size_t target);
    /// The target itself.
    void crashTarget(std::size_t target);
    void startTarget(std::size_t target, std::chrono::milliseconds coldFor = {});
    void drainTarget(std::size_t target);
    void silenceTarget(std::size_t target, bool silent);
    /// Lets a target reset the flow of each request, or answer again.
    void failTarget(std::size_t target, bool fail);
    std::size_t addTarget(const std::string &service = "main");

    /// The store: whether entries reach it, routes, failure domains out of service.
    void setStore(bool reachable);
    void setRoutes(
        const std::vector<std::pair<endpoint, std::string>> &routes, double coldRate = 0);
    void setDomainsOut(std::vector<std::string> names);
    /// The store comes back from a copy as of `age` ago: its era rises, and revisions that it gave
    /// out since are given out again.
    void restoreStore(std::chrono::milliseconds age);
    /// The operators repeat the first write that the copy lacks; false when it lacks none.
    bool repeatWrite();
    /// They write only the newest configuration and the newest domains out again.
    void repeatNewest();
    /// They give up what the copy lacks.
    void dropLostWrites();
    /// Version of the operators' newest configuration, and their newest domains out.
    std::uint64_t wantedVersion() const;
    std::vector<std::string> wantedDomainsOut() const;
    /// What an entry and a target's process have in force; none while the process is down.
    std::optional<std::uint64_t> entryVersion(std::size_t entry) const;
    std::optional<std::vector<std::string>> entryDomainsOut(std::size_t entry) const;
    std::optional<std::vector<std::string>> targetDomainsOut(std::size_t target) const;
    std::size_t entryCount() const { return m_entries.size(); }
    std::size_t targetCount() const { return m_targets.size(); }
    /// Cuts or heals the link between an entry and a target's process.
    void setCut(std::size_t entry, std::size_t target, bool cut);
    /// Cuts a failure domain's processes off all others, but for callers, or heals it.
    void setDomainCut(const std::string &domain, bool cut);
    /// Replaces the filter and forgets the datagrams of the previous one.
    void setFilter(datagram_filter filter);
    /// Kinds of the datagrams to and from the filter's entry since then, lost ones included.
    const std::vector<std::string> &filteredDatagrams() const { return m_filtered; }

    /// Segments of an open flow that reached targets that do not hold it.
    std::size_t strayedSegments(std::size_t flow) const;
    /// Flows of which three or more segments reached other targets, and none their own, for 2 s; a
    /// broken promise unless VMs or links failed in the seconds before.
    const std::set<flow_key> &misroutedFlows() const { return m_misrouted; }
    /// Forgets strayed segments and misrouted flows, as when the rule begins to hold again.
    void forgetStrayed();
    /// Openings that a target took since its lifetime began.
    std::size_t openingsTaken(std::size_t target) const;
    const caller_outcome &outcome() const { return m_callers.outcome(); }
    /// Promises that were broken, one line each.
    const std::vector<std::string> &violations() const { return m_violations; }
    /// Address of the service that the fleet starts with.
    static endpoint mainAddress() { return {.ip = 0xc6120001, .port = 443}; }

private:
    /// A write of the operators: a configuration, or failure domains out of service.
    struct operator_write
    {
        relay_config_ptr config; ///< Null when the write is about failure domains.
        std::vector<std::string> domainsOut;
    };
    /// What the store holds at some moment.
    struct store_state
    {
        instant since{};
        std::uint64_t revision = 0;
        std::size_t writes = 0; ///< Of the operators' writes, those that it has.
        relay_config_ptr config;
        domains_out domains;
    };
    struct entry_node;
    struct target_node;

    void after(std::chrono::microseconds delay, std::function<void()> act);
    std::chrono::microseconds delay();
    bool lost();
    bool isFiltered(const endpoint &from, const endpoint &to, byte_view bytes);
    void deliver(const endpoint &from, const endpoint &to, byte_buffer bytes);
    void toCaller(const std::string &fromDomain, byte_buffer bytes);
    void sendFromCaller(byte_buffer bytes);
    void checkReset(std::size_t flow);
    void countStray(byte_view bytes, const target_node &taker);
    void checkMisrouting(const flow_key &key);
    void publish(entry_node &entry);
    void write(operator_write item);
    void apply(const operator_write &item, std::size_t writes);
    relay_config_ptr wantedConfig() const;
    store_state &store() { return m_history.back(); }
    entry_node *entryAt(const endpoint &peer);
    target_node *targetAt(const endpoint &peer);
    bool isInCutDomain(const endpoint &peer);
    entry_node *chooseEntry(const std::string &domain);
    std::string domainOfCaller(byte_view bytes, bool isSender) const;
    std::string domainOf(const endpoint &peer);
    relay_entry_options entryOptions(const entry_node &node);
    relay_target_options targetOptions(const target_node &node, bool first);
    void tickEntry(std::size_t entry, std::uint64_t start);
    void tickTarget(std::size_t target, std::uint64_t start);
    void reportTarget(std::size_t target, std::uint64_t lifetime);
    std::vector<endpoint> seeds() const;
    std::vector<entry_place> listedEntries() const;

    relay_fleet_options m_options;
    const segment_codec &m_codec;
    std::mt19937_64 m_random;
    instant m_now = std::chrono::seconds(1000);
    event_queue m_events;
    std::vector<std::unique_ptr<entry_node>> m_entries;
    std::vector<std::unique_ptr<target_node>> m_targets;
    segment_callers m_callers;
    std::map<std::size_t, std::string> m_callerDomains; ///< By flow; others use any entry.
    std::map<std::size_t, instant> m_openedAt; ///< By flow, for flows of these callers.
    std::map<std::size_t, instant> m_answeredAt;
    std::set<std::size_t> m_usedEntries;
    std::set<std::pair<std::size_t, std::size_t>> m_cuts;
    std::set<std::string> m_cutDomains;
    std::optional<datagram_filter> m_filter;
    std::vector<std::string> m_filtered;
    bool m_storeReachable = true;
    std::uint64_t m_storeEra = 1;
    std::vector<store_state> m_history{store_state{.revision = 1}}; ///< The last one is now.
    std::vector<operator_write> m_writes; ///< All of the operators, in order.
    std::uint64_t m_version = 0; ///< Newest one of the operators, given up ones included.
    std::map<std::string, instant> m_outSince;
    /// Segments of a flow at targets that lack it.
    struct stray_count
    {
        std::size_t total = 0;
        std::size_t sinceOwn = 0; ///< Since its own target got one.
        instant firstSinceOwn{};
    };
    std::map<flow_key, stray_count> m_strayed;
    std::set<flow_key> m_misrouted;
    std::vector<std::string> m_violations;
};

} // namespace toucan::lab
