#include "engine_fixtures.h"

#include <catch2/catch.hpp>

using namespace toucan;
using namespace toucan::testing;

namespace {

constexpr std::uint64_t slots = 2;
// One request for each slot, one in transit and one that waits, while callers answer at once.
constexpr std::uint64_t limit = 4;

// A target process whose target serves two requests concurrently; callers differ by their ports.
struct queue_fixture : engine_fixture
{
    relay_target engine;

    queue_fixture()
        : engine({.name = "t1", .domain = "a", .service = "main", .peer = processAddress}, codec,
            port, metrics, log, now)
    {
        report(target_standing::ready);
    }

    void report(target_standing standing)
    {
        static std::uint64_t sequence = 0;
        engine.onLiveness(now,
            {.id = "i1",
                .service = "main",
                .address = targetAddress,
                .startedMs = 1,
                .sequence = ++sequence,
                .slots = slots,
                .draining = standing == target_standing::draining});
    }
    void open(std::uint16_t callerPort, const relay_header &extra = {}, std::uint32_t copy = 0)
    {
        auto head = opening;
        head.copy = copy;
        head.source.port = callerPort;
        auto header = extra;
        header.kind = relay_kind::opening;
        header.entry = entryAddress;
        header.serviceTag = serviceTagOf("main");
        auto bytes = packet(header, head);
        engine.onPeerBytes(now, entryAddress, bytes);
    }
    // The target accepts the flow, and the caller sends a request.
    void request(std::uint16_t callerPort)
    {
        fromTarget(callerPort, {.synchronize = true, .acknowledge = true, .sequence = 9});
        auto head = toucan::testing::request(10);
        head.source.port = callerPort;
        auto bytes = packet({.kind = relay_kind::established, .entry = entryAddress}, head);
        engine.onPeerBytes(now, entryAddress, bytes);
    }
    void answer(std::uint16_t callerPort)
    {
        fromTarget(callerPort, {.acknowledge = true, .sequence = 10, .length = 50});
    }
    void fromTarget(std::uint16_t callerPort, segment head)
    {
        head.source = service;
        head.destination = {.ip = caller.ip, .port = callerPort};
        auto bytes = codec.encode(head, byte_buffer(head.length, 'r'));
        engine.onTargetBytes(now, bytes);
    }
    // Occupies the whole capacity of the target, with callers on the ports from 1 on.
    void fill()
    {
        for (std::uint16_t each = 1; each <= limit; ++each) {
            open(each);
            request(each);
        }
        port = {};
    }
    // Ports of the callers whose openings reached the target since the last call.
    std::vector<std::uint16_t> takeOpened()
    {
        std::vector<std::uint16_t> ports;
        for (const auto &bytes : std::exchange(port.toTarget, {})) {
            const auto head = codec.decode(bytes);
            if (head->isOpening())
                ports.push_back(head->source.port);
        }
        return ports;
    }
    // Plays time with the copies of one opening; returns its age when it was refused.
    std::optional<std::chrono::milliseconds> playUntilRefused(
        std::uint16_t callerPort, std::chrono::milliseconds until, bool withCopies = true)
    {
        port = {};
        for (auto age = 10ms; age <= until; age += 10ms) {
            now += 10ms;
            if (withCopies && (age == 200ms || age == 600ms))
                open(callerPort, {.ageMs = static_cast<std::uint64_t>(age.count())},
                    age == 200ms ? 1 : 2);
            engine.onTick(now);
            for (const auto &[to, bytes] : std::exchange(port.toPeers, {})) {
                auto copy = bytes;
                const auto packet = decodeRelayPacket(copy);
                if (packet && packet->header.kind == relay_kind::refused_opening) {
                    CHECK(to == entryAddress);
                    CHECK(packet->header.shortestWaitAt == processAddress);
                    return age;
                }
            }
        }
        return std::nullopt;
    }
    // Number of opening_kept messages sent to the entry.
    std::size_t countKept() const
    {
        return static_cast<std::size_t>(std::ranges::count_if(port.toPeers, [](const auto &sent) {
            const auto message = decodeRelayMessage(sent.second);
            return valueOf(message) && std::holds_alternative<opening_kept>(*valueOf(message));
        }));
    }
};

} // namespace

TEST_CASE(
    "target queue: an opening is queued and reported to its entry, then served in a free slot")
{
    queue_fixture target;
    target.fill();
    target.open(10);
    CHECK(target.takeOpened().empty());
    CHECK(target.countKept() == 1);
    CHECK(target.port.takePackets().empty());
    target.answer(1);
    CHECK(target.takeOpened() == std::vector<std::uint16_t>{10});
}

TEST_CASE("target queue: callers that can still be answered in time are served first")
{
    queue_fixture target;
    target.fill();
    target.open(10, {.ageMs = 700, .objectiveMs = 300});
    target.open(11, {.ageMs = 0, .objectiveMs = 300});
    target.answer(1);
    CHECK(target.takeOpened() == std::vector<std::uint16_t>{11});
    target.request(11);
    target.answer(2);
    CHECK(target.takeOpened() == std::vector<std::uint16_t>{10});
}

TEST_CASE("target queue: a copy of a waiting opening does not reach the target twice")
{
    queue_fixture target;
    target.fill();
    target.open(10);
    target.now += 200ms;
    target.open(10, {.ageMs = 200});
    CHECK(target.takeOpened().empty());
    CHECK(target.countKept() == 2);
    target.answer(1);
    CHECK(target.takeOpened() == std::vector<std::uint16_t>{10});
    target.answer(2);
    CHECK(target.takeOpened().empty());
}

TEST_CASE("target queue: a flow that opened counts against the slots until its request comes")
{
    queue_fixture target;
    for (std::uint16_t each = 1; each <= limit + 1; ++each)
        target.open(each);
    CHECK(target.takeOpened().size() == limit);
    for (std::uint16_t each = 1; each <= limit; ++each)
        target.fromTarget(each, {.synchronize = true, .acknowledge = true, .sequence = 9});
    // The slots of callers that send no request are released after the handshake timeout.
    target.now += 200ms;
    target.engine.onTick(target.now);
    CHECK(target.takeOpened().size() == 1);
}

// After a loss of power two of three callers have given up when their openings are served; the
// remaining callers wait for the slots that are reserved for those.
TEST_CASE("target queue: callers that gave up do not keep the target from serving the others")
{
    queue_fixture target;
    constexpr auto round = 10ms;
    std::uint16_t next = 100;
    std::size_t answered = 0;
    for (instant passed{}; passed < 1s; passed += round) {
        // More callers than slots; one of three still sends its request.
        for (int i = 0; i < 2; ++i)
            target.open(++next, {.ageMs = 300, .objectiveMs = 150});
        for (const auto port : target.takeOpened()) {
            if (port % 3 != 0) {
                target.fromTarget(port, {.synchronize = true, .acknowledge = true, .sequence = 9});
                continue;
            }
            target.request(port);
            target.answer(port);
            ++answered;
        }
        target.now += round;
        target.engine.onTick(target.now);
    }
    // Each of four slots is reserved for two callers that gave up, at most 50 ms, and serves a
    // third.
    CHECK(answered >= 40);
}

TEST_CASE("target queue: an opening is evaluated again before it is served")
{
    queue_fixture target;
    target.fill();
    target.open(10);
    target.port = {};
    target.report(target_standing::draining);
    target.engine.onTick(target.now);
    CHECK(target.takeOpened().empty());
    const auto packets = target.port.takePackets();
    REQUIRE(packets.size() == 1);
    CHECK(packets.front() == std::pair(relay_kind::refused_opening, entryAddress));
}

TEST_CASE("target queue: an opening whose caller gave up is not offered to the target")
{
    queue_fixture target;
    target.fill();
    target.open(10);
    target.now += 1500ms;
    target.report(target_standing::ready);
    target.engine.onTick(target.now);
    target.answer(1);
    CHECK(target.takeOpened().empty());
}

TEST_CASE("target queue: openings queued before a pause of the process are not served")
{
    queue_fixture target;
    target.fill();
    target.open(10);
    target.engine.onPause(target.now);
    target.answer(1);
    CHECK(target.takeOpened().empty());
}

TEST_CASE("target queue: an opening that would wait too long goes back to its entry at once")
{
    queue_fixture target;
    target.fill();
    // Before any request is measured, one is assumed to occupy one of the two slots for 50 ms.
    for (std::uint16_t each = 100; each < 200; ++each)
        target.open(each);
    target.port = {};
    target.open(10);
    const auto packets = target.port.takePackets();
    REQUIRE(packets.size() == 1);
    CHECK(packets.front() == std::pair(relay_kind::refused_opening, entryAddress));
}

TEST_CASE("target queue: the last candidate sends an opening to the one with the shorter queue")
{
    queue_fixture target;
    target.fill();
    target.open(10, {.shortestWaitMs = 30, .shortestWaitAt = otherProcess});
    target.port = {};
    target.open(11, {.shortestWaitMs = 10, .shortestWaitAt = otherProcess});
    auto packets = target.port.takePackets();
    REQUIRE(packets.size() == 1);
    CHECK(packets.front() == std::pair(relay_kind::opening, otherProcess));
    // A busy candidate records its own wait in the header.
    relay_header asked;
    asked.candidates.push_back(otherProcess);
    target.open(12, asked);
    REQUIRE(target.port.toPeers.size() == 1);
    const auto passedOn = decodeRelayPacket(target.port.toPeers.front().second);
    REQUIRE(passedOn);
    CHECK(passedOn->header.shortestWaitAt == processAddress);
    CHECK(passedOn->header.shortestWaitMs > 0);
}

TEST_CASE("target queue: an opening that is never served is refused before its attempt ends")
{
    queue_fixture target;
    target.fill();
    target.open(10);
    const auto age = target.playUntilRefused(10, 2s);
    REQUIRE(age);
    CHECK(*age < attemptTime);
    CHECK(target.metrics.text().find("toucan_openings_refused_total") != std::string::npos);
    target.answer(1);
    CHECK(target.takeOpened().empty());
}

// Another process may have placed a copy that did not come here, and the flow may be open.
TEST_CASE("target queue: an opening whose copies went elsewhere is not refused after them")
{
    queue_fixture target;
    target.fill();
    target.open(10);
    CHECK_FALSE(target.playUntilRefused(10, 2s, false));
}

TEST_CASE("target queue: openings queued before a pause of the process are refused")
{
    queue_fixture target;
    target.fill();
    target.open(10);
    target.port = {};
    target.now += 100ms;
    target.engine.onPause(target.now);
    const auto packets = target.port.takePackets();
    REQUIRE(packets.size() == 1);
    CHECK(packets.front() == std::pair(relay_kind::refused_opening, entryAddress));
}

TEST_CASE("target queue: an opening is refused when more urgent ones take its place")
{
    queue_fixture target;
    target.fill();
    target.open(10, {.objectiveMs = 80, .timeLimitMs = 250, .priority = 1});
    target.now += 100ms;
    target.port = {};
    for (std::uint16_t each = 20; each < 40; ++each)
        target.open(each, {.objectiveMs = 900});
    const auto packets = target.port.takePackets();
    const auto refused = std::pair(relay_kind::refused_opening, entryAddress);
    CHECK(std::ranges::count(packets, refused) == 1);
}

TEST_CASE_METHOD(queue_fixture, "target: work still to do is reported in time once it is known")
{
    const auto newest = [&] {
        now += 5s;
        port = {};
        engine.onEntries(now, std::vector{entry_place{.address = entryAddress, .domain = "a"}});
        engine.onTick(now);
        const auto reports = port.messagesTo<target_report>(entryAddress);
        REQUIRE(!reports.empty());
        return reports.back();
    };
    CHECK(newest().meanUs == 0);
    CHECK(newest().workUs == 0);
    for (std::uint16_t each = 1; each <= 20; ++each) {
        report(target_standing::ready);
        open(each);
        request(each);
        now += 80ms;
        answer(each);
    }
    const auto idle = newest();
    CHECK(idle.meanUs >= 75'000);
    CHECK(idle.meanUs <= 85'000);
    // The smoothed level decays.
    CHECK(idle.workUs < 1'000);
    report(target_standing::ready);
    open(50);
    request(50);
    now += 1s;
    engine.onTick(now);
    // One request at two slots.
    const auto busy = newest();
    CHECK(busy.workUs >= 25'000);
    CHECK(busy.workUs <= 45'000);
}
