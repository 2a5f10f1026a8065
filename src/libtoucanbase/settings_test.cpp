#include <catch2/catch.hpp>
#include <rapidcheck.h>
#include <toucan/settings.h>

using namespace toucan;

TEST_CASE("settings: the annotated examples are valid")
{
    const auto bridge
        = settings::parse<bridge_settings>(settings::example<bridge_settings>(), "example.ini");
    INFO((errorOf(bridge) ? errorOf(bridge)->detail : ""));
    CHECK(valueOf(bridge));
    const auto target
        = settings::parse<target_settings>(settings::example<target_settings>(), "example.ini");
    INFO((errorOf(target) ? errorOf(target)->detail : ""));
    CHECK(valueOf(target));
}

TEST_CASE("settings: all faults are reported at once with file and line")
{
    const auto outcome = settings::parse<bridge_settings>("[entry]\n"
                                                          "name = e1\n"
                                                          "colour = red\n"
                                                          "data = here\n"
                                                          "nonsense\n"
                                                          "[platform]\n"
                                                          "timeout = 5\n",
        "entry.ini");
    REQUIRE(errorOf(outcome));
    const auto &text = errorOf(outcome)->detail;
    CHECK(errorOf(outcome)->kind == error_kind::invalid_settings);
    CHECK(text.find("entry.ini:3: entry.colour: unknown key") != std::string::npos);
    CHECK(text.find("entry.ini:4: entry.data: expected IP:port") != std::string::npos);
    CHECK(text.find("entry.ini:5: expected [section] or key = value") != std::string::npos);
    CHECK(text.find("entry.ini:7: platform.timeout: expected a time with its unit")
        != std::string::npos);
    CHECK(text.find("entry.domain: missing") != std::string::npos);
    CHECK(text.find("platform.address: missing") != std::string::npos);
}

TEST_CASE("settings: a duplicate key is an error")
{
    auto text = settings::example<target_settings>();
    text += "\n[log]\nrate = 1\nrate = 2\n";
    const auto outcome = settings::parse<target_settings>(text, "target.ini");
    REQUIRE(errorOf(outcome));
    CHECK(errorOf(outcome)->detail.find("duplicate") != std::string::npos);
}

TEST_CASE("settings: no input crashes the parser")
{
    CHECK(rc::check("settings", [](const std::string &text) {
        const auto outcome = settings::parse<target_settings>(text, "any.ini");
        RC_ASSERT(errorOf(outcome) != nullptr);
    }));
}

TEST_CASE("settings: reloadable changes are applied, the others are listed for the next start")
{
    entry_relay_settings running;
    running.name = "e1";
    running.logRate = 20;
    auto loaded = running;
    CHECK(settings::takeReloadable(running, loaded).applied.empty());
    loaded.name = "e2";
    loaded.logRate = 50;
    loaded.seeds = {{.ip = 0x0a010001, .port = 8166}};
    const auto change = settings::takeReloadable(running, loaded);
    CHECK(change.applied == std::vector<std::string>{"vm.seeds", "log.rate"});
    CHECK(change.atNextStart == std::vector<std::string>{"vm.name"});
    CHECK(running.name == "e1");
    CHECK(running.logRate == 50);
    CHECK(running.seeds == loaded.seeds);
}
