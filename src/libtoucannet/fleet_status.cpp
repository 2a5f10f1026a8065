#include <algorithm>
#include <atomic>
#include <thread>
#include <toucan/config_agent.h>
#include <toucan/entry_directory.h>
#include <toucan/fleet_status.h>
#include <toucan/store_point.h>

namespace toucan {
namespace {

using json = nlohmann::json;

// Processes queried at a time.
constexpr std::size_t maxParallelQueries = 16;

struct queried_node
{
    std::string name; ///< Empty when unknown.
    std::string_view role;
    std::string domain;
    endpoint control;
};

node_status queryNode(const queried_node &item, std::chrono::milliseconds timeout)
{
    node_status status{.name = item.name, .role = std::string(item.role), .domain = item.domain};
    const auto answer = queryControlLink(item.control, json::object({{"op", "status"}}), timeout);
    if (!answer || !answer->is_object())
        return status;
    const auto name = answer->value("name", std::string());
    if (name.empty() || (!item.name.empty() && name != item.name))
        return status;
    status.name = name;
    status.domain = answer->value("domain", item.domain);
    status.reachable = true;
    status.version = packPoint({.era = answer->value("era", std::uint64_t{0}),
        .revision = answer->value("version", std::uint64_t{0})});
    status.state = answer->value("state", std::string());
    status.detail = *answer;
    return status;
}

std::vector<node_status> queryAll(
    std::span<const queried_node> queried, std::chrono::milliseconds timeout)
{
    std::vector<node_status> nodes(queried.size());
    std::atomic<std::size_t> next = 0;
    std::vector<std::jthread> threads;
    for (std::size_t i = 0; i < std::min(maxParallelQueries, queried.size()); ++i) {
        threads.emplace_back([&] {
            for (auto index = next++; index < queried.size(); index = next++)
                nodes[index] = queryNode(queried[index], timeout);
        });
    }
    threads.clear(); // Waits for all.
    return nodes;
}

std::uint64_t newestVersion(std::span<const node_status> nodes)
{
    std::uint64_t newest = 0;
    for (const auto &node : nodes)
        newest = std::max(newest, node.version);
    return newest;
}

// Merges the states of target processes that the entries report.
std::vector<observed_target> mergeTargets(std::span<const node_status> entries)
{
    struct target_states
    {
        observed_target target;
        std::map<std::string, std::size_t> states;
    };
    std::map<std::pair<std::string, std::string>, target_states> all;
    for (const auto &entry : entries) {
        for (const auto &item : entry.detail.value("members", json::array())) {
            const auto service = item.value("service", std::string());
            const auto name = item.value("name", std::string());
            auto &[target, states] = all[{service, name}];
            target.service = service;
            target.name = name;
            target.domain = item.value("domain", std::string());
            const auto state = item.value("state", std::string());
            if (state == "lost")
                continue;
            ++target.seenByEntries;
            ++states[state];
        }
    }
    std::vector<observed_target> targets;
    for (auto &[key, item] : all) {
        const auto mostFrequent = std::ranges::max_element(
            item.states, {}, &std::pair<const std::string, std::size_t>::second);
        item.target.state = mostFrequent == item.states.end() ? "lost" : mostFrequent->first;
        targets.push_back(std::move(item.target));
    }
    return targets;
}

} // namespace

std::vector<const node_status *> fleet_status::lagging(std::uint64_t expected) const
{
    std::vector<const node_status *> late;
    for (const auto &node : nodes) {
        if (!node.reachable || node.version < expected)
            late.push_back(&node);
    }
    return late;
}

fleet_status readFleet(const config_snapshot &config, std::chrono::milliseconds timeout)
{
    std::vector<queried_node> queried;
    for (const auto &item : config.entries)
        queried.push_back({item.name, "entry", item.domain, item.control});
    for (const auto &service : config.services) {
        for (const auto &item : service.members)
            queried.push_back({item.name, "target", item.domain, item.control});
    }
    return {.version = config.version, .nodes = queryAll(queried, timeout)};
}

result<relay_fleet_status> readRelayFleet(platform_client &platform, const platform_kinds &kinds,
    std::span<const endpoint> peers, std::chrono::milliseconds timeout)
{
    const auto config = platform.get(kinds.config, kinds.configName);
    const auto listed = readDirectory(platform, kinds.entries);
    const auto *const object = valueOf(config);
    const auto *const entries = valueOf(listed);
    const bool isAnswering = object && entries;
    if (!isAnswering && peers.empty())
        return object ? *errorOf(listed) : *errorOf(config);
    std::vector<queried_node> queried;
    if (isAnswering) {
        for (const auto &item : *entries)
            queried.push_back({item.name, "entry", {}, item.control});
    } else {
        for (const auto &peer : peers)
            queried.push_back({{}, "entry", {}, peer});
    }
    relay_fleet_status fleet{.entries = {.nodes = queryAll(queried, timeout)}};
    fleet.entries.version = object ? packPoint({.era = platform.era(), .revision = object->version})
                                   : newestVersion(fleet.entries.nodes);
    fleet.targets = mergeTargets(fleet.entries.nodes);
    return fleet;
}

result<config_ptr> readConfig(platform_client &platform, std::span<const endpoint> peers)
{
    const auto listed = platform.list();
    if (const auto *list = valueOf(listed))
        return buildConfig(list->version, list->objects);
    constexpr std::chrono::seconds pullTimeout{1};
    for (const auto &peer : peers) {
        if (const auto update = pullUpdate(peer, 0, pullTimeout))
            return buildConfig(update->version, update->objects);
    }
    return *errorOf(listed);
}

} // namespace toucan
