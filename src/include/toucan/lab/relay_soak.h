#pragma once

/// A soak of the relay programs: real processes between stand-ins, faults from outside in an order
/// that a seed decides, and the platform's rules checked from what callers and targets see.

#include <Poco/Net/PollSet.h>
#include <filesystem>
#include <memory>
#include <random>
#include <toucan/lab/child_process.h>
#include <toucan/lab/network_stand_ins.h>
#include <toucan/lab/platform_stand_in.h>
#include <toucan/lab/segment_callers.h>
#include <toucan/lab/soak_target.h>
#include <toucan/lab/stall_watch.h>

namespace toucan::lab {

/// Size and length of a soak.
struct relay_soak_options
{
    std::filesystem::path programs; ///< Folder of the programs.
    std::uint64_t seed = 1;
    std::chrono::seconds faultTime{15}; ///< Time in which faults begin.
    std::size_t entries = 4;
    std::size_t targets = 8;
    double callersPerSecond = 80; ///< New flows, and as many requests on open ones.
    std::chrono::milliseconds faultInterval{900}; ///< Mean time between two faults.
    bool restores = false; ///< Among the faults, the store comes back from an older copy.
    bool planned = false; ///< Mostly planned work, in series that overlap; targets end late.
    soak_bounds bounds;
};

/// What a soak found.
struct relay_soak_result
{
    std::vector<std::string> violations; ///< Broken rules, each with its time.
    std::vector<std::string> faults; ///< What was done, in order.
    caller_outcome outcome;
    double recovered = 0; ///< Share of the last flows that were answered.
    /// What stood still longest, and datagrams that were dropped; more in stalls.log of the logs.
    std::vector<std::string> stalls;
    std::filesystem::path logs; ///< Folder with the programs' logs; kept when a rule was broken.
};

/// One soak. Use run() once.
class relay_soak
{
public:
    explicit relay_soak(relay_soak_options options);
    ~relay_soak();

    relay_soak_result run();

private:
    /// A VM of the system with its program.
    struct vm
    {
        std::string name;
        std::string domain;
        std::uint32_t ip = 0;
        std::string program;
        std::unique_ptr<child_process> process;
        std::unique_ptr<tcp_relay> store; ///< Its way to the store.
        bool wanted = false; ///< The program is meant to run.
        std::optional<instant> signalled; ///< A stop signal was sent and the program runs on.
        bool inRotation = false; ///< The fabric sends callers' segments.
        int missed = 0; ///< Readiness questions without a good answer, in a row.
        std::size_t starts = 0;
    };
    using flow_entries = std::deque<std::string>;
    static constexpr std::size_t spareEntries = 2; ///< That may be added while the soak runs.

    // The deployment.
    void build();
    void addVm(const std::string &name, const std::string &domain, bool isEntry);
    void addTarget(std::size_t index);
    void startProgram(vm &item);
    void stopProgram(vm &item, int signal);
    std::string settingsOf(const vm &item) const;
    void publishConfig();
    std::string serviceOf(std::size_t target) const;

    // Traffic.
    void loop(instant until);
    bool isWhole() const; ///< Nothing is disturbed and all targets take flows.
    void watchRotation(const std::stop_token &stop);
    void spray(byte_buffer bytes);
    void openFlows();
    void sendRequests();
    void onCallerSocket(udp_socket &socket);
    void onTargetSocket(soak_target &target);
    void watchSockets(Poco::Net::PollSet &poll) const;
    void after(std::chrono::microseconds delay, std::function<void()> act);
    std::size_t pick(std::size_t count);
    std::chrono::milliseconds pickTime(
        std::chrono::milliseconds least, std::chrono::milliseconds most);

    // Rules.
    void checkOpening(soak_target &target, const flow_key &flow);
    void checkReset(std::size_t flow);
    void checkStray(const soak_target &taker, const segment &head);
    bool isCalmFor(std::size_t flow, const std::string &target) const;
    void checkRuns();
    void checkPrograms();
    void checkRecovery(std::size_t firstFlow, std::size_t endFlow);
    bool isCalm(const std::string &name) const;
    std::chrono::milliseconds withSkew(std::chrono::milliseconds bound) const;
    void violate(const std::string &text);

    // Faults: each begins one and arranges its end; false when it does not fit now.
    struct fault
    {
        const char *name;
        bool (relay_soak::*begin)();
    };
    static const std::vector<fault> faultTable;
    static const std::vector<fault> plannedTable;
    void nextFault();
    void note(const std::string &text);
    vm *freeVm(bool isEntry);
    soak_target *freeTarget();
    void disturb(
        const std::string &name, std::chrono::milliseconds time, const std::function<void()> &end);
    bool killProgram(bool isEntry);
    bool freezeProgram(bool isEntry);
    bool terminateProgram(bool isEntry);
    bool killEntry() { return killProgram(true); }
    bool killTargetProgram() { return killProgram(false); }
    bool freezeEntry() { return freezeProgram(true); }
    bool freezeTargetProgram() { return freezeProgram(false); }
    bool terminateEntry() { return terminateProgram(true); }
    bool terminateTargetProgram() { return terminateProgram(false); }
    bool crashTarget();
    bool silenceTarget();
    bool replaceTarget();
    void replace(soak_target &target, std::chrono::milliseconds endsAfter);
    bool replaceTargets();
    bool restartSeries(bool isEntry);
    bool restartEntries() { return restartSeries(true); }
    bool restartTargetPrograms() { return restartSeries(false); }
    bool addEntries();
    bool harmLink();
    bool harmStore();
    bool forgetHistory();
    bool cutStoreOfOne();
    bool moveDomain();
    bool restoreStore();
    void writeAsOperator(std::function<void()> write);
    void repeatWrites(std::vector<std::function<void()>> writes, std::chrono::milliseconds pause);
    bool moveRoute();
    bool reloadSettings();
    bool addEntry();

    relay_soak_options m_options;
    std::uint32_t m_network;
    std::filesystem::path m_directory;
    std::mt19937_64 m_random;
    instant m_now;
    instant m_started;
    event_queue m_events;
    std::optional<stall_record> m_stalls;
    std::optional<stall_watch> m_stallWatch;
    std::unique_ptr<platform_stand_in> m_store;
    std::unique_ptr<packet_switch> m_switch;
    std::jthread m_switchThread;
    std::vector<std::unique_ptr<vm>> m_vms; ///< Entries first, spare ones included.
    std::size_t m_entryCount = 0; ///< Entries in use.
    std::vector<std::unique_ptr<soak_target>> m_targets;
    bool m_targetsChanged = false; ///< A target opened or closed its socket.
    std::vector<udp_socket> m_callerSockets;
    std::optional<udp_socket> m_fabric;
    segment_callers m_callers;
    std::map<std::size_t, flow_entries> m_entriesOf; ///< That took the flow's newest segments.
    /// Segments of an open flow that reached other targets since its own got the last one.
    struct stray_segments
    {
        instant ownAt{}; ///< Its own target got a segment, or somebody was disturbed.
        std::vector<instant> times;
    };
    std::map<std::size_t, stray_segments> m_strays; ///< By flow.
    std::string m_resetSender; ///< Who sent the segment that callers are reading.
    sent_segments m_fromCallers;
    sent_segments m_fromTargets;
    disturbance_record m_disturbed;
    std::mutex m_rotationMutex;
    std::jthread m_rotationThread;
    std::uint64_t m_version = 0;
    struct operator_write
    {
        instant at{};
        std::function<void()> make;
    };
    std::vector<operator_write> m_operatorWrites; ///< All, in order.
    bool m_routeMoved = false; ///< The second route leads to the first service.
    std::optional<instant> m_routeMovedAt;
    std::optional<instant> m_domainOutSince;
    bool m_faultsOver = false;
    std::array<std::uint8_t, maxSegmentBytes> m_buffer{};
    relay_soak_result m_result;
};

} // namespace toucan::lab
