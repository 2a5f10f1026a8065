#pragma once

/// Drives several engines in one process by one seeded order of events: a network with drops,
/// doubles and delays, targets that run what they are given, and processes that are killed, frozen
/// and restarted. Time is simulated. For property tests of the decisions.

#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <set>
#include <toucan/entry_engine.h>
#include <toucan/lab/fault_rules.h>
#include <toucan/target_engine.h>

namespace toucan::lab {

/// What a driven caller was told of one attempt.
struct driven_answer
{
    byte_buffer key;
    std::uint64_t attempt = 0;
    coap::code code{};
    std::string text;
    instant at{};
};

/// One run of a request at a driven target.
struct driven_run
{
    byte_buffer key;
    std::uint64_t attempt = 0;
    std::string member;
    instant at{};
};

/// Chances and times of the driven network.
struct driver_options
{
    std::uint64_t seed = 1;
    std::size_t members = 6;
    std::size_t domains = 3;
    std::size_t entries = 2;
    std::size_t slots = 10;
    double drop = 0.02;
    double duplicate = 0.1;
    instant delay{1000}; ///< Least delay of a datagram.
    instant jitter{3000}; ///< Up to this much more.
    instant late{2'000'000}; ///< Up to this much more for one datagram in fifty.
    instant serviceTime{20'000};
    ledger_options ledger;
    target_policy policy = target_policy::claims;
};

/// A service with its members and entries.
class engine_driver
{
public:
    explicit engine_driver(const driver_options &options);

    /// Lets `time` pass.
    void run(instant time);
    instant now() const { return m_now; }

    /// Sends a submission from a caller's flow through a random entry, as one or more copies.
    void submit(std::uint16_t callerPort, const byte_buffer &key, std::uint64_t attempt);
    /// Sends any request from a caller's flow. Its answer is kept under an empty key.
    void request(std::uint16_t callerPort, const coap::message &message);

    void kill(std::size_t member);
    /// Starts a killed member again; it has lost everything.
    void restart(std::size_t member);
    void freeze(std::size_t member);
    void thaw(std::size_t member);
    /// Stops an entry in order; it takes and passes on nothing more.
    void leaveEntry(std::size_t entry);
    /// Cuts the members of two failure domains off each other, or heals all cuts.
    void cutDomains(std::size_t left, std::size_t right);
    void heal();
    /// Lets everything on a caller's current local sockets to targets vanish; new sockets work.
    void silence(std::uint16_t callerPort) { m_silenced.insert(callerPort); }
    /// Adds a member that was never announced before.
    void join();
    void setDomainOut(std::size_t domain, bool out);
    void setStopping(std::size_t member, bool stopping);
    /// Gives the newest configuration to all processes that run, after up to `spread`.
    void publish(instant spread);

    std::size_t memberCount() const { return m_members.size(); }
    std::string memberName(std::size_t member) const;
    std::string domainOf(std::size_t member) const;
    const std::vector<driven_answer> &answers() const { return m_answers; }
    const std::vector<driven_run> &runs() const { return m_runs; }
    /// Notifications that reached a caller's port, by token.
    std::size_t notifications(std::uint16_t callerPort) const;
    /// Status of a member that runs.
    target_status status(std::size_t member) const;
    /// Datagrams and bytes that a member has sent to others, answers to callers included.
    struct traffic
    {
        std::uint64_t datagrams = 0;
        std::uint64_t bytes = 0;
    };
    const traffic &sentBy(std::size_t member) const { return m_members[member].sent; }
    /// Records of members that members have deleted, in order.
    const std::vector<std::string> &removals() const { return m_removals; }
    /// Packets that a member passed to its target since the start.
    std::uint64_t passedTo(std::size_t member) const { return m_members[member].passed; }

private:
    struct driven_member
    {
        std::string name;
        std::string domain;
        endpoint data;
        std::uint64_t boot = 0;
        bool firstBoot = true;
        bool running = true;
        bool frozen = false;
        std::unique_ptr<target_engine> engine;
        std::vector<std::function<void()>> held; ///< What arrives while it is frozen.
        std::uint64_t passed = 0;
        traffic sent;
        std::map<std::pair<flow_key, byte_buffer>, bool> watches;
    };
    struct event
    {
        instant at;
        std::uint64_t order;
        std::function<void()> act;
        bool operator>(const event &other) const
        {
            return std::tie(at, order) > std::tie(other.at, other.order);
        }
    };

    void at(instant when, std::function<void()> act);
    void transmit(const std::string &from, const endpoint &to, const endpoint &source,
        const byte_buffer &bytes);
    void deliver(const endpoint &from, const endpoint &to, const byte_buffer &bytes);
    void toMember(std::size_t member, const std::function<void()> &act);
    void carryOut(std::size_t member);
    std::size_t chooseEntry();
    void carryOutEntry(std::size_t entry);
    void targetReceives(std::size_t member, const flow_key &flow, const byte_buffer &bytes);
    void targetAnswers(
        std::size_t member, std::uint64_t boot, const flow_key &flow, const coap::message &request);
    void callerReceives(const flow_key &flow, byte_view payload);
    void boot(std::size_t member);
    void tick();
    std::vector<stored_object> objects() const;
    bool isCut(const std::string &left, const std::string &right) const;

    driver_options m_options;
    std::mt19937_64 m_random;
    metrics::registry m_metrics;
    instant m_now{1'000'000};
    std::uint64_t m_order = 0;
    std::uint64_t m_version = 1;
    std::uint64_t m_lastBoot = 0;
    std::priority_queue<event, std::vector<event>, std::greater<>> m_events;
    std::vector<driven_member> m_members;
    std::vector<std::unique_ptr<entry_engine>> m_entries;
    std::set<std::size_t> m_leftEntries;
    std::map<std::string, bool> m_domainsOut;
    std::map<std::string, bool> m_stops;
    std::vector<std::pair<std::string, std::string>> m_cuts;
    std::map<std::pair<std::uint16_t, byte_buffer>, std::pair<byte_buffer, std::uint64_t>>
        m_asked; ///< By port and token.
    std::set<std::uint16_t> m_silenced;
    std::map<std::uint16_t, std::size_t> m_notifications;
    std::vector<driven_answer> m_answers;
    std::vector<driven_run> m_runs;
    std::vector<std::string> m_removals;
    config_ptr m_config;
};

} // namespace toucan::lab
