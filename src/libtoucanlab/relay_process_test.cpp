#include <catch2/catch.hpp>
#include <random>
#include <toucan/relay_process.h>

using namespace toucan;

namespace {

std::string configText()
{
    std::string text = "{\"routes\":[";
    for (int i = 0; i < 400; ++i)
        text += "{\"name\":\"route-" + std::to_string(i) + "\",\"service\":\"first\"},";
    return text + "]}";
}

} // namespace

TEST_CASE("control link: a packed configuration is smaller and comes out as it was")
{
    const auto text = configText();
    const auto packed = packText(text);
    CHECK(packed.size() * 5 < text.size());
    CHECK(unpackText(packed, text.size()) == text);
}

TEST_CASE("control link: a packed configuration that was cut short is no configuration")
{
    const auto text = configText();
    const auto packed = packText(text);
    for (std::size_t cut = 0; cut + 8 < packed.size(); ++cut)
        CHECK_FALSE(unpackText(byte_view(packed).first(cut), text.size()));
    CHECK_FALSE(unpackText(packed, text.size() - 1));
    CHECK_FALSE(unpackText(packed, text.size() + 1));
}

TEST_CASE("control link: bytes that are no packed configuration are refused")
{
    std::mt19937_64 random(20261204);
    for (int round = 0; round < 1000; ++round) {
        byte_buffer bytes(random() % 300);
        std::ranges::generate(bytes, [&] { return static_cast<std::uint8_t>(random()); });
        CHECK_FALSE(unpackText(bytes, 200));
    }
    const auto text = configText();
    for (int round = 0; round < 200; ++round) {
        auto bytes = packText(text);
        bytes[random() % bytes.size()] ^= static_cast<std::uint8_t>(1 + random() % 255);
        const auto read = unpackText(bytes, text.size());
        // The stream's own check sum tells.
        CHECK((!read || *read == text));
    }
}
