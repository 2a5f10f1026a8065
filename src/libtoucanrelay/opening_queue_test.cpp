#include <catch2/catch.hpp>
#include <map>
#include <random>
#include <set>
#include <toucan/opening_queue.h>

using namespace toucan;
using namespace std::chrono_literals;

namespace {

waiting_opening openingOf(std::uint16_t port, instant begun, std::chrono::milliseconds objective)
{
    return {.head = {.source = {.ip = 1, .port = port}, .destination = {.ip = 2, .port = 443}},
        .attemptStart = begun,
        .objective = objective};
}

constexpr std::uint64_t slots = 5;

// Callers of one target after an outage: each opens a flow, sends copies after 200 and 600 ms, and
// gives up after attemptTime.
struct played_outage
{
    opening_queue queue;
    std::chrono::milliseconds service = 50ms;
    std::chrono::milliseconds objective = 150ms;
    std::size_t begun = 0;
    std::size_t inTime = 0;
    std::size_t served = 0;

    explicit played_outage(opening_order order)
        : queue(order)
    { }

    // Callers arrive at the rate `perSecond` from 0 s to `until`; the target serves from `from` on.
    void play(double perSecond, instant from, instant until)
    {
        std::mt19937_64 random(20261204);
        std::exponential_distribution<double> gap(perSecond / 1e6);
        std::multimap<instant, instant>
            openings; // Arrival of an opening or copy, and the attempt's start.
        for (instant at{}; at < until;
             at += std::chrono::microseconds(static_cast<std::int64_t>(gap(random)))) {
            ++begun;
            for (const auto copy : copyTimes)
                openings.emplace(at + copy, at);
        }
        std::multimap<instant, instant> running; // End of each request, and the attempt's start.
        std::map<instant, std::uint16_t> ports;
        for (instant now = from; now < until + 2s; now += 1ms) {
            for (; !openings.empty() && openings.begin()->first <= now;
                 openings.erase(openings.begin()))
                arrive(now, from, openings.begin()->first, openings.begin()->second, ports);
            for (; !running.empty() && running.begin()->first <= now;
                 running.erase(running.begin()))
                inTime += now - running.begin()->second <= objective;
            for (const auto &ended : queue.takeExpired(now))
                static_cast<void>(ended);
            for (const auto *next = queue.next(now); next && running.size() < slots;
                 next = queue.next(now)) {
                const auto item = *queue.take(next->head.flowFromCaller());
                running.emplace(now + service, item.attemptStart);
                ++served;
            }
        }
    }

private:
    void arrive(instant now, instant from, instant at, instant caller,
        std::map<instant, std::uint16_t> &ports)
    {
        const bool isNew = ports.try_emplace(caller, ports.size() + 1).second;
        if (at < from)
            ports.erase(caller); // The target was down.
        else if (isNew)
            queue.offer(now, openingOf(ports[caller], caller, objective), slots, 0);
    }
};

} // namespace

TEST_CASE("queue: callers that can still be answered in time come before those that cannot")
{
    opening_queue queue;
    const instant now = 10s;
    REQUIRE(queue.offer(now, openingOf(1, now - 500ms, 150ms), slots, 0));
    REQUIRE(queue.offer(now, openingOf(2, now - 20ms, 150ms), slots, 0));
    REQUIRE(queue.offer(now, openingOf(3, now, 150ms), slots, 0));
    const auto takeNext = [&] {
        const auto flow = queue.next(now)->head.flowFromCaller();
        queue.take(flow);
        return flow.caller.port;
    };
    CHECK(takeNext() == 2);
    CHECK(takeNext() == 3);
    CHECK(takeNext() == 1);
    CHECK(queue.next(now) == nullptr);
}

TEST_CASE("queue: among late callers the one whose attempt ends first comes first")
{
    opening_queue queue;
    const instant now = 10s;
    REQUIRE(queue.offer(now, openingOf(1, now - 700ms, 500ms), slots, 0));
    REQUIRE(queue.offer(now, openingOf(2, now - 1200ms, 500ms), slots, 0));
    CHECK(queue.next(now)->head.source.port == 2);
}

TEST_CASE("queue: a target is sent enough requests to stay busy while others are in transit")
{
    opening_queue queue;
    for (int i = 0; i < 100; ++i) {
        queue.recordServiceTime(50ms);
        queue.recordHandshakeTime(1ms);
    }
    CHECK(queue.maxConcurrency(5) == 7);
    for (int i = 0; i < 100; ++i)
        queue.recordHandshakeTime(25ms);
    CHECK(queue.maxConcurrency(5) == 9);
    CHECK(queue.maxConcurrency(2) == 4);
}

TEST_CASE("queue: a request is expected for as long as callers take to send theirs")
{
    opening_queue near;
    opening_queue far;
    for (int i = 0; i < 100; ++i) {
        near.recordHandshakeTime(7ms);
        far.recordHandshakeTime(60ms);
    }
    // Longer than nearly all callers need, but short enough that callers that gave up do not occupy
    // all slots.
    CHECK(near.handshakeTimeout() >= 14ms);
    CHECK(near.handshakeTimeout() <= 50ms);
    CHECK(far.handshakeTimeout() >= 120ms);
}

TEST_CASE("queue: without an objective openings are ordered by the start of their attempts")
{
    opening_queue queue;
    const instant now = 10s;
    REQUIRE(queue.offer(now, openingOf(1, now, 0ms), slots, 0));
    REQUIRE(queue.offer(now, openingOf(2, now - 300ms, 0ms), slots, 0));
    CHECK(queue.next(now)->head.source.port == 2);
}

TEST_CASE("queue: an opening that would wait past the end of its attempt is refused at once")
{
    opening_queue queue;
    const instant now = 10s;
    std::uint16_t accepted = 0;
    while (accepted < 1000 && queue.offer(now, openingOf(accepted, now, 0ms), 1, 0))
        ++accepted;
    // One slot and 50 ms a request: 28 requests fit into an attempt.
    CHECK(accepted > 20);
    CHECK(accepted < 28);
    CHECK(queue.size() == accepted);
    CHECK_FALSE(queue.offer(now, openingOf(2000, now - 1300ms, 0ms), 1, 3));
}

TEST_CASE("queue: a copy takes the place of the opening that waits, ended attempts are dropped")
{
    opening_queue queue;
    const instant now = 10s;
    REQUIRE(queue.offer(now, openingOf(1, now - 200ms, 150ms), slots, 0));
    REQUIRE(queue.offer(now, openingOf(1, now, 150ms), slots, 0));
    CHECK(queue.size() == 1);
    CHECK(queue.next(now)->attemptStart == now - 200ms);
    CHECK(queue.takeExpired(now + 1100ms).empty());
    CHECK(queue.takeExpired(now + 1200ms).size() == 1);
    CHECK(queue.empty());
}

TEST_CASE("queue: the service time follows the measured requests")
{
    opening_queue queue;
    for (int i = 0; i < 100; ++i)
        queue.recordServiceTime(20ms);
    CHECK(queue.serviceTime() < 25ms);
    CHECK(queue.serviceTime() >= 19ms);
}

// One second without service, then 1.3 times less load than the target sustains.
TEST_CASE("queue: after an outage more callers are answered in time than in order of arrival")
{
    played_outage timely(timelyFirst);
    timely.play(75, 1s, 6s);
    played_outage inOrder(byArrival);
    inOrder.play(75, 1s, 6s);
    INFO("in time " << timely.inTime << " and " << inOrder.inTime << ", served " << timely.served
                    << " and " << inOrder.served << " of " << timely.begun);
    CHECK(timely.inTime > inOrder.inTime);
    // Each caller that is no longer served is offset by at least three more answered in time.
    CHECK(timely.served + (timely.inTime - inOrder.inTime) / 3 >= inOrder.served);
}
