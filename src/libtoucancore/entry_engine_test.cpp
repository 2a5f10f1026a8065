#include <algorithm>
#include <catch2/catch.hpp>
#include <toucan/entry_engine.h>

using namespace toucan;
using namespace std::chrono_literals;

TEST_CASE("entry: a member without traffic is probed")
{
    metrics::registry metrics;
    entry_engine engine({.data = {.ip = 1, .port = 1}}, metrics);
    engine.onConfig(1s,
        buildConfig(2,
            {{.kind = "service",
                 .name = "s",
                 .version = 1,
                 .body = {{"address", "127.0.0.9:5683"}}},
                {.kind = "entry",
                    .name = "e",
                    .version = 1,
                    .body = {{"domain", "d"}, {"data", "127.0.2.1:7000"},
                        {"control", "127.0.2.1:7001"}, {"boot", 1}}},
                {.kind = "member",
                    .name = "m",
                    .version = 1,
                    .body = {{"service", "s"}, {"domain", "d"}, {"data", "127.0.1.1:7000"},
                        {"control", "127.0.1.1:7001"}, {"boot", 1}}}}));
    engine.onTick(3s);
    const auto actions = engine.takeActions();
    const auto member = *parseEndpoint("127.0.1.1:7000");
    CHECK(std::ranges::any_of(actions, [&](const action &item) {
        const auto *datagram = std::get_if<send_datagram>(&item);
        return datagram && datagram->to == member;
    }));
}
