#include <catch2/catch.hpp>
#include <cmath>
#include <random>
#include <rapidcheck.h>
#include <toucan/domain_distances.h>
#include <toucan/work_estimator.h>

using namespace toucan;
using namespace std::chrono_literals;

namespace {

constexpr endpoint routeA{.ip = 1, .port = 443};
constexpr endpoint routeB{.ip = 2, .port = 443};

// Answers `count` requests, one each 20 ms; returns the time after them.
instant learn(work_estimator &estimator, instant now, const work_kind &kind, int count,
    const std::function<std::chrono::milliseconds(int)> &work)
{
    for (int i = 0; i < count; ++i) {
        const auto number = estimator.begin(now, kind, true);
        estimator.end(now + work(i), number, true);
        now += 20ms;
    }
    return now;
}

// Three in a hundred requests take seven times as long.
std::chrono::milliseconds fewLong(int request)
{
    return request % 33 == 32 ? 350ms : 50ms;
}

} // namespace

TEST_CASE("work: before the first measurement the initial value stands")
{
    const work_estimator estimator;
    CHECK_FALSE(estimator.isLearned(100s));
    CHECK(estimator.expectedMs(100s, {.route = routeA}) == Approx(50));
    CHECK(estimator.remainingMs(100s, {.route = routeA}, 0) == Approx(50).epsilon(0.2));
    CHECK(estimator.remainingMs(100s) == 0);
    CHECK(estimator.nextEndMs(100s) == 0);
}

TEST_CASE("work: routes and kinds of requests have times of their own")
{
    work_estimator estimator;
    const work_kind cheap{.route = routeA, .bytes = 100};
    const work_kind large{.route = routeA, .bytes = 1200};
    const work_kind other{.route = routeB, .bytes = 100};
    auto now = instant(100s);
    for (int i = 0; i < 40; ++i) {
        now = learn(estimator, now, cheap, 1, [](int) { return 20ms; });
        now = learn(estimator, now, large, 1, [](int) { return 80ms; });
        now = learn(estimator, now, other, 1, [](int) { return 200ms; });
    }
    CHECK(estimator.expectedMs(now, cheap) == Approx(20).epsilon(0.4));
    CHECK(estimator.expectedMs(now, large) == Approx(80).epsilon(0.2));
    CHECK(estimator.expectedMs(now, other) == Approx(200).epsilon(0.2));
    CHECK(estimator.isUneven(now));
}

TEST_CASE("work: a request that outlasts the usual ones runs for long")
{
    work_estimator estimator;
    const work_kind kind{.route = routeA, .bytes = 100};
    const auto now = learn(estimator, 100s, kind, 400, fewLong);
    CHECK(estimator.expectedMs(now, kind) == Approx(59).epsilon(0.1));
    CHECK(estimator.remainingMs(now, kind, 0) == Approx(59).epsilon(0.1));
    CHECK(estimator.remainingMs(now, kind, 40) < 30);
    CHECK(estimator.remainingMs(now, kind, 177) > 120);
    CHECK(estimator.isUneven(now));
}

TEST_CASE("work: a slow target shows within a few requests and is forgotten in seconds")
{
    work_estimator estimator;
    const work_kind kind{.route = routeA, .bytes = 100};
    auto now = learn(estimator, 100s, kind, 400, fewLong);
    now = learn(estimator, now, kind, 7, [](int i) { return fewLong(i) * 5; });
    CHECK(estimator.slowness(now) == Approx(5).epsilon(0.2));
    CHECK(estimator.expectedMs(now, kind) > 200);
    CHECK(estimator.slowness(now + 6s) == 1);
}

TEST_CASE("work: single long requests do not make a target slow")
{
    work_estimator estimator;
    const work_kind kind{.route = routeA, .bytes = 100};
    auto now = instant(100s);
    for (int i = 0; i < 400; ++i) {
        now = learn(estimator, now, kind, 1, [&](int) { return fewLong(i); });
        CHECK(estimator.slowness(now) == 1);
    }
}

TEST_CASE("work: requests that waited for a slot or were given up measure nothing")
{
    work_estimator estimator;
    const work_kind kind{.route = routeA, .bytes = 100};
    auto now = learn(estimator, 100s, kind, 50, [](int) { return 50ms; });
    const auto before = estimator.expectedMs(now, kind);
    for (int i = 0; i < 50; ++i) {
        const auto waited = estimator.begin(now, kind, false);
        CHECK_FALSE(estimator.end(now + 900ms, waited, true).isMeasured);
        const auto givenUp = estimator.begin(now, kind, true);
        CHECK_FALSE(estimator.end(now + 900ms, givenUp, false).isMeasured);
    }
    CHECK(estimator.expectedMs(now, kind) == Approx(before));
    CHECK(estimator.remainingMs(now) == 0);
}

TEST_CASE("work: times that have changed for good are adopted, and idle targets are unknown")
{
    work_estimator estimator;
    const work_kind kind{.route = routeA, .bytes = 100};
    auto now = learn(estimator, 100s, kind, 400, [](int) { return 50ms; });
    CHECK_FALSE(estimator.isUneven(now));
    now = learn(estimator, now, kind, 4000, [](int) { return 150ms; });
    CHECK(estimator.expectedMs(now, kind) == Approx(150).epsilon(0.15));
    CHECK(estimator.isLearned(now));
    CHECK_FALSE(estimator.isLearned(now + 300s));
}

TEST_CASE("work: memory is bounded, whatever routes and requests come")
{
    work_estimator estimator;
    for (std::uint32_t i = 0; i < 3 * work_estimator::maxRunning; ++i) {
        const work_kind kind{.route = {.ip = i, .port = 443}, .bytes = i % 2000};
        const auto number = estimator.begin(100s, kind, true);
        if (i % 3 == 0)
            estimator.end(100s + 50ms, number, true);
    }
    CHECK(estimator.routes(100s).size() <= work_estimator::maxRoutes);
    CHECK(estimator.remainingMs(100s) <= 60.0 * work_estimator::maxRunning);
    CHECK_FALSE(estimator.end(100s, 1, true).isMeasured);
}

TEST_CASE("work: estimates stay finite and within the times that were seen")
{
    CHECK(rc::check([] {
        work_estimator estimator;
        const auto times = *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 20'000));
        instant now = 100s;
        for (const auto time : times) {
            const work_kind kind{.route = time % 2 == 0 ? routeA : routeB,
                .bytes = static_cast<std::uint32_t>(time),
                .isFirst = time % 3 == 0};
            now = learn(
                estimator, now, kind, 1, [&](int) { return std::chrono::milliseconds(time); });
        }
        const work_kind kind{.route = routeA, .bytes = 100};
        const auto age = *rc::gen::inRange(0, 60'000);
        const auto expected = estimator.expectedMs(now, kind);
        const auto remaining = estimator.remainingMs(now, kind, age);
        RC_ASSERT(std::isfinite(expected));
        RC_ASSERT(expected > 0);
        RC_ASSERT(std::isfinite(remaining));
        RC_ASSERT(remaining > 0);
        // Ten seconds at most are counted, by a slowness of e^2.5 at most.
        RC_ASSERT(remaining <= 125'000 + age);
    }));
}

TEST_CASE("work: the remaining time of a long request matches what such requests took")
{
    CHECK(rc::check([] {
        std::mt19937 random(*rc::gen::arbitrary<unsigned>());
        std::exponential_distribution<double> draw(1.0 / 60);
        work_estimator estimator;
        const work_kind kind{.route = routeA, .bytes = 100};
        const auto now = learn(estimator, 100s, kind, 1000,
            [&](int) { return std::chrono::milliseconds(1 + static_cast<int>(draw(random))); });
        // Exponential times have no memory. Nine of them seldom look like another speed.
        const auto slowness = estimator.slowness(now);
        RC_ASSERT(slowness > 0.15);
        RC_ASSERT(slowness < 6);
        const auto remaining = estimator.remainingMs(now, kind, 60);
        RC_ASSERT(slowness != 1 || (remaining > 35 && remaining < 95));
    }));
}

TEST_CASE("distances: a low quantile of the round trips counts, whatever queues there were")
{
    domain_distances distances("a");
    for (int i = 0; i < 32; ++i) {
        distances.record("a", 1ms);
        distances.record("b", i % 3 == 0 ? 6ms : 40ms);
        CHECK(distances.roundTripMs("b").has_value() == (i >= 7));
    }
    REQUIRE(distances.extraMs("b"));
    CHECK(*distances.extraMs("b") == Approx(5));
    CHECK_FALSE(distances.extraMs("c"));
    for (int i = 0; i < 32; ++i)
        distances.record("b", 2ms);
    CHECK(*distances.extraMs("b") == Approx(1));
}
