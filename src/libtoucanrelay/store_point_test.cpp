#include <catch2/catch.hpp>
#include <toucan/store_point.h>

using namespace toucan;

TEST_CASE("store point: an era comes before revisions, and revisions decide without one")
{
    CHECK(isLater({.era = 2, .revision = 5}, {.era = 1, .revision = 9}));
    CHECK_FALSE(isLater({.era = 1, .revision = 9}, {.era = 2, .revision = 5}));
    CHECK(isLater({.era = 0, .revision = 9}, {.era = 2, .revision = 5}));
    CHECK_FALSE(isLater({.era = 2, .revision = 5}, {.era = 0, .revision = 5}));
}

TEST_CASE("store point: one number keeps the order, and is the revision without an era")
{
    const store_point before{.era = 1, .revision = 1'000'000'000};
    const store_point after{.era = 2, .revision = 3};
    CHECK(packPoint(before) < packPoint(after));
    CHECK(unpackPoint(packPoint(after)) == after);
    CHECK(packPoint({.revision = 77}) == 77);
}

TEST_CASE("store restored: the copy's older configuration does not replace a newer one")
{
    const config_stamp inForce{.point = {.era = 1, .revision = 100}, .version = 18};
    const config_stamp copy{.point = {.era = 2, .revision = 90}, .version = 17};
    CHECK_FALSE(supersedes(copy, inForce));
    // A process that started since has only the copy's.
    CHECK(supersedes(inForce, copy));
    const config_stamp again{.point = {.era = 2, .revision = 93}, .version = 18};
    CHECK(supersedes(again, inForce));
    CHECK(supersedes(again, copy));
    CHECK_FALSE(supersedes(inForce, again));
}

TEST_CASE("store restored: a newer configuration with a lower revision is in force")
{
    CHECK(supersedes({.point = {.era = 2, .revision = 93}, .version = 19},
        {.point = {.era = 1, .revision = 100}, .version = 18}));
    CHECK_FALSE(supersedes({.point = {.era = 1, .revision = 100}, .version = 18},
        {.point = {.era = 2, .revision = 93}, .version = 19}));
}

TEST_CASE("store restored: an older version is believed once the era has settled")
{
    const config_stamp inForce{.point = {.era = 1, .revision = 100}, .version = 18};
    const config_stamp settled{.point = {.era = 2, .revision = 90}, .version = 17, .settled = true};
    CHECK(supersedes(settled, inForce));
    CHECK_FALSE(supersedes(inForce, settled));
    auto unsettled = settled;
    unsettled.settled = false;
    CHECK(supersedes(settled, unsettled));
    CHECK_FALSE(supersedes(unsettled, settled));
}

TEST_CASE("config stamp: an operator who goes back within an era is believed at once")
{
    CHECK(supersedes({.point = {.era = 1, .revision = 101}, .version = 17},
        {.point = {.era = 1, .revision = 100}, .version = 18}));
}
