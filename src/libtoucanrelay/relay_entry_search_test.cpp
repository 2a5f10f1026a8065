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
        fleet.pass(600ms);
        fleet.sendRequest();
        const auto packets = fleet.port.takePackets();
        REQUIRE(packets.size() == 1);
        CHECK(packets.front() == std::pair(relay_kind::established, processAddress));
        CHECK(fleet.port.toCallers.empty());
    }
}

TEST_CASE("entry: a flow is not reset while a member that may hold it has just fallen silent")
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
                fleet.pass(250ms);
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
            fleet.denyAll();
            return !fleet.port.toCallers.empty();
        };
        INFO("planned " << isPlanned);
        CHECK_FALSE(isResetAfter(3500ms));
        CHECK(isResetAfter(1000ms) != isPlanned);
        CHECK(isResetAfter(12s));
    }
}

TEST_CASE("entry: a search asks everybody although the order of members changes meanwhile")
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
        fleet.pass(600ms);
        fleet.sendRequest();
        std::set<endpoint> asked;
        const auto noteAsked = [&] {
            for (auto &[to, bytes] : fleet.port.toPeers) {
                const auto packet = decodeRelayPacket(bytes);
                if (!packet)
                    continue;
                asked.insert(to);
                asked.insert(packet->header.candidates.begin(), packet->header.candidates.end());
            }
        };
        noteAsked();
        // One member's next report is late while the first ones are asked.
        auto firstAsked = std::exchange(fleet.port.toPeers, {});
        fleet.now += 50ms;
        reportAll(stale);
        fleet.port.toPeers = std::move(firstAsked);
        fleet.denyAll();
        noteAsked();
        fleet.denyAll();
        INFO("stale member " << stale);
        CHECK(asked.size() == members);
    }
}

TEST_CASE("entry: a flow that nobody holds is reset as soon as the members are known")
{
    entry_fixture fleet;
    fleet.report(reportOf("t1", target_standing::ready, 3));
    fleet.pass(300ms);
    fleet.sendRequest();
    fleet.denyAll();
    CHECK(fleet.port.toCallers.empty());
    fleet.pass(150ms);
    CHECK(fleet.port.toCallers.empty());
    auto alive = reportOf("t1", target_standing::ready, 3);
    alive.order = 2;
    fleet.report(alive);
    fleet.now += 100ms;
    fleet.engine.onTick(fleet.now);
    CHECK(fleet.port.toCallers.size() == 1);
}

TEST_CASE("entry: a search goes on past processes that are down")
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
        fleet.pass(600ms);
        fleet.sendRequest();
        for (int step = 0; step < 40; ++step) {
            for (auto &[to, bytes] : std::exchange(fleet.port.toPeers, {})) {
                const auto packet = decodeRelayPacket(bytes);
                if (!packet)
                    continue;
                std::set<endpoint> way(
                    packet->header.candidates.begin(), packet->header.candidates.end());
                way.insert(to);
                if (!way.contains({.ip = 0x0a020000 + removed, .port = 7000}))
                    fleet.deny(to, bytes);
            }
            fleet.now += 10ms;
            fleet.engine.onTick(fleet.now);
        }
        INFO("the process that is down held flows: " << heldFlows);
        CHECK(fleet.port.toCallers.size() == (heldFlows ? 0 : 1));
    }
}

TEST_CASE("entry: segments that come while the owner is searched follow it there")
{
    entry_fixture fleet;
    fleet.report(reportOf("t1", target_standing::ready, 3));
    fleet.report(reportOf("t2", target_standing::ready, 3), otherProcess);
    fleet.pass(600ms);
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
