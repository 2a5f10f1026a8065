#include <catch2/catch.hpp>
#include <toucan/admission.h>

using namespace toucan;
using namespace std::chrono_literals;

namespace {

constexpr admission_options tenSlots{.slots = 10, .coldSlots = 2, .warmUp = 10s};

// Records sequential answers of the same latency until `end`.
void answerUntil(admission &load, instant &now, instant end, instant latency)
{
    for (; now < end; now += latency)
        load.onAnswer(now, latency);
}

} // namespace

TEST_CASE("admission: without other evidence a cold target becomes warm after the warm-up time")
{
    instant now = 100s;
    admission load({}, now);
    load.setOptions(tenSlots);
    CHECK(load.limit() == 2);
    answerUntil(load, now, 109s, 20ms);
    CHECK(load.limit() == 2);
    answerUntil(load, now, 120s, 20ms);
    CHECK(load.isWarm());
    CHECK(load.limit() == 10);
}

TEST_CASE("admission: a target is warm once its latency is that of warm members")
{
    instant now = 100s;
    admission load(tenSlots, now);
    load.setReferenceLatency(20ms);
    answerUntil(load, now, 101s, 60ms);
    CHECK_FALSE(load.isWarm());
    answerUntil(load, now, 102s, 20ms);
    CHECK(load.isWarm());
}

TEST_CASE("admission: the limit falls at once when latency doubles, a request is lost or refused")
{
    instant now = 100s;
    admission load(tenSlots, now);
    load.setReferenceLatency(20ms);
    answerUntil(load, now, 110s, 20ms);
    REQUIRE(load.limit() == 10);
    for (int i = 0; i < 4; ++i)
        load.onAnswer(now, 70ms);
    CHECK(load.limit() == 2);
    answerUntil(load, now, 120s, 20ms);
    REQUIRE(load.limit() == 10);
    load.onPending(now, 200ms);
    CHECK(load.limit() == 2);
    answerUntil(load, now, 130s, 20ms);
    load.resetToCold(now);
    CHECK(load.limit() == 2);
}

TEST_CASE("admission: health endpoints lower the limit and never raise it")
{
    instant now = 100s;
    admission load(tenSlots, now);
    load.onHealth(now, true);
    CHECK(load.limit() == 2);
    load.setReferenceLatency(20ms);
    answerUntil(load, now, 110s, 20ms);
    load.onHealth(now, false);
    CHECK(load.limit() == 2);
    answerUntil(load, now, 130s, 20ms);
    CHECK(load.limit() == 2);
}

TEST_CASE("admission: the last fifth of the slots is kept for submissions")
{
    instant now = 100s;
    admission load(tenSlots, now);
    load.setReferenceLatency(20ms);
    answerUntil(load, now, 110s, 20ms);
    for (int i = 0; i < 8; ++i)
        load.acquire();
    CHECK_FALSE(load.hasRoom(request_class::pull));
    CHECK_FALSE(load.hasRoom(request_class::watch));
    CHECK(load.hasRoom(request_class::submission));
}
