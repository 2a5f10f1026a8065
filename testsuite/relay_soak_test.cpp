#include <catch2/catch.hpp>
#include <toucan/lab/relay_soak.h>

using namespace toucan::lab;
using namespace std::chrono_literals;

namespace {

std::string listOf(const std::vector<std::string> &lines)
{
    std::string text;
    for (const auto &line : lines)
        text += '\n' + line;
    return text;
}

void soakWith(std::uint64_t seed, bool restores = false, bool planned = false)
{
    relay_soak soak({.programs = TOUCAN_PROGRAMS,
        .seed = seed,
        .faultTime = 12s,
        .restores = restores,
        .planned = planned});
    const auto result = soak.run();
    INFO("seed " << seed << ", logs in " << result.logs.string()
                 << ", faults:" << listOf(result.faults));
    CHECK(result.outcome.answered > 1000);
    CHECK(listOf(result.violations).empty());
}

} // namespace

// `toucanlab soak` plays more seeds.
TEST_CASE("soak: the relay programs keep the platform's rules under faults from outside")
{
    soakWith(20261204);
}

// Entries reset flows whose target's process had stopped for planned work 4 s before.
TEST_CASE("soak: seed 21, planned stops of targets' processes")
{
    soakWith(21);
}

// The soak judged a service whose only targets were out of service and just leaving; it takes the
// domain in now and waits for all targets before it judges the recovery.
TEST_CASE("soak: seed 2052, a domain out and the last target of a service replaced")
{
    soakWith(2052);
}

TEST_CASE("soak: the rules are kept while the store comes back from older copies")
{
    soakWith(20261205, true);
}

// Flows of targets were reset between their last reports and their ends.
TEST_CASE(
    "soak: planned work in overlapping series, with targets that serve after their last report")
{
    soakWith(391001, false, true);
}
