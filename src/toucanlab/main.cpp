#include "lab_commands.h"

#include <iostream>
#include <toucan/error.h>

int main(int argc, char **argv)
{
    cxxopts::Options parser("toucanlab",
        "Stand-ins for the systems round the load balancer, and experiments with them.");
    parser.positional_help("platform|fabric|switch|target|relay|run|slopes|relay-benchmark|soak");
    parser.add_options()(
        "command", "what to run", cxxopts::value<std::string>()->default_value(""))("scenario",
        "with run: scenario file", cxxopts::value<std::string>()->default_value(""))("programs",
        "with run and soak: folder of the programs",
        cxxopts::value<std::string>()->default_value("."))(
        "json", "with run: machine-readable summary")(
        "listen", "address to listen on", cxxopts::value<std::string>()->default_value(""))(
        "admin", "address of the admin link", cxxopts::value<std::string>()->default_value(""))(
        "inner", "fabric: address for entries", cxxopts::value<std::string>()->default_value(""))(
        "service", "fabric: service address", cxxopts::value<std::vector<std::string>>())(
        "entry", "fabric: entry", cxxopts::value<std::vector<std::string>>())(
        "port", "switch: NAME=PUBLIC=REAL", cxxopts::value<std::vector<std::string>>())(
        "target", "relay: address to relay to", cxxopts::value<std::string>()->default_value(""))(
        "name", "target: name", cxxopts::value<std::string>()->default_value("target"))("slots",
        "target: requests at once when warm", cxxopts::value<std::size_t>()->default_value("10"))(
        "cold-slots", "target: requests at once when cold",
        cxxopts::value<std::size_t>()->default_value("2"))("cold-ms", "target: time until warm, ms",
        cxxopts::value<std::int64_t>()->default_value("3000"))("service-ms",
        "target: mean time for a request, ms", cxxopts::value<std::int64_t>()->default_value("20"))(
        "health-lies", "target: the health endpoint always says ready")(
        "log", "target: log of requests run", cxxopts::value<std::string>()->default_value(""))(
        "seed", "seed of all random choices", cxxopts::value<std::uint64_t>()->default_value("1"))(
        "count", "soak: number of seeds", cxxopts::value<std::uint64_t>()->default_value("1"))(
        "entries", "soak: number of entries", cxxopts::value<std::size_t>()->default_value("4"))(
        "targets", "soak: number of targets", cxxopts::value<std::size_t>()->default_value("8"))(
        "restores", "soak: among the faults, the store comes back from an older copy")(
        "planned", "soak: mostly planned work, in series that overlap; targets end late")(
        "help", "print this help");
    parser.parse_positional({"command"});
    try {
        const auto given = parser.parse(argc, argv);
        const auto command = given["command"].as<std::string>();
        if (command == "run")
            return toucan::lab::runScenario(given["scenario"].as<std::string>(),
                given["programs"].as<std::string>(), given.count("json") != 0);
        if (command == "slopes")
            return toucan::lab::runSlopes();
        if (command == "relay-benchmark")
            return toucan::lab::runRelayBenchmark(given["programs"].as<std::string>());
        if (command == "soak")
            return toucan::lab::runSoaks({.programs = given["programs"].as<std::string>(),
                                             .seed = given["seed"].as<std::uint64_t>(),
                                             .entries = given["entries"].as<std::size_t>(),
                                             .targets = given["targets"].as<std::size_t>(),
                                             .restores = given.count("restores") != 0,
                                             .planned = given.count("planned") != 0},
                given["count"].as<std::uint64_t>());
        if (const auto status = toucan::lab::runStandIn(command, given))
            return *status;
        std::cout << parser.help();
        return given.count("help") != 0 ? 0 : toucan::errorInfo(toucan::error_kind::usage).exitCode;
    } catch (const std::exception &failure) {
        std::cerr << "toucanlab: " << failure.what() << '\n';
        return toucan::errorInfo(toucan::error_kind::usage).exitCode;
    }
}
