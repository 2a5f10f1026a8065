#include <catch2/catch.hpp>
#include <toucan/config_check.h>

using namespace toucan;
using namespace std::chrono_literals;

namespace {

relay_config goodConfig()
{
    relay_config config;
    config.stamp.version = 7;
    config.idleTimeout = 15s;
    config.routes = {{.name = "watch",
                         .address = {.ip = 1, .port = 443},
                         .shares = {{.service = "desk"}},
                         .objective = 200ms,
                         .timeLimit = 2500ms,
                         .priority = 2},
        {.name = "book",
            .address = {.ip = 2, .port = 443},
            .shares = {{.service = "desk"}},
            .objective = 250ms,
            .timeLimit = 3s,
            .priority = 1}};
    config.services = {{.name = "desk", .flows = 2000, .coldRate = 2.5}};
    return config;
}

void index(relay_config &config)
{
    for (std::size_t i = 0; i < config.routes.size(); ++i)
        config.routeIndex[config.routes[i].address] = i;
}

// Findings of a good configuration after one change.
std::vector<config_finding> findingsAfter(void (*change)(relay_config &config))
{
    auto config = goodConfig();
    change(config);
    index(config);
    return checkConfig(config);
}

std::vector<config_finding> differencesAfter(void (*change)(relay_config &config))
{
    auto config = goodConfig();
    config.stamp.version = 8;
    change(config);
    return compareConfigs(config, goodConfig());
}

} // namespace

TEST_CASE("config check: a configuration without faults has no findings")
{
    CHECK(findingsAfter([](relay_config &) {}).empty());
    CHECK(differencesAfter([](relay_config &) {}).empty());
}

TEST_CASE("config check: each fault has a finding of its kind that names the entry")
{
    using found = std::vector<config_finding>;
    CHECK(findingsAfter([](relay_config &c) { c.faults = {"routes: number out of range: -1"}; })
        == found{{finding_kind::unreadable, "configuration", "routes: number out of range: -1"}});
    CHECK(findingsAfter([](relay_config &c) { c.routes[0].address = c.routes[1].address; })
        == found{{finding_kind::unmatched, "route watch",
            "route book has the same address 0.0.0.2:443 and gets all of its flows"}});
    CHECK(findingsAfter([](relay_config &c) { c.services.push_back({.name = "spare"}); })
        == found{{finding_kind::unmatched, "service spare", "no route in use sends flows to it"}});
    CHECK(findingsAfter([](relay_config &c) { c.routes[0].shares[0].service = "dusk"; })
        == found{{finding_kind::contradiction, "route watch", "service dusk is not declared"}});
    CHECK(findingsAfter([](relay_config &c) { c.routes[1].name = "watch"; })
        == found{{finding_kind::contradiction, "route watch", "the name is used twice"}});
    CHECK(findingsAfter([](relay_config &c) { c.routes[0].objective = 3s; })
        == found{{finding_kind::contradiction, "route watch",
            "callers give up after 2500 ms, before the objective of 3000 ms"}});
    CHECK(findingsAfter([](relay_config &c) { c.idleTimeout = 2600ms; })
        == found{{finding_kind::contradiction, "route book",
            "callers wait for 3000 ms, but flows may be dropped after 2600 ms without a segment"}});
    CHECK(findingsAfter([](relay_config &c) { c.services[0].flows = 2; })
        == found{{finding_kind::contradiction, "service desk",
            "a cold target may take 2.5 openings a second, but holds 2 flows"}});
}

TEST_CASE("config check: differences from the configuration in force are listed by entry")
{
    using found = std::vector<config_finding>;
    CHECK(differencesAfter([](relay_config &c) { c.routes[0].priority = 0; })
        == found{{finding_kind::difference, "route watch", "priority changes from 2 to 0"}});
    CHECK(differencesAfter([](relay_config &c) {
        c.routes[0].shares = {{.service = "desk", .weight = 90}, {.service = "new", .weight = 10}};
    })
        == found{{finding_kind::difference, "route watch",
            "services changes from desk to desk (weight 90), new (weight 10)"}});
    CHECK(differencesAfter([](relay_config &c) { c.routes.pop_back(); })
        == found{{finding_kind::difference, "route book", "removed"}});
    CHECK(differencesAfter([](relay_config &c) { c.services.push_back({.name = "spare"}); })
        == found{{finding_kind::difference, "service spare", "added"}});
    CHECK(differencesAfter([](relay_config &c) { c.stamp.version = 7; })
        == found{{finding_kind::contradiction, "configuration",
            "its version 7 is not higher than version 7 in force"}});
}
