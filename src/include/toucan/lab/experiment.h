#pragma once

/// Experiments: a deployment under load while a list of events happens to it, and what came of it.

#include <toucan/lab/cluster.h>

namespace toucan::lab {

/// Something that happens at a time.
struct planned_event
{
    std::chrono::milliseconds at{0}; ///< After the load begins.
    std::string action; ///< kill, start, freeze, thaw, record, cold, platform or addTarget.
    std::string name; ///< Process, target or service.
    std::vector<std::string> words; ///< Of a record command, or other arguments.
    nlohmann::json faults; ///< Of the platform.
};

/// A deployment with its load and events.
struct experiment_plan
{
    std::string name;
    cluster_options cluster;
    std::map<std::string, nlohmann::json> loads; ///< Callers by service.
    std::vector<planned_event> events;
    std::chrono::seconds warmUp{6}; ///< Before the load, so that targets are warm.
    std::chrono::seconds duration{20};
};

/// What one service saw.
struct service_result
{
    std::string name;
    caller_counts calls;
    std::vector<second_counts> seconds;
    std::vector<double> latencies; ///< Of delivered submissions, milliseconds.
    double imbalance = 0; ///< Largest against mean of requests in progress, averaged over the run.
    std::uint64_t toppled = 0;
    std::uint64_t overloadedWhenCold = 0;
    std::uint64_t shed = 0;
};

/// What came of an experiment.
struct experiment_result
{
    std::string name;
    bool started = false;
    std::vector<service_result> services;
    std::uint64_t doubles = 0; ///< Submissions that ran more than once.
    std::uint64_t falseRefusals
        = 0; ///< Attempts that ran although their caller was told they did not.
    std::uint64_t lostReceipts = 0; ///< Submissions with a receipt that never ran.
    std::vector<std::string> log; ///< Events as they happened.

    nlohmann::json toJson() const;
};

/// Reads the plans of a scenario file; bad_request says what is wrong.
result<std::vector<experiment_plan>> readScenario(const std::string &fileName);

/// Counts doubles, false refusals and lost receipts from what targets ran and callers were told.
void judge(const std::vector<run_record> &runs, const std::vector<refused_attempt> &refusals,
    const std::vector<byte_buffer> &delivered, experiment_result &into);

/// Runs one experiment to its end.
experiment_result runExperiment(const experiment_plan &plan, const std::filesystem::path &programs);

} // namespace toucan::lab
