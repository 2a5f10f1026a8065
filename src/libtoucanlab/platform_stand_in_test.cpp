#include <catch2/catch.hpp>
#include <future>
#include <optional>
#include <platform/adapter.h>
#include <toucan/lab/child_process.h>
#include <toucan/lab/platform_stand_in.h>
#include <toucan/platform_client.h>

using namespace toucan;
using namespace toucan::lab;
using namespace std::chrono_literals;

TEST_CASE("platform stand-in: it is gone no sooner than the requests that it answers")
{
    const endpoint address{.ip = newLoopbackNetwork() | 1U, .port = 8101};
    std::optional<platform_stand_in> platform(std::in_place, address);
    platform->setFaults({.delay = 600ms});
    const auto call = std::async(std::launch::async, [&] {
        platform_client client(address, 2s, platform::objects());
        return errorOf(client.list("config")) != nullptr;
    });
    std::this_thread::sleep_for(200ms);
    const auto before = std::chrono::steady_clock::now();
    platform.reset();
    // The handler sleeps for 600 ms and uses the stand-in when it wakes.
    CHECK(std::chrono::steady_clock::now() - before > 200ms);
    call.wait();
}

TEST_CASE("platform stand-in: a waiting watch does not hold up its end")
{
    const endpoint address{.ip = newLoopbackNetwork() | 1U, .port = 8101};
    std::optional<platform_stand_in> platform(std::in_place, address);
    const auto call = std::async(std::launch::async, [&] {
        platform_client client(address, 2s, platform::objects());
        return errorOf(client.changesAfter(1, 10s, "config")) != nullptr;
    });
    std::this_thread::sleep_for(200ms);
    const auto before = std::chrono::steady_clock::now();
    platform.reset();
    CHECK(std::chrono::steady_clock::now() - before < 2s);
    call.wait();
}
