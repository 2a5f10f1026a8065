#include "commands.h"

#include <fmt/format.h>
#include <iostream>
#include <platform/adapter.h>
#include <thread>
#include <toucan/fleet_status.h>
#include <toucan/store_point.h>

namespace toucan {
namespace {

using namespace std::chrono_literals;
using json = nlohmann::json;

constexpr auto callTimeout = 1500ms;
constexpr auto nodeTimeout = 700ms;
constexpr auto pollInterval = 200ms;

// The revision, with the prefix `ERA:` where the store has an era.
std::string versionText(std::uint64_t version)
{
    const auto point = unpackPoint(version);
    const auto revision = std::to_string(point.revision);
    return point.era == 0 ? revision : std::to_string(point.era) + ':' + revision;
}

json toJson(const node_status &node, std::uint64_t newest)
{
    return {{"name", node.name}, {"role", node.role}, {"domain", node.domain},
        {"reachable", node.reachable}, {"era", unpackPoint(node.version).era},
        {"version", unpackPoint(node.version).revision}, {"state", node.state},
        {"inForce", node.reachable && node.version >= newest}, {"detail", node.detail}};
}

void printNode(const node_status &node, std::uint64_t newest)
{
    const auto versionState = !node.reachable ? "unreachable"
        : node.version >= newest              ? "in force"
                                              : "lags";
    std::cout << fmt::format("{:<16} {:<7} {:<12} {:>8} {:<11} {}\n", node.name, node.role,
        node.domain, versionText(node.version), versionState, node.state);
}

json toJson(const observed_target &target)
{
    return {{"name", target.name}, {"service", target.service}, {"domain", target.domain},
        {"state", target.state}, {"heardBy", target.seenByEntries}};
}

void printTarget(const observed_target &target, std::size_t entries)
{
    std::cout << fmt::format("{:<16} {:<7} {:<12} {:<8} {:<11} heard by {} of {}\n", target.name,
        "target", target.domain, target.service, target.state, target.seenByEntries, entries);
}

result<relay_fleet_status> readRelay(const command_options &options)
{
    const auto &adapter = platform::adapter();
    platform_client client(options.platform, callTimeout, adapter.objects);
    return readRelayFleet(client, adapter.kinds, options.peers, nodeTimeout);
}

// The versions of all processes, of `serve` or of `relay` depending on the options.
result<fleet_status> readNodes(const command_options &options)
{
    if (options.isRelay) {
        const auto read = readRelay(options);
        if (const auto *failure = errorOf(read))
            return *failure;
        return valueOf(read)->entries;
    }
    platform_client client(options.platform, callTimeout);
    const auto read = readConfig(client, options.peers);
    if (const auto *failure = errorOf(read))
        return *failure;
    return readFleet(**valueOf(read), nodeTimeout);
}

int report(const fleet_status &fleet, const std::vector<observed_target> &targets,
    const command_options &options)
{
    const auto laggingNodes = fleet.lagging(fleet.version);
    if (options.asJson) {
        json output{{"era", unpackPoint(fleet.version).era},
            {"version", unpackPoint(fleet.version).revision}, {"nodes", json::array()},
            {"lagging", laggingNodes.size()}};
        for (const auto &node : fleet.nodes)
            output["nodes"].push_back(toJson(node, fleet.version));
        for (const auto &target : targets)
            output["targets"].push_back(toJson(target));
        std::cout << output << '\n';
    } else {
        std::cout << fmt::format("version {} in force on {} of {} nodes\n",
            versionText(fleet.version), fleet.nodes.size() - laggingNodes.size(),
            fleet.nodes.size());
        for (const auto &node : fleet.nodes)
            printNode(node, fleet.version);
        for (const auto &target : targets)
            printTarget(target, fleet.nodes.size());
    }
    if (options.wait.count() > 0)
        return waitUntilInForce(fleet.version, options);
    return laggingNodes.empty() ? 0 : errorInfo(error_kind::not_in_force).exitCode;
}

int runRelayStatus(const command_options &options)
{
    const auto read = readRelay(options);
    const auto *fleet = valueOf(read);
    return fleet ? report(fleet->entries, fleet->targets, options)
                 : reportError(*errorOf(read), options);
}

} // namespace

int runStatusCommand(const command_options &options)
{
    if (options.isRelay)
        return runRelayStatus(options);
    const auto read = readNodes(options);
    const auto *fleet = valueOf(read);
    return fleet ? report(*fleet, {}, options) : reportError(*errorOf(read), options);
}

int waitUntilInForce(std::uint64_t version, const command_options &options)
{
    const auto start = std::chrono::steady_clock::now();
    while (true) {
        const auto read = readNodes(options);
        const auto elapsed = std::chrono::duration_cast<std::chrono::milliseconds>(
            std::chrono::steady_clock::now() - start);
        std::string where = "the list of nodes cannot be read";
        if (const auto *fleet = valueOf(read)) {
            const auto laggingNodes = fleet->lagging(version);
            if (laggingNodes.empty()) {
                if (options.asJson)
                    std::cout << json{{"result", "in-force"},
                        {"version", unpackPoint(version).revision}, {"nodes", fleet->nodes.size()},
                        {"elapsedMs", elapsed.count()}}
                              << '\n';
                else
                    std::cout << fmt::format("in force: version {} on all {} nodes after {} ms\n",
                        versionText(version), fleet->nodes.size(), elapsed.count());
                return 0;
            }
            where = "not on:";
            for (const auto *node : laggingNodes)
                where += ' ' + node->name
                    + (node->reachable ? " (version " + versionText(node->version) + ')'
                                       : " (unreachable)");
        }
        if (elapsed >= options.wait)
            return reportError({error_kind::not_in_force, where}, options);
        std::this_thread::sleep_for(pollInterval);
    }
}

} // namespace toucan
