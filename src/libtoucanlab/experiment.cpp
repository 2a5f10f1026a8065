#include <algorithm>
#include <fmt/format.h>
#include <fmt/ranges.h>
#include <fstream>
#include <numeric>
#include <thread>
#include <toucan/lab/experiment.h>

namespace toucan::lab {
namespace {

using json = nlohmann::json;
using namespace std::chrono_literals;

std::chrono::milliseconds seconds(const json &value)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(
        std::chrono::duration<double>(value.get<double>()));
}

service_plan readService(const json &value)
{
    service_plan plan{.name = value.at("name").get<std::string>()};
    plan.targets = value.value("targets", plan.targets);
    plan.slots = value.value("slots", plan.slots);
    plan.coldSlots = value.value("coldSlots", plan.coldSlots);
    plan.coldTime = std::chrono::milliseconds(value.value("coldMs", plan.coldTime.count()));
    plan.serviceTime
        = std::chrono::milliseconds(value.value("serviceMs", plan.serviceTime.count()));
    plan.healthLies = value.value("healthLies", false);
    return plan;
}

experiment_plan readPlan(const json &value)
{
    experiment_plan plan{.name = value.at("name").get<std::string>()};
    auto &options = plan.cluster;
    options.domains = value.value("domains", options.domains);
    options.entries = value.value("entries", options.entries);
    options.domainDelayMs = value.value("domainDelayMs", 0.0);
    options.callerDelayMs = value.value("callerDelayMs", 0.0);
    options.policy = value.value("policy", options.policy);
    options.seed = value.value("seed", options.seed);
    for (const auto &item : value.at("services")) {
        options.services.push_back(readService(item));
        plan.loads[options.services.back().name] = item.value("load", json::object());
    }
    for (const auto &item : value.value("events", json::array())) {
        plan.events.push_back({.at = seconds(item.at("at")),
            .action = item.at("do").get<std::string>(),
            .name = item.value("name", ""),
            .words = item.value("words", std::vector<std::string>()),
            .faults = item.value("faults", json::object())});
    }
    plan.warmUp = std::chrono::seconds(value.value("warmUp", plan.warmUp.count()));
    plan.duration = std::chrono::seconds(value.value("seconds", plan.duration.count()));
    return plan;
}

caller_options readLoad(caller_options options, const json &value)
{
    options.submitters = value.value("submitters", options.submitters);
    options.watchers = value.value("watchers", options.watchers);
    options.pullers = value.value("pullers", options.pullers);
    options.submitPause
        = std::chrono::milliseconds(value.value("submitPauseMs", options.submitPause.count()));
    options.pullPause
        = std::chrono::milliseconds(value.value("pullPauseMs", options.pullPause.count()));
    return options;
}

// Carries out one event and says what it did.
std::string carryOut(cluster &deployment, const planned_event &event)
{
    if (event.action == "kill") {
        deployment.kill(event.name);
    } else if (event.action == "start") {
        deployment.startProcess(event.name);
    } else if (event.action == "freeze") {
        deployment.freeze(event.name);
    } else if (event.action == "thaw") {
        deployment.thaw(event.name);
    } else if (event.action == "cold") {
        deployment.turnCold(event.name);
    } else if (event.action == "platform") {
        deployment.setPlatformFaults(event.faults);
        return "platform " + event.faults.dump();
    } else if (event.action == "addTarget") {
        return "add target " + deployment.addTarget(event.name, event.words.at(0));
    } else if (event.action == "record") {
        std::vector<std::string> words{"record"};
        words.insert(words.end(), event.words.begin(), event.words.end());
        words.insert(words.end(), {"--wait", "4s"});
        std::string output;
        const auto status = deployment.operate(words, &output);
        std::ranges::replace(output, '\n', ' ');
        return fmt::format("record {}: exit {}: {}", fmt::join(event.words, " "), status, output);
    } else {
        return event.action + ": unknown event";
    }
    return event.action + ' ' + event.name;
}

struct target_sample
{
    double busy = 0;
    std::uint64_t toppled = 0;
    std::uint64_t overloadedWhenCold = 0;
    std::uint64_t shed = 0;
};

std::map<std::string, target_sample> sampleTargets(cluster &deployment)
{
    std::map<std::string, target_sample> samples;
    for (const auto &target : deployment.targets()) {
        const auto counts = deployment.targetCounts(target.name);
        if (!counts.is_object())
            continue;
        samples[target.name] = {.busy = counts.value("busyMicroseconds", 0.0),
            .toppled = counts.value("toppled", std::uint64_t{0}),
            .overloadedWhenCold = counts.value("overloadedWhenCold", std::uint64_t{0}),
            .shed = counts.value("shed", std::uint64_t{0})};
    }
    return samples;
}

void addSamples(cluster &deployment, const std::map<std::string, target_sample> &before,
    const std::map<std::string, target_sample> &after, service_result &into)
{
    std::vector<double> busy;
    for (const auto &target : deployment.targets()) {
        const auto end = after.find(target.name);
        if (target.service != into.name || end == after.end())
            continue;
        const auto start = before.find(target.name);
        busy.push_back(end->second.busy - (start == before.end() ? 0 : start->second.busy));
        into.toppled += end->second.toppled;
        into.overloadedWhenCold += end->second.overloadedWhenCold;
        into.shed += end->second.shed;
    }
    const auto sum = std::accumulate(busy.begin(), busy.end(), 0.0);
    if (sum > 0)
        into.imbalance = *std::ranges::max_element(busy) / (sum / static_cast<double>(busy.size()));
}

double quantile(std::vector<double> values, double at)
{
    if (values.empty())
        return 0;
    std::ranges::sort(values);
    return values[static_cast<std::size_t>(at * static_cast<double>(values.size() - 1))];
}

} // namespace

json experiment_result::toJson() const
{
    auto list = json::array();
    for (const auto &item : services) {
        auto perSecond = json::array();
        for (const auto &second : item.seconds)
            perSecond.push_back({second.delivered, second.refused, second.failed});
        list.push_back(
            {{"name", item.name}, {"calls", item.calls.toJson()}, {"imbalance", item.imbalance},
                {"toppled", item.toppled}, {"overloadedWhenCold", item.overloadedWhenCold},
                {"shed", item.shed}, {"latencyP50Ms", quantile(item.latencies, 0.5)},
                {"latencyP99Ms", quantile(item.latencies, 0.99)}, {"perSecond", perSecond}});
    }
    return {{"name", name}, {"started", started}, {"services", list}, {"doubles", doubles},
        {"falseRefusals", falseRefusals}, {"lostReceipts", lostReceipts}, {"events", log}};
}

result<std::vector<experiment_plan>> readScenario(const std::string &fileName)
{
    std::ifstream file(fileName);
    if (!file)
        return error{error_kind::bad_request, fileName + ": the file cannot be read"};
    try {
        std::vector<experiment_plan> plans;
        const auto scenario = json::parse(file);
        for (const auto &item : scenario.at("deployments"))
            plans.push_back(readPlan(item));
        return plans;
    } catch (const json::exception &failure) {
        return error{error_kind::bad_request, fileName + ": " + failure.what()};
    }
}

void judge(const std::vector<run_record> &runs, const std::vector<refused_attempt> &refusals,
    const std::vector<byte_buffer> &delivered, experiment_result &into)
{
    std::map<byte_buffer, std::vector<std::uint64_t>> attempts;
    for (const auto &run : runs)
        attempts[run.key].push_back(run.attempt);
    into.doubles += static_cast<std::uint64_t>(
        std::ranges::count_if(attempts, [](const auto &item) { return item.second.size() > 1; }));
    into.falseRefusals
        += static_cast<std::uint64_t>(std::ranges::count_if(refusals, [&](const auto &refusal) {
               const auto found = attempts.find(refusal.key);
               // A refusal covers its own and all earlier attempts.
               return found != attempts.end()
                   && std::ranges::any_of(found->second,
                       [&](std::uint64_t attempt) { return attempt <= refusal.attempt; });
           }));
    into.lostReceipts += static_cast<std::uint64_t>(
        std::ranges::count_if(delivered, [&](const auto &key) { return !attempts.contains(key); }));
}

experiment_result runExperiment(const experiment_plan &plan, const std::filesystem::path &programs)
{
    experiment_result outcome{.name = plan.name};
    cluster deployment(plan.cluster, programs);
    outcome.started = deployment.start();
    if (!outcome.started)
        return outcome;
    std::this_thread::sleep_for(plan.warmUp);
    const auto before = sampleTargets(deployment);
    std::map<std::string, std::unique_ptr<caller_load>> loads;
    for (const auto &[service, load] : plan.loads)
        loads[service]
            = std::make_unique<caller_load>(readLoad(deployment.callersFor(service), load));
    const auto start = std::chrono::steady_clock::now();
    for (const auto &event : plan.events) {
        std::this_thread::sleep_until(start + event.at);
        outcome.log.push_back(fmt::format("{:5.1f}s {}",
            std::chrono::duration<double>(event.at).count(), carryOut(deployment, event)));
    }
    std::this_thread::sleep_until(start + plan.duration);
    for (auto &[service, load] : loads)
        load->stop();
    const auto after = sampleTargets(deployment);
    const auto runs = deployment.runs();
    for (auto &[service, load] : loads) {
        service_result item{.name = service,
            .calls = load->counts(),
            .seconds = load->seconds(),
            .latencies = load->latencies()};
        addSamples(deployment, before, after, item);
        outcome.services.push_back(std::move(item));
    }
    std::vector<refused_attempt> refusals;
    std::vector<byte_buffer> delivered;
    for (auto &[service, load] : loads) {
        std::ranges::copy(load->refusals(), std::back_inserter(refusals));
        std::ranges::copy(load->deliveredKeys(), std::back_inserter(delivered));
    }
    judge(runs, refusals, delivered, outcome);
    return outcome;
}

} // namespace toucan::lab
