#include "engine_fixtures.h"

#include <catch2/catch.hpp>

using namespace toucan;
using namespace toucan::testing;

TEST_CASE("target process: the caller's acknowledgement shows which of two targets it chose")
{
    target_fixture chosen;
    chosen.sendRequest(target_fixture::sequence + 1);
    CHECK(chosen.port.toTarget.size() == 1);
    CHECK(chosen.port.takePackets().empty());

    for (const std::uint32_t other : {~0U, 1U, 700U, 1U << 19U, 1U << 31U}) {
        target_fixture notChosen;
        notChosen.sendRequest(target_fixture::sequence + 1 + other);
        INFO("off by " << other);
        CHECK(notChosen.port.toTarget.empty());
        const auto packets = notChosen.port.takePackets();
        REQUIRE(packets.size() == 1);
        CHECK(packets.front().first == relay_kind::not_found);
    }
}

TEST_CASE("target process: a segment returned by the target continues the search without a reset")
{
    target_fixture fleet;
    fleet.sendRequest(target_fixture::sequence + 1);
    auto returned = request(target_fixture::sequence + 1);
    returned.returned = true;
    auto bytes = fleet.codec.encode(returned, byte_buffer(100, 'q'));
    fleet.engine.onTargetBytes(fleet.now, bytes);
    CHECK(fleet.port.toCallers.empty());
    const auto packets = fleet.port.takePackets();
    REQUIRE(packets.size() == 1);
    CHECK(packets.front() == std::pair(relay_kind::not_found, entryAddress));
}

TEST_CASE("target process: a target's reset in reply to a probe is not sent to the caller")
{
    engine_fixture fleet;
    relay_target engine({.name = "t1", .domain = "a", .service = "main", .peer = processAddress},
        fleet.codec, fleet.port, fleet.metrics, fleet.log, fleet.now);
    auto asked = fleet.packet(
        {.kind = relay_kind::established, .entry = entryAddress, .search = 1}, request(1));
    engine.onPeerBytes(fleet.now, entryAddress, asked);
    REQUIRE(fleet.port.toTarget.size() == 1);
    fleet.port = {};
    auto answer = fleet.codec.encode(
        {.source = service, .destination = caller, .reset = true, .sequence = 1}, {});
    engine.onTargetBytes(fleet.now, answer);
    CHECK(fleet.port.toCallers.empty());
    REQUIRE(fleet.port.toPeers.size() == 1);
    const auto packets = fleet.port.takePackets();
    REQUIRE(packets.size() == 1);
    CHECK(packets.front() == std::pair(relay_kind::not_found, entryAddress));
}

TEST_CASE("target process: an opening that the target returns or does not answer is passed on")
{
    for (const bool isReturned : {true, false}) {
        engine_fixture fleet;
        relay_target engine(
            {.name = "t1", .domain = "a", .service = "main", .peer = processAddress}, fleet.codec,
            fleet.port, fleet.metrics, fleet.log, fleet.now);
        engine.onLiveness(fleet.now,
            {.id = "i1",
                .service = "main",
                .address = targetAddress,
                .startedMs = 1,
                .sequence = 1,
                .slots = 4});
        relay_header header{.kind = relay_kind::opening,
            .entry = entryAddress,
            .serviceTag = serviceTagOf("main"),
            .candidates = {otherProcess}};
        auto bytes = fleet.packet(header, opening);
        engine.onPeerBytes(fleet.now, entryAddress, bytes);
        REQUIRE(fleet.port.toTarget.size() == 1);
        fleet.port = {};
        if (isReturned) {
            auto returned = opening;
            returned.returned = true;
            auto answer = fleet.codec.encode(returned, {});
            engine.onTargetBytes(fleet.now, answer);
        } else {
            fleet.now += 100ms;
            engine.onTick(fleet.now);
        }
        const auto packets = fleet.port.takePackets();
        INFO("returned " << isReturned);
        REQUIRE(packets.size() == 1);
        CHECK(packets.front() == std::pair(relay_kind::opening, otherProcess));
    }
}

TEST_CASE("target process: the entry that searched for a flow is sent its owner")
{
    target_fixture fleet;
    auto bytes = fleet.packet({.kind = relay_kind::established, .entry = entryAddress, .search = 1},
        request(target_fixture::sequence + 1));
    fleet.engine.onPeerBytes(fleet.now, otherProcess, bytes);
    REQUIRE(fleet.port.toPeers.size() == 1);
    const auto message = decodeRelayMessage(fleet.port.toPeers.front().second);
    REQUIRE(valueOf(message));
    CHECK(fleet.port.toPeers.front().first == entryAddress);
    CHECK(std::get<flow_owner>(*valueOf(message)).caller == caller);
}

TEST_CASE(
    "target process: an acknowledgement of a flow's end does not show that the target holds it")
{
    engine_fixture fleet;
    relay_target engine({.name = "t1", .domain = "a", .service = "main", .peer = processAddress},
        fleet.codec, fleet.port, fleet.metrics, fleet.log, fleet.now);
    auto end = request(1);
    end.length = 0;
    end.finish = true;
    auto asked
        = fleet.packet({.kind = relay_kind::established, .entry = entryAddress, .search = 1}, end);
    engine.onPeerBytes(fleet.now, entryAddress, asked);
    fleet.port = {};
    auto answer = fleet.codec.encode(
        {.source = service, .destination = caller, .acknowledge = true, .sequence = 1}, {});
    engine.onTargetBytes(fleet.now, answer);
    CHECK(fleet.port.toCallers.size() == 1);
    CHECK(fleet.port.toPeers.empty());
}

TEST_CASE("target process: requests of flows that ended without an answer free their slots")
{
    enum class ending { targetFinishes, callerResets, targetResets };
    for (const auto how : {ending::targetFinishes, ending::callerResets, ending::targetResets}) {
        engine_fixture fleet;
        relay_target engine(
            {.name = "t1", .domain = "a", .service = "main", .peer = processAddress}, fleet.codec,
            fleet.port, fleet.metrics, fleet.log, fleet.now);
        engine.onLiveness(fleet.now,
            {.id = "i1",
                .service = "main",
                .address = targetAddress,
                .startedMs = 1,
                .sequence = 1,
                .slots = 1});
        const auto fromCaller = [&](relay_kind kind, segment head, std::uint16_t port) {
            head.source.port = port;
            auto bytes = fleet.packet(
                {.kind = kind, .entry = entryAddress, .serviceTag = serviceTagOf("main")}, head);
            engine.onPeerBytes(fleet.now, entryAddress, bytes);
        };
        const auto fromTarget = [&](segment head, std::uint16_t port) {
            head.source = service;
            head.destination = {.ip = caller.ip, .port = port};
            auto bytes = fleet.codec.encode(head, {});
            engine.onTargetBytes(fleet.now, bytes);
        };
        const auto open = [&](std::uint16_t port) {
            fromCaller(relay_kind::opening, opening, port);
            fromTarget({.synchronize = true, .acknowledge = true, .sequence = 9}, port);
            fromCaller(relay_kind::established, request(10), port);
        };
        for (std::uint16_t port = 1; port <= 3; ++port) {
            open(port);
            auto end = request(10);
            end.length = 0;
            end.finish = how == ending::targetFinishes;
            end.reset = how == ending::callerResets;
            if (how != ending::targetResets)
                fromCaller(relay_kind::established, end, port);
            if (how != ending::callerResets)
                fromTarget({.acknowledge = true,
                               .finish = how == ending::targetFinishes,
                               .reset = how == ending::targetResets},
                    port);
        }
        fleet.port = {};
        fromCaller(relay_kind::opening, opening, 100);
        INFO("ending " << static_cast<int>(how));
        CHECK(fleet.port.toTarget.size() == 1);
    }
}

// With more than eight entries in the domain, notices arrived more than a second apart, and reports
// went to other domains in between.
TEST_CASE("target process: reports stay in the failure domain while one of its entries answers")
{
    const endpoint far{.ip = 0x0a030001, .port = 7000};
    for (const std::uint32_t entries : {1U, 4U, 12U, 30U}) {
        INFO(entries << " entries");
        target_fixture fleet;
        std::vector<entry_place> places{{.address = far, .domain = "b"}};
        for (std::uint32_t i = 0; i < entries; ++i)
            places.push_back({.address = {.ip = 0x0a040000 + i, .port = 7000}, .domain = "a"});
        const auto answer = [&](const endpoint &to, std::uint64_t boot) {
            auto notice = encodeRelayMessage(entry_notice{
                .name = "e", .domain = to == far ? "b" : "a", .boot = boot, .entries = places});
            fleet.engine.onPeerBytes(fleet.now, to, notice);
        };
        answer(places.back().address, 7);
        fleet.port = {};
        std::size_t remoteReports = 0;
        for (int step = 0; step < 400; ++step) {
            fleet.now += 50ms;
            fleet.engine.onTick(fleet.now);
            for (auto &[to, bytes] : std::exchange(fleet.port.toPeers, {})) {
                const auto message = decodeRelayMessage(bytes);
                const auto *report
                    = valueOf(message) ? std::get_if<target_report>(valueOf(message)) : nullptr;
                if (report && to == far)
                    ++remoteReports;
                if (report && report->wantsNotice && to != far)
                    answer(to, 7);
            }
        }
        CHECK(remoteReports == 0);
    }
}

TEST_CASE("target process: of many substitute entries without power it finds the one that runs")
{
    constexpr std::uint32_t others = 40;
    const auto addressOf
        = [](std::uint32_t i) { return endpoint{.ip = 0x0a040000 + i, .port = 7000}; };
    for (std::uint32_t running = 0; running < others; ++running) {
        target_fixture fleet;
        const endpoint home{.ip = 0x0a030001, .port = 7000};
        std::vector<entry_place> places{{.address = home, .domain = "a"}};
        for (std::uint32_t i = 0; i < others; ++i)
            places.push_back({.address = addressOf(i), .domain = "b"});
        const auto answer = [&](const endpoint &to) {
            auto notice = encodeRelayMessage(entry_notice{
                .name = "e", .domain = to == home ? "a" : "b", .boot = 7, .entries = places});
            fleet.engine.onPeerBytes(fleet.now, to, notice);
        };
        answer(home);
        std::map<endpoint, int> lateReports;
        for (int step = 0; step < 160; ++step) {
            fleet.now += 50ms;
            fleet.engine.onTick(fleet.now);
            for (auto &[to, bytes] : std::exchange(fleet.port.toPeers, {})) {
                const auto message = decodeRelayMessage(bytes);
                const auto *report
                    = valueOf(message) ? std::get_if<target_report>(valueOf(message)) : nullptr;
                if (!report)
                    continue;
                if (step >= 100)
                    ++lateReports[to];
                if (report->wantsNotice && to == addressOf(running))
                    answer(to);
            }
        }
        INFO("running " << running);
        CHECK(lateReports[addressOf(running)] >= 9);
    }
}

TEST_CASE("target process: after a restart no flow is reported as not held while reports are late")
{
    engine_fixture fleet;
    relay_target engine({.name = "t1", .domain = "a", .service = "main", .peer = processAddress},
        fleet.codec, fleet.port, fleet.metrics, fleet.log, fleet.now);
    // Three reports in a row may be missing, each 1.2 s.
    for (const auto time : {1600ms, 1000ms, 1000ms}) {
        fleet.now += time;
        engine.onTick(fleet.now);
        fleet.port = {};
        auto asked = fleet.packet(
            {.kind = relay_kind::established, .entry = entryAddress, .search = 1}, request(1));
        engine.onPeerBytes(fleet.now, entryAddress, asked);
        CHECK(fleet.port.toTarget.size() == 1);
        CHECK(fleet.port.takePackets().empty());
        // The probe ends before the next one.
        fleet.now += 100ms;
        engine.onTick(fleet.now);
    }
}

// Without the notice, entries take a process that is away for 4 s for gone, with its flows.
TEST_CASE("target process: an entry that missed the first notice of a planned stop gets it again")
{
    target_fixture fleet;
    fleet.sendRequest(target_fixture::sequence + 1);
    auto notice = encodeRelayMessage(entry_notice{.name = "e1", .domain = "a", .boot = 7});
    fleet.engine.onPeerBytes(fleet.now, entryAddress, notice);
    fleet.engine.startLeaving(fleet.now);
    // The first notice is lost.
    fleet.port = {};
    // The process runs on for 150 ms.
    for (int tick = 0; tick < 2; ++tick) {
        fleet.now += relay_target::tickInterval;
        fleet.engine.onTick(fleet.now);
    }
    const auto isNotice = [](const auto &sent) {
        const auto message = decodeRelayMessage(sent.second);
        const auto *report
            = valueOf(message) ? std::get_if<target_report>(valueOf(message)) : nullptr;
        return sent.first == entryAddress && report && report->leaving && report->flows == 1;
    };
    CHECK(std::ranges::count_if(fleet.port.toPeers, isNotice) == 2);
}

namespace {

// Another program on the VM may send reports with a later start than the target's.
constexpr std::uint64_t laterStartMs = 900;

void checkEndsNoFlow(const target_liveness &foreign)
{
    target_fixture fleet;
    fleet.sendRequest(target_fixture::sequence + 1);
    REQUIRE(fleet.engine.flowCount() == 1);
    fleet.now += 1s;
    auto own = target_liveness{.id = "i1",
        .service = "main",
        .address = targetAddress,
        .startedMs = 1,
        .sequence = 2,
        .slots = 4};
    fleet.engine.onLiveness(fleet.now, own);
    fleet.engine.onLiveness(fleet.now, foreign);
    CHECK(fleet.port.toCallers.empty());
    CHECK(fleet.engine.flowCount() == 1);
    // The target's own reports still count.
    own.sequence = 3;
    own.draining = true;
    fleet.engine.onLiveness(fleet.now, own);
    CHECK(fleet.engine.standing(fleet.now) == target_standing::draining);
    CHECK(fleet.engine.service() == "main");
}

} // namespace

TEST_CASE("target process: a report of another service or address ends no flow of the target")
{
    checkEndsNoFlow({.id = "monitor",
        .service = "node-monitor",
        .address = targetAddress,
        .startedMs = laterStartMs,
        .sequence = 1,
        .slots = 1});
    checkEndsNoFlow({.id = "monitor",
        .service = "main",
        .address = {.ip = targetAddress.ip, .port = 9090},
        .startedMs = laterStartMs,
        .sequence = 1,
        .slots = 1});
}

// Such a report of another writer reset all open flows of a live target.
TEST_CASE("target process: a report without an address ends no flow of the target")
{
    checkEndsNoFlow({.id = "other-writer",
        .service = "main",
        .startedMs = laterStartMs,
        .sequence = 1,
        .slots = 1});
}

// The platform's targets say good-bye and end some time later.
TEST_CASE("target process: flows of a target that serves on after its last report are not reset")
{
    target_fixture fleet;
    fleet.sendRequest(target_fixture::sequence + 1);
    fleet.engine.onLiveness(fleet.now, {.id = "i1", .leaving = true});
    fleet.port = {};
    for (int second = 0; second < 10; ++second) {
        fleet.now += 1s;
        fleet.engine.onTick(fleet.now);
        fleet.sendRequest(target_fixture::sequence + 1);
        CHECK(fleet.port.toTarget.size() == static_cast<std::size_t>(second) + 1);
    }
    CHECK(fleet.port.toCallers.empty());
}

TEST_CASE("target process: a late good-bye does not reset flows of a target with the same identity")
{
    target_fixture fleet;
    const target_liveness restarted{.id = "i1",
        .service = "main",
        .address = targetAddress,
        .startedMs = 900,
        .sequence = 1,
        .slots = 4};
    fleet.now += 2s;
    fleet.engine.onLiveness(fleet.now, restarted);
    auto bytes = fleet.packet(
        {.kind = relay_kind::opening, .entry = entryAddress, .serviceTag = serviceTagOf("main")},
        opening);
    fleet.engine.onPeerBytes(fleet.now, entryAddress, bytes);
    auto answer = fleet.codec.encode({.source = service,
                                         .destination = caller,
                                         .synchronize = true,
                                         .acknowledge = true,
                                         .sequence = target_fixture::sequence,
                                         .acknowledged = 1},
        {});
    fleet.engine.onTargetBytes(fleet.now, answer);
    fleet.sendRequest(target_fixture::sequence + 1);
    REQUIRE(fleet.engine.flowCount() == 1);
    fleet.port = {};
    fleet.engine.onLiveness(fleet.now, {.id = "i1", .leaving = true});
    for (int step = 0; step < 12; ++step) {
        fleet.now += 100ms;
        fleet.engine.onTick(fleet.now);
    }
    auto next = restarted;
    next.sequence = 2;
    fleet.engine.onLiveness(fleet.now, next);
    CHECK(fleet.engine.standing(fleet.now) == target_standing::ready);
    CHECK(fleet.engine.flowCount() == 1);
    CHECK(fleet.port.toCallers.empty());
}

namespace {

/// A process that was started again beside a target that holds flows.
struct restarted_fixture : engine_fixture
{
    relay_target engine;

    explicit restarted_fixture(bool firstStart = false)
        : engine({.name = "t1",
                     .domain = "a",
                     .service = "main",
                     .peer = processAddress,
                     .seeds = {entryAddress},
                     .firstStart = firstStart},
            codec, port, metrics, log, now)
    { }

    void advance(std::chrono::milliseconds time)
    {
        for (auto left = time; left > 0ms; left -= relay_target::tickInterval) {
            now += relay_target::tickInterval;
            engine.onTick(now);
        }
    }
    // Result of a question about a flow that the process does not know.
    std::uint64_t askForFlow()
    {
        auto question = encodeRelayMessage(
            flow_question{.flows = {{.caller = caller, .service = service, .search = 1}}});
        port = {};
        engine.onPeerBytes(now, entryAddress, question);
        const auto message = decodeRelayMessage(port.toPeers.at(0).second);
        return std::get<flow_answer>(*valueOf(message)).flows.at(0).word;
    }
    // Whether an unanswered probe with this segment counts as proof that the target lacks the flow.
    bool isSilenceConclusive(const segment &head)
    {
        port = {};
        auto asked
            = packet({.kind = relay_kind::established, .entry = entryAddress, .search = 1}, head);
        engine.onPeerBytes(now, entryAddress, asked);
        advance(30ms);
        for (auto &[to, bytes] : port.toPeers) {
            if (const auto packet = decodeRelayPacket(bytes))
                return !packet->header.inconclusive;
        }
        FAIL("the search did not go on");
        return false;
    }
    std::uint64_t reportedFlows()
    {
        port = {};
        advance(300ms);
        for (auto &[to, bytes] : port.toPeers) {
            const auto message = decodeRelayMessage(bytes);
            if (const auto *report = std::get_if<target_report>(valueOf(message)))
                return report->flows;
        }
        FAIL("nothing was reported");
        return 0;
    }
};

segment acknowledgement()
{
    auto head = request(1);
    head.length = 0;
    return head;
}

} // namespace

// The reports of a target are late when its VM is.
TEST_CASE("target process: a restarted process denies no flow of a target that reports late")
{
    restarted_fixture fleet;
    fleet.advance(2s);
    CHECK(fleet.reportedFlows() > 0);
    CHECK(fleet.askForFlow() == static_cast<std::uint64_t>(flow_lookup_result::unknown));
    CHECK_FALSE(fleet.isSilenceConclusive(acknowledgement()));
}

TEST_CASE("target process: a restarted process denies no flow of a target that said good-bye")
{
    restarted_fixture fleet;
    fleet.engine.onLiveness(fleet.now,
        {.id = "i1",
            .service = "main",
            .address = targetAddress,
            .startedMs = 1,
            .sequence = 9,
            .slots = 4});
    fleet.engine.onLiveness(fleet.now, {.id = "i1", .leaving = true});
    CHECK(fleet.reportedFlows() > 0);
    CHECK(fleet.askForFlow() == static_cast<std::uint64_t>(flow_lookup_result::unknown));
    CHECK_FALSE(fleet.isSilenceConclusive(request(1)));
    CHECK_FALSE(fleet.isSilenceConclusive(acknowledgement()));
    // No target runs there after 4 s without any sign of it.
    fleet.advance(4s);
    CHECK(fleet.reportedFlows() == 0);
    CHECK(fleet.isSilenceConclusive(acknowledgement()));
}

// The VM may be slow, so that the first report and the answers are late together.
TEST_CASE("target process: short silence of a target that reports late denies no flow of it")
{
    restarted_fixture fleet;
    fleet.advance(1600ms);
    REQUIRE(fleet.engine.standing(fleet.now) == target_standing::gone);
    // Two segments of one flow and one of each of three others, all within a quarter of a second.
    for (int segments = 0; segments < 5; ++segments)
        CHECK_FALSE(fleet.isSilenceConclusive(request(1)));
    // An answer to any of them shows that the target runs.
    auto returned = request(1);
    returned.returned = true;
    auto answer = fleet.codec.encode(returned, byte_buffer(100, 'q'));
    fleet.engine.onTargetBytes(fleet.now, answer);
    fleet.advance(1s);
    CHECK_FALSE(fleet.isSilenceConclusive(request(1)));
}

TEST_CASE("target process: time in which the process itself did not run denies no flow")
{
    restarted_fixture fleet;
    fleet.advance(1600ms);
    for (int segments = 0; segments < 3; ++segments) {
        CHECK_FALSE(fleet.isSilenceConclusive(request(1)));
        fleet.now += 300ms;
        fleet.engine.onTick(fleet.now);
    }
    CHECK_FALSE(fleet.isSilenceConclusive(request(1)));
}

TEST_CASE("target process: several segments unanswered over half a second show that no target runs")
{
    restarted_fixture fleet;
    fleet.advance(1s);
    CHECK_FALSE(fleet.isSilenceConclusive(request(1)));
    fleet.advance(150ms);
    CHECK_FALSE(fleet.isSilenceConclusive(request(1)));
    fleet.advance(350ms);
    CHECK_FALSE(fleet.isSilenceConclusive(acknowledgement()));
    CHECK(fleet.isSilenceConclusive(request(1)));
}

// Nothing was sent to the target that it would have answered.
TEST_CASE("target process: late reports alone do not show that no target runs")
{
    restarted_fixture fleet;
    fleet.advance(5s);
    CHECK(fleet.reportedFlows() > 0);
    CHECK(fleet.askForFlow() == static_cast<std::uint64_t>(flow_lookup_result::unknown));
    // A target delays the acknowledgement of a segment without data.
    CHECK_FALSE(fleet.isSilenceConclusive(acknowledgement()));
    CHECK_FALSE(fleet.isSilenceConclusive(request(1)));
    fleet.advance(600ms);
    CHECK(fleet.isSilenceConclusive(acknowledgement()));
    CHECK(fleet.reportedFlows() == 0);
}

// Settings that say "first start" may be used again at a later one.
TEST_CASE(
    "target process: a process denies no flow of a target that has reported to an earlier one")
{
    // The target's clock may be ahead or behind: its start shows nothing.
    constexpr std::array<std::uint64_t, 2> starts{1, 4'000'000'000'000};
    // Reports of a target that starts with the process may be lost until it is up.
    constexpr std::array<std::uint64_t, 2> firstReports{1, 3};
    constexpr std::array<std::uint64_t, 2> laterReports{4, 25};
    const auto ask = [](std::uint64_t startedMs, std::uint64_t report) {
        restarted_fixture fleet(true);
        fleet.engine.onLiveness(fleet.now,
            {.id = "i1",
                .service = "main",
                .address = targetAddress,
                .startedMs = startedMs,
                .sequence = report,
                .slots = 4});
        return fleet.askForFlow();
    };
    for (const auto startedMs : starts) {
        for (const auto report : firstReports)
            CHECK(
                ask(startedMs, report) == static_cast<std::uint64_t>(flow_lookup_result::not_held));
        for (const auto report : laterReports)
            CHECK(
                ask(startedMs, report) == static_cast<std::uint64_t>(flow_lookup_result::unknown));
    }
}

// Callers of flows that ended with their target must not wait for their deadlines.
TEST_CASE("target process: flows of a target whose port is closed are reset at once")
{
    target_fixture fleet;
    fleet.sendRequest(target_fixture::sequence + 1);
    fleet.engine.onLiveness(fleet.now, {.id = "i1", .leaving = true});
    fleet.port = {};
    fleet.engine.onTargetRefused(fleet.now);
    CHECK(fleet.port.toCallers.size() == 1);
    CHECK(fleet.engine.flowCount() == 0);
}

TEST_CASE("target process: an opening that a closed port refuses is passed on at once")
{
    engine_fixture fleet;
    relay_target engine({.name = "t1", .domain = "a", .service = "main", .peer = processAddress},
        fleet.codec, fleet.port, fleet.metrics, fleet.log, fleet.now);
    engine.onLiveness(fleet.now,
        {.id = "i1",
            .service = "main",
            .address = targetAddress,
            .startedMs = 1,
            .sequence = 1,
            .slots = 4});
    auto bytes = fleet.packet({.kind = relay_kind::opening,
                                  .entry = entryAddress,
                                  .serviceTag = serviceTagOf("main"),
                                  .candidates = {otherProcess}},
        opening);
    engine.onPeerBytes(fleet.now, entryAddress, bytes);
    fleet.port = {};
    engine.onTargetRefused(fleet.now);
    const auto packets = fleet.port.takePackets();
    REQUIRE(packets.size() == 1);
    CHECK(packets.front() == std::pair(relay_kind::opening, otherProcess));
    CHECK(fleet.port.toCallers.empty());
}
