#pragma once

/// Starts a whole deployment as processes on loopback addresses of its own: stand-ins for the
/// platform, the fabric, the network and the targets, and the system's own programs between them.
/// Used by tests and experiments. Every process is ended when the cluster is destroyed.

#include <filesystem>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <toucan/lab/caller_load.h>
#include <toucan/lab/child_process.h>
#include <toucan/lab/fault_rules.h>

namespace toucan::lab {

/// One service of a deployment.
struct service_plan
{
    std::string name;
    std::size_t targets = 7;
    std::size_t slots = 10;
    std::size_t coldSlots = 2;
    std::chrono::milliseconds coldTime{3000};
    std::chrono::milliseconds serviceTime{20};
    bool healthLies = false;
};

/// A deployment.
struct cluster_options
{
    std::vector<std::string> domains{"a", "b", "c"};
    std::vector<service_plan> services;
    std::size_t entries = 3;
    double domainDelayMs = 0; ///< One way between failure domains.
    double callerDelayMs = 0; ///< One way between callers and the fabric.
    std::string policy = "claims"; ///< Policy of the target processes.
    std::string logLevel = "warning"; ///< Of the system's programs.
    std::string traceDirectory; ///< For spans; empty for none.
    std::uint64_t seed = 1;
};

/// How a target process of the deployment is named and placed.
struct placed_target
{
    std::string name;
    std::string service;
    std::string domain;
};

/// What the stand-in targets ran, from their logs.
struct run_record
{
    byte_buffer key;
    std::uint64_t attempt = 0;
    std::string target;
};

/// A running deployment. One thread.
class cluster
{
public:
    /// Finds the programs in `programs`.
    cluster(cluster_options options, std::filesystem::path programs);
    ~cluster();
    cluster(const cluster &) = delete;
    cluster &operator=(const cluster &) = delete;

    /// Starts everything and writes the services' records; false when it is not serving in time.
    bool start(std::chrono::seconds limit = std::chrono::seconds(20));

    // Processes. Names: "platform", "fabric", "switch", an entry's or a target's name for the
    // system's program, and "target:" with the name for a stand-in target.
    void startProcess(const std::string &name);
    void kill(const std::string &name);
    void terminate(const std::string &name);
    void freeze(const std::string &name);
    void thaw(const std::string &name);
    bool isRunning(const std::string &name) const;

    /// Adds an entry and lets the fabric spray over it.
    std::string addEntry();
    /// Adds a target to a service and starts its processes.
    std::string addTarget(const std::string &service, const std::string &domain);
    /// Entries that the fabric sprays over.
    void sprayOver(const std::vector<std::string> &entries);

    /// Sets the faults on datagrams between processes; names may end in '*'.
    void setLink(const std::string &from, const std::string &to, const link_faults &faults);
    /// Cuts both directions.
    void cut(const std::string &left, const std::string &right);
    /// Removes link faults other than the deployment's own delays.
    void healLinks();
    /// Sets the faults between callers and entries, in addition to the caller's delay.
    void setCallerFaults(link_faults faults);
    /// Cuts or restores a process's way to the platform.
    void cutPlatform(const std::string &name, bool cut);
    /// Faults of the platform: {"down", "delayMs", "loseWriteAnswers"}.
    void setPlatformFaults(const nlohmann::json &faults);
    nlohmann::json platformCounts();
    /// Turns a stand-in target cold.
    void turnCold(const std::string &target);
    /// Counters of a stand-in target; null when it does not answer.
    nlohmann::json targetCounts(const std::string &target);
    /// Status of one of the system's processes; an empty object when it does not answer.
    nlohmann::json status(const std::string &name);

    /// Runs an operator's command; returns its exit status and adds its output to `output`.
    int operate(const std::vector<std::string> &words, std::string *output = nullptr);

    /// Options of callers for a service.
    caller_options callersFor(const std::string &service) const;
    const std::vector<placed_target> &targets() const { return m_targets; }
    const std::vector<std::string> &entries() const { return m_entries; }
    /// Everything that the stand-in targets logged.
    std::vector<run_record> runs() const;
    endpoint platformAddress() const;
    endpoint controlOf(const std::string &name) const;
    const std::filesystem::path &directory() const { return m_directory; }

    /// Waits until `condition` holds; false after `limit`.
    static bool waitFor(const std::function<bool()> &condition, std::chrono::milliseconds limit);

private:
    struct plan
    {
        std::string program;
        std::vector<std::string> arguments;
    };

    endpoint address(std::uint32_t host, std::uint16_t port) const;
    std::uint32_t hostOf(const std::string &name) const;
    std::uint32_t newHost(const std::string &name);
    void planEntry(const std::string &name);
    void planTarget(const service_plan &service, const placed_target &target);
    void planSwitch();
    std::string writeFile(const std::string &name, const std::string &text) const;
    nlohmann::json ask(const std::string &name, const nlohmann::json &request) const;
    void applyDelays();
    void signal(const std::string &name, int number);
    const service_plan &planOf(const std::string &service) const;

    cluster_options m_options;
    std::filesystem::path m_programs;
    std::filesystem::path m_directory;
    std::uint32_t m_network = 0;
    std::map<std::string, std::uint32_t> m_hosts;
    std::map<std::string, std::string>
        m_domains; ///< Failure domain of each of the system's processes.
    std::map<std::string, plan> m_plans;
    std::map<std::string, std::unique_ptr<child_process>> m_processes;
    std::vector<placed_target> m_targets;
    std::vector<std::string> m_entries;
    std::map<std::string, endpoint> m_serviceAddresses;
};

} // namespace toucan::lab
