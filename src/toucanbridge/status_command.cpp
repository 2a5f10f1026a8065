#include "commands.h"

#include <fmt/format.h>
#include <iostream>
#include <thread>
#include <toucan/fleet_status.h>

namespace toucan {
namespace {

using namespace std::chrono_literals;
using json = nlohmann::json;

constexpr auto callTimeout = 1500ms;
constexpr auto nodeTimeout = 700ms;
constexpr auto pollInterval = 200ms;

json toJson(const node_status &node, std::uint64_t newest)
{
    return {{"name", node.name}, {"role", node.role}, {"domain", node.domain},
        {"reachable", node.reachable}, {"version", node.version}, {"state", node.state},
        {"inForce", node.reachable && node.version >= newest}, {"detail", node.detail}};
}

void printNode(const node_status &node, std::uint64_t newest)
{
    const auto standing = !node.reachable ? "unreachable"
        : node.version >= newest          ? "in force"
                                          : "lags";
    std::cout << fmt::format("{:<16} {:<7} {:<12} {:>8} {:<11} {}\n", node.name, node.role,
        node.domain, node.version, standing, node.state);
}

} // namespace

int runStatusCommand(const command_options &options)
{
    platform_client platform(options.platform, callTimeout);
    const auto read = readConfig(platform, options.peers);
    const auto *config = valueOf(read);
    if (!config)
        return reportError(*errorOf(read), options);
    const auto fleet = readFleet(**config, nodeTimeout);
    const auto late = fleet.lagging(fleet.version);
    if (options.asJson) {
        auto nodes = json::array();
        for (const auto &node : fleet.nodes)
            nodes.push_back(toJson(node, fleet.version));
        std::cout << json{{"version", fleet.version}, {"nodes", nodes}, {"lagging", late.size()}}
                  << '\n';
    } else {
        std::cout << fmt::format("version {} in force on {} of {} nodes\n", fleet.version,
            fleet.nodes.size() - late.size(), fleet.nodes.size());
        for (const auto &node : fleet.nodes)
            printNode(node, fleet.version);
    }
    if (options.wait.count() > 0)
        return waitUntilInForce(fleet.version, options);
    return late.empty() ? 0 : answerFor(error_kind::not_in_force).exitCode;
}

int waitUntilInForce(std::uint64_t version, const command_options &options)
{
    const auto start = std::chrono::steady_clock::now();
    platform_client platform(options.platform, callTimeout);
    while (true) {
        const auto read = readConfig(platform, options.peers);
        const auto elapsed = std::chrono::duration_cast<std::chrono::milliseconds>(
            std::chrono::steady_clock::now() - start);
        std::string where = "the list of nodes cannot be read";
        if (const auto *config = valueOf(read)) {
            const auto fleet = readFleet(**config, nodeTimeout);
            const auto late = fleet.lagging(version);
            if (late.empty()) {
                if (options.asJson)
                    std::cout << json{{"result", "in-force"}, {"version", version},
                        {"nodes", fleet.nodes.size()}, {"elapsedMs", elapsed.count()}}
                              << '\n';
                else
                    std::cout << fmt::format("in force: version {} on all {} nodes after {} ms\n",
                        version, fleet.nodes.size(), elapsed.count());
                return 0;
            }
            where = "not on:";
            for (const auto *node : late)
                where += ' ' + node->name
                    + (node->reachable ? " (version " + std::to_string(node->version) + ')'
                                       : " (unreachable)");
        }
        if (elapsed >= options.wait)
            return reportError({error_kind::not_in_force, where}, options);
        std::this_thread::sleep_for(pollInterval);
    }
}

} // namespace toucan
