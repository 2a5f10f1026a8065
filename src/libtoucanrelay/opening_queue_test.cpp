#include <catch2/catch.hpp>
#include <map>
#include <random>
#include <set>
#include <toucan/opening_gate.h>
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
constexpr queue_policy refusingLate{.refusesLate = true};

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
            queue.offer(now, openingOf(ports[caller], caller, objective), slots, 0ms);
    }
};

// Callers of one target. Each sends an opening with copies, and opens again when it is refused or
// its attempt ends, `retries` times.
struct caller_group
{
    double perSecond = 0;
    std::uint32_t addresses = 1; ///< Its callers have this many addresses.
    std::uint32_t firstAddress = 100;
    std::uint64_t priority = 0;
    int retries = 0;
};

struct load_options
{
    std::vector<caller_group> groups;
    std::chrono::milliseconds objective = 250ms;
    std::chrono::milliseconds service = 25ms;
    instant until = 30s;
    instant changeAt = 1000s; ///< When the target changes.
    int slowdown = 1; ///< Factor on the service time from then on.
    std::size_t coldLimit = 0; ///< Openings a second from then on; 0: no limit.
    bool judges = true; ///< False: openings are judged on arrival and dropped at their deadlines.
    unsigned seed = 20261206;
};

struct group_result
{
    std::size_t callers = 0;
    std::size_t openings = 0;
    std::size_t served = 0;
    std::size_t inTime = 0;
    std::size_t failed = 0; ///< Openings, by refusal or by the end of the attempt.
    std::size_t refused = 0;
    std::size_t refusedEarly = 0; ///< Within a quarter of the objective.
};

struct load_result
{
    std::vector<group_result> groups;
    std::chrono::milliseconds work{0}; ///< Time in which slots served requests.
    std::size_t refusedWithFreeSlot = 0;
    std::size_t unproven = 0; ///< Refused although a copy may have been placed elsewhere.
    std::size_t keptPastAttempt = 0;
    std::size_t mostWaiting = 0;
    std::size_t failedAfterChange = 0;
    std::size_t refusedEarlyAfterChange = 0; ///< Or from the change on, when they came before it.
    std::chrono::milliseconds longestKept{0}; ///< Of the openings that failed.

    group_result total() const
    {
        group_result sum;
        for (const auto &item : groups) {
            sum.openings += item.openings;
            sum.served += item.served;
            sum.inTime += item.inTime;
            sum.failed += item.failed;
            sum.refused += item.refused;
            sum.refusedEarly += item.refusedEarly;
        }
        return sum;
    }
};

class played_load
{
public:
    played_load(opening_queue queue, load_options options)
        : m_queue(std::move(queue))
        , m_options(std::move(options))
        , m_random(m_options.seed)
    {
        m_result.groups.resize(m_options.groups.size());
    }

    load_result play()
    {
        for (std::size_t group = 0; group < m_options.groups.size(); ++group)
            addCallers(group);
        for (m_now = {}; m_now < m_options.until; m_now += 1ms) {
            for (; !m_events.empty() && m_events.begin()->first <= m_now;
                 m_events.erase(m_events.begin()))
                arrive(m_events.begin()->second);
            endRequests();
            endAttempts();
            serve();
            if (m_options.judges)
                judge();
            else
                m_queue.takeExpired(m_now);
            m_result.mostWaiting = std::max(m_result.mostWaiting, m_queue.size());
        }
        return m_result;
    }

private:
    static constexpr std::uint64_t slots = 2;

    struct attempt
    {
        std::size_t group = 0;
        std::uint32_t address = 0;
        int retriesLeft = 0;
        instant begun{};
        bool isOver = false;
    };
    struct arrival
    {
        std::uint16_t port = 0;
        std::uint32_t copy = 0;
    };

    void addCallers(std::size_t group)
    {
        const auto &item = m_options.groups[group];
        std::exponential_distribution<double> gap(item.perSecond / 1e6);
        for (instant at{}; at < m_options.until;
             at += std::chrono::microseconds(static_cast<std::int64_t>(gap(m_random)))) {
            ++m_result.groups[group].callers;
            const auto address
                = item.firstAddress + static_cast<std::uint32_t>(m_random() % item.addresses);
            begin({.group = group, .address = address, .retriesLeft = item.retries, .begun = at});
        }
    }

    void begin(const attempt &item)
    {
        const auto port = m_nextPort++;
        m_attempts[port] = item;
        for (std::uint32_t copy = 0; copy < copyTimes.size(); ++copy)
            m_events.emplace(item.begun + copyTimes[copy], arrival{.port = port, .copy = copy});
        m_ends.emplace(item.begun + attemptTime, port);
    }

    waiting_opening openingOf(std::uint16_t port, std::uint32_t copy) const
    {
        const auto &item = m_attempts.at(port);
        return {.head = {.source = {.ip = item.address, .port = port},
                    .destination = {.ip = 2, .port = 443},
                    .copy = copy},
            .attemptStart = item.begun,
            .objective = m_options.objective,
            .priority = m_options.groups[item.group].priority};
    }

    void arrive(const arrival &event)
    {
        auto &item = m_attempts[event.port];
        if (item.isOver)
            return;
        auto opening = openingOf(event.port, event.copy);
        if (event.copy == 0)
            ++m_result.groups[item.group].openings;
        else if (!m_queue.contains(opening.head.flowFromCaller()))
            return;
        pace();
        if (event.copy == 0 && mayStart()) {
            m_queue.recordArrival(m_now, opening);
            start(opening);
        } else if (!m_queue.offer(m_now, opening, slots, 0ms)) {
            refuse(event.port);
        }
    }

    bool isChanged() const { return m_now >= m_options.changeAt; }
    void pace()
    {
        if (isChanged() && m_options.coldLimit > 0)
            m_queue.setAllowedStarts(m_recent.nextStarts(m_now, m_options.coldLimit));
    }
    bool mayStart()
    {
        const bool isLimited = isChanged() && m_options.coldLimit > 0;
        return m_running.size() < slots
            && (!isLimited || m_recent.count(m_now) < m_options.coldLimit);
    }

    void start(const waiting_opening &opening)
    {
        std::uniform_real_distribution<double> factor(0.5, 1.5);
        const auto took = std::chrono::duration_cast<std::chrono::milliseconds>(
            m_options.service * factor(m_random) * (isChanged() ? m_options.slowdown : 1));
        m_recent.add(m_now);
        m_running.emplace(m_now + took, std::pair(opening.head.source.port, took));
        m_attempts[opening.head.source.port].isOver = true;
        m_queue.recordServed(m_now, opening.head.source, opening.priorityClass());
    }

    void endRequests()
    {
        for (; !m_running.empty() && m_running.begin()->first <= m_now;
             m_running.erase(m_running.begin())) {
            const auto [port, took] = m_running.begin()->second;
            const auto &item = m_attempts[port];
            auto &group = m_result.groups[item.group];
            ++group.served;
            group.inTime += m_now - item.begun <= m_options.objective;
            m_result.work += took;
            m_queue.recordServiceTime(took);
        }
    }

    void serve()
    {
        pace();
        for (const auto *next = m_queue.next(m_now); next && mayStart();
             next = m_queue.next(m_now)) {
            start(*m_queue.take(next->head.flowFromCaller()));
            pace();
        }
    }

    void judge()
    {
        for (const auto &item : m_queue.judge(m_now, slots, 0ms)) {
            m_result.unproven += item.proof == refusal_proof::missing;
            refuse(item.opening.head.source.port);
        }
    }

    void refuse(std::uint16_t port)
    {
        m_result.refusedWithFreeSlot += mayStart();
        auto &group = m_result.groups[m_attempts[port].group];
        ++group.refused;
        group.refusedEarly += m_now - m_attempts[port].begun <= m_options.objective / 4;
        fail(port);
    }

    void fail(std::uint16_t port)
    {
        auto &item = m_attempts[port];
        item.isOver = true;
        ++m_result.groups[item.group].failed;
        const auto kept = std::chrono::duration_cast<std::chrono::milliseconds>(m_now - item.begun);
        m_result.longestKept = std::max(m_result.longestKept, kept);
        if (isChanged()) {
            ++m_result.failedAfterChange;
            m_result.refusedEarlyAfterChange
                += m_now - std::max(item.begun, m_options.changeAt) <= m_options.objective / 4;
        }
        if (item.retriesLeft > 0)
            begin({.group = item.group,
                .address = item.address,
                .retriesLeft = item.retriesLeft - 1,
                .begun = m_now});
    }

    void endAttempts()
    {
        for (; !m_ends.empty() && m_ends.begin()->first <= m_now; m_ends.erase(m_ends.begin())) {
            const auto port = m_ends.begin()->second;
            if (m_attempts[port].isOver)
                continue;
            m_result.keptPastAttempt
                += m_queue.take(openingOf(port, 0).head.flowFromCaller()).has_value();
            fail(port);
        }
    }

    opening_queue m_queue;
    load_options m_options;
    std::mt19937_64 m_random;
    instant m_now{};
    std::uint16_t m_nextPort = 1;
    std::map<std::uint16_t, attempt> m_attempts;
    std::multimap<instant, arrival> m_events;
    std::multimap<instant, std::uint16_t> m_ends;
    std::multimap<instant, std::pair<std::uint16_t, std::chrono::milliseconds>> m_running;
    opening_window m_recent;
    load_result m_result;
};

// Requests a second that the played target serves: two slots, 25 ms a request.
constexpr double capacity = 80;
constexpr auto wholeWork = 60000.0; // Milliseconds of two slots in 30 s.

std::string describe(const load_result &result)
{
    const auto sum = result.total();
    std::string text = "work "
        + std::to_string(static_cast<double>(result.work.count()) / wholeWork) + " openings "
        + std::to_string(sum.openings) + " served " + std::to_string(sum.served) + " in time "
        + std::to_string(sum.inTime) + " failed " + std::to_string(sum.failed) + " refused "
        + std::to_string(sum.refused) + " early " + std::to_string(sum.refusedEarly)
        + " with free slot " + std::to_string(result.refusedWithFreeSlot) + " past attempt "
        + std::to_string(result.keptPastAttempt) + " longest kept "
        + std::to_string(result.longestKept.count()) + " most waiting "
        + std::to_string(result.mostWaiting);
    for (const auto &item : result.groups)
        text += "; group: callers " + std::to_string(item.callers) + " served "
            + std::to_string(item.served) + " in time " + std::to_string(item.inTime);
    return text;
}

} // namespace

TEST_CASE("queue: callers that can still be answered in time come before those that cannot")
{
    opening_queue queue;
    const instant now = 10s;
    REQUIRE(queue.offer(now, openingOf(1, now - 500ms, 150ms), slots, 0ms));
    REQUIRE(queue.offer(now, openingOf(2, now - 20ms, 150ms), slots, 0ms));
    REQUIRE(queue.offer(now, openingOf(3, now, 150ms), slots, 0ms));
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
    REQUIRE(queue.offer(now, openingOf(1, now - 700ms, 500ms), slots, 0ms));
    REQUIRE(queue.offer(now, openingOf(2, now - 1200ms, 500ms), slots, 0ms));
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
    REQUIRE(queue.offer(now, openingOf(1, now, 0ms), slots, 0ms));
    REQUIRE(queue.offer(now, openingOf(2, now - 300ms, 0ms), slots, 0ms));
    CHECK(queue.next(now)->head.source.port == 2);
}

TEST_CASE("queue: an opening that would wait past the end of its attempt is refused at once")
{
    opening_queue queue;
    const instant now = 10s;
    std::uint16_t accepted = 0;
    while (accepted < 1000 && queue.offer(now, openingOf(accepted, now, 0ms), 1, 0ms))
        ++accepted;
    // One slot and 50 ms a request: 28 requests fit into an attempt.
    CHECK(accepted > 20);
    CHECK(accepted < 28);
    CHECK(queue.size() == accepted);
    CHECK_FALSE(queue.offer(now, openingOf(2000, now - 1300ms, 0ms), 1, 150ms));
}

TEST_CASE("queue: a copy takes the place of the opening that waits, ended attempts are dropped")
{
    opening_queue queue;
    const instant now = 10s;
    REQUIRE(queue.offer(now, openingOf(1, now - 200ms, 150ms), slots, 0ms));
    REQUIRE(queue.offer(now, openingOf(1, now, 150ms), slots, 0ms));
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

TEST_CASE(
    "queue: at 1.5 to 8 times the capacity the target stays busy and others are refused at once")
{
    const auto factor = GENERATE(1.5, 2.0, 4.0, 8.0);
    const auto retries = GENERATE(0, 2);
    const auto result = played_load(opening_queue(refusingLate),
        {.groups = {{.perSecond = capacity * factor, .addresses = 50, .retries = retries}}})
                            .play();
    const auto sum = result.total();
    INFO("factor " << factor << " retries " << retries << ": " << describe(result));
    CHECK(static_cast<double>(result.work.count()) >= 0.95 * wholeWork);
    CHECK(static_cast<double>(sum.refusedEarly) >= 0.9 * static_cast<double>(sum.failed));
    CHECK(static_cast<double>(sum.inTime) >= 0.9 * static_cast<double>(sum.served));
    CHECK(result.refusedWithFreeSlot == 0);
    CHECK(result.keptPastAttempt == 0);
}

TEST_CASE("queue: at 1.5 to 8 times the capacity the target stays busy while late openings wait")
{
    const auto factor = GENERATE(1.5, 2.0, 4.0, 8.0);
    const auto retries = GENERATE(0, 2);
    const auto result = played_load(opening_queue(),
        {.groups = {{.perSecond = capacity * factor, .addresses = 50, .retries = retries}}})
                            .play();
    INFO("factor " << factor << " retries " << retries << ": " << describe(result));
    CHECK(static_cast<double>(result.work.count()) >= 0.95 * wholeWork);
    CHECK(result.refusedWithFreeSlot == 0);
    CHECK(result.keptPastAttempt == 0);
}

TEST_CASE("queue: without later judgements openings wait to the ends of their attempts")
{
    const auto result = played_load(opening_queue(timelyFirst),
        {.groups = {{.perSecond = capacity * 2, .addresses = 50}}, .judges = false})
                            .play();
    INFO(describe(result));
    CHECK(result.total().refusedEarly * 2 < result.total().failed);
    CHECK(result.longestKept == attemptTime);
}

TEST_CASE("queue: more urgent openings are served first, and each class keeps its floor")
{
    const auto factor = GENERATE(1.5, 2.0, 4.0, 8.0);
    const auto retries = GENERATE(0, 2);
    const auto group = [&](std::uint64_t priority, double share) {
        return caller_group{.perSecond = capacity * factor * share,
            .addresses = 50,
            .priority = priority,
            .retries = retries};
    };
    const auto result = played_load(
        opening_queue(refusingLate), {.groups = {group(0, 0.34), group(1, 0.33), group(2, 0.33)}})
                            .play();
    INFO("factor " << factor << " retries " << retries << ": " << describe(result));
    const auto served = static_cast<double>(result.total().served);
    for (const auto &item : result.groups)
        CHECK(static_cast<double>(item.served) >= 0.19 * served);
    const auto &urgent = result.groups.front();
    const auto wanted
        = std::min(static_cast<double>(urgent.callers), served * 0.6); // Two floors are left out.
    CHECK(static_cast<double>(urgent.served) >= 0.9 * wanted);
    CHECK(static_cast<double>(result.work.count()) >= 0.95 * wholeWork);
    CHECK(result.refusedWithFreeSlot == 0);
    CHECK(result.keptPastAttempt == 0);
    const auto sum = result.total();
    CHECK(static_cast<double>(sum.refusedEarly) >= 0.9 * static_cast<double>(sum.failed));
}

TEST_CASE("queue: modest callers are served as if alone beside a greedy one")
{
    const auto factor = GENERATE(1.5, 4.0, 8.0);
    const caller_group modest{.perSecond = 20, .addresses = 20, .firstAddress = 1000};
    const caller_group greedy{.perSecond = capacity * factor, .firstAddress = 1, .retries = 2};
    const auto alone
        = played_load(opening_queue(refusingLate), {.groups = {modest}}).play().total();
    const auto result
        = played_load(opening_queue(refusingLate), {.groups = {modest, greedy}}).play();
    INFO("factor " << factor << ", alone in time " << alone.inTime << ": " << describe(result));
    CHECK(result.groups.front().failed == 0);
    CHECK(result.groups.front().inTime == result.groups.front().served);
    CHECK(alone.inTime == alone.served);
    CHECK(static_cast<double>(result.work.count()) >= 0.95 * wholeWork);
    CHECK(result.refusedWithFreeSlot == 0);
}

TEST_CASE("queue: openings that wait are refused when the target becomes slower or cold")
{
    const bool becomesCold = GENERATE(false, true);
    load_options options{
        .groups = {{.perSecond = capacity * 1.2, .addresses = 50, .retries = 2}}, .changeAt = 10s};
    options.slowdown = becomesCold ? 1 : 5;
    options.coldLimit = becomesCold ? 10 : 0;
    const auto result = played_load(opening_queue(refusingLate), options).play();
    INFO((becomesCold ? "cold" : "slower")
        << ": " << describe(result) << " failed after " << result.failedAfterChange << " early "
        << result.refusedEarlyAfterChange);
    CHECK(result.keptPastAttempt == 0);
    CHECK(result.refusedWithFreeSlot == 0);
    CHECK(static_cast<double>(result.refusedEarlyAfterChange)
        >= 0.9 * static_cast<double>(result.failedAfterChange));
}

TEST_CASE("queue: what it keeps is bounded, in all and for each caller")
{
    opening_queue queue;
    const instant now = 10s;
    // A target with so many slots that time is no limit.
    constexpr std::uint64_t manySlots = 1000;
    const auto offerOf = [&](std::uint32_t address, std::uint16_t port) {
        auto item = openingOf(port, now, 0ms);
        item.head.source.ip = address;
        return queue.offer(now, item, manySlots, 0ms);
    };
    std::size_t accepted = 0;
    for (std::uint32_t address = 1; address <= 8; ++address) {
        for (std::uint16_t port = 1; port <= 300; ++port)
            accepted += offerOf(address, port);
        CHECK(accepted
            == std::min(address * opening_queue::maxOpeningsPerCaller, opening_queue::maxOpenings));
    }
    CHECK(queue.lastForecast().refusal == queue_refusal::queue_full);
    for (std::uint32_t address = 1; address <= 3000; ++address)
        queue.recordServed(now, {.ip = address, .port = 1}, 0);
    CHECK(queue.callerCount() == opening_queue::maxCallers);
}

TEST_CASE("queue: a refusal is proven by the copies that the caller must have sent")
{
    const instant now = 10s;
    waiting_opening item = openingOf(1, now, 0ms);
    item.copies = 1;
    CHECK(item.proofOfRefusal(now + 100ms) == refusal_proof::proven);
    CHECK(item.proofOfRefusal(now + 210ms) == refusal_proof::pending);
    CHECK(item.proofOfRefusal(now + 300ms) == refusal_proof::missing);
    item.copies = 3;
    CHECK(item.proofOfRefusal(now + 300ms) == refusal_proof::proven);
    CHECK(item.proofOfRefusal(now + 700ms) == refusal_proof::missing);
    item.copies = 7;
    CHECK(item.proofOfRefusal(now + 1300ms) == refusal_proof::proven);
}

TEST_CASE("queue: an opening is refused when more urgent ones take its place")
{
    opening_queue queue;
    const instant now = 10s;
    auto item = openingOf(1, now, 100ms);
    item.priority = 1;
    item.timeLimit = 300ms;
    REQUIRE(queue.offer(now, item, 1, 0ms));
    for (std::uint16_t port = 2; port <= 6; ++port)
        REQUIRE(queue.offer(now, openingOf(port, now, 900ms), 1, 0ms));
    // Late at 50 ms, it waits until the urgent ones are served, past its time limit.
    const auto refused = queue.judge(now + 60ms, 1, 0ms);
    REQUIRE(refused.size() == 1);
    CHECK(refused.front().opening.head.source.port == 1);
    CHECK(refused.front().forecast.refusal == queue_refusal::wait_too_long);
    CHECK(refused.front().forecast.wait == 300ms);
    CHECK(queue.size() == 5);
}
