#include <catch2/catch.hpp>
#include <toucan/flow_table_keeper.h>

using namespace toucan;
using namespace std::chrono_literals;

namespace {

constexpr endpoint process{.ip = 0x0a020001, .port = 7000};
constexpr flow_key flow{
    .caller = {.ip = 0x64400001, .port = 40001}, .service = {.ip = 0xc6120001, .port = 443}};

flow_table_page pageOf(std::uint64_t boot, std::uint64_t page = 0, std::uint64_t pages = 1)
{
    return {.member = "t1",
        .boot = boot,
        .page = page,
        .pages = pages,
        .complete = true,
        .flows = {{.caller = flow.caller, .service = flow.service, .open = true}}};
}

bool isReturned(const flow_table_keeper &keeper, instant now, std::uint64_t newBoot,
    std::uint64_t knownBoot = 0)
{
    return !keeper.pagesFor(now, process, {.member = "t1", .boot = newBoot}, knownBoot).empty();
}

} // namespace

TEST_CASE(
    "flow tables: a table is returned to the next start of its process once all pages are there")
{
    const instant now = 1000s;
    flow_table_keeper keeper;
    CHECK_FALSE(keeper.keep(now, process, pageOf(1, 0, 2)));
    CHECK_FALSE(isReturned(keeper, now, 2));
    const auto table = keeper.keep(now, process, pageOf(1, 1, 2));
    REQUIRE(table);
    CHECK(table->complete);
    CHECK_FALSE(keeper.keep(now, process, pageOf(1, 1, 2)));
    CHECK(keeper.pagesFor(now, process, {.member = "t1", .boot = 2}, 1).size() == 2);
    CHECK_FALSE(isReturned(keeper, now, 1));
    CHECK(keeper.pagesFor(now, process, {.member = "t9", .boot = 2}, 0).empty());
    CHECK_FALSE(isReturned(keeper, now + flow_table_keeper::retention + 1ms, 2));
}

TEST_CASE("flow tables: a table is not returned after a start that may have opened flows")
{
    const instant now = 1000s;
    flow_table_keeper keeper;
    keeper.keep(now, process, pageOf(1));
    SECTION("reported here")
    {
        CHECK_FALSE(keeper.recordStart(now, process, 1, now));
        CHECK_FALSE(keeper.recordStart(now, process, 2, now));
        CHECK(isReturned(keeper, now, 2));
        CHECK_FALSE(isReturned(keeper, now, 3));
        CHECK(keeper.recordStart(now, process, 3, now));
        CHECK(keeper.size() == 0);
    }
    SECTION("news of the start before the table")
    {
        CHECK_FALSE(keeper.recordStart(now, process, 9, now - 1ms));
        CHECK_FALSE(keeper.recordStart(now, process, 2, now));
        CHECK(isReturned(keeper, now, 2));
    }
    SECTION("known from another entry")
    {
        CHECK(isReturned(keeper, now, 3, 1));
        CHECK_FALSE(isReturned(keeper, now, 3, 2));
    }
}

TEST_CASE("flow tables: a start that accepted no opening does not take a table out of use")
{
    const instant now = 1000s;
    flow_table_keeper keeper;
    keeper.keep(now, process, pageOf(1));
    SECTION("its request came first")
    {
        keeper.recordStart(now, process, 2, now);
        keeper.recordUnused(process, 2);
    }
    SECTION("its statement came first")
    {
        keeper.recordUnused(process, 2);
        keeper.recordStart(now, process, 2, now);
    }
    CHECK(keeper.ownerOf(now, flow) == process);
    CHECK(isReturned(keeper, now, 3, 2));
    auto found = pageOf(2);
    found.complete = false;
    found.unused = true;
    CHECK_FALSE(keeper.keep(now, process, found));
    CHECK_FALSE(keeper.recordStart(now, process, 3, now));
    REQUIRE(isReturned(keeper, now, 3, 3));
    CHECK(keeper.pagesFor(now, process, {.member = "t1", .boot = 3}, 0).front().boot == 1);
}

TEST_CASE("flow tables: late pages of an earlier start do not replace a newer table")
{
    const instant now = 1000s;
    flow_table_keeper keeper;
    keeper.keep(now, process, pageOf(1));
    keeper.recordStart(now, process, 2, now);
    CHECK(keeper.keep(now, process, pageOf(2)));
    CHECK_FALSE(keeper.keep(now, process, pageOf(1)));
    REQUIRE(isReturned(keeper, now, 3));
    CHECK(keeper.pagesFor(now, process, {.member = "t1", .boot = 3}, 0).front().boot == 2);
}

TEST_CASE("flow tables: the owner of a flow is known while its process is stopped only")
{
    const instant now = 1000s;
    flow_table_keeper keeper;
    CHECK_FALSE(keeper.ownerOf(now, flow));
    keeper.keep(now, process, pageOf(1));
    CHECK(keeper.ownerOf(now, flow) == process);
    CHECK_FALSE(keeper.ownerOf(now, {.caller = flow.service, .service = flow.service}));
    keeper.recordStart(now, process, 2, now);
    CHECK_FALSE(keeper.ownerOf(now, flow));
}

TEST_CASE("flow tables: pages out of range are not kept, and old tables are dropped")
{
    const instant now = 1000s;
    flow_table_keeper keeper;
    CHECK_FALSE(keeper.keep(now, process, pageOf(1, 1, 1)));
    CHECK_FALSE(keeper.keep(now, process, pageOf(1, 0, 0)));
    CHECK_FALSE(keeper.keep(now, process, pageOf(1, 0, flow_table_keeper::maxPages + 1)));
    CHECK_FALSE(keeper.keep(now, process, pageOf(0)));
    CHECK(keeper.size() == 0);
    for (std::uint16_t port = 0; port <= flow_table_keeper::maxTables; ++port)
        keeper.keep(now, {.ip = process.ip, .port = port}, pageOf(1));
    CHECK(keeper.size() == flow_table_keeper::maxTables);
    keeper.sweep(now + flow_table_keeper::retention + 1ms);
    CHECK(keeper.size() == 0);
}
