#include "lab_commands.h"

#include <algorithm>
#include <array>
#include <toucan/control_link.h>
#include <toucan/lab/network_stand_ins.h>
#include <toucan/lab/platform_stand_in.h>
#include <toucan/lab/target_stand_in.h>
#include <toucan/node.h>
#include <unistd.h>

namespace toucan::lab {
namespace {

using namespace std::chrono_literals;
using json = nlohmann::json;

struct stand_in
{
    std::string_view name;
    int (*run)(const cxxopts::ParseResult &given);
};

endpoint endpointOption(const cxxopts::ParseResult &given, const std::string &name)
{
    const auto text = given[name].as<std::string>();
    const auto value = parseEndpoint(text);
    if (!value)
        throw std::runtime_error("--" + name + ": expected IP:port, found " + text);
    return *value;
}

std::vector<endpoint> endpointList(const cxxopts::ParseResult &given, const std::string &name)
{
    std::vector<endpoint> list;
    if (given.count(name) == 0)
        return list;
    for (const auto &text : given[name].as<std::vector<std::string>>()) {
        if (const auto value = parseEndpoint(text))
            list.push_back(*value);
    }
    return list;
}

// Serves the admin link with a handler of JSON requests.
std::unique_ptr<control_server> serveAdmin(
    const cxxopts::ParseResult &given, const std::function<json(const json &)> &handler)
{
    return std::make_unique<control_server>(
        std::vector{node::listenAddress(endpointOption(given, "admin"))},
        [handler](const std::vector<std::uint8_t> &bytes) {
            const auto request = json::from_cbor(bytes, true, false);
            return json::to_cbor(request.is_object() ? handler(request) : json());
        },
        [](const http_request &) { return node::notFound(); });
}

// Also true when the experiment that started the stand-in is gone.
bool stopped()
{
    static const auto parent = ::getppid();
    return node::stopRequested() || ::getppid() != parent;
}

int runPlatform(const cxxopts::ParseResult &given)
{
    platform_stand_in platform(endpointOption(given, "listen"));
    const auto admin = serveAdmin(given, [&](const json &request) -> json {
        if (request["op"] == "faults") {
            const auto &faults = request["faults"];
            platform.setFaults({.down = faults.value("down", false),
                .delay = std::chrono::milliseconds(faults.value("delayMs", 0)),
                .loseWriteAnswers = faults.value("loseWriteAnswers", false)});
        }
        return platform.counts();
    });
    while (!stopped())
        std::this_thread::sleep_for(20ms);
    return 0;
}

int runFabric(const cxxopts::ParseResult &given)
{
    fabric spray({.inner = endpointOption(given, "inner"),
        .services = endpointList(given, "service"),
        .entries = endpointList(given, "entry"),
        .seed = given["seed"].as<std::uint64_t>()});
    const auto admin = serveAdmin(given, [&](const json &request) -> json {
        if (request["op"] == "entries") {
            std::vector<endpoint> entries;
            for (const auto &item : request["entries"])
                entries.push_back(parseEndpoint(item.get<std::string>()).value_or(endpoint{}));
            spray.setEntries(std::move(entries));
        } else if (request["op"] == "faults") {
            spray.setFaults(faultsFromJson(request["faults"]));
        }
        return true;
    });
    spray.run(stopped);
    return 0;
}

packet_switch::port parsePort(const std::string &text)
{
    const auto first = text.find('=');
    const auto second = text.find('=', first + 1);
    const auto publicAddress = parseEndpoint(text.substr(first + 1, second - first - 1));
    const auto realAddress = parseEndpoint(text.substr(second + 1));
    if (!publicAddress || !realAddress)
        throw std::runtime_error("--port: expected NAME=PUBLIC=REAL, found " + text);
    return {text.substr(0, first), *publicAddress, *realAddress};
}

int runSwitch(const cxxopts::ParseResult &given)
{
    std::vector<packet_switch::port> ports;
    std::ranges::transform(
        given["port"].as<std::vector<std::string>>(), std::back_inserter(ports), parsePort);
    packet_switch carrier(std::move(ports), given["seed"].as<std::uint64_t>());
    const auto admin = serveAdmin(given, [&](const json &request) -> json {
        if (request["op"] == "rule")
            carrier.setRule(request["from"], request["to"], faultsFromJson(request["faults"]));
        else if (request["op"] == "clear")
            carrier.clearRules();
        return true;
    });
    carrier.run(stopped);
    return 0;
}

int runTarget(const cxxopts::ParseResult &given)
{
    target_stand_in target({.address = endpointOption(given, "listen"),
        .slots = given["slots"].as<std::size_t>(),
        .coldSlots = given["cold-slots"].as<std::size_t>(),
        .coldTime = std::chrono::milliseconds(given["cold-ms"].as<std::int64_t>()),
        .serviceTime = std::chrono::milliseconds(given["service-ms"].as<std::int64_t>()),
        .healthLies = given.count("health-lies") != 0,
        .logFile = given["log"].as<std::string>(),
        .name = given["name"].as<std::string>(),
        .seed = given["seed"].as<std::uint64_t>()});
    const auto admin = serveAdmin(given, [&](const json &request) -> json {
        if (request["op"] == "cold")
            target.turnCold();
        const auto &counts = target.counters();
        return {{"ran", counts.ran.load()}, {"shed", counts.shed.load()},
            {"toppled", counts.toppled.load()},
            {"overloadedWhenCold", counts.overloadedWhenCold.load()},
            {"inProgress", counts.inProgress.load()},
            {"busyMicroseconds", counts.busyMicroseconds.load()},
            {"watches", counts.watches.load()}, {"cancelled", counts.cancelled.load()},
            {"requests", counts.requests.load()}};
    });
    target.run(stopped);
    return 0;
}

int runRelay(const cxxopts::ParseResult &given)
{
    tcp_relay relay(endpointOption(given, "listen"), endpointOption(given, "target"));
    const auto admin = serveAdmin(given, [&](const json &request) -> json {
        if (request["op"] == "cut")
            relay.setCut(request.value("cut", false));
        else if (request["op"] == "silent")
            relay.setSilent(request.value("silent", false));
        return true;
    });
    while (!stopped())
        std::this_thread::sleep_for(20ms);
    return 0;
}

constexpr std::array standIns{
    stand_in{"platform", runPlatform},
    stand_in{"fabric", runFabric},
    stand_in{"switch", runSwitch},
    stand_in{"target", runTarget},
    stand_in{"relay", runRelay},
};

} // namespace

std::optional<int> runStandIn(const std::string &name, const cxxopts::ParseResult &given)
{
    const auto found = std::ranges::find(standIns, name, &stand_in::name);
    if (found == standIns.end())
        return std::nullopt;
    node::handleStopSignals();
    return found->run(given);
}

} // namespace toucan::lab
