#include <catch2/catch.hpp>
#include <cmath>
#include <numbers>
#include <platform/adapter.h>
#include <toucan/lab/relay_fleet.h>

using namespace toucan;
using namespace toucan::lab;
using namespace std::chrono_literals;

namespace {

// An answer is late that comes later than the request's own work takes at a target of usual speed,
// by more than this time.
constexpr auto tolerance = 150ms;

// Work of a flow's request, the same whichever target gets it: three in a hundred take seven times
// as long.
std::chrono::milliseconds heavyTail(std::size_t flow)
{
    std::mt19937 random(static_cast<unsigned>(flow * 2'654'435'761U));
    constexpr double longShare = 0.03;
    constexpr int longFactor = 7;
    return 50ms * (std::bernoulli_distribution(longShare)(random) ? longFactor : 1);
}

// Flows are numbered by their callers' addresses.
std::chrono::milliseconds heavyTail(const flow_key &flow)
{
    constexpr std::uint32_t numberMask = 0xffff;
    return heavyTail(flow.caller.ip & numberMask);
}

struct served
{
    std::size_t count = 0;
    double lateShare = 0;
    std::chrono::microseconds p99{}; ///< Beyond the work of a request.
    std::size_t atSlowTarget = 0; ///< Flows that the slow target took.
};

served judge(const relay_fleet &fleet, const std::vector<std::size_t> &flows)
{
    constexpr std::chrono::microseconds never{10'000'000};
    std::vector<std::chrono::microseconds> times(flows.size());
    std::ranges::transform(flows, times.begin(), [&](std::size_t flow) {
        const auto time = fleet.answeredAfter(flow);
        return time ? *time - heavyTail(flow) : never;
    });
    std::ranges::sort(times);
    const auto late = std::ranges::count_if(times, [](auto time) { return time > tolerance; });
    return {.count = times.size(),
        .lateShare = static_cast<double>(late) / static_cast<double>(times.size()),
        .p99 = times[times.size() * 99 / 100]};
}

// Opens flows at a rate that depends on the time, by domain; returns their numbers.
std::vector<std::size_t> play(relay_fleet &fleet, std::chrono::milliseconds time,
    const std::map<std::string, std::function<double(double seconds)>> &ratePerSecond,
    std::uint64_t seed)
{
    std::mt19937_64 random(seed);
    std::vector<std::size_t> flows;
    const auto start = fleet.now();
    while (fleet.now() - start < time) {
        const auto seconds = std::chrono::duration<double>(fleet.now() - start).count();
        for (const auto &[domain, rate] : ratePerSecond) {
            for (auto n = std::poisson_distribution<int>(rate(seconds) / 1000)(random); n > 0; --n)
                flows.push_back(fleet.openFlowIn(domain));
        }
        fleet.run(1ms);
    }
    return flows;
}

using fault = std::function<void(relay_fleet &)>;

constexpr std::size_t slowTarget = 2;

// Two failure domains, four targets each; one target takes five times as long. `inject` happens
// after half of the time.
served playSlowTarget(placement_policy place, std::uint64_t seed, work_estimator::parts parts = {},
    const fault &inject = {})
{
    constexpr int slowFactor = 5;
    relay_fleet fleet({.entries = 4,
                          .targets = 8,
                          .domains = {"a", "b"},
                          .seed = seed,
                          .slots = 4,
                          .place = place,
                          .estimator = parts,
                          .workOf =
                              [](std::size_t target, const flow_key &flow, std::uint32_t) {
                                  return heavyTail(flow) * (target == slowTarget ? slowFactor : 1);
                              },
                          .domainDelay = 450us},
        platform::segments());
    fleet.run(4s);
    const auto rate = [](double) { return 165.0; };
    auto flows = play(fleet, 8s, {{"a", rate}, {"b", rate}}, seed);
    if (inject)
        inject(fleet);
    const auto later = play(fleet, 8s, {{"a", rate}, {"b", rate}}, seed + 1000);
    flows.insert(flows.end(), later.begin(), later.end());
    fleet.run(4s);
    CHECK(fleet.violations().empty());
    auto result = judge(fleet, flows);
    result.atSlowTarget = fleet.openingsTaken(slowTarget);
    return result;
}

// Demand of two failure domains swings in antiphase at nine tenths of the whole capacity, or all
// targets and callers are in one.
served playWaves(placement_policy place, std::uint64_t seed, bool isOnePool)
{
    constexpr std::size_t targets = 8;
    constexpr std::size_t slots = 4;
    constexpr double meanSeconds = 0.059;
    constexpr double use = 0.9;
    constexpr double swing = 0.55;
    constexpr double periodSeconds = 8;
    relay_fleet fleet({.entries = 4,
                          .targets = targets,
                          .domains = isOnePool ? std::vector<std::string>{"a"}
                                               : std::vector<std::string>{"a", "b"},
                          .seed = seed,
                          .slots = slots,
                          .place = place,
                          .workOf = [](std::size_t, const flow_key &flow,
                                        std::uint32_t) { return heavyTail(flow); },
                          .domainDelay = 2400us},
        platform::segments());
    fleet.run(4s);
    constexpr auto perDomain = use * targets * slots / meanSeconds / 2;
    const auto rate = [&](double sign) {
        return [=](double seconds) {
            const auto phase = 2 * std::numbers::pi * seconds / periodSeconds;
            return perDomain * (1 + sign * swing * std::sin(phase));
        };
    };
    const auto flows = isOnePool
        ? play(fleet, 16s, {{"a", [&](double) { return 2 * perDomain; }}}, seed)
        : play(fleet, 16s, {{"a", rate(1)}, {"b", rate(-1)}}, seed);
    fleet.run(4s);
    CHECK(fleet.violations().empty());
    return judge(fleet, flows);
}

// A failure domain is cut off for some seconds; the flows opened in the two seconds after it heals.
served playHealedCut(placement_policy place, std::uint64_t seed)
{
    relay_fleet fleet({.entries = 4,
                          .targets = 8,
                          .domains = {"a", "b"},
                          .seed = seed,
                          .slots = 4,
                          .place = place,
                          .workOf = [](std::size_t, const flow_key &flow,
                                        std::uint32_t) { return heavyTail(flow); },
                          .domainDelay = 2400us},
        platform::segments());
    fleet.run(4s);
    const auto rate = [](double) { return 190.0; };
    play(fleet, 4s, {{"a", rate}, {"b", rate}}, seed);
    fleet.setDomainCut("b", true);
    play(fleet, 4s, {{"a", rate}, {"b", rate}}, seed + 1);
    fleet.setDomainCut("b", false);
    const auto flows = play(fleet, 2s, {{"a", rate}, {"b", rate}}, seed + 2);
    fleet.run(4s);
    return judge(fleet, flows);
}

std::string describe(const served &result)
{
    return "late " + std::to_string(result.lateShare) + " p99 "
        + std::to_string(result.p99.count() / 1000) + " ms of " + std::to_string(result.count)
        + ", at the slow target " + std::to_string(result.atSlowTarget);
}

} // namespace

TEST_CASE("work: a slow target and a heavy tail cost callers less than under placement by load")
{
    double lateByLoad = 0;
    double lateByWork = 0;
    for (std::uint64_t seed = 1; seed <= 3; ++seed) {
        const auto byLoad = playSlowTarget(placeByLoad, seed);
        const auto byWork = playSlowTarget(placeByWork, seed);
        UNSCOPED_INFO(
            "seed " << seed << ", load: " << describe(byLoad) << "; work: " << describe(byWork));
        CHECK(byWork.p99 < byLoad.p99);
        lateByLoad += byLoad.lateShare / 3;
        lateByWork += byWork.lateShare / 3;
    }
    // Half of the callers that wait beyond the tolerance need no longer wait.
    CHECK(lateByWork < lateByLoad / 2);
}

TEST_CASE("work: parts of the estimate, each switched off", "[.ablation]")
{
    for (std::uint64_t seed = 1; seed <= 3; ++seed) {
        WARN("seed " << seed << ", load: " << describe(playSlowTarget(placeByLoad, seed))
                     << "; work: " << describe(playSlowTarget(placeByWork, seed))
                     << "; no residual: "
                     << describe(playSlowTarget(placeByWork, seed, {.residual = false}))
                     << "; no routes: "
                     << describe(playSlowTarget(placeByWork, seed, {.byRoute = false})));
        WARN("waves, load: " << describe(playWaves(placeByLoad, seed, false))
                             << "; work: " << describe(playWaves(placeByWork, seed, false))
                             << "; one pool: " << describe(playWaves(placeByLoad, seed, true)));
        WARN("healed, load: " << describe(playHealedCut(placeByLoad, seed))
                              << "; work: " << describe(playHealedCut(placeByWork, seed)));
    }
}

TEST_CASE("work: waves in antiphase are served like one pool")
{
    for (std::uint64_t seed = 1; seed <= 3; ++seed) {
        const auto waves = playWaves(placeByWork, seed, false);
        const auto pool = playWaves(placeByWork, seed, true);
        INFO("seed " << seed << ", waves: " << describe(waves) << "; pool: " << describe(pool));
        CHECK(waves.lateShare <= pool.lateShare + 0.01);
    }
}

TEST_CASE("work: a failure domain that was cut off is not overrun when it is back")
{
    for (std::uint64_t seed = 1; seed <= 3; ++seed) {
        const auto byLoad = playHealedCut(placeByLoad, seed);
        const auto byWork = playHealedCut(placeByWork, seed);
        INFO("seed " << seed << ", load: " << describe(byLoad) << "; work: " << describe(byWork));
        CHECK(byWork.lateShare <= byLoad.lateShare + 0.01);
    }
}

TEST_CASE("work: a process that has forgotten what it learned costs no more than by load")
{
    const fault restart = [](relay_fleet &fleet) {
        fleet.killProcess(slowTarget);
        fleet.startProcess(slowTarget);
    };
    // Reports of the slow target reach one entry only, so that the others go by old figures.
    const fault loseReports = [](relay_fleet &fleet) {
        for (const std::size_t entry : {0, 2})
            fleet.setCut(entry, slowTarget, true);
    };
    for (const auto &inject : {restart, loseReports}) {
        const auto byLoad = playSlowTarget(placeByLoad, 1, {}, inject);
        const auto byWork = playSlowTarget(placeByWork, 1, {}, inject);
        INFO("load: " << describe(byLoad) << "; work: " << describe(byWork));
        CHECK(byWork.lateShare < byLoad.lateShare);
    }
}
