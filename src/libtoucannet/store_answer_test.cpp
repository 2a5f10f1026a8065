#include <catch2/catch.hpp>
#include <toucan/store_answer.h>

using namespace toucan;

namespace {

std::string nested(std::size_t levels)
{
    return std::string(levels, '[') + std::string(levels, ']');
}

std::string answerWith(const std::string &spec)
{
    return R"({"version":7,"next":false,"list":[{"head":{"name":"a\"]","revision":3},"body":{}},)"
           R"({"head":{"name":"odd","revision":4},"body":)"
        + spec + R"(},{"head":{"name":"b","revision":5},"body":[1]}]})";
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
        CHECK(answer.at("version") == 7);
        REQUIRE(answer.at("list").size() == 3);
        CHECK(answer.at("list")[0].at("head").at("name") == "a\"]");
        CHECK(answer.at("list")[1].is_null());
        CHECK(answer.at("list")[2].at("body") == nlohmann::json::array({1}));
    }
}

TEST_CASE("store answer: what can be read is unchanged, and the rest is refused")
{
    const auto spec = R"({"x":[1,2.5,"{[",null,)" + nested(maxObjectDepth - 3) + "]}";
    CHECK(parseStoreAnswer(answerWith(spec)) == nlohmann::json::parse(answerWith(spec)));
    CHECK(parseStoreAnswer("[]") == nlohmann::json::array());
    for (const std::string text : {"", "{", "nonsense", "{\"list\":[{\"x\":1e999]}", "]]]{{{[[["})
        CHECK_THROWS_AS(parseStoreAnswer(text), nlohmann::json::exception);
    // Not in a list.
    CHECK_THROWS_AS(parseStoreAnswer(R"({"body":1e999})"), nlohmann::json::exception);
    CHECK_NOTHROW(parseStoreAnswer(R"({"body":)" + nested(200'000) + "}").dump());
}
