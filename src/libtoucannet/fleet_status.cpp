#include <algorithm>
#include <atomic>
#include <thread>
#include <toucan/config_agent.h>
#include <toucan/fleet_status.h>

namespace toucan {
namespace {

using json = nlohmann::json;

// Processes asked at a time.
constexpr std::size_t askers = 16;

struct asked_node
{
    std::string name;
    std::string_view role;
    std::string domain;
    endpoint control;
};

node_status ask(const asked_node &item, std::chrono::milliseconds timeout)
{
    node_status status{.name = item.name, .role = std::string(item.role), .domain = item.domain};
    const auto answer = askControlLink(item.control, json::object({{"op", "status"}}), timeout);
    if (!answer || !answer->is_object() || answer->value("name", std::string()) != item.name)
        return status;
    status.reachable = true;
    status.version = answer->value("version", std::uint64_t{0});
    status.state = answer->value("state", std::string());
    status.detail = *answer;
    return status;
}

} // namespace

std::vector<const node_status *> fleet_status::lagging(std::uint64_t wanted) const
{
    std::vector<const node_status *> late;
    for (const auto &node : nodes) {
        if (!node.reachable || node.version < wanted)
            late.push_back(&node);
    }
    return late;
}

fleet_status readFleet(const config_snapshot &config, std::chrono::milliseconds timeout)
{
    std::vector<asked_node> asked;
    for (const auto &item : config.entries)
        asked.push_back({item.name, "entry", item.domain, item.control});
    for (const auto &service : config.services) {
        for (const auto &item : service.members)
            asked.push_back({item.name, "target", item.domain, item.control});
    }
    fleet_status fleet{.version = config.version, .nodes = std::vector<node_status>(asked.size())};
    std::atomic<std::size_t> next = 0;
    {
        std::vector<std::jthread> threads;
        for (std::size_t i = 0; i < std::min(askers, asked.size()); ++i) {
            threads.emplace_back([&] {
                for (auto index = next++; index < asked.size(); index = next++)
                    fleet.nodes[index] = ask(asked[index], timeout);
            });
        }
    }
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
