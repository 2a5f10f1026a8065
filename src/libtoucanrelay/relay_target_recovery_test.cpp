#include "engine_fixtures.h"

#include <catch2/catch.hpp>

using namespace toucan;
using namespace toucan::testing;

namespace {

constexpr endpoint otherEntry{.ip = 0x0a010002, .port = 7000};
constexpr endpoint otherCaller{.ip = 0x64400001, .port = 40002};

// A process whose target holds one flow is told to stop; `start` begins its next start.
struct restart_fixture : target_fixture
{
    std::vector<byte_buffer> pages; ///< Sent to the entry while it stopped.
    std::optional<relay_target> restarted;

    explicit restart_fixture(bool isOpen = true, bool isAnswered = true)
        : target_fixture(isAnswered)
    {
        hearEntry(engine);
        if (isOpen)
            sendRequest(sequence + 1);
        now += 1s;
        engine.onLiveness(now,
            {.id = "i1",
                .service = "main",
                .address = targetAddress,
                .startedMs = 1,
                .sequence = 2,
                .slots = 4});
        port = {};
        engine.startLeaving(now);
        pages = takeMessages<flow_table_page>(entryAddress);
    }

    void hearEntry(relay_target &process)
    {
        auto notice = encodeRelayMessage(entry_notice{.name = "e1", .domain = "a", .boot = 7});
        process.onPeerBytes(now, entryAddress, notice);
    }
    void start(bool returnTable = true)
    {
        now += 700ms;
        restarted.emplace(relay_target_options{.name = "t1",
                              .domain = "a",
                              .service = "main",
                              .peer = processAddress,
                              .target = targetAddress,
                              .boot = 2},
            codec, port, metrics, log, now);
        port = {};
        hearEntry(*restarted);
        if (!returnTable)
            return;
        returnPages();
        state();
        port = {};
    }
    void returnPages()
    {
        for (auto page : pages)
            restarted->onPeerBytes(now, entryAddress, page);
    }
    // An entry replies to the request of the process.
    void state(const std::vector<heard_start> &starts = {}, const endpoint &entry = entryAddress,
        std::chrono::milliseconds covers = 0ms)
    {
        auto statement = encodeRelayMessage(flow_table_statement{.member = "t1",
            .boot = 2,
            .starts = starts,
            .coversMs = static_cast<std::uint64_t>(covers.count())});
        restarted->onPeerBytes(now, entry, statement);
    }
    void advance(std::chrono::milliseconds time)
    {
        for (auto left = time; left > 0ms; left -= relay_target::tickInterval) {
            now += relay_target::tickInterval;
            restarted->onTick(now);
        }
    }
    void report(std::uint64_t startedMs, std::uint64_t number)
    {
        restarted->onLiveness(now,
            {.id = "i1",
                .service = "main",
                .address = targetAddress,
                .startedMs = startedMs,
                .sequence = number,
                .slots = 4});
    }
    std::uint64_t askFor(const endpoint &from, std::uint32_t acknowledged = sequence + 1)
    {
        auto question = encodeRelayMessage(flow_question{
            .flows = {{.caller = from, .service = service, .acknowledged = acknowledged}}});
        port = {};
        restarted->onPeerBytes(now, entryAddress, question);
        const auto answers = takeMessages<flow_answer>(entryAddress);
        REQUIRE(answers.size() == 1);
        return std::get<flow_answer>(*valueOf(decodeRelayMessage(answers.front())))
            .flows.front()
            .word;
    }
    template <class T>
    std::vector<byte_buffer> takeMessages(const endpoint &recipient)
    {
        std::vector<byte_buffer> found;
        for (auto &[to, bytes] : std::exchange(port.toPeers, {})) {
            const auto message = decodeRelayMessage(bytes);
            if (to == recipient && valueOf(message) && std::holds_alternative<T>(*valueOf(message)))
                found.push_back(bytes);
        }
        return found;
    }
};

constexpr auto held = static_cast<std::uint64_t>(flow_lookup_result::held);
constexpr auto notHeld = static_cast<std::uint64_t>(flow_lookup_result::not_held);
constexpr auto unknown = static_cast<std::uint64_t>(flow_lookup_result::unknown);

} // namespace

TEST_CASE("target process: a process restarted as planned denies other targets' flows unasked")
{
    restart_fixture fleet;
    fleet.start();
    CHECK(fleet.askFor(caller) == held);
    CHECK(fleet.askFor(otherCaller) == notHeld);
    // Neither answer rests on a segment to the target.
    CHECK(fleet.port.toTarget.empty());
    CHECK(fleet.restarted->standing(fleet.now) == target_standing::unknown);
    fleet.report(1, 3);
    CHECK(fleet.askFor(caller) == held);
    CHECK(fleet.restarted->standing(fleet.now) == target_standing::ready);
}

TEST_CASE("target process: without the table of the start before, no flow is denied")
{
    restart_fixture fleet;
    fleet.start(false);
    CHECK(fleet.takeMessages<flow_table_request>(entryAddress).size() == 1);
    CHECK(fleet.askFor(caller) == unknown);
    fleet.report(1, 3);
    CHECK(fleet.askFor(caller) == unknown);
    // The entry that keeps the table may have been slow.
    fleet.returnPages();
    fleet.state();
    CHECK(fleet.askFor(caller) == held);
    CHECK(fleet.askFor(otherCaller) == notHeld);
}

TEST_CASE(
    "target process: an opening on its way during the restart is open once it is acknowledged")
{
    restart_fixture fleet(false);
    fleet.start();
    // The caller may acknowledge another target's answer, or data that this one sent since.
    CHECK(fleet.askFor(caller, target_fixture::sequence + 9) == unknown);
    CHECK(fleet.askFor(otherCaller) == notHeld);
    CHECK(fleet.askFor(caller) == held);
}

TEST_CASE("target process: a flow that opens while the process leaves is not denied by its next")
{
    restart_fixture fleet(false);
    // The table was sent before: the process still passes segments on until it ends.
    fleet.now += 10ms;
    fleet.sendRequest(target_fixture::sequence + 1);
    auto answer = fleet.codec.encode({.source = service,
                                         .destination = caller,
                                         .acknowledge = true,
                                         .sequence = target_fixture::sequence + 1,
                                         .acknowledged = 101,
                                         .length = 800},
        byte_buffer(800, 'r'));
    fleet.engine.onTargetBytes(fleet.now, answer);
    const auto acknowledged = target_fixture::sequence + 801;
    fleet.start();
    fleet.report(1, 3);
    SECTION("asked at once")
    {
        CHECK(fleet.askFor(caller, acknowledged) == unknown);
    }
    SECTION("asked after a pause of the caller")
    {
        for (int i = 0; i < 200; ++i) {
            fleet.now += 50ms;
            fleet.restarted->onTick(fleet.now);
        }
        CHECK(fleet.askFor(caller, acknowledged) == unknown);
    }
    SECTION("its target answers late")
    {
        auto bytes = fleet.packet(
            {.kind = relay_kind::established, .entry = entryAddress}, request(acknowledged));
        fleet.port = {};
        fleet.restarted->onPeerBytes(fleet.now, entryAddress, bytes);
        CHECK(fleet.port.toTarget.size() == 1);
        for (int i = 0; i < 50; ++i) {
            fleet.now += 50ms;
            fleet.restarted->onTick(fleet.now);
        }
        CHECK(fleet.askFor(caller, acknowledged) == unknown);
        fleet.restarted->onTargetBytes(fleet.now, answer);
        CHECK(fleet.askFor(caller, acknowledged) == held);
    }
    SECTION("its target does not hold it")
    {
        auto head = request(acknowledged);
        auto bytes = fleet.packet({.kind = relay_kind::established, .entry = entryAddress}, head);
        fleet.restarted->onPeerBytes(fleet.now, entryAddress, bytes);
        head.returned = true;
        auto returned = fleet.codec.encode(head, byte_buffer(head.length, 'q'));
        fleet.restarted->onTargetBytes(fleet.now, returned);
        CHECK(fleet.askFor(caller, acknowledged) == notHeld);
    }
    // The doubt is about this flow only.
    CHECK(fleet.askFor(otherCaller) == notHeld);
}

TEST_CASE("target process: an opening answered while the process leaves is not denied by its next")
{
    restart_fixture fleet(false, false);
    fleet.start();
    CHECK(fleet.askFor(caller) == unknown);
    fleet.report(1, 3);
    CHECK(fleet.askFor(caller) == unknown);
    CHECK(fleet.askFor(otherCaller) == notHeld);
}

TEST_CASE("target process: flows of a target replaced during the restart are reset once it reports")
{
    restart_fixture fleet;
    SECTION("after the table was returned")
    {
        fleet.start();
        fleet.report(2, 1);
    }
    SECTION("before the table was returned")
    {
        fleet.start(false);
        fleet.report(2, 1);
        CHECK(fleet.port.toCallers.empty());
    }
    fleet.returnPages();
    fleet.state();
    CHECK(fleet.port.toCallers.size() == 1);
    CHECK(fleet.askFor(caller) == notHeld);
}

TEST_CASE("target process: a late report of an earlier lifetime ends no flow after a restart")
{
    restart_fixture fleet;
    SECTION("after the table was returned")
    {
        fleet.start();
        fleet.report(0, 99);
    }
    SECTION("before the table was returned")
    {
        fleet.start(false);
        fleet.report(0, GENERATE(1, 99));
        for (auto &page : fleet.pages)
            fleet.restarted->onPeerBytes(fleet.now, entryAddress, page);
        fleet.now += 100ms;
        fleet.report(1, 3);
    }
    CHECK(fleet.askFor(caller) == held);
    CHECK(fleet.port.toCallers.empty());
}

TEST_CASE(
    "target process: a process that leaves sends its flows more than once and accepts no more")
{
    restart_fixture fleet;
    REQUIRE(fleet.pages.size() == 1);
    fleet.now += 50ms;
    fleet.engine.onTick(fleet.now);
    CHECK(fleet.takeMessages<flow_table_page>(entryAddress) == fleet.pages);
    auto late = opening;
    late.source = otherCaller;
    auto bytes = fleet.packet(
        {.kind = relay_kind::opening, .entry = entryAddress, .serviceTag = serviceTagOf("main")},
        late);
    fleet.engine.onPeerBytes(fleet.now, entryAddress, bytes);
    CHECK(fleet.port.toTarget.empty());
}

TEST_CASE("target process: a table that entries return late is still requested and restored")
{
    restart_fixture fleet;
    fleet.start(false);
    for (int i = 0; i < 140; ++i) {
        fleet.now += relay_target::tickInterval;
        fleet.restarted->onTick(fleet.now);
        if (i == 59)
            fleet.port = {};
    }
    CHECK_FALSE(fleet.takeMessages<flow_table_request>(entryAddress).empty());
    fleet.restarted->onPeerBytes(fleet.now, entryAddress, fleet.pages.front());
    CHECK(fleet.askFor(caller) == held);
}

TEST_CASE("target process: a table is no proof after a start that may have opened flows")
{
    restart_fixture fleet;
    fleet.start(false);
    const heard_start between{.boot = 9, .firstHeardMs = 500, .lastHeardMs = 100};
    const heard_start sender{.boot = 1, .firstHeardMs = 9000, .lastHeardMs = 700};
    SECTION("the entry that returns the table has not heard of it")
    {
        fleet.returnPages();
        fleet.state({between, sender});
        CHECK(fleet.askFor(otherCaller) == unknown);
    }
    SECTION("a statement arrives after others were not waited for any longer")
    {
        fleet.returnPages();
        fleet.advance(300ms);
        CHECK(fleet.askFor(otherCaller) == notHeld);
        fleet.state({between}, otherEntry);
        CHECK(fleet.askFor(otherCaller) == unknown);
    }
    SECTION("it stated that it accepted no opening")
    {
        fleet.returnPages();
        auto unused = between;
        unused.unused = true;
        fleet.state({unused});
        CHECK(fleet.askFor(otherCaller) == notHeld);
    }
    CHECK(fleet.askFor(caller) == held);
}

TEST_CASE("target process: a table is no proof until its keepers have stated the later starts")
{
    restart_fixture fleet;
    fleet.start(false);
    fleet.returnPages();
    CHECK(fleet.askFor(caller) == held);
    CHECK(fleet.askFor(otherCaller) == unknown);
    SECTION("all have")
    {
        fleet.state();
        CHECK(fleet.askFor(otherCaller) == notHeld);
    }
    SECTION("a silent one may have stopped")
    {
        fleet.advance(300ms);
        CHECK_FALSE(fleet.takeMessages<flow_table_request>(entryAddress).empty());
        CHECK(fleet.askFor(otherCaller) == notHeld);
    }
}

TEST_CASE("target process: a start that stops before it has the table leaves that in use")
{
    restart_fixture fleet;
    fleet.start(false);
    const auto messagesOfStop = [&] {
        fleet.port = {};
        fleet.restarted->startLeaving(fleet.now);
        const auto all = fleet.port;
        const auto unused = fleet.takeMessages<unused_start>(entryAddress).size();
        fleet.port = all;
        return std::pair(unused, fleet.takeMessages<flow_table_page>(entryAddress).size());
    };
    SECTION("without flows")
    {
        CHECK(messagesOfStop() == std::pair<std::size_t, std::size_t>(1, 0));
    }
    SECTION("an opening was accepted")
    {
        fleet.report(1, 3);
        auto bytes = fleet.packet({.kind = relay_kind::opening,
                                      .entry = entryAddress,
                                      .serviceTag = serviceTagOf("main")},
            opening);
        fleet.restarted->onPeerBytes(fleet.now, entryAddress, bytes);
        CHECK(messagesOfStop() == std::pair<std::size_t, std::size_t>(0, 1));
    }
    SECTION("the table was restored")
    {
        fleet.returnPages();
        fleet.state();
        CHECK(messagesOfStop() == std::pair<std::size_t, std::size_t>(0, 1));
    }
}

// A target numbered its reports from 0. Its process was killed after report 0, and the next start
// took report 1 for the first: it denied all flows of the target, which were reset.
TEST_CASE("target process: a first report is no proof that no start before it opened flows")
{
    const auto number = GENERATE(0, 1);
    restart_fixture fleet;
    fleet.start(false);
    SECTION("an entry has heard of such a start")
    {
        fleet.state({{.boot = 1, .firstHeardMs = 900, .lastHeardMs = 700}}, entryAddress, 15s);
    }
    SECTION("no entry has made a statement") { }
    SECTION("the entry of its domain was started too late to have heard of it")
    {
        fleet.state({}, entryAddress, 2s);
        fleet.state({}, otherEntry, 15s);
    }
    SECTION("only an entry of another failure domain has made a statement")
    {
        fleet.state({}, otherEntry, 15s);
    }
    fleet.advance(1s);
    fleet.report(1, number);
    CHECK(fleet.askFor(caller) == unknown);
    CHECK(fleet.askFor(otherCaller) == unknown);
}

TEST_CASE("target process: a first report is proof while no entry knows of a start before")
{
    restart_fixture fleet;
    fleet.start(false);
    fleet.state({}, entryAddress, 15s);
    fleet.advance(1s);
    CHECK(fleet.askFor(caller) == unknown);
    fleet.report(1, GENERATE(0, 1));
    CHECK(fleet.askFor(caller) == notHeld);
    fleet.state({{.boot = 1, .firstHeardMs = 2000, .lastHeardMs = 1700}}, otherEntry, 15s);
    CHECK(fleet.askFor(caller) == unknown);
}

// After a loss of power everywhere, searches for flows that were gone asked all targets for a
// minute.
TEST_CASE("target process: a first report is proof after a loss of power everywhere")
{
    restart_fixture fleet;
    fleet.start(false);
    fleet.state({}, entryAddress, 100ms);
    fleet.state({}, otherEntry, 300ms);
    fleet.advance(1s);
    fleet.report(1, 1);
    CHECK(fleet.askFor(caller) == notHeld);
}

TEST_CASE("target process: a closed port proves that no flow is older")
{
    restart_fixture fleet;
    fleet.start(false);
    fleet.restarted->onTargetRefused(fleet.now);
    fleet.report(1, 4);
    CHECK(fleet.askFor(caller) == notHeld);
}

TEST_CASE("target process: a good-bye that comes first is no first report")
{
    restart_fixture fleet;
    fleet.start(false);
    fleet.restarted->onLiveness(fleet.now, {.id = "i1", .leaving = true});
    CHECK(fleet.askFor(caller) == unknown);
}

// The next report of the live target counted as a new lifetime that had begun under this start.
TEST_CASE("target process: a late report of an earlier lifetime proves nothing about the next")
{
    restart_fixture fleet;
    fleet.start(false);
    fleet.report(1, 0);
    fleet.report(2, GENERATE(1, 7));
    CHECK(fleet.askFor(caller) == unknown);
}

TEST_CASE("target process: a lifetime that follows one seen alive here has no older flow")
{
    restart_fixture fleet;
    fleet.start(false);
    fleet.report(1, 9);
    CHECK(fleet.askFor(caller) == unknown);
    fleet.advance(1200ms);
    fleet.report(1, 10);
    fleet.advance(1200ms);
    fleet.report(2, 1);
    CHECK(fleet.askFor(caller) == notHeld);
}
