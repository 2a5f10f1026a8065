#include <catch2/catch.hpp>
#include <fstream>
#include <regex>
#include <set>
#include <thread>
#include <toucan/lab/cluster.h>

using namespace toucan;
using namespace toucan::lab;
using namespace std::chrono_literals;
using nlohmann::json;

namespace {

const std::filesystem::path programs = TOUCAN_PROGRAMS;

cluster_options smallDeployment()
{
    return {.domains = {"austin-a", "waco-b", "temple-c"},
        .services = {{.name = "presentment", .targets = 4, .coldTime = 500ms}},
        .entries = 2,
        .seed = 7};
}

struct script_line
{
    std::vector<std::string> words;
    int expected = 0;
};

// The commands of the operators' page, with the exit status that it promises for each.
std::vector<script_line> readScript()
{
    std::ifstream page(std::filesystem::path(TOUCAN_SOURCES) / "docs" / "OPERATORS.md");
    const std::regex command(R"(^\s+\$ toucanbridge (.*\S)\s+=> (\d+)$)");
    std::vector<script_line> lines;
    std::string text;
    std::smatch match;
    while (std::getline(page, text)) {
        if (!std::regex_match(text, match, command))
            continue;
        std::istringstream words(match[1].str());
        lines.push_back(
            {{std::istream_iterator<std::string>(words), {}}, std::stoi(match[2].str())});
    }
    return lines;
}

} // namespace

TEST_CASE("operators: every command of the operators' page ends as the page says")
{
    cluster deployment(smallDeployment(), programs);
    REQUIRE(deployment.start());
    const auto lines = readScript();
    REQUIRE(lines.size() > 20);
    for (const auto &line : lines) {
        std::string shown;
        for (const auto &word : line.words)
            shown += word + ' ';
        // A status right after a change without --wait may still find a node that lags.
        std::this_thread::sleep_for(line.words[0] == "status" ? 1500ms : 0ms);
        std::string output;
        const auto status = deployment.operate(line.words, &output);
        INFO(shown << "\n" << output);
        CHECK(status == line.expected);
    }
}

TEST_CASE("operators: an old script keeps what a new one wrote")
{
    cluster deployment(smallDeployment(), programs);
    REQUIRE(deployment.start());
    CHECK(deployment.operate({"record", "put", "domain", "waco-b", "state=out", "reason=storm"})
        == 0);
    CHECK(deployment.operate({"record", "put", "domain", "waco-b", "state=in", "--schema", "1"})
        == 0);
    std::string shown;
    CHECK(deployment.operate({"record", "show", "domain", "waco-b", "--output", "json"}, &shown)
        == 0);
    const auto record = json::parse(shown)["records"][0]["record"];
    CHECK(record["state"] == "in");
    CHECK(record["reason"] == "storm");
    CHECK(record["schema"] == 2);
}

TEST_CASE("operators: a write while the platform is down changes nothing and says so")
{
    cluster deployment(smallDeployment(), programs);
    REQUIRE(deployment.start());
    deployment.setPlatformFaults({{"down", true}});
    std::string output;
    CHECK(deployment.operate(
              {"record", "put", "domain", "waco-b", "state=out", "--output", "json"}, &output)
        == 7);
    CHECK(json::parse(output)["error"] == "platform-unavailable");
    CHECK(deployment.operate({"status", "--peer", toString(deployment.controlOf("entry-1"))}) == 0);
    deployment.setPlatformFaults({{"down", false}});
    CHECK(deployment.operate({"record", "show", "domain", "waco-b"}) == 4);
}

TEST_CASE("traces: the hops of one packet are joined by one identifier")
{
    auto options = smallDeployment();
    const auto directory = std::filesystem::temp_directory_path() / "toucan-trace-test";
    std::filesystem::remove_all(directory);
    std::filesystem::create_directories(directory);
    options.traceDirectory = directory.string();
    {
        cluster deployment(options, programs);
        REQUIRE(deployment.start());
        caller_load load(deployment.callersFor("presentment"));
        std::this_thread::sleep_for(3s);
        load.stop();
    }
    std::map<std::string, std::set<std::string>> hops;
    for (const auto &file : std::filesystem::directory_iterator(directory)) {
        std::ifstream lines(file.path());
        std::string line;
        while (std::getline(lines, line)) {
            const auto batch = json::parse(line, nullptr, false);
            if (batch.is_discarded())
                continue;
            for (const auto &span : batch)
                hops[span["tags"]["trace"].get<std::string>()].insert(
                    span["operation_name"].get<std::string>());
        }
    }
    std::filesystem::remove_all(directory);
    const std::set<std::string> whole{"entry", "pass-to-target", "answer-from-target", "return"};
    const auto complete = std::ranges::count_if(
        hops, [&](const auto &item) { return std::ranges::includes(item.second, whole); });
    INFO(hops.size() << " traces");
    CHECK(complete > 0);
}
