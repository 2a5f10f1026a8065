#include <catch2/catch.hpp>
#include <toucan/claim_ledger.h>

using namespace toucan;
using namespace std::chrono_literals;

namespace {

bool anyKey(const byte_buffer &)
{
    return true;
}

claim_request makeRequest(
    claim_operation operation, const std::string &claimer, std::uint64_t attempt = 1)
{
    return {.operation = static_cast<std::uint64_t>(operation),
        .key = {1, 2},
        .attempt = attempt,
        .claimer = claimer,
        .boot = 7};
}

} // namespace

TEST_CASE("ledger: a claim is never taken over")
{
    claim_ledger ledger({});
    CHECK(
        ledger.apply(0s, makeRequest(claim_operation::claim, "a")).kind == claim_verdict::granted);
    CHECK(
        ledger.apply(1s, makeRequest(claim_operation::claim, "a")).kind == claim_verdict::granted);
    const auto other = ledger.apply(2s, makeRequest(claim_operation::claim, "b"));
    CHECK(other.kind == claim_verdict::held);
    CHECK(other.other == "a");
    CHECK(ledger.apply(3s, makeRequest(claim_operation::void_attempt, "b")).kind
        == claim_verdict::held);
    auto restarted = makeRequest(claim_operation::claim, "a");
    restarted.boot = 8;
    CHECK(ledger.apply(4s, restarted).kind == claim_verdict::held);
}

TEST_CASE("ledger: a void covers its own and earlier attempts only")
{
    claim_ledger ledger({});
    CHECK(ledger.apply(0s, makeRequest(claim_operation::void_attempt, "a", 2)).kind
        == claim_verdict::granted);
    CHECK(ledger.apply(0s, makeRequest(claim_operation::claim, "b", 1)).kind
        == claim_verdict::voided);
    CHECK(ledger.apply(0s, makeRequest(claim_operation::claim, "b", 2)).kind
        == claim_verdict::voided);
    CHECK(ledger.apply(0s, makeRequest(claim_operation::claim, "b", 3)).kind
        == claim_verdict::granted);
}

TEST_CASE("ledger: a settled answer is returned to every claimer")
{
    claim_ledger ledger({});
    ledger.apply(0s, makeRequest(claim_operation::claim, "a"));
    auto settle = makeRequest(claim_operation::settle, "a");
    settle.answer = {9};
    ledger.apply(0s, settle);
    const auto verdict = ledger.apply(0s, makeRequest(claim_operation::claim, "b", 5));
    CHECK(verdict.kind == claim_verdict::answered);
    CHECK(std::ranges::equal(verdict.answer, byte_buffer{9}));
}

TEST_CASE(
    "ledger: an imported claim blocks other claimers, and two imported claimers block the key")
{
    claim_ledger source({});
    source.apply(0s, makeRequest(claim_operation::claim, "a"));
    std::uint64_t next = 0;
    const auto claims = source.part(0s, 0, 10, anyKey, next);
    CHECK(next == 0);
    claim_ledger ledger({});
    CHECK(ledger.import(0s, claims));
    CHECK(ledger.apply(0s, makeRequest(claim_operation::claim, "b")).kind == claim_verdict::held);
    auto restarted = makeRequest(claim_operation::claim, "a");
    restarted.boot = 8;
    CHECK(ledger.apply(0s, restarted).kind == claim_verdict::held);
    CHECK(
        ledger.apply(0s, makeRequest(claim_operation::claim, "a")).kind == claim_verdict::granted);
    claim_ledger contested({});
    contested.apply(0s, makeRequest(claim_operation::claim, "b"));
    contested.import(0s, claims);
    CHECK(
        contested.apply(0s, makeRequest(claim_operation::claim, "b")).kind == claim_verdict::held);
    CHECK(contested.apply(0s, makeRequest(claim_operation::void_attempt, "b")).kind
        == claim_verdict::held);
}

TEST_CASE("ledger: an imported void doesn't hide an imported claim")
{
    claim_ledger ledger({});
    ledger.import(0s, std::vector{ledger_claim{.key = {1, 2}, .voidedAttempts = 9}});
    ledger.import(0s, std::vector{ledger_claim{.key = {1, 2}, .claimer = "c", .boot = 1}});
    CHECK(
        ledger.apply(0s, makeRequest(claim_operation::claim, "b", 1)).kind == claim_verdict::held);
}

TEST_CASE("ledger: a full ledger abstains and removes no claim before its retention ends")
{
    claim_ledger ledger({.retention = 10s, .capacity = 1});
    CHECK(
        ledger.apply(0s, makeRequest(claim_operation::claim, "a")).kind == claim_verdict::granted);
    auto second = makeRequest(claim_operation::claim, "a");
    second.key = {3};
    CHECK(ledger.apply(1s, second).kind == claim_verdict::abstained);
    ledger.expire(10s);
    CHECK(ledger.size() == 1);
    ledger.expire(11s);
    CHECK(ledger.size() == 0);
    CHECK(ledger.apply(11s, second).kind == claim_verdict::granted);
}

TEST_CASE("ledger: retention counts from the last use")
{
    claim_ledger ledger({.retention = 10s});
    ledger.apply(0s, makeRequest(claim_operation::claim, "a"));
    ledger.apply(8s, makeRequest(claim_operation::claim, "a"));
    ledger.expire(12s);
    CHECK(ledger.size() == 1);
    ledger.expire(19s);
    CHECK(ledger.size() == 0);
}

TEST_CASE("ledger: a late void of an earlier round does not end the claim of a later one")
{
    claim_ledger ledger({});
    auto claim = makeRequest(claim_operation::claim, "a", 2);
    claim.round = 5;
    CHECK(ledger.apply(0s, claim).kind == claim_verdict::granted);
    for (const auto operation : {claim_operation::void_attempt, claim_operation::release}) {
        auto late = makeRequest(operation, "a", 1);
        late.round = 4;
        ledger.apply(0s, late);
        CHECK(ledger.apply(0s, makeRequest(claim_operation::claim, "b", 3)).kind
            == claim_verdict::held);
    }
    claim_ledger copy({});
    std::uint64_t next = 0;
    copy.import(0s, ledger.part(0s, 0, 10, anyKey, next));
    auto late = makeRequest(claim_operation::void_attempt, "a", 1);
    late.round = 4;
    copy.apply(0s, late);
    CHECK(copy.apply(0s, makeRequest(claim_operation::claim, "b", 3)).kind == claim_verdict::held);
}
