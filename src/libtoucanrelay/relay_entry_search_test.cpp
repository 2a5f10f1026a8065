#include "engine_fixtures.h"

#include <catch2/catch.hpp>
#include <set>

using namespace toucan;
using namespace toucan::testing;

TEST_CASE("entry: a search asks members that reported no flows")
{
    for (const auto standing : {target_standing::gone, target_standing::ready}) {
        entry_fixture fleet;
        fleet.report(reportOf("t1", standing, 0));
        fleet.advance(600ms);
        fleet.sendRequest();
        const auto packets = fleet.port.takePackets();
        REQUIRE(packets.size() == 1);
        CHECK(packets.front() == std::pair(relay_kind::established, processAddress));
        CHECK(fleet.port.toCallers.empty());
    }
}

TEST_CASE("entry: a flow is not reset while the silence of a member that may hold it is short")
{
    for (const bool isPlanned : {false, true}) {
        entry_fixture fleet;
        fleet.report(reportOf("t1", target_standing::ready, 3));
        std::uint64_t order = 1;
        const auto pass = [&](std::chrono::milliseconds time) {
            for (auto left = time; left > 0ms; left -= 250ms) {
                auto alive = reportOf("t2", target_standing::ready, 3);
                alive.order = ++order;
                fleet.report(alive, otherProcess);
                fleet.advance(250ms);
            }
        };
        pass(1000ms);
        auto last = reportOf("t1", target_standing::ready, 3);
        last.order = 2;
        last.leaving = isPlanned;
        fleet.report(last);
        const auto isResetAfter = [&](std::chrono::milliseconds time) {
            pass(time);
            fleet.sendRequest();
            fleet.answerAllNotHeld();
            return !fleet.port.toCallers.empty();
        };
        INFO("planned " << isPlanned);
        CHECK_FALSE(isResetAfter(3500ms));
        CHECK(isResetAfter(1000ms) != isPlanned);
        CHECK(isResetAfter(12s));
    }
}

TEST_CASE("entry: a flow of a process that restarts as planned is not searched at other targets")
{
    entry_fixture fleet;
    fleet.report(reportOf("t1", target_standing::ready, 1));
    fleet.report(reportOf("t2", target_standing::ready, 1), otherProcess);
    auto leaving = reportOf("t1", target_standing::unknown, 1);
    leaving.order = 2;
    leaving.leaving = true;
    fleet.report(leaving);
    auto page = encodeRelayMessage(flow_table_page{.member = "t1",
        .boot = 1,
        .complete = true,
        .flows = {{.caller = caller, .service = service, .open = true}}});
    fleet.engine.onPeerBytes(fleet.now, processAddress, page);
    fleet.advance(500ms);
    fleet.sendRequest();
    CHECK(fleet.port.takePackets()
        == std::vector{std::pair(relay_kind::established, processAddress)});
    // The next start knows its flows and answers for itself.
    auto request = encodeRelayMessage(flow_table_request{.member = "t1", .boot = 2});
    fleet.engine.onPeerBytes(fleet.now, processAddress, request);
    CHECK(fleet.port.messagesTo<flow_table_page>(processAddress).size() == 1);
    CHECK(fleet.port.messagesTo<flow_table_statement>(processAddress).size() == 1);
    CHECK(fleet.port.toPeers.size() == 2);
    // The one after that may lack flows of the start between.
    fleet.port = {};
    request = encodeRelayMessage(flow_table_request{.member = "t1", .boot = 3});
    fleet.engine.onPeerBytes(fleet.now, processAddress, request);
    CHECK(fleet.port.messagesTo<flow_table_page>(processAddress).empty());
    CHECK(fleet.port.toPeers.size() == 1);
    const auto statements = fleet.port.messagesTo<flow_table_statement>(processAddress);
    REQUIRE(statements.size() == 1);
    CHECK(statements.front().boot == 3);
    CHECK(std::ranges::any_of(
        statements.front().starts, [](const heard_start &item) { return item.boot == 2; }));
}

TEST_CASE("entry: a search asks all members although their order changes during it")
{
    constexpr std::uint32_t members = 14;
    const auto addressOf
        = [](std::uint32_t i) { return endpoint{.ip = 0x0a020000 + i, .port = 7000}; };
    for (std::uint32_t stale = 0; stale < members; ++stale) {
        entry_fixture fleet;
        std::uint64_t order = 0;
        const auto reportAll = [&](std::optional<std::uint32_t> except) {
            ++order;
            for (std::uint32_t i = 0; i < members; ++i) {
                auto message = reportOf("t" + std::to_string(i), target_standing::ready, 3);
                message.order = order;
                if (i != except)
                    fleet.report(message, addressOf(i));
            }
        };
        reportAll({});
        fleet.advance(600ms);
        fleet.sendRequest();
        auto asked = fleet.asked();
        // During the search the next report of one member is late.
        auto firstAsked = std::exchange(fleet.port.toPeers, {});
        fleet.now += 50ms;
        reportAll(stale);
        for (auto &[to, bytes] : firstAsked)
            fleet.answerNotHeld(to, bytes);
        fleet.now += 20ms;
        fleet.engine.onTick(fleet.now);
        asked.merge(fleet.asked());
        INFO("stale member " << stale);
        CHECK(asked.size() == members);
    }
}

TEST_CASE("entry: a flow that no target holds is reset as soon as the members are known")
{
    entry_fixture fleet;
    fleet.report(reportOf("t1", target_standing::ready, 3));
    fleet.advance(300ms);
    fleet.sendRequest();
    fleet.answerAllNotHeld();
    CHECK(fleet.port.toCallers.empty());
    fleet.advance(150ms);
    CHECK(fleet.port.toCallers.empty());
    auto alive = reportOf("t1", target_standing::ready, 3);
    alive.order = 2;
    fleet.report(alive);
    fleet.now += 100ms;
    fleet.engine.onTick(fleet.now);
    CHECK(fleet.port.toCallers.size() == 1);
}

TEST_CASE("entry: a search skips processes that are down")
{
    constexpr std::uint32_t members = 14;
    constexpr std::uint32_t removed = 13;
    for (const bool heldFlows : {false, true}) {
        entry_fixture fleet;
        for (std::uint32_t i = 0; i < members; ++i) {
            const bool isRemoved = i == removed && !heldFlows;
            fleet.report(
                reportOf("t" + std::to_string(i),
                    isRemoved ? target_standing::gone : target_standing::ready, isRemoved ? 0 : 3),
                {.ip = 0x0a020000 + i, .port = 7000});
        }
        fleet.advance(600ms);
        fleet.sendRequest();
        for (int step = 0; step < 40; ++step) {
            for (auto &[to, bytes] : std::exchange(fleet.port.toPeers, {})) {
                const auto packet = decodeRelayPacket(bytes);
                std::set<endpoint> chain{to};
                if (packet)
                    chain.insert(
                        packet->header.candidates.begin(), packet->header.candidates.end());
                if (!chain.contains({.ip = 0x0a020000 + removed, .port = 7000}))
                    fleet.answerNotHeld(to, bytes);
            }
            fleet.now += 10ms;
            fleet.engine.onTick(fleet.now);
        }
        INFO("the process that is down held flows: " << heldFlows);
        CHECK(fleet.port.toCallers.size() == (heldFlows ? 0 : 1));
    }
}

TEST_CASE("entry: segments buffered during a search are sent to the owner")
{
    entry_fixture fleet;
    fleet.report(reportOf("t1", target_standing::ready, 3));
    fleet.report(reportOf("t2", target_standing::ready, 3), otherProcess);
    fleet.advance(600ms);
    fleet.sendRequest();
    CHECK(fleet.port.takePackets().size() == 1);
    fleet.sendRequest();
    CHECK(fleet.port.takePackets().empty());
    auto found = encodeRelayMessage(flow_owner{.caller = caller, .service = service});
    fleet.engine.onPeerBytes(fleet.now, otherProcess, found);
    const auto packets = fleet.port.takePackets();
    REQUIRE(packets.size() == 1);
    CHECK(packets.front() == std::pair(relay_kind::established, otherProcess));
}

TEST_CASE("entry: a member without information on whether its target holds a flow gets the segment")
{
    constexpr std::uint32_t members = 12;
    entry_fixture fleet;
    for (std::uint32_t i = 0; i < members; ++i)
        fleet.report(reportOf("t" + std::to_string(i), target_standing::ready, 3),
            {.ip = 0x0a020000 + i, .port = 7000});
    fleet.advance(600ms);
    fleet.sendRequest();
    for (auto &[to, bytes] : std::exchange(fleet.port.toPeers, {}))
        fleet.answerNotHeld(to, bytes);
    fleet.now += 20ms;
    fleet.engine.onTick(fleet.now);
    auto questions = std::exchange(fleet.port.toPeers, {});
    REQUIRE(!questions.empty());
    const auto undecided = questions.front().first;
    fleet.answerQuestion(undecided, questions.front().second, flow_lookup_result::unknown);
    auto sent = std::exchange(fleet.port.toPeers, {});
    REQUIRE(sent.size() == 1);
    CHECK(sent.front().first == undecided);
    CHECK(decodeRelayPacket(sent.front().second));
    for (std::size_t i = 1; i < questions.size(); ++i)
        fleet.answerNotHeld(questions[i].first, questions[i].second);
    CHECK(fleet.port.toCallers.empty());
    fleet.answerNotHeld(undecided, sent.front().second);
    CHECK(fleet.port.toCallers.size() == 1);
}

TEST_CASE("entry: the owner that a question finds gets the segments in order")
{
    constexpr std::uint32_t members = 12;
    entry_fixture fleet;
    for (std::uint32_t i = 0; i < members; ++i)
        fleet.report(reportOf("t" + std::to_string(i), target_standing::ready, 3),
            {.ip = 0x0a020000 + i, .port = 7000});
    fleet.advance(600ms);
    fleet.sendRequest();
    fleet.sendRequest();
    for (auto &[to, bytes] : std::exchange(fleet.port.toPeers, {}))
        fleet.answerNotHeld(to, bytes);
    fleet.now += 20ms;
    fleet.engine.onTick(fleet.now);
    auto questions = std::exchange(fleet.port.toPeers, {});
    REQUIRE(!questions.empty());
    const auto owner = questions.front().first;
    fleet.answerQuestion(owner, questions.front().second, flow_lookup_result::held);
    const auto packets = fleet.port.takePackets();
    REQUIRE(packets.size() == 2);
    CHECK(packets[0] == std::pair(relay_kind::established, owner));
    CHECK(packets[1] == packets[0]);
}

TEST_CASE("entry: a flow whose confirmed owner does not hold it any more is reset without a search")
{
    entry_fixture fleet;
    fleet.report(reportOf("t1", target_standing::ready, 3));
    fleet.report(reportOf("t2", target_standing::ready, 3), otherProcess);
    fleet.advance(600ms);
    fleet.sendRequest();
    auto found = encodeRelayMessage(flow_owner{.caller = caller, .service = service});
    fleet.engine.onPeerBytes(fleet.now, otherProcess, found);
    fleet.port = {};
    for (const bool isInconclusive : {true, false}) {
        fleet.sendRequest();
        auto packets = std::exchange(fleet.port.toPeers, {});
        REQUIRE(packets.size() == 1);
        auto packet = decodeRelayPacket(packets.front().second);
        packet->header.kind = relay_kind::not_found;
        packet->header.inconclusive = isInconclusive;
        auto reply = fleet.packet(packet->header, *fleet.codec.decode(packet->bytes));
        fleet.engine.onPeerBytes(fleet.now, otherProcess, reply);
        CHECK(fleet.port.toCallers.size() == (isInconclusive ? 0 : 1));
        CHECK(fleet.port.takePackets().size() == (isInconclusive ? 1 : 0));
        // The inconclusive answer started a search, which finds the owner again.
        auto again = encodeRelayMessage(flow_owner{.caller = caller, .service = service});
        fleet.engine.onPeerBytes(fleet.now, otherProcess, again);
        fleet.port.toPeers.clear();
    }
}

TEST_CASE("entry: a flow is not reset while another entry of the domain may have more members")
{
    entry_fixture fleet;
    auto notice = encodeRelayMessage(
        entry_notice{.name = "e2", .domain = "a", .boot = 2, .revision = 1, .knowsDomain = true});
    fleet.engine.onPeerBytes(fleet.now, {.ip = 0x0a010002, .port = 7000}, notice);
    fleet.report(reportOf("t1", target_standing::ready, 3));
    fleet.advance(600ms);
    fleet.sendRequest();
    fleet.answerAllNotHeld();
    CHECK(fleet.port.toCallers.empty());
}

TEST_CASE("entry: its digests are not complete in the first seconds without reports")
{
    entry_fixture fleet;
    auto notice = encodeRelayMessage(entry_notice{.name = "e2", .domain = "b", .boot = 2});
    fleet.engine.onPeerBytes(fleet.now, {.ip = 0x0a010002, .port = 7000}, notice);
    const auto hasSentCompleteDigest = [&] {
        return std::ranges::any_of(fleet.port.toPeers, [](const auto &sent) {
            const auto message = decodeRelayMessage(sent.second);
            const auto *digest
                = valueOf(message) ? std::get_if<member_digest>(valueOf(message)) : nullptr;
            return digest && digest->complete;
        });
    };
    for (int i = 0; i < 10; ++i) {
        fleet.now += 250ms;
        fleet.engine.onTick(fleet.now);
        CHECK_FALSE(hasSentCompleteDigest());
    }
}

TEST_CASE("entry: after a pause no flow is reset before the members are known again")
{
    entry_fixture fleet;
    fleet.report(reportOf("t1", target_standing::ready, 3));
    fleet.advance(600ms);
    fleet.engine.onPause(fleet.now);
    // Members that started during the pause have not reported here yet.
    fleet.sendRequest();
    fleet.answerAllNotHeld();
    CHECK(fleet.port.toCallers.empty());
}

// The link between the member and this entry only may be cut.
TEST_CASE("entry: a member that another entry of its domain hears is not taken for gone")
{
    constexpr endpoint otherEntry{.ip = 0x0a010002, .port = 7000};
    entry_fixture fleet;
    std::uint64_t order = 0;
    const auto report = [&](const std::string &name, const endpoint &from) {
        auto message = reportOf(name, target_standing::ready, 3);
        message.order = ++order;
        fleet.report(message, from);
    };
    report("t1", processAddress);
    report("t2", otherProcess);
    fleet.advance(600ms);
    auto t1 = member_state{.name = "t1",
        .service = "main",
        .address = processAddress,
        .boot = 1,
        .lifetime = 1,
        .order = 100,
        .standing = static_cast<std::uint64_t>(target_standing::ready),
        .slots = 4,
        .flows = 3,
        .silentMs = 100};
    std::uint64_t number = 0;
    // The other entry answers requests for its view of the domain.
    const auto answerRequests = [&] {
        for (auto &[to, bytes] : std::exchange(fleet.port.toPeers, {})) {
            const auto message = decodeRelayMessage(bytes);
            if (to != otherEntry || !valueOf(message)
                || !std::holds_alternative<digest_request>(*valueOf(message)))
                continue;
            auto digest = encodeRelayMessage(member_digest{.origin = otherEntry,
                .originDomain = "a",
                .boot = 2,
                .number = ++number,
                .domain = "a",
                .complete = true,
                .count = 2,
                .members = {t1}});
            fleet.engine.onPeerBytes(fleet.now, otherEntry, digest);
        }
    };
    for (int step = 0; step < 18; ++step) {
        report("t2", otherProcess);
        auto notice = encodeRelayMessage(
            entry_notice{.name = "e2", .domain = "a", .boot = 2, .revision = 1});
        fleet.engine.onPeerBytes(fleet.now, otherEntry, notice);
        fleet.now += 250ms;
        fleet.engine.onTick(fleet.now);
        answerRequests();
    }
    fleet.sendRequest();
    fleet.answerAllNotHeld();
    CHECK(fleet.port.toCallers.empty());
}

// Processes report to the entries of their own failure domain; others hear of their starts from
// digests.
TEST_CASE("entry: a flow table is not returned past a start that only digests reported")
{
    entry_fixture fleet;
    std::uint64_t number = 0;
    const auto digest = [&](std::uint64_t boot) {
        fleet.now += 500ms;
        auto bytes = encodeRelayMessage(member_digest{.origin = otherProcess,
            .originDomain = "b",
            .boot = 5,
            .number = ++number,
            .domain = "b",
            .members = {{.name = "t1",
                .service = "main",
                .address = processAddress,
                .boot = boot,
                .order = 1,
                .standing = static_cast<std::uint64_t>(target_standing::ready)}}});
        fleet.engine.onPeerBytes(fleet.now, otherProcess, bytes);
    };
    const auto returnedPages = [&](std::uint64_t boot) {
        fleet.port = {};
        auto bytes = encodeRelayMessage(flow_table_request{.member = "t1", .boot = boot});
        fleet.engine.onPeerBytes(fleet.now, processAddress, bytes);
        return fleet.port.messagesTo<flow_table_page>(processAddress).size();
    };
    digest(1);
    fleet.now += 500ms;
    auto page = encodeRelayMessage(flow_table_page{.member = "t1", .boot = 1, .complete = true});
    fleet.engine.onPeerBytes(fleet.now, processAddress, page);
    SECTION("the next start")
    {
        digest(1);
        digest(2);
        CHECK(returnedPages(2) == 1);
    }
    SECTION("the one after it")
    {
        digest(2);
        digest(3);
        CHECK(returnedPages(3) == 0);
    }
}

TEST_CASE("entry: a start that accepted no opening does not take the table before it out of use")
{
    entry_fixture fleet;
    const auto receive = [&](const relay_message &message) {
        fleet.port = {};
        auto bytes = encodeRelayMessage(message);
        fleet.engine.onPeerBytes(fleet.now, processAddress, bytes);
    };
    fleet.report(reportOf("t1", target_standing::ready, 1));
    receive(flow_table_page{.member = "t1", .boot = 1, .complete = true});
    fleet.now += 300ms;
    receive(flow_table_request{.member = "t1", .boot = 2});
    fleet.now += 20ms;
    // Flows that it found without the table.
    receive(flow_table_page{.member = "t1", .boot = 2, .unused = true});
    receive(unused_start{.member = "t1", .boot = 2});
    fleet.now += 300ms;
    receive(flow_table_request{.member = "t1", .boot = 3});
    const auto pages = fleet.port.messagesTo<flow_table_page>(processAddress);
    REQUIRE(pages.size() == 1);
    CHECK(pages.front().boot == 1);
    const auto statements = fleet.port.messagesTo<flow_table_statement>(processAddress);
    REQUIRE(statements.size() == 1);
    CHECK(std::ranges::all_of(statements.front().starts,
        [](const heard_start &item) { return item.boot == 1 || item.unused; }));
}

TEST_CASE("entry: a statement on starts covers only the time in which the entry was listening")
{
    entry_fixture fleet;
    const auto coveredMs = [&] {
        fleet.port = {};
        auto request = encodeRelayMessage(flow_table_request{.member = "t1", .boot = 2});
        fleet.engine.onPeerBytes(fleet.now, processAddress, request);
        const auto statements = fleet.port.messagesTo<flow_table_statement>(processAddress);
        REQUIRE(statements.size() == 1);
        return statements.front().coversMs;
    };
    for (std::uint64_t seconds = 0; seconds < 30; ++seconds) {
        // Starts are forgotten after a time.
        const auto kept = static_cast<std::uint64_t>(start_history::retention.count());
        CHECK(coveredMs() == std::min(seconds * 1000, kept));
        fleet.now += 1s;
    }
    fleet.engine.onPause(fleet.now);
    fleet.now += 500ms;
    CHECK(coveredMs() == 500);
    // After a long silence nothing counts that was heard before.
    fleet.now += 60s;
    CHECK(coveredMs() == 0);
}
