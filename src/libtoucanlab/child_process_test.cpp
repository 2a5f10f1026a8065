#include <catch2/catch.hpp>
#include <toucan/lab/child_process.h>
#include <toucan/udp_socket.h>

using namespace toucan;
using namespace toucan::lab;

// Processes that an ended experiment left behind answered for those of the next one.
TEST_CASE("lab: a loopback network that something else uses is not given out")
{
    constexpr std::uint32_t nextNetwork = 0x100;
    const auto next = newLoopbackNetwork() + nextNetwork;
    const auto other = udp_socket::bind({.ip = next | 5U, .port = 7100});
    REQUIRE(valueOf(other));
    CHECK(newLoopbackNetwork() != next);
}
