#include <catch2/catch.hpp>
#include <csignal>
#include <filesystem>
#include <fstream>
#include <platform/adapter.h>
#include <platform/stand_in.h>
#include <sys/wait.h>
#include <thread>
#include <toucan/lab/child_process.h>
#include <toucan/lab/platform_stand_in.h>

using namespace toucan;
using namespace toucan::lab;
using namespace std::chrono_literals;
using nlohmann::json;

namespace {

const std::filesystem::path programs = TOUCAN_PROGRAMS;

constexpr std::uint16_t storePort = 8101;
constexpr std::uint16_t peerPort = 7001;
constexpr std::uint16_t controlPort = 7002;
constexpr std::uint16_t readinessPort = 7003;
constexpr std::uint16_t reportsPort = 7004;
constexpr std::uint16_t callersPort = 7005;
constexpr std::uint16_t outboundPort = 7006;
constexpr std::uint16_t targetPort = 7007;
// The same address for all programs, so that only the first one gets it.
constexpr std::uint16_t metricsPort = 7008;

bool waitFor(const std::function<bool()> &condition, std::chrono::milliseconds limit)
{
    const auto until = std::chrono::steady_clock::now() + limit;
    while (std::chrono::steady_clock::now() < until) {
        if (condition())
            return true;
        std::this_thread::sleep_for(20ms);
    }
    return condition();
}

std::string readFile(const std::filesystem::path &file)
{
    std::ifstream stream(file);
    return {std::istreambuf_iterator<char>(stream), {}};
}

// Relay programs beside a store, each on a loopback address of its own, with nothing between them.
class relay_deployment
{
public:
    relay_deployment()
        : m_network(newLoopbackNetwork())
        , m_directory(std::filesystem::temp_directory_path()
              / ("toucan-relay-" + std::to_string(m_network)))
        , m_store(std::make_unique<platform_stand_in>(at(1, storePort)))
    {
        std::filesystem::create_directories(m_directory);
    }
    ~relay_deployment()
    {
        m_processes.clear();
        std::filesystem::remove_all(m_directory);
    }
    relay_deployment(const relay_deployment &) = delete;
    relay_deployment &operator=(const relay_deployment &) = delete;

    platform_stand_in &store() { return *m_store; }
    child_process &process(const std::string &name) { return *m_processes.at(name); }
    const std::filesystem::path &directory() const { return m_directory; }
    std::filesystem::path settingsFile(const std::string &name) const
    {
        return m_directory / (name + ".ini");
    }

    std::size_t directorySize()
    {
        platform_client client(at(1, storePort), 1s, platform::objects());
        const auto listed = client.list(platform::adapter().kinds.entries);
        return valueOf(listed) ? valueOf(listed)->objects.size() : 0;
    }

    void publishConfig(std::uint64_t version)
    {
        relay_config config;
        config.stamp.version = version;
        config.routes = {{.name = "r1",
            .address = {.ip = 0xc6120001, .port = 443},
            .shares = {{.service = "first"}}}};
        config.services.push_back({.name = "first"});
        const auto &kinds = platform::adapter().kinds;
        m_store->put(std::string(kinds.config), std::string(kinds.configName),
            platform::makeConfig(config), std::nullopt);
    }

    void start(const std::string &name, std::uint32_t host, bool isEntry)
    {
        writeSettings(name, host, isEntry, "rate = 100");
        m_processes[name] = std::make_unique<child_process>(
            (programs / (isEntry ? "toucanbridge" : "toucantarget")).string(),
            std::vector<std::string>{"relay", "--config", settingsFile(name).string()},
            logFile(name).string());
    }

    void writeSettings(const std::string &name, std::uint32_t host, bool isEntry,
        const std::string &logSettings) const
    {
        std::ofstream file(settingsFile(name));
        file << "[vm]\nname = " << name
             << "\ndomain = a\nfirst_start = true\npeer = " << toString(at(host, peerPort))
             << "\ncontrol = " << toString(at(host, controlPort))
             << "\nreadiness = " << toString(at(host, readinessPort))
             << "\nreports = " << toString(at(host, reportsPort))
             << "\nmetrics = " << toString(at(2, metricsPort))
             << "\nseeds = " << toString(at(2, readinessPort))
             << "\n[flows]\ncallers = " << toString(at(host, callersPort))
             << "\n[platform]\naddress = " << toString(at(1, storePort)) << "\n[log]\n"
             << logSettings << '\n';
        if (!isEntry)
            file << "[target]\naddress = " << toString(at(host, targetPort))
                 << "\noutbound = " << toString(at(host, outboundPort)) << "\nservice = first\n";
    }

    // The newest log line of a kind, or null.
    json newestLine(const std::string &name, std::string_view kind) const
    {
        std::istringstream lines(readFile(logFile(name)));
        json newest;
        for (std::string line; std::getline(lines, line);) {
            const auto brace = line.find('{');
            const auto read = brace == std::string::npos
                ? json()
                : json::parse(
                    line.begin() + static_cast<std::ptrdiff_t>(brace), line.end(), nullptr, false);
            if (read.is_object() && read.value("event", std::string()) == kind)
                newest = read;
        }
        return newest;
    }

    struct command_outcome
    {
        int status = -1;
        std::string output;
    };
    // Runs an operators' command to its end.
    command_outcome run(std::vector<std::string> words)
    {
        const auto output = m_directory / "command.txt";
        std::filesystem::remove(output);
        words.insert(words.end(), {"--platform", toString(at(1, storePort))});
        int status = 0;
        {
            child_process command((programs / "toucanbridge").string(), words, output.string());
            waitFor([&] { return !command.isRunning(); }, 20s);
            status = command.end(SIGKILL);
        }
        return {.status = WEXITSTATUS(status), .output = readFile(output)};
    }

    endpoint at(std::uint32_t host, std::uint16_t port) const
    {
        return {.ip = m_network | host, .port = port};
    }

private:
    std::filesystem::path logFile(const std::string &name) const
    {
        return m_directory / (name + ".log");
    }

    std::uint32_t m_network;
    std::filesystem::path m_directory;
    std::unique_ptr<platform_stand_in> m_store;
    std::map<std::string, std::unique_ptr<child_process>> m_processes;
};

// Two entries and a target process, all started.
void startSmall(relay_deployment &deployment)
{
    deployment.publishConfig(1);
    deployment.start("entry-1", 2, true);
    deployment.start("entry-2", 3, true);
    deployment.start("target-1", 4, false);
}

} // namespace

TEST_CASE("relay: status tells which configuration is in force where, and who hears which target")
{
    relay_deployment deployment;
    startSmall(deployment);
    const std::vector<std::string> command{"status", "--relay", "--output", "json"};
    json line;
    const bool isWhole = waitFor(
        [&] {
            const auto outcome = deployment.run(command);
            line = json::parse(outcome.output, nullptr, false);
            return outcome.status == 0 && line.is_object() && line["nodes"].size() == 2
                && line.contains("targets") && line["targets"][0].value("heardBy", 0) == 2;
        },
        10s);
    INFO(line.dump());
    REQUIRE(isWhole);
    CHECK(line["targets"][0]["name"] == "target-1");

    deployment.publishConfig(2);
    const auto waited = deployment.run({"status", "--relay", "--wait", "4s"});
    INFO(waited.output);
    CHECK(waited.status == 0);
    CHECK(waited.output.find("in force") != std::string::npos);
}

TEST_CASE("relay: status names an entry that does not answer, and works without the platform")
{
    relay_deployment deployment;
    startSmall(deployment);
    const std::vector<std::string> command{"status", "--relay"};
    // The list of entries is complete once the second one has added its record.
    REQUIRE(waitFor(
        [&] {
            const auto seen = deployment.run(command);
            return seen.status == 0 && seen.output.find("entry-2") != std::string::npos;
        },
        10s));
    deployment.process("entry-2").signal(SIGSTOP);
    const auto stopped = deployment.run(command);
    deployment.process("entry-2").signal(SIGCONT);
    INFO(stopped.output);
    CHECK(stopped.status != 0);
    CHECK(stopped.output.find("unreachable") != std::string::npos);

    deployment.store().setFaults({.down = true});
    auto withPeers = command;
    withPeers.insert(withPeers.end(), {"--peer", toString(deployment.at(2, controlPort))});
    const auto without = deployment.run(withPeers);
    INFO(without.output);
    CHECK(without.status == 0);
    CHECK(without.output.find("entry-1") != std::string::npos);
    CHECK(deployment.run(command).status != 0);
}

TEST_CASE("relay: a configuration is checked before it is sent")
{
    relay_deployment deployment;
    deployment.publishConfig(2);
    const auto check = [&](std::uint64_t version, std::vector<route_rule> routes) {
        relay_config config;
        config.stamp.version = version;
        config.routes = std::move(routes);
        config.services.push_back({.name = "first", .flows = 20, .coldRate = 1});
        const auto name = deployment.directory() / "config.json";
        std::ofstream(name) << platform::makeConfig(config);
        return deployment.run({"record", "check", name.string()});
    };
    const auto route = [](const std::string &name, std::uint16_t port) {
        return route_rule{.name = name,
            .address = {.ip = 0xc6120001, .port = port},
            .shares = {{.service = "first"}}};
    };
    const auto good = check(3, {route("r1", 443), route("r2", 444)});
    INFO(good.output);
    CHECK(good.status == 0);
    CHECK(good.output.find("changes: route r2: added") != std::string::npos);
    const auto old = check(2, {route("r1", 443)});
    CHECK(old.status == errorInfo(error_kind::invalid_record).exitCode);
    CHECK(old.output.find("is not higher than version 2") != std::string::npos);
    auto late = route("r1", 443);
    late.objective = 400ms;
    late.timeLimit = 300ms;
    CHECK(check(3, {late}).status == errorInfo(error_kind::invalid_record).exitCode);
    deployment.store().setFaults({.down = true});
    CHECK(check(3, {route("r1", 443)}).status
        == errorInfo(error_kind::platform_unavailable).exitCode);
}

TEST_CASE("relay: both programs log when they are ready and how long it took")
{
    relay_deployment deployment;
    startSmall(deployment);
    for (const auto *name : {"entry-1", "entry-2", "target-1"}) {
        json line;
        CHECK(waitFor(
            [&] {
                line = deployment.newestLine(name, "process_ready");
                return line.is_object();
            },
            10s));
        INFO(name << ' ' << line.dump());
        CHECK(line.contains("startMs"));
    }
    json learned;
    CHECK(waitFor(
        [&] {
            learned = deployment.newestLine("entry-1", "members_learned");
            return learned.is_object() && learned.value("complete", false);
        },
        10s));
    INFO(learned.dump());
    CHECK(learned.value("known", 0) == 1);
    CHECK(learned.value("expected", 0) == 1);
}

TEST_CASE("relay: a target process whose seeds are down finds entries by the store at once")
{
    relay_deployment deployment;
    deployment.publishConfig(1);
    // The seed of all processes is host 2, which does not run.
    deployment.start("entry-2", 3, true);
    const auto isReady = [&](const char *name) {
        return deployment.newestLine(name, "process_ready").is_object();
    };
    REQUIRE(waitFor([&] { return isReady("entry-2") || deployment.directorySize() > 0; }, 10s));
    deployment.start("target-1", 4, false);
    REQUIRE(waitFor([&] { return isReady("target-1"); }, 10s));
    // Callers' attempts to open a flow end 1.4 s after they began.
    CHECK(deployment.newestLine("target-1", "process_ready")["startMs"].get<int>() < 1000);
}

TEST_CASE("relay: a changed settings file is read with and without a signal, a bad one is refused")
{
    relay_deployment deployment;
    startSmall(deployment);
    const auto isReady
        = [&] { return deployment.newestLine("entry-1", "process_ready").is_object(); };
    REQUIRE(waitFor(isReady, 10s));
    const auto reloaded = [&] { return deployment.newestLine("entry-1", "settings_reloaded"); };

    deployment.writeSettings("entry-1", 2, true, "rate = 200");
    REQUIRE(waitFor([&] { return reloaded().is_object(); }, 5s));
    CHECK(reloaded()["cause"] == "file");
    CHECK(reloaded()["applied"] == json{"log.rate"});

    deployment.writeSettings("entry-1", 2, true, "rate = many");
    deployment.process("entry-1").signal(SIGHUP);
    const auto isRefused = [&] {
        return reloaded().value("outcome", std::string()).find("log.rate") != std::string::npos;
    };
    CHECK(waitFor(isRefused, 5s));

    deployment.writeSettings("renamed", 2, true, "rate = 200");
    std::filesystem::copy_file(deployment.settingsFile("renamed"),
        deployment.settingsFile("entry-1"), std::filesystem::copy_options::overwrite_existing);
    deployment.process("entry-1").signal(SIGHUP);
    CHECK(waitFor([&] { return reloaded()["atNextStart"] == json{"vm.name"}; }, 5s));
    CHECK(deployment.process("entry-1").isRunning());
}

TEST_CASE("relay: store restored, a configuration with a lower revision is in force on all entries")
{
    relay_deployment deployment;
    startSmall(deployment);
    const auto versions = [&] {
        const auto outcome = deployment.run({"status", "--relay", "--output", "json"});
        const auto line = json::parse(outcome.output, nullptr, false);
        std::vector<std::uint64_t> list;
        for (const auto &node : line.is_object() ? line["nodes"] : json::array())
            list.push_back(node["detail"].value("configuration", std::uint64_t{0}));
        return list;
    };
    const auto areAll = [&](std::uint64_t version) {
        return versions() == std::vector<std::uint64_t>{version, version};
    };
    REQUIRE(waitFor([&] { return areAll(1); }, 10s));
    std::this_thread::sleep_for(100ms);
    for (std::uint64_t version = 2; version < 10; ++version)
        deployment.publishConfig(version);
    REQUIRE(waitFor([&] { return areAll(9); }, 4s));
    deployment.store().restore(10s);
    deployment.publishConfig(1);
    // The entries' records are there again, and nothing went back.
    CHECK(waitFor([&] { return areAll(9); }, 2s));
    std::this_thread::sleep_for(1s);
    CHECK(areAll(9));
    CHECK(deployment.newestLine("entry-1", "configuration_changed").value("version", 0) == 9);
    deployment.publishConfig(10);
    CHECK(waitFor([&] { return areAll(10); }, 4s));
    CHECK(deployment.newestLine("entry-1", "store_era_changed").value("after", 0) == 2);
    CHECK(deployment.newestLine("entry-1", "directory_record_checked").value("outcome", "")
        == "written again");
}
