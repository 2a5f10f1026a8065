#include <catch2/catch.hpp>
#include <platform/adapter.h>
#include <toucan/lab/segment_target.h>

using namespace toucan;
using namespace toucan::lab;

// A soak's first seed showed a stand-in that ran a late retransmission of an answered request.
TEST_CASE("stand-in target: no retransmission is run, however late it comes")
{
    const auto &codec = platform::segments();
    std::optional<std::uint32_t> sequence;
    segment_target target({.codec = codec,
        .send = [&](const byte_buffer &bytes) { sequence = codec.decode(bytes)->sequence; },
        .schedule = [](auto, const auto &act) { act(); },
        .onOpening = [](const flow_key &) {}});
    const flow_key flow{.caller = {1, 1}, .service = {2, 2}};
    const auto send = [&](segment head) {
        head.source = flow.caller;
        head.destination = flow.service;
        target.onSegment(codec.encode(head, byte_buffer(head.length, 'q')));
    };
    send({.synchronize = true});
    REQUIRE(sequence);
    const auto request = [next = *sequence + 1](std::uint32_t number) {
        return segment{.acknowledge = true,
            .sequence = 1 + number * standInPayload,
            .acknowledged = next,
            .length = standInPayload};
    };
    for (const std::uint32_t number : {0U, 1U, 0U, 1U, 2U, 0U})
        send(request(number));
    CHECK(target.runs().size() == 3);
    for (const auto &[place, count] : target.runs())
        CHECK(count == 1);
}
