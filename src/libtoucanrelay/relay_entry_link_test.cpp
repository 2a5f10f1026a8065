#include "engine_fixtures.h"

#include <catch2/catch.hpp>

using namespace toucan;
using namespace toucan::testing;

namespace {

// An entry whose only route takes uploads and whose only member is ready.
struct upload_fixture : entry_fixture
{
    explicit upload_fixture(double linkRate)
    {
        boost::intrusive_ptr<relay_config> config(new relay_config);
        config->stamp.point.revision = 2;
        config->routeIndex[service] = 0;
        config->routes.push_back({.name = "route",
            .address = service,
            .shares = {{.service = "main"}},
            .objective = 800ms,
            .kind = request_kind::upload});
        engine.onConfig(now, config, "test");
        engine.setOptions(
            {.name = "e1", .domain = "a", .peer = entryAddress, .linkRate = linkRate});
        report(reportOf("t1", target_standing::ready, 0));
        advance(4s);
        report([] {
            auto again = reportOf("t1", target_standing::ready, 0);
            again.order = 2;
            return again;
        }());
        port = {};
    }

    static endpoint callerNumber(std::uint32_t number)
    {
        return {.ip = caller.ip + number, .port = caller.port};
    }
    void open(std::uint32_t number, std::uint32_t copy = 0)
    {
        auto head = opening;
        head.source = callerNumber(number);
        head.copy = copy;
        auto bytes = codec.encode(head, {});
        engine.onCallerBytes(now, bytes);
    }
    void sendData(std::uint32_t number, std::uint32_t sequence, bool finish = false)
    {
        auto head = request(1);
        head.source = callerNumber(number);
        head.sequence = sequence;
        head.finish = finish;
        head.length = finish ? 0 : 1200;
        auto bytes = codec.encode(head, byte_buffer(head.length, 'q'));
        engine.onCallerBytes(now, bytes);
    }
};

} // namespace

TEST_CASE("entry: uploads beyond the windows that the link carries wait for the end of others")
{
    upload_fixture fleet(10);
    for (std::uint32_t number = 0; number < 6; ++number)
        fleet.open(number);
    CHECK(fleet.port.takePackets().size() == 3);
    // Copies of those that wait change nothing.
    fleet.now += 20ms;
    fleet.open(4, 1);
    fleet.engine.onTick(fleet.now);
    CHECK(fleet.port.takePackets().empty());
    REQUIRE(fleet.engine.untilLinkDue(fleet.now));
    // The end of a transfer makes room.
    fleet.sendData(0, 2, true);
    fleet.port = {};
    fleet.engine.onTick(fleet.now);
    CHECK(fleet.port.takePackets() == std::vector{std::pair(relay_kind::opening, processAddress)});
    // So does a pause of the others.
    fleet.now += 100ms;
    fleet.engine.onTick(fleet.now);
    CHECK(fleet.port.takePackets().size() == 2);
    CHECK_FALSE(fleet.engine.untilLinkDue(fleet.now));
}

TEST_CASE("entry: an upload that would wait too long is reset at once, but not a later copy")
{
    upload_fixture fleet(10);
    for (std::uint32_t number = 0; number < 40; ++number)
        fleet.open(number);
    const auto refused = fleet.port.toCallers.size();
    CHECK(refused > 0);
    CHECK(refused < 20);
    CHECK(fleet.metrics.numberOf("toucan_resets_total", "reason", "the link has no room").value()
        == refused);
    // Another entry may have opened the flow.
    fleet.open(50, 1);
    CHECK(fleet.port.toCallers.size() == refused);
    // The transfers that run do not end. Openings that are placed are not judged again.
    const auto run = [&](std::chrono::milliseconds time) {
        for (auto end = fleet.now + time; fleet.now < end; fleet.now += 20ms) {
            for (std::uint32_t number = 0; number < 3; ++number)
                fleet.sendData(number, 2);
            fleet.engine.onTick(fleet.now);
        }
    };
    run(200ms);
    for (std::uint32_t number = 0; number < 39 - refused; ++number)
        fleet.open(number, 1);
    run(400ms);
    CHECK(fleet.port.toCallers.size() == refused);
    // One caller's last copy reaches another entry.
    for (std::uint32_t number = 0; number < 39 - refused; ++number)
        fleet.open(number, 2);
    run(100ms);
    CHECK(fleet.port.toCallers.size() == 40 - 3 - 1);
    run(800ms);
    CHECK(fleet.port.toCallers.size() == 40 - 3 - 1);
    CHECK(fleet.engine.untilLinkDue(fleet.now) == std::nullopt);
}

TEST_CASE(
    "entry: segments beyond the link's rate are queued, discarded after a pause, sent at a stop")
{
    upload_fixture fleet(10);
    fleet.open(0);
    fleet.port = {};
    const auto sendWindow = [&](std::uint32_t first) {
        for (std::uint32_t number = first; number < first + 16; ++number)
            fleet.sendData(0, number);
    };
    sendWindow(1);
    const auto passed = fleet.port.takePackets().size();
    CHECK(passed < 16);
    // Copies of queued segments are dropped.
    sendWindow(1);
    fleet.engine.flushQueued(fleet.now);
    CHECK(fleet.port.takePackets().size() >= 16 - passed);
    CHECK_FALSE(fleet.engine.untilLinkDue(fleet.now));
    sendWindow(100);
    REQUIRE(fleet.engine.untilLinkDue(fleet.now));
    fleet.port = {};
    fleet.engine.discardQueued();
    fleet.now += 1s;
    fleet.engine.onTick(fleet.now);
    CHECK(fleet.port.takePackets().empty());
    // With time, all segments leave in their order.
    sendWindow(200);
    for (std::size_t step = 0; step < 20; ++step) {
        fleet.now += 2ms;
        fleet.engine.onTick(fleet.now);
    }
    CHECK(fleet.port.takePackets().size() == 16);
}

TEST_CASE("entry: without a rate of the link nothing waits")
{
    upload_fixture fleet(0);
    for (std::uint32_t number = 0; number < 100; ++number) {
        fleet.open(number);
        fleet.sendData(number, 1);
        fleet.sendData(number, 1);
    }
    CHECK(fleet.port.takePackets().size() == 300);
    CHECK_FALSE(fleet.engine.untilLinkDue(fleet.now));
    CHECK(fleet.port.toCallers.empty());
}
