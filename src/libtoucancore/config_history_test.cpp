#include <catch2/catch.hpp>
#include <map>
#include <rapidcheck.h>
#include <toucan/config_history.h>

using namespace toucan;

namespace {

// Model of the platform: a map of objects with the version of their last change.
struct model
{
    std::map<std::string, stored_object> objects;
    std::uint64_t version = 1;

    void change(const std::string &name, bool put)
    {
        ++version;
        if (put)
            objects[name]
                = {.kind = "stop", .name = name, .version = version, .body = {{"schema", 2}}};
        else
            objects.erase(name);
    }
    config_update all() const
    {
        config_update update{.version = version};
        for (const auto &[name, object] : objects)
            update.objects.push_back(object);
        return update;
    }
};

std::vector<std::string> namesOf(const config_history &history)
{
    std::vector<std::string> names;
    for (const auto &item : history.current()->objects)
        names.push_back(item.name + '@' + std::to_string(item.version));
    return names;
}

} // namespace

TEST_CASE("history: a process that is sent changes ends with the same configuration as one that is "
          "sent all")
{
    CHECK(rc::check("changes", [] {
        model platform;
        config_history first;
        config_history second;
        first.apply(platform.all());
        const auto steps = *rc::gen::inRange(1, 60);
        for (int i = 0; i < steps; ++i) {
            platform.change(
                "t" + std::to_string(*rc::gen::inRange(0, 6)), *rc::gen::arbitrary<bool>());
            if (*rc::gen::inRange(0, 2) == 0)
                first.apply(platform.all());
            if (*rc::gen::inRange(0, 3) == 0) {
                const auto sent = updateFromJson(updateToJson(first.updateSince(second.version())));
                second.apply(*valueOf(sent));
            }
        }
        first.apply(platform.all());
        second.apply(first.updateSince(second.version()));
        RC_ASSERT(second.version() == platform.version);
        RC_ASSERT(namesOf(second) == namesOf(first));
    }));
}

TEST_CASE("history: older updates and those that build on a later version are refused")
{
    model platform;
    platform.change("a", true);
    config_history history;
    CHECK(history.apply(platform.all()));
    CHECK_FALSE(history.apply(platform.all()));
    CHECK_FALSE(history.apply({.version = 1}));
    CHECK_FALSE(history.apply({.version = 9, .since = 8}));
    CHECK(history.version() == 2);
}

TEST_CASE("history: one change among many objects is sent alone")
{
    model platform;
    for (int i = 0; i < 1000; ++i)
        platform.change("t" + std::to_string(i), true);
    config_history history;
    history.apply(platform.all());
    const auto have = history.version();
    platform.change("t7", false);
    platform.change("t8", true);
    history.apply(platform.all());
    CHECK(history.updateSince(have).objects.size() == 2);
    CHECK(history.updateSince(0).objects.size() == 999);
}
