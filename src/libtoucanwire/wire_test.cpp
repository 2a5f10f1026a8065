#include <catch2/catch.hpp>
#include <rapidcheck.h>
#include <toucan/coap.h>
#include <toucan/peer_message.h>

using namespace toucan;

namespace {

endpoint anyEndpoint()
{
    return {
        .ip = *rc::gen::arbitrary<std::uint32_t>(), .port = *rc::gen::arbitrary<std::uint16_t>()};
}

packet_header anyHeader()
{
    return {.kind = *rc::gen::inRange<std::uint64_t>(1, 5),
        .caller = anyEndpoint(),
        .service = anyEndpoint(),
        .entry = anyEndpoint(),
        .hops = *rc::gen::inRange<std::uint64_t>(0, 10),
        .version = *rc::gen::arbitrary<std::uint64_t>(),
        .trace = *rc::gen::arbitrary<std::uint64_t>()};
}

} // namespace

TEST_CASE("wire: a packet survives a round trip")
{
    CHECK(rc::check("round trip", [](const byte_buffer &payload) {
        const auto header = anyHeader();
        const auto datagram = encodePacket(header, payload);
        RC_ASSERT(datagram.size() <= payload.size() + maxHeaderBytes);
        const auto decoded = decodePacket(datagram);
        RC_ASSERT(decoded.has_value());
        RC_ASSERT(decoded->header == header);
        RC_ASSERT(std::ranges::equal(decoded->payload, payload));
    }));
}

TEST_CASE("wire: a peer message survives a round trip and is not a packet")
{
    CHECK(rc::check(
        "round trip", [](const byte_buffer &key, const std::string &name, std::uint64_t number) {
            const claim_request request{
                .operation = 1, .key = key, .attempt = number, .claimer = name, .answer = key};
            const auto datagram = encodeMessage(request);
            RC_ASSERT(!decodePacket(datagram));
            const auto decoded = decodeMessage(datagram);
            RC_ASSERT(valueOf(decoded) != nullptr);
            RC_ASSERT(std::get<claim_request>(*valueOf(decoded)) == request);
        }));
}

TEST_CASE("wire: random and damaged datagrams never crash the decoders")
{
    CHECK(rc::check("random bytes", [](const byte_buffer &bytes) {
        static_cast<void>(decodePacket(bytes));
        static_cast<void>(decodeMessage(bytes));
        static_cast<void>(coap::parse(bytes));
    }));
    CHECK(rc::check("damaged messages", [](const byte_buffer &key) {
        auto datagram = encodeMessage(flow_handover{.from = "a", .watches = {{key}, {key}}});
        const auto at = *rc::gen::inRange<std::size_t>(0, datagram.size());
        datagram[at] = *rc::gen::arbitrary<std::uint8_t>();
        static_cast<void>(decodeMessage(datagram));
        datagram.resize(at);
        static_cast<void>(decodeMessage(datagram));
        auto packet = encodePacket(anyHeader(), key);
        packet.resize(std::min(packet.size(), at));
        static_cast<void>(decodePacket(packet));
    }));
}

TEST_CASE("wire: a CoAP message survives a round trip")
{
    CHECK(rc::check("round trip", [](const byte_buffer &payload, std::uint16_t id) {
        coap::message message{
            .messageType = coap::type::non_confirmable, .messageCode = coap::code::post, .id = id};
        message.token = *rc::gen::container<byte_buffer>(
            *rc::gen::inRange<std::size_t>(0, 9), rc::gen::arbitrary<std::uint8_t>());
        message.addText(coap::option_number::uri_path, "submit");
        message.addNumber(coap::option_number::deadline, 1500);
        message.addNumber(coap::option_number::block1, 0x18);
        message.payload = payload;
        const auto parsed = coap::parse(coap::serialize(message));
        RC_ASSERT(valueOf(parsed) != nullptr);
        const auto &read = *valueOf(parsed);
        RC_ASSERT(read.id == id);
        RC_ASSERT(read.messageType == message.messageType);
        RC_ASSERT(read.token == message.token);
        RC_ASSERT(read.path() == "submit");
        RC_ASSERT(read.number(coap::option_number::deadline) == std::uint64_t{1500});
        RC_ASSERT(read.number(coap::option_number::block1) == std::uint64_t{0x18});
        RC_ASSERT(read.payload == payload);
    }));
}

TEST_CASE("wire: damaged CoAP messages never crash the parser")
{
    CHECK(rc::check("damage", [](const byte_buffer &payload) {
        coap::message message{
            .messageCode = coap::code::get, .token = {1, 2, 3, 4}, .payload = payload};
        message.addText(coap::option_number::uri_path, "status");
        message.addNumber(coap::option_number::observe, 0);
        auto bytes = coap::serialize(message);
        const auto at = *rc::gen::inRange<std::size_t>(0, bytes.size());
        bytes[at] = *rc::gen::arbitrary<std::uint8_t>();
        static_cast<void>(coap::parse(bytes));
        bytes.resize(at);
        static_cast<void>(coap::parse(bytes));
    }));
}
