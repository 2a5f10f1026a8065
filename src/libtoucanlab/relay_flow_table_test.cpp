// Flow tables of emulated fleets whose processes start more than once within seconds.

#include <algorithm>
#include <array>
#include <catch2/catch.hpp>
#include <numeric>
#include <platform/adapter.h>
#include <toucan/lab/relay_fleet.h>

using namespace toucan;
using namespace toucan::lab;
using namespace std::chrono_literals;

namespace {

relay_fleet makeFleet(relay_fleet_options options)
{
    return {std::move(options), platform::segments()};
}

// Opens flows at the first target, as all others drain.
std::vector<std::size_t> openFlowsAtFirst(relay_fleet &fleet, std::size_t count)
{
    for (std::size_t target = 1; target < fleet.targetCount(); ++target)
        fleet.drainTarget(target);
    fleet.run(1500ms);
    std::vector<std::size_t> flows(count);
    std::ranges::generate(flows, [&] {
        fleet.run(10ms);
        return fleet.openFlow();
    });
    fleet.run(200ms);
    return flows;
}

void requestAll(relay_fleet &fleet, const std::vector<std::size_t> &flows)
{
    std::ranges::for_each(flows, [&](std::size_t flow) { fleet.request(flow); });
}

std::size_t strayedSegments(const relay_fleet &fleet, const std::vector<std::size_t> &flows)
{
    return std::accumulate(flows.begin(), flows.end(), std::size_t{},
        [&](std::size_t sum, std::size_t flow) { return sum + fleet.strayedSegments(flow); });
}

// The only entry of the process's domain misses the notice; flows are asked for through it from
// `quiet` after the stop.
void checkMissedNotice(void (*miss)(relay_fleet &), void (*resume)(relay_fleet &),
    std::chrono::milliseconds quiet, std::uint64_t seed)
{
    auto fleet = makeFleet({.entries = 3, .targets = 6, .seed = seed});
    fleet.run(3s);
    for (std::size_t target = 0; target < 6; ++target) {
        if (target != 2)
            fleet.drainTarget(target);
    }
    fleet.run(1500ms);
    fleet.useEntries({0, 1});
    std::vector<std::size_t> flows(10);
    std::ranges::generate(flows, [&] {
        fleet.run(5ms);
        return fleet.openFlow();
    });
    fleet.run(500ms);
    miss(fleet);
    fleet.run(200ms);
    fleet.leaveProcess(2);
    fleet.run(300ms);
    resume(fleet);
    fleet.useEntries({2});
    fleet.run(quiet - 300ms);
    // The process is away for 12 s, less than plannedStopTime.
    for (auto time = quiet; time < 12s; time += 500ms) {
        std::ranges::for_each(flows, [&](std::size_t flow) { fleet.request(flow); });
        fleet.run(500ms);
    }
    INFO("seed " << seed << ", quiet for " << quiet.count() << " ms");
    CHECK(fleet.outcome().opened == flows.size());
    CHECK(std::ranges::all_of(
        flows, [&](std::size_t flow) { return fleet.holder(flow) == std::size_t{2}; }));
    CHECK(fleet.outcome().resetOpen == 0);
    fleet.startProcess(2);
    fleet.run(2s);
    CHECK(fleet.violations().empty());
}

} // namespace

TEST_CASE("relay: flows of a start that left no table are not reset on the word of an older table")
{
    for (std::uint64_t seed = 1; seed <= 5; ++seed) {
        auto fleet = makeFleet({.entries = 3, .targets = 6, .domains = {"a", "b"}, .seed = seed});
        fleet.run(4s);
        // Only the first entry hears of the second start.
        fleet.leaveProcess(0);
        fleet.run(300ms);
        fleet.setCut(2, 0, true);
        fleet.setCut(1, 0, true);
        fleet.startProcess(0);
        fleet.run(1500ms);
        fleet.useEntries({0});
        const auto flows = openFlowsAtFirst(fleet, 10);
        fleet.killProcess(0);
        fleet.setCut(2, 0, false);
        fleet.setCut(1, 0, false);
        fleet.startProcess(0);
        fleet.run(5s);
        requestAll(fleet, flows);
        fleet.run(2s);
        INFO("seed " << seed);
        CHECK(fleet.outcome().resetOpen == 0);
        CHECK(fleet.violations().empty());
    }
}

// The next start took report 1 for the first one of the target and denied all of its flows.
TEST_CASE("relay: flows survive a kill of their process between reports 0 and 1 of the target")
{
    for (std::uint64_t seed = 1; seed <= 5; ++seed) {
        auto fleet = makeFleet(
            {.entries = 3, .targets = 6, .domains = {"a", "b"}, .seed = seed, .firstReport = 0});
        fleet.run(4s);
        for (std::size_t target = 1; target < fleet.targetCount(); ++target)
            fleet.drainTarget(target);
        fleet.crashTarget(0);
        fleet.run(2s);
        fleet.startTarget(0);
        fleet.run(100ms);
        std::vector<std::size_t> flows(10);
        std::ranges::generate(flows, [&] {
            fleet.run(10ms);
            return fleet.openFlow();
        });
        fleet.run(200ms);
        fleet.killProcess(0);
        fleet.run(100ms);
        fleet.startProcess(0);
        fleet.run(7s);
        requestAll(fleet, flows);
        fleet.run(2s);
        INFO("seed " << seed);
        CHECK(fleet.outcome().opened == flows.size());
        CHECK(fleet.outcome().resetOpen == 0);
        CHECK(fleet.violations().empty());
    }
}

TEST_CASE("relay: flows are found after processes stopped as planned before they had their tables")
{
    constexpr std::size_t targets = 12;
    // Times for which the starts in between run: no entry has heard of them, none has returned a
    // table yet, some have, all have.
    constexpr std::array lifetimes{0ms, 1ms, 2ms, 3ms, 5ms, 20ms};
    for (std::uint64_t seed = 1; seed <= 3; ++seed) {
        for (const auto lifetime : lifetimes) {
            auto fleet = makeFleet({.entries = 3, .targets = targets, .seed = seed});
            fleet.run(4s);
            std::vector<std::size_t> flows(60);
            std::ranges::generate(flows, [&] {
                fleet.run(10ms);
                return fleet.openFlow();
            });
            fleet.run(300ms);
            // The end of a handshake reaches a target that does not hold the flow yet.
            fleet.forgetStrayed();
            for (std::size_t target = 0; target < targets; ++target)
                fleet.leaveProcess(target);
            fleet.run(300ms);
            for (std::size_t target = 0; target < targets; ++target)
                fleet.startProcess(target);
            fleet.run(lifetime);
            for (std::size_t target = 0; target < targets; ++target)
                fleet.leaveProcess(target);
            fleet.run(300ms);
            for (std::size_t target = 0; target < targets; ++target)
                fleet.startProcess(target);
            fleet.run(2s);
            // The new entry knows no owner.
            const auto added = fleet.addEntry();
            fleet.run(3s);
            fleet.useEntries({added});
            requestAll(fleet, flows);
            fleet.run(3s);
            INFO("seed " << seed << ", " << lifetime.count() << " ms");
            CHECK(strayedSegments(fleet, flows) == 0);
            CHECK(std::ranges::all_of(
                flows, [&](std::size_t flow) { return fleet.wasAnswered(flow); }));
            CHECK(fleet.violations().empty());
        }
    }
}

TEST_CASE("relay: no flow is reset whose process stopped for 12 s while its entry was down")
{
    for (const auto quiet : {500ms, 4500ms}) {
        for (std::uint64_t seed = 1; seed <= 3; ++seed)
            checkMissedNotice([](relay_fleet &fleet) { fleet.killEntry(2); },
                [](relay_fleet &fleet) { fleet.startEntry(2); }, quiet, seed);
    }
}

TEST_CASE("relay: no flow is reset whose process stopped for 12 s while its entry was paused")
{
    for (const auto quiet : {500ms, 4500ms}) {
        for (std::uint64_t seed = 1; seed <= 3; ++seed)
            checkMissedNotice([](relay_fleet &fleet) { fleet.pauseEntry(2, 500ms); },
                [](relay_fleet &) {}, quiet, seed);
    }
}
