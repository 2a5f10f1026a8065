#include <algorithm>
#include <catch2/catch.hpp>
#include <toucan/directory_census.h>

using namespace toucan;

namespace {

endpoint peerOf(std::uint32_t number)
{
    return {.ip = 0x0a010000U + number, .port = 7000};
}

// The records of entries e1 to eN, all of version 1.
std::vector<listed_entry> entries(std::uint32_t count)
{
    std::vector<listed_entry> list(count);
    for (std::uint32_t i = 0; i < count; ++i)
        list[i] = {.name = "e" + std::to_string(i + 1), .peer = peerOf(i + 1), .version = 1};
    return list;
}

census_finding round(
    directory_census &census, std::vector<listed_entry> records, const std::vector<endpoint> &alive)
{
    census.begin(std::move(records));
    census.recordAlive(alive);
    return census.conclude();
}

} // namespace

TEST_CASE("directory: a record whose entry is silent in two rounds was left behind")
{
    directory_census census("e1");
    CHECK(round(census, entries(3), {peerOf(2)}).gone.empty());
    const auto found = round(census, entries(3), {peerOf(2)});
    REQUIRE(found.gone.size() == 1);
    CHECK(found.gone[0].name == "e3");
    CHECK(found.listed == 2);
    CHECK(found.alive == 1);
}

TEST_CASE("directory: an entry that answers in between, or was restarted, keeps its record")
{
    directory_census census("e1");
    CHECK(round(census, entries(3), {peerOf(2)}).gone.empty());
    CHECK(round(census, entries(3), {peerOf(2), peerOf(3)}).gone.empty());
    CHECK(round(census, entries(3), {peerOf(2)}).gone.empty());
    auto again = entries(3);
    again[2].version = 2;
    CHECK(round(census, again, {peerOf(2)}).gone.empty());
}

TEST_CASE("directory: an entry that receives messages of few others removes no record")
{
    directory_census census("e1");
    for (int i = 0; i < 3; ++i)
        CHECK(round(census, entries(4), {peerOf(2)}).gone.empty());
    CHECK(round(census, entries(4), {peerOf(2), peerOf(3)}).gone.size() == 1);
}

TEST_CASE("directory: a missing record or one with old addresses is detected")
{
    const auto records = entries(1);
    CHECK(isListed(records, records[0]));
    CHECK_FALSE(isListed(records, {.name = "e9", .peer = records[0].peer}));
    CHECK_FALSE(isListed(records, {.name = "e1", .peer = peerOf(9)}));
    CHECK_FALSE(
        isListed(records, {.name = "e1", .peer = records[0].peer, .control = records[0].peer}));
}
