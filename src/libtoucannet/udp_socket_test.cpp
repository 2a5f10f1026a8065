#include <catch2/catch.hpp>
#include <thread>
#include <toucan/udp_socket.h>

using namespace toucan;
using namespace std::chrono_literals;

namespace {

udp_socket bindSocket()
{
    auto bound = udp_socket::bind({.ip = 0x7f000001});
    REQUIRE_FALSE(errorOf(bound));
    return std::move(std::get<udp_socket>(bound));
}

} // namespace

TEST_CASE("udp socket: a closed port refuses datagrams and the socket goes on")
{
    auto sender = bindSocket();
    sender.watchRefusals();
    std::array<std::uint8_t, 8> buffer{1, 2, 3};
    endpoint closed;
    {
        auto receiver = bindSocket();
        closed = receiver.localAddress();
        sender.send(closed, buffer);
        CHECK_FALSE(sender.receive(buffer));
        CHECK_FALSE(sender.takeRefusal());
    }
    sender.send(closed, buffer);
    CHECK_FALSE(sender.receive(buffer));
    CHECK(sender.takeRefusal());
    CHECK_FALSE(sender.takeRefusal());

    // A refusal that was not read yet does not keep the next datagram back.
    auto receiver = bindSocket();
    sender.send(closed, buffer);
    sender.send(receiver.localAddress(), buffer);
    CHECK(sender.takeRefusal());
    std::this_thread::sleep_for(10ms);
    CHECK(receiver.receive(buffer));
}
