#include <catch2/catch.hpp>
#include <toucan/start_history.h>

using namespace toucan;
using namespace std::chrono_literals;

namespace {

constexpr endpoint process{.ip = 0x0a020001, .port = 7000};

std::vector<std::uint64_t> bootsOf(const std::vector<heard_start> &starts)
{
    std::vector<std::uint64_t> boots;
    std::ranges::transform(starts, std::back_inserter(boots), &heard_start::boot);
    return boots;
}

} // namespace

TEST_CASE("start history: starts are listed in the order first heard, with their times")
{
    start_history history;
    history.recordHeard(1000s, process, 1);
    history.recordHeard(1001s, process, 2);
    // A message of the first start that was read late.
    history.recordHeard(1002s, process, 1);
    history.recordHeard(1003s, process, 3);
    history.recordHeard(1003s, process, 0);
    const auto starts = history.startsOf(1004s, process, 3);
    CHECK(bootsOf(starts) == std::vector<std::uint64_t>{1, 2});
    CHECK(starts.at(0).firstHeardMs == 4000);
    CHECK(starts.at(0).lastHeardMs == 2000);
    CHECK(starts.at(1).lastHeardMs == 3000);
    CHECK(history.startsOf(1004s, {.ip = 1, .port = 1}, 3).empty());
}

TEST_CASE("start history: a start counts as unused once it has stated so")
{
    start_history history;
    history.recordHeard(1000s, process, 1);
    history.recordUnused(1001s, process, 2);
    history.recordHeard(1002s, process, 2);
    const auto starts = history.startsOf(1002s, process, 3);
    REQUIRE(starts.size() == 2);
    CHECK_FALSE(starts.at(0).unused);
    CHECK(starts.at(1).unused);
}

TEST_CASE("start history: starts are forgotten after the time for which tables are kept")
{
    start_history history;
    const instant begin = 1000s;
    history.recordHeard(begin, process, 1);
    history.recordHeard(begin + 1s, process, 2);
    const auto later = begin + start_history::retention + 1ms;
    CHECK(bootsOf(history.startsOf(later, process, 3)) == std::vector<std::uint64_t>{2});
    history.sweep(later + 1s);
    CHECK(history.size() == 0);
    for (std::uint64_t boot = 1; boot <= start_history::maxStarts + 4; ++boot)
        history.recordHeard(begin, process, boot);
    CHECK(history.startsOf(begin, process, 0).size() == start_history::maxStarts);
    CHECK(history.startsOf(begin, process, 0).back().boot == start_history::maxStarts + 4);
}
