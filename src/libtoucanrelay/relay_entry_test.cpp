#include "engine_fixtures.h"

#include <catch2/catch.hpp>

using namespace toucan;
using namespace toucan::testing;

TEST_CASE("entry: an opening is not tried again after its caller was reset")
{
    entry_fixture fleet;
    fleet.advance(4s);
    fleet.report(reportOf("t1", target_standing::ready, 0));
    const auto open = [&](std::uint32_t copy) {
        auto head = opening;
        head.copy = copy;
        auto bytes = fleet.codec.encode(head, {});
        fleet.engine.onCallerBytes(fleet.now, bytes);
    };
    // The refusals of an opening and of its copy arrive late.
    open(0);
    fleet.now += 200ms;
    auto alive = reportOf("t1", target_standing::ready, 0);
    alive.order = 2;
    fleet.report(alive);
    open(1);
    auto refusals = std::exchange(fleet.port.toPeers, {});
    REQUIRE(refusals.size() == 2);
    const auto refuse = [&](byte_buffer &bytes) {
        auto packet = decodeRelayPacket(bytes);
        packet->header.kind = relay_kind::refused_opening;
        packet->header.candidates.clear();
        auto reply = fleet.packet(packet->header, *fleet.codec.decode(packet->bytes));
        fleet.engine.onPeerBytes(fleet.now, processAddress, reply);
    };
    // After a refusal the opening is sent at once to any member that was not asked yet.
    refuse(refusals[0].second);
    for (auto &[to, bytes] : std::exchange(fleet.port.toPeers, {}))
        refuse(bytes);
    CHECK(fleet.port.toCallers.size() == 1);
    fleet.now += 250ms;
    refuse(refusals[1].second);
    CHECK(fleet.port.toCallers.size() == 1);
    fleet.port = {};
    fleet.now += 100ms;
    fleet.engine.onTick(fleet.now);
    CHECK(fleet.port.takePackets().empty());
}

TEST_CASE("entry: copies of an opening that is kept at a target are sent only there")
{
    entry_fixture fleet;
    fleet.report(reportOf("t1", target_standing::ready, 0));
    fleet.report(reportOf("t2", target_standing::ready, 0), otherProcess);
    fleet.advance(4s);
    fleet.report([] {
        auto again = reportOf("t1", target_standing::ready, 0);
        again.order = 2;
        return again;
    }());
    const auto open = [&](std::uint32_t copy) {
        auto head = opening;
        head.copy = copy;
        auto bytes = fleet.codec.encode(head, {});
        fleet.engine.onCallerBytes(fleet.now, bytes);
    };
    open(0);
    fleet.port = {};
    auto kept = encodeRelayMessage(opening_kept{.caller = caller, .service = service});
    fleet.engine.onPeerBytes(fleet.now, otherProcess, kept);
    for (const std::uint32_t copy : {1U, 2U}) {
        fleet.now += copy * 200ms;
        open(copy);
        auto sent = std::exchange(fleet.port.toPeers, {});
        REQUIRE(sent.size() == 1);
        CHECK(sent.front().first == otherProcess);
        const auto packet = decodeRelayPacket(sent.front().second);
        REQUIRE(packet);
        CHECK(packet->header.candidates.empty());
        CHECK(packet->header.ageMs == (copy == 1 ? 200 : 600));
        fleet.engine.onPeerBytes(fleet.now, otherProcess, kept);
    }
    // Without further messages from that process, the next copy is sent to another one.
    fleet.now += 500ms;
    open(2);
    const auto packets = fleet.port.takePackets();
    REQUIRE(packets.size() == 1);
    CHECK(packets.front().second == processAddress);
}

TEST_CASE("entry: a copy of an opening is not sent to a member that left the first one unanswered")
{
    entry_fixture fleet;
    fleet.report(reportOf("t1", target_standing::ready, 0));
    fleet.report(reportOf("t2", target_standing::ready, 0), otherProcess);
    fleet.advance(100ms);
    const auto open = [&](std::uint32_t copy) {
        auto head = opening;
        head.copy = copy;
        auto bytes = fleet.codec.encode(head, {});
        fleet.engine.onCallerBytes(fleet.now, bytes);
        const auto packets = fleet.port.takePackets();
        return packets.empty() ? endpoint{} : packets.front().second;
    };
    const auto first = open(0);
    REQUIRE(first);
    fleet.now += 200ms;
    open(1);
    fleet.now += 400ms;
    // Copies of one opening alternate between both; a new opening avoids the silent member.
    auto head = opening;
    head.source.port = 5;
    auto bytes = fleet.codec.encode(head, {});
    fleet.engine.onCallerBytes(fleet.now, bytes);
    const auto packets = fleet.port.takePackets();
    REQUIRE(packets.size() == 1);
    CHECK(packets.front().second != first);
}

TEST_CASE("entry: older configurations, domains and reports change nothing")
{
    entry_fixture fleet;
    fleet.report(reportOf("t1", target_standing::ready, 0));
    fleet.engine.onDomains(fleet.now, {.point = {.revision = 5}, .names = {"b"}}, "test");
    boost::intrusive_ptr<relay_config> newer(new relay_config);
    newer->stamp.point.revision = 7;
    newer->routeIndex[service] = 0;
    newer->routes.push_back({.name = "r", .address = service, .shares = {{.service = "main"}}});
    fleet.engine.onConfig(fleet.now, newer, "test");
    boost::intrusive_ptr<relay_config> older(new relay_config);
    older->stamp.point.revision = 6;
    fleet.engine.onConfig(fleet.now, older, "test");
    fleet.engine.onDomains(fleet.now, {.point = {.revision = 4}, .names = {"a"}}, "test");
    auto late = reportOf("t1", target_standing::draining, 0);
    late.order = 0;
    fleet.report(late);
    CHECK(fleet.engine.config()->stamp.point.revision == 7);
    CHECK(fleet.engine.domains().names == std::vector<std::string>{"b"});
    fleet.port = {};
    auto bytes = fleet.codec.encode(opening, {});
    fleet.engine.onCallerBytes(fleet.now, bytes);
    CHECK(fleet.port.toCallers.empty());
    CHECK(fleet.port.takePackets().size() == 1);
}

TEST_CASE("entry: failure domains that are out are sent to target processes at once")
{
    entry_fixture fleet;
    fleet.report(reportOf("t1", target_standing::ready, 0));
    fleet.port = {};
    fleet.engine.onDomains(fleet.now, {.point = {.revision = 5}, .names = {"b"}}, "test");
    const auto notices = std::ranges::count_if(fleet.port.toPeers, [](const auto &sent) {
        const auto message = decodeRelayMessage(sent.second);
        const auto *value = valueOf(message);
        return sent.first == processAddress && value
            && std::get<entry_notice>(*value).domainsOut == std::vector<std::string>{"b"};
    });
    CHECK(notices == 1);
}

TEST_CASE("entry: openings are rejected after two seconds without a configuration")
{
    engine_fixture fleet;
    relay_entry engine({.name = "e1", .domain = "a", .peer = entryAddress}, fleet.codec, fleet.port,
        fleet.metrics, fleet.log, fleet.now);
    const auto open = [&] {
        auto bytes = fleet.codec.encode(opening, {});
        engine.onCallerBytes(fleet.now, bytes);
    };
    const auto isReset = [&] {
        const auto sent = std::exchange(fleet.port.toCallers, {});
        return sent.size() == 1 && fleet.codec.decode(sent.front())->reset;
    };
    open();
    CHECK(fleet.port.toCallers.empty());
    fleet.now += 1500ms;
    engine.onTick(fleet.now);
    open();
    CHECK(fleet.port.toCallers.empty());
    // A parked opening and a later one.
    fleet.now += 600ms;
    engine.onTick(fleet.now);
    CHECK(isReset());
    open();
    CHECK(isReset());
}

TEST_CASE(
    "entry: a refusal from a process that kept the opening resets it, unless another has it now")
{
    const bool isPlacedAnew = GENERATE(false, true);
    entry_fixture fleet;
    fleet.advance(4s);
    fleet.report(reportOf("t1", target_standing::ready, 0));
    auto bytes = fleet.codec.encode(opening, {});
    fleet.engine.onCallerBytes(fleet.now, bytes);
    auto sent = std::exchange(fleet.port.toPeers, {});
    REQUIRE(sent.size() == 1);
    const auto keep = [&](const endpoint &process) {
        auto kept = encodeRelayMessage(opening_kept{.caller = caller, .service = service});
        fleet.engine.onPeerBytes(fleet.now, process, kept);
    };
    keep(processAddress);
    if (isPlacedAnew)
        keep(otherProcess);
    fleet.now += 300ms;
    auto packet = decodeRelayPacket(sent.front().second);
    REQUIRE(packet);
    packet->header.kind = relay_kind::refused_opening;
    packet->header.shortestWaitAt = processAddress;
    auto reply = fleet.packet(packet->header, opening);
    fleet.engine.onPeerBytes(fleet.now, processAddress, reply);
    CHECK(fleet.port.toCallers.size() == (isPlacedAnew ? 0 : 1));
}

TEST_CASE("entry: a refusal after the end of the attempt resets nothing")
{
    entry_fixture fleet;
    fleet.advance(4s);
    fleet.report(reportOf("t1", target_standing::ready, 0));
    auto bytes = fleet.codec.encode(opening, {});
    fleet.engine.onCallerBytes(fleet.now, bytes);
    auto sent = std::exchange(fleet.port.toPeers, {});
    REQUIRE(sent.size() == 1);
    fleet.now += attemptTime;
    auto packet = decodeRelayPacket(sent.front().second);
    REQUIRE(packet);
    packet->header.kind = relay_kind::refused_opening;
    auto reply = fleet.packet(packet->header, opening);
    fleet.engine.onPeerBytes(fleet.now, processAddress, reply);
    CHECK(fleet.port.toCallers.empty());
    CHECK(fleet.port.takePackets().empty());
}

// A copy that did not come here may have been placed by another entry.
TEST_CASE("entry: a parked opening is reset before its attempt ends, if all its copies came here")
{
    const std::set<std::uint32_t> received
        = GENERATE(values<std::set<std::uint32_t>>({{0, 1, 2}, {0}, {0, 1}, {0, 2}}));
    entry_fixture fleet;
    const auto send = [&](std::uint32_t copy) {
        auto head = opening;
        head.copy = copy;
        auto bytes = fleet.codec.encode(head, {});
        fleet.engine.onCallerBytes(fleet.now, bytes);
    };
    send(0);
    CHECK(fleet.port.toCallers.empty());
    for (std::chrono::milliseconds age = 10ms; age < attemptTime; age += 10ms) {
        fleet.now += 10ms;
        for (std::uint32_t copy = 1; copy < copyTimes.size(); ++copy) {
            if (copyTimes[copy] == age && received.contains(copy))
                send(copy);
        }
        fleet.engine.onTick(fleet.now);
    }
    const bool isWhole = received.size() == copyTimes.size();
    REQUIRE(fleet.port.toCallers.size() == (isWhole ? 1 : 0));
    if (isWhole)
        CHECK(fleet.codec.decode(fleet.port.toCallers.front())->reset);
}
