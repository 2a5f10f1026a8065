#include <atomic>
#include <catch2/catch.hpp>
#include <thread>
#include <toucan/lab/experiment.h>

using namespace toucan;
using namespace toucan::lab;
using namespace std::chrono_literals;
using nlohmann::json;

namespace {

const std::filesystem::path programs = TOUCAN_PROGRAMS;

// Light faults on every link between processes.
const link_faults lossy{
    .drop = 0.01, .duplicate = 0.05, .delay = 500us, .jitter = 4ms, .duplicateDelay = 300ms};

cluster_options oneService(std::size_t targets = 6)
{
    return {.services = {{.name = "s", .targets = targets, .coldTime = 500ms}}, .seed = 20261204};
}

caller_options steadyLoad(const cluster &deployment)
{
    auto options = deployment.callersFor("s");
    options.submitters = 20;
    options.watchers = 20;
    options.pullers = 5;
    return options;
}

experiment_result judged(const cluster &deployment, const caller_load &load)
{
    experiment_result outcome;
    judge(deployment.runs(), load.refusals(), load.deliveredKeys(), outcome);
    return outcome;
}

std::string summary(const caller_load &load)
{
    return load.counts().toJson().dump();
}

// Counters of all stand-in targets and states of their target processes, for messages.
std::string targetSummary(cluster &deployment)
{
    std::string text;
    for (const auto &target : deployment.targets())
        text += '\n' + target.name + ' ' + deployment.targetCounts(target.name).dump()
            + deployment.status(target.name).dump();
    return text;
}

std::uint64_t counter(cluster &deployment, const std::string &target, const char *name)
{
    const auto counts = deployment.targetCounts(target);
    return counts.is_object() ? counts.value(name, std::uint64_t{0}) : 0;
}

} // namespace

TEST_CASE("promise 1: watches survive replaced entries, joining targets, a planned stop and "
          "changed records")
{
    cluster deployment(oneService(), programs);
    REQUIRE(deployment.start());
    std::this_thread::sleep_for(3s);
    deployment.setLink("*", "*", lossy);
    caller_load load(steadyLoad(deployment));
    std::this_thread::sleep_for(3s);
    deployment.sprayOver({"entry-2", "entry-3"});
    std::this_thread::sleep_for(200ms);
    deployment.terminate("entry-1");
    deployment.addEntry();
    REQUIRE(
        cluster::waitFor([&] { return deployment.status("entry-4").value("version", 0) > 0; }, 4s));
    deployment.sprayOver({"entry-2", "entry-3", "entry-4"});
    deployment.addTarget("s", "a");
    std::this_thread::sleep_for(3s);
    CHECK(deployment.operate({"record", "put", "stop", "s-2"}) == 0);
    std::this_thread::sleep_for(4s);
    const auto stopped = deployment.status("s-2");
    CAPTURE(stopped.dump());
    CHECK(stopped.value("state", "") == "drained");
    deployment.terminate("s-2");
    CHECK(deployment.operate({"record", "put", "service", "s", "slots=9"}) == 0);
    std::this_thread::sleep_for(6s);
    load.stop();
    INFO(summary(load) << targetSummary(deployment));
    const auto counts = load.counts();
    CHECK(counts.watchesBroken == 0);
    CHECK(counts.watchesEnded == 0);
    CHECK(counts.notifications > 100);
    CHECK(counts.wrongAnswers == 0);
    CHECK(counts.abandoned == 0);
    CHECK(judged(deployment, load).doubles == 0);
}

TEST_CASE("promise 3: a cold target gets no more than it bears, though its health endpoint lies")
{
    auto options = oneService(4);
    options.services[0].coldTime = 3000ms;
    options.services[0].healthLies = true;
    cluster deployment(options, programs);
    REQUIRE(deployment.start());
    auto callers = steadyLoad(deployment);
    callers.submitters = 60;
    callers.submitPause = 20ms;
    caller_load load(callers);
    std::this_thread::sleep_for(8s);
    deployment.turnCold("s-1");
    std::this_thread::sleep_for(4s);
    const auto joined = deployment.addTarget("s", "b");
    std::this_thread::sleep_for(6s);
    load.stop();
    INFO(summary(load) << targetSummary(deployment));
    for (const auto &target : deployment.targets()) {
        INFO(target.name << ' ' << deployment.targetCounts(target.name).dump());
        CHECK(counter(deployment, target.name, "toppled") == 0);
    }
    for (const auto *name : {"s-2", "s-3", "s-4"})
        CHECK(counter(deployment, name, "overloadedWhenCold") == 0);
    CHECK(counter(deployment, joined, "overloadedWhenCold") == 0);
    CHECK(load.counts().wrongAnswers == 0);
}

TEST_CASE("promise 4: no packet reaches a failure domain 3 s after it is out, not even from an "
          "entry cut off the platform")
{
    cluster deployment(oneService(), programs);
    REQUIRE(deployment.start());
    caller_load load(steadyLoad(deployment));
    std::this_thread::sleep_for(2s);
    deployment.cutPlatform("entry-1", true);
    std::this_thread::sleep_for(500ms);
    CHECK(deployment.operate({"record", "put", "domain", "b", "state=out"}) == 0);
    std::this_thread::sleep_for(3s);
    const auto packetsInB = [&] {
        std::uint64_t sum = 0;
        for (const auto &target : deployment.targets()) {
            if (target.domain == "b")
                sum += deployment.status(target.name).value("packets", std::uint64_t{0})
                    + counter(deployment, target.name, "requests");
        }
        return sum;
    };
    const auto before = packetsInB();
    CHECK(before > 0);
    std::this_thread::sleep_for(3s);
    CHECK(packetsInB() == before);
    CHECK(deployment.operate({"record", "put", "domain", "b", "state=in"}) == 0);
    std::this_thread::sleep_for(4s);
    CHECK(packetsInB() > before);
    load.stop();
    INFO(summary(load) << targetSummary(deployment));
    CHECK(load.counts().wrongAnswers == 0);
    CHECK(judged(deployment, load).falseRefusals == 0);
}

TEST_CASE("promise 5: callers get whole answers to their own requests when packets are late, "
          "crossed, doubled and lost")
{
    cluster deployment(oneService(), programs);
    REQUIRE(deployment.start());
    deployment.setLink(
        "*", "*", {.drop = 0.03, .duplicate = 0.2, .jitter = 60ms, .duplicateDelay = 900ms});
    deployment.setCallerFaults(
        {.drop = 0.03, .duplicate = 0.2, .jitter = 60ms, .duplicateDelay = 900ms});
    auto callers = steadyLoad(deployment);
    callers.uploadEvery = 3;
    caller_load load(callers);
    std::this_thread::sleep_for(12s);
    load.stop();
    INFO(summary(load) << targetSummary(deployment));
    const auto counts = load.counts();
    CHECK(counts.wrongAnswers == 0);
    CHECK(counts.delivered > 100);
    CHECK(counts.pulls > 20);
    const auto outcome = judged(deployment, load);
    CHECK(outcome.doubles == 0);
    CHECK(outcome.falseRefusals == 0);
    CHECK(outcome.lostReceipts == 0);
}

TEST_CASE("promise 7: no submission runs twice and no refusal is false under kills, freezes, cuts "
          "and outages")
{
    cluster deployment(oneService(), programs);
    REQUIRE(deployment.start());
    std::this_thread::sleep_for(2s);
    deployment.setLink("*", "*", lossy);
    deployment.setCallerFaults(lossy);
    auto callers = steadyLoad(deployment);
    callers.submitters = 60;
    caller_load load(callers);
    std::this_thread::sleep_for(2s);
    deployment.kill("s-1");
    std::this_thread::sleep_for(2s);
    deployment.startProcess("s-1");
    deployment.freeze("s-2");
    std::this_thread::sleep_for(5s);
    deployment.thaw("s-2");
    deployment.setPlatformFaults({{"down", true}});
    deployment.freeze("s-3");
    std::this_thread::sleep_for(2s);
    deployment.thaw("s-3");
    deployment.cut("s-4", "*");
    std::this_thread::sleep_for(2s);
    deployment.setPlatformFaults({{"down", false}});
    deployment.kill("entry-2");
    std::this_thread::sleep_for(1s);
    deployment.startProcess("entry-2");
    deployment.healLinks();
    std::this_thread::sleep_for(3s);
    load.stop();
    INFO(summary(load) << targetSummary(deployment));
    const auto outcome = judged(deployment, load);
    CHECK(outcome.doubles == 0);
    CHECK(outcome.falseRefusals == 0);
    CHECK(outcome.lostReceipts == 0);
    CHECK(load.counts().wrongAnswers == 0);
    CHECK(load.counts().delivered > 1000);
}

TEST_CASE("promise 8: a leaving target gets no new work after 3 s")
{
    cluster deployment(oneService(), programs);
    REQUIRE(deployment.start());
    caller_load load(steadyLoad(deployment));
    std::this_thread::sleep_for(2s);
    CHECK(counter(deployment, "s-3", "requests") > 0);
    CHECK(deployment.operate({"record", "put", "stop", "s-3"}) == 0);
    std::this_thread::sleep_for(3s);
    const auto before = counter(deployment, "s-3", "requests");
    std::this_thread::sleep_for(3s);
    CHECK(counter(deployment, "s-3", "requests") == before);
    load.stop();
    INFO(summary(load) << targetSummary(deployment));
    CHECK(load.counts().watchesBroken == 0);
}

TEST_CASE("promise 9: a planned stop cuts no request in progress")
{
    auto options = oneService();
    options.services[0].serviceTime = 300ms;
    cluster deployment(options, programs);
    REQUIRE(deployment.start());
    auto callers = steadyLoad(deployment);
    callers.submitters = 15;
    caller_load load(callers);
    std::this_thread::sleep_for(8s);
    const auto before = load.counts();
    CHECK(deployment.operate({"record", "put", "stop", "s-1"}) == 0);
    CHECK(cluster::waitFor(
        [&] { return deployment.status("s-1").value("state", "") == "drained"; }, 10s));
    deployment.terminate("s-1");
    deployment.terminate("target:s-1");
    std::this_thread::sleep_for(3s);
    load.stop();
    INFO("before " << before.toJson().dump() << " after " << summary(load));
    const auto counts = load.counts();
    CHECK(counts.unknown == before.unknown);
    CHECK(counts.timeouts == before.timeouts);
    CHECK(counts.watchesBroken == 0);
    CHECK(counts.delivered > before.delivered);
}

TEST_CASE(
    "promise 10: an accepted configuration is in force everywhere within 4 s and never reverts")
{
    cluster deployment(oneService(4), programs);
    REQUIRE(deployment.start());
    std::atomic<bool> ending = false;
    std::atomic<std::uint64_t> reverts = 0;
    std::jthread watcher([&] {
        std::map<std::string, std::uint64_t> highest;
        while (!ending) {
            for (const auto &name : {"entry-1", "entry-2", "entry-3", "s-1", "s-2", "s-3", "s-4"}) {
                const auto version = deployment.status(name).value("version", std::uint64_t{0});
                // A process that has just been started has no configuration yet.
                if (version != 0 && version < highest[name])
                    ++reverts;
                highest[name] = std::max(highest[name], version);
            }
        }
    });
    std::string output;
    for (int i = 0; i < 5; ++i) {
        INFO(output);
        CHECK(deployment.operate({"record", "put", "domain", "c",
                                     i % 2 == 0 ? "state=out" : "state=in", "--wait", "4s"},
                  &output)
            == 0);
    }
    deployment.cutPlatform("entry-2", true);
    CHECK(deployment.operate({"record", "put", "domain", "a", "state=out", "--wait", "4s"}, &output)
        == 0);
    deployment.setPlatformFaults({{"loseWriteAnswers", true}});
    CHECK(deployment.operate({"record", "put", "domain", "a", "state=in", "--wait", "4s"}, &output)
        == 0);
    CHECK(deployment.operate({"record", "withdraw", "domain", "c", "--wait", "4s"}, &output) == 0);
    deployment.setPlatformFaults({{"down", true}});
    deployment.kill("entry-3");
    deployment.startProcess("entry-3");
    CHECK(
        cluster::waitFor([&] { return deployment.status("entry-3").value("version", 0) > 0; }, 4s));
    deployment.setPlatformFaults({{"down", false}});
    deployment.cutPlatform("entry-2", false);
    CHECK(deployment.operate({"record", "put", "domain", "b", "state=out", "--wait", "4s"}, &output)
        == 0);
    ending = true;
    watcher.join();
    INFO(output);
    CHECK(reverts == 0);
}

TEST_CASE("promise 10: operators who race end in one state and are both told the truth")
{
    cluster deployment(oneService(3), programs);
    REQUIRE(deployment.start());
    constexpr int rounds = 6;
    for (int i = 0; i < rounds; ++i) {
        int left = -1;
        int right = -1;
        {
            std::jthread first([&] {
                left = deployment.operate({"record", "put", "standing", "s-1", "state=standby"});
            });
            std::jthread second([&] {
                right = deployment.operate({"record", "put", "standing", "s-1",
                    i % 2 == 0 ? "state=standby" : "state=serving"});
            });
        }
        std::string shown;
        CHECK(deployment.operate({"record", "show", "standing", "s-1", "--output", "json"}, &shown)
            == 0);
        const auto state = json::parse(shown)["records"][0]["record"]["state"].get<std::string>();
        INFO("round " << i << " exit " << left << ' ' << right << " state " << state);
        const int conflict = errorInfo(error_kind::conflict).exitCode;
        CHECK((left == 0 || left == conflict));
        CHECK((right == 0 || right == conflict));
        // Who was told of success last is in force; who was told of a conflict is not.
        if (i % 2 == 0)
            CHECK((left == 0 && right == 0 && state == "standby"));
        else if (left == conflict)
            CHECK(state == "serving");
        else if (right == conflict)
            CHECK(state == "standby");
    }
}

TEST_CASE("outage: service goes on while the platform is down, and a new entry starts from a peer")
{
    cluster deployment(oneService(4), programs);
    REQUIRE(deployment.start());
    deployment.setPlatformFaults({{"down", true}});
    caller_load load(steadyLoad(deployment));
    std::this_thread::sleep_for(2s);
    const auto name = deployment.addEntry();
    CHECK(cluster::waitFor([&] { return deployment.status(name).value("version", 0) > 0; }, 4s));
    CHECK(deployment.status(name).value("announced", true) == false);
    deployment.sprayOver({name});
    const auto before = load.counts().delivered;
    std::this_thread::sleep_for(3s);
    CHECK(load.counts().delivered > before + 50);
    std::string output;
    CHECK(deployment.operate({"record", "put", "domain", "a", "state=out"}, &output)
        == errorInfo(error_kind::platform_unavailable).exitCode);
    load.stop();
    INFO(summary(load) << output);
    CHECK(load.counts().watchesBroken == 0);
    CHECK(load.counts().abandoned == 0);
}

TEST_CASE("overload: goodput stays at 90% of what the targets bear when twice as much is asked for")
{
    auto options = oneService(4);
    options.services[0].serviceTime = 200ms;
    cluster deployment(options, programs);
    REQUIRE(deployment.start());
    auto callers = steadyLoad(deployment);
    // 240 callers with a pause of 300 ms ask for about 480 submissions a second when none is
    // refused; four targets with 10 slots and 200 ms a request bear 200.
    callers.submitters = 240;
    callers.submitPause = 300ms;
    callers.watchers = 0;
    callers.pullers = 0;
    callers.uploadEvery = 0;
    caller_load load(callers);
    std::this_thread::sleep_for(20s);
    const auto seconds = load.seconds();
    load.stop();
    std::uint64_t delivered = 0;
    constexpr std::size_t measured = 8;
    for (std::size_t i = seconds.size() - 1 - measured; i + 1 < seconds.size(); ++i)
        delivered += seconds[i].delivered;
    INFO(summary(load) << " delivered a second " << delivered / measured);
    CHECK(delivered >= measured * 200 * 9 / 10);
    for (const auto &target : deployment.targets())
        CHECK(counter(deployment, target.name, "toppled") == 0);
}

TEST_CASE("silence: a cut between one entry and one target process is routed around")
{
    cluster deployment(oneService(4), programs);
    REQUIRE(deployment.start());
    caller_load load(steadyLoad(deployment));
    std::this_thread::sleep_for(3s);
    deployment.setLink("entry-1", "s-1", {.cut = true});
    std::this_thread::sleep_for(5s);
    load.stop();
    INFO(summary(load) << targetSummary(deployment));
    CHECK(load.counts().watchesBroken == 0);
    CHECK(load.counts().abandoned == 0);
    CHECK(judged(deployment, load).doubles == 0);
}
