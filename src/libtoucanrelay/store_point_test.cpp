#include <catch2/catch.hpp>
#include <toucan/store_point.h>

using namespace toucan;

TEST_CASE("store point: eras are compared before revisions, and revisions decide without an era")
{
    CHECK(isLater({.era = 2, .revision = 5}, {.era = 1, .revision = 9}));
    CHECK_FALSE(isLater({.era = 1, .revision = 9}, {.era = 2, .revision = 5}));
    CHECK(isLater({.era = 0, .revision = 9}, {.era = 2, .revision = 5}));
    CHECK_FALSE(isLater({.era = 0, .revision = 5}, {.era = 2, .revision = 5}));
}

TEST_CASE("store point: a packed point keeps the order, and is the revision without an era")
{
    const store_point before{.era = 1, .revision = 1'000'000'000};
    const store_point after{.era = 2, .revision = 3};
    CHECK(packPoint(before) < packPoint(after));
    CHECK(unpackPoint(packPoint(after)) == after);
    CHECK(packPoint({.revision = 77}) == 77);
}

TEST_CASE("store restored: the copy's older configuration does not replace a newer one")
{
    const config_order order;
    const config_stamp inForce{.point = {.era = 1, .revision = 100}, .version = 18};
    const config_stamp copy{.point = {.era = 2, .revision = 90}, .version = 17};
    CHECK_FALSE(order.supersedes(copy, inForce));
    // A process that started after the restore has only the copy's configuration.
    CHECK(order.supersedes(inForce, copy));
    const config_stamp again{.point = {.era = 2, .revision = 93}, .version = 18};
    CHECK(order.supersedes(again, inForce));
    CHECK(order.supersedes(again, copy));
    CHECK_FALSE(order.supersedes(inForce, again));
}

TEST_CASE("store restored: a newer configuration with a lower revision is in force")
{
    const config_order order;
    const config_stamp before{.point = {.era = 1, .revision = 100}, .version = 18};
    const config_stamp after{.point = {.era = 2, .revision = 93}, .version = 19};
    CHECK(order.supersedes(after, before));
    CHECK_FALSE(order.supersedes(before, after));
}

TEST_CASE("store restored: an older version is accepted once the era has settled")
{
    config_order order;
    const config_stamp inForce{.point = {.era = 1, .revision = 100}, .version = 18};
    const config_stamp copy{.point = {.era = 2, .revision = 90}, .version = 17};
    CHECK(order.settle(2));
    CHECK_FALSE(order.settle(1));
    CHECK(order.supersedes(copy, inForce));
    CHECK_FALSE(order.supersedes(inForce, copy));
}

TEST_CASE("store restored: an outdated process does not undo a return to an older version")
{
    config_order order;
    order.settle(2);
    const config_stamp leftBehind{.point = {.era = 1, .revision = 9}, .version = 10};
    const config_stamp newer{.point = {.era = 2, .revision = 5}, .version = 11};
    const config_stamp back{.point = {.era = 2, .revision = 6}, .version = 9};
    CHECK(order.supersedes(newer, leftBehind));
    CHECK(order.supersedes(back, newer));
    CHECK_FALSE(order.supersedes(leftBehind, back));
    CHECK(order.supersedes(back, leftBehind));
}

TEST_CASE("config order: a return to an older version within an era takes effect at once")
{
    const config_order order;
    CHECK(order.supersedes({.point = {.era = 1, .revision = 101}, .version = 17},
        {.point = {.era = 1, .revision = 100}, .version = 18}));
}
