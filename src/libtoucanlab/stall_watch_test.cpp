#include <catch2/catch.hpp>
#include <sstream>
#include <toucan/lab/child_process.h>
#include <toucan/lab/stall_watch.h>
#include <toucan/udp_socket.h>

using namespace toucan;
using namespace toucan::lab;
using namespace std::chrono_literals;

TEST_CASE("stall record: the longest stall of each part, with its end")
{
    stall_record record("/dev/null");
    record.add("switch", 2s, 30ms);
    record.add("switch", 5s, 1200ms, "port 3");
    record.add("switch", 7s, 20ms);
    record.add("target-1", 7s, 20ms);
    record.addDrops("sockets", 6s, 3, "first");
    record.addDrops("sockets", 8s, 4, "second");
    CHECK(record.lines(1s, 100ms)
        == std::vector<std::string>{"sockets: 7 datagrams dropped, the last at 7.000 s (second)",
            "switch stood still for 1200 ms until 4.000 s (port 3)"});
}

TEST_CASE("stall watch: the kernel's table names sockets of one network with their drops")
{
    std::istringstream table(
        "   sl  local_address rem_address   st tx_queue rx_queue tr tm->when retrnsmt   uid  "
        "timeout inode ref pointer drops\n"
        " 1020: 0501087F:1B58 00000000:0000 07 00000000:00000000 00:00000000 00000000     0"
        "        0 81234 2 0000000000000000 17\n"
        " 1021: 0502087F:1B58 00000000:0000 07 00000000:00000000 00:00000000 00000000     0"
        "        0 81235 2 0000000000000000 3\n");
    const auto sockets = readUdpTable(table, 0x7f080100);
    REQUIRE(sockets.size() == 1);
    CHECK(sockets.front().address == endpoint{.ip = 0x7f080105, .port = 7000});
    CHECK(sockets.front().inode == 81234);
    CHECK(sockets.front().drops == 17);
}

TEST_CASE("stall watch: datagrams that nobody reads in time are counted")
{
    const auto network = newLoopbackNetwork();
    auto reader = udp_socket::bind({.ip = network | 5U, .port = 7000});
    auto writer = udp_socket::bind({.ip = network | 6U, .port = 7000});
    REQUIRE(valueOf(reader));
    REQUIRE(valueOf(writer));
    stall_record record("/dev/null");
    const stall_watch watch(record, network);
    const std::vector<std::uint8_t> bytes(1000);
    const auto begin = monotonicNow();
    while (record.lines(begin, 1h).empty() && monotonicNow() - begin < 10s) {
        for (int i = 0; i < 1000; ++i)
            std::get<udp_socket>(writer).send({.ip = network | 5U, .port = 7000}, bytes);
        std::this_thread::sleep_for(10ms);
    }
    const auto lines = record.lines(begin, 1h);
    REQUIRE(lines.size() == 1);
    CHECK(lines.front().starts_with("sockets: "));
    CHECK(lines.front().find("datagrams dropped") != std::string::npos);
}
