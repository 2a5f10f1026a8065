#include <catch2/catch.hpp>
#include <toucan/flow_table_proof.h>

using namespace toucan;
using namespace std::chrono_literals;

namespace {

constexpr instant now = 1000s;
constexpr endpoint first{.ip = 0x0a010001, .port = 7000};
constexpr endpoint second{.ip = 0x0a010002, .port = 7000};
constexpr endpoint third{.ip = 0x0a010003, .port = 7000};

flow_table_statement statementOf(std::vector<heard_start> starts)
{
    return {.member = "t1", .boot = 9, .starts = std::move(starts)};
}

flow_table_proof proofOf(std::vector<std::uint64_t> earlier = {})
{
    flow_table_proof proof;
    proof.setTable({.boot = 1, .keepers = {first, second}, .earlier = std::move(earlier)});
    return proof;
}

constexpr heard_start sender{.boot = 1, .firstHeardMs = 5000, .lastHeardMs = 2000};

} // namespace

TEST_CASE("flow table proof: keepers and other entries that were asked have to state")
{
    auto proof = proofOf();
    proof.add(now, first, statementOf({}));
    CHECK(proof.missing({}) == std::vector{second});
    CHECK(proof.missing(std::vector{first, third}) == std::vector{second, third});
    proof.add(now, second, statementOf({sender}));
    CHECK(proof.missing({}).empty());
    CHECK(proof.statements() == 2);
}

TEST_CASE("flow table proof: a start that was not heard before the table's may have opened flows")
{
    const auto startBetween = [](const heard_start &item, bool hearsSender) {
        auto proof = proofOf();
        proof.add(now, first, statementOf({}));
        proof.add(now, second, hearsSender ? statementOf({sender, item}) : statementOf({item}));
        return proof.startBetween();
    };
    CHECK(startBetween({.boot = 2, .firstHeardMs = 900, .lastHeardMs = 100}, true) == 2);
    CHECK(startBetween({.boot = 2, .firstHeardMs = 9000, .lastHeardMs = 7000}, false) == 2);
    CHECK_FALSE(startBetween({.boot = 2, .firstHeardMs = 9000, .lastHeardMs = 7000}, true));
    // Messages of either start may have been read late.
    CHECK(startBetween({.boot = 2, .firstHeardMs = 9000, .lastHeardMs = 100}, true) == 2);
    CHECK(startBetween({.boot = 2, .firstHeardMs = 900, .lastHeardMs = 3000}, true) == 2);
}

TEST_CASE("flow table proof: starts that opened nothing or whose flows are included do not count")
{
    const heard_start between{.boot = 2, .firstHeardMs = 900, .lastHeardMs = 100};
    auto proof = proofOf({7});
    proof.add(now, first, statementOf({sender, between}));
    CHECK(proof.startBetween() == 2);
    auto unused = between;
    unused.unused = true;
    proof.add(now, second, statementOf({unused, {.boot = 7, .firstHeardMs = 9000}}));
    CHECK_FALSE(proof.startBetween());
}

TEST_CASE("flow table proof: a start that an entry forgets has been heard nevertheless")
{
    const heard_start between{.boot = 2, .firstHeardMs = 900, .lastHeardMs = 100};
    auto proof = proofOf();
    proof.add(now, first, statementOf({sender, between}));
    proof.add(now + 15s, first, statementOf({}));
    CHECK(proof.startBetween() == 2);
}

TEST_CASE("flow table proof: without a table any start may have opened flows")
{
    flow_table_proof proof;
    proof.add(now, first, statementOf({}));
    CHECK_FALSE(proof.startBetween());
    proof.add(now, second, statementOf({{.boot = 3, .unused = true}}));
    CHECK_FALSE(proof.startBetween());
    proof.add(now, second, statementOf({{.boot = 4, .firstHeardMs = 9000, .lastHeardMs = 7000}}));
    CHECK(proof.startBetween() == 4);
}

TEST_CASE("flow table proof: a statement covers the time in which its entry was listening")
{
    flow_table_proof proof;
    CHECK_FALSE(proof.isCovered(first, now));
    auto statement = statementOf({});
    proof.add(now, first, statement);
    CHECK_FALSE(proof.isCovered(first, now - 1ms));
    statement.coversMs = 5000;
    proof.add(now, first, statement);
    CHECK(proof.isCovered(first, now - 5s));
    CHECK_FALSE(proof.isCovered(first, now - 5001ms));
    CHECK_FALSE(proof.isCovered(second, now));
    // A later statement does not take an earlier one back.
    proof.add(now + 1s, first, statementOf({}));
    CHECK(proof.isCovered(first, now - 5s));
}
