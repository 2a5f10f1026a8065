#include <catch2/catch.hpp>
#include <platform/adapter.h>
#include <toucan/store_answer.h>

using namespace toucan;

namespace {

std::string nested(std::size_t levels)
{
    return std::string(levels, '[') + std::string(levels, ']');
}

std::string answerWith(const std::string &spec)
{
    return R"({"currentRev":7,"more":false,"items":[{"meta":{"name":"a\"]","revision":3},"spec":{}},)"
           R"({"meta":{"name":"odd","revision":4},"spec":)"
        + spec + R"(},{"meta":{"name":"b","revision":5},"spec":[1]}]})";
}

} // namespace

// Another writer's entry once kept processes from reading the list, or ended them.
TEST_CASE("store answer: an object that cannot be read does not hide the others")
{
    const std::vector<std::string> odd{"1e999", "[-1e999,1]", "\"\xff\xfe\"", "{\"\xc3\":1}",
        nested(maxObjectDepth), nested(200'000), "{\"x\":" + nested(500'000) + "}"};
    for (const auto &spec : odd) {
        INFO(spec.substr(0, 20));
        const auto answer = parseStoreAnswer(answerWith(spec));
        CHECK(answer.at("currentRev") == 7);
        REQUIRE(answer.at("items").size() == 3);
        CHECK(answer.at("items")[0].at("meta").at("name") == "a\"]");
        CHECK(answer.at("items")[1].is_null());
        CHECK(answer.at("items")[2].at("spec") == nlohmann::json::array({1}));
    }
}

TEST_CASE("store answer: what can be read is unchanged, and the rest is refused")
{
    const auto spec = R"({"x":[1,2.5,"{[",null,)" + nested(maxObjectDepth - 3) + "]}";
    CHECK(parseStoreAnswer(answerWith(spec)) == nlohmann::json::parse(answerWith(spec)));
    CHECK(parseStoreAnswer("[]") == nlohmann::json::array());
    for (const std::string text : {"", "{", "nonsense", "{\"items\":[{\"x\":1e999]}", "]]]{{{[[["})
        CHECK_THROWS_AS(parseStoreAnswer(text), nlohmann::json::exception);
    // Not in a list.
    CHECK_THROWS_AS(parseStoreAnswer(R"({"spec":1e999})"), nlohmann::json::exception);
    CHECK_NOTHROW(parseStoreAnswer(R"({"spec":)" + nested(200'000) + "}").dump());
}

// Copies of a deeply nested value overflowed the stack.
TEST_CASE("store answer: a dialect reads lists and changes with a deeply nested object")
{
    const auto list
        = platform::objects().readList("kind", parseStoreAnswer(answerWith(nested(200'000))));
    CHECK(list.version == 7);
    CHECK(list.objects.size() == 2);
    CHECK(list.unreadable == 1);
    const auto changes = platform::objects().readChanges("kind",
        parseStoreAnswer(
            R"({"currentRev":9,"events":[{"object":{"meta":{"name":"odd","revision":8},)"
            R"("spec":1e999}},{"object":{"meta":{"name":"a","revision":9},"spec":{}}}]})"));
    REQUIRE(changes.objects.size() == 1);
    CHECK(changes.objects[0].name == "a");
    CHECK(changes.unreadable == 1);
}
