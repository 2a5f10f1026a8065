#include <catch2/catch.hpp>
#include <fstream>
#include <sstream>
#include <toucan/flow_trail.h>

using namespace toucan;

namespace {

flow_trail readRecorded(const std::string &name, const std::string &caller)
{
    std::ifstream file(std::string(TOUCAN_SOURCES "/testsuite/recorded/") + name);
    REQUIRE(file);
    trail_reader reader(caller);
    reader.read(file, "?");
    return reader.trail();
}

bool finds(const flow_trail &trail, std::string_view text)
{
    return std::ranges::any_of(
        trail.findings, [&](const auto &line) { return line.find(text) != std::string::npos; });
}

} // namespace

TEST_CASE("trail: explains a recorded flow that reached a target before the target's start")
{
    const auto trail = readRecorded("reset-by-asked-target.log", "100.65.0.184:1056");
    REQUIRE(trail.path.size() == 10);
    CHECK(trail.path.front().vm == "edge-colombo-b-6");
    CHECK(std::ranges::is_sorted(trail.path, {}, &trail_line::timeMs));
    CHECK(finds(trail, "side-colombo-a-15 ended the flow (reset by target)"));
    CHECK(std::ranges::any_of(trail.context, [](const auto &line) {
        return line.vm == "side-colombo-a-15" && line.event == "liveness_report";
    }));
}

TEST_CASE("trail: a recorded refusal lists the targets' verdicts and the missing lines")
{
    const auto trail = readRecorded("refused-by-all.log", "100.64.0.20:1057");
    CHECK(finds(trail, "edge-austin-a-5 reset the flow: refused by all targets asked"));
    CHECK(finds(trail, "side-austin-a-6 decided overloaded with 14 requests waiting"));
    CHECK(finds(trail, "no target accepted the flow"));
}

TEST_CASE("trail: lines without a VM get the given name, and malformed lines are skipped")
{
    std::istringstream lines(R"(nonsense "1.2.3.4:5"
entry {"event":"flow_reset","timeMs":7,"caller":"1.2.3.4:5","reason":"no route has the address"}
entry {"event":"flow_reset","timeMs":5,"caller":"1.2.3.4:55","reason":"other"}
entry {"event":"flow_reset","timeMs":7,"caller":"1.2.3.4:5")");
    trail_reader reader("1.2.3.4:5");
    reader.read(lines, "e1");
    const auto trail = reader.trail();
    REQUIRE(trail.path.size() == 1);
    CHECK(trail.path.front().vm == "e1");
    CHECK(finds(trail, "e1 reset the flow: no route has the address"));
    CHECK(describe(trail.path.front(), 7).find("reason=no route has the address")
        != std::string::npos);
}

TEST_CASE("trail: a reset after a search states what each member contributed to it")
{
    std::istringstream lines(
        R"(5.0 e1 entry {"event":"flow_reset","timeMs":5000,"caller":"1.2.3.4:5","reason":"no target holds the flow","asked":7,"known":9,"returned":3,"denied":2,"silent":3,"shortestSilenceMs":4012,"withoutTarget":1,"knowledge":["a 9 of 10, 240 ms old"]}
)");
    trail_reader reader("1.2.3.4:5");
    reader.read(lines, "?");
    CHECK(finds(reader.trail(),
        "Of 9 members 3 returned the segment, 2 denied the flow, 1 last reported to have no target "
        "and 3 were silent for at least 4012 ms"));
    CHECK(finds(reader.trail(), "a 9 of 10, 240 ms old"));
}

TEST_CASE("trail: a restart of the holder explains a flow that no target holds")
{
    std::istringstream lines(
        R"(1.0 t1 target {"event":"opening_decided","timeMs":1000,"caller":"1.2.3.4:5","outcome":"accepted"}
4.0 t1 target {"event":"process_started","timeMs":4000,"name":"t1"}
4.1 t1 target {"event":"liveness_report","timeMs":4100,"sequence":1,"outcome":"applied"}
4.2 e1 entry {"event":"lines_left_out","timeMs":4200,"kind":"flow_searched","count":2}
4.3 e1 entry {"event":"lines_left_out","timeMs":4300,"kind":"flow_searched","count":3}
5.0 e1 entry {"event":"flow_reset","timeMs":5000,"caller":"1.2.3.4:5","reason":"no target holds the flow"}
)");
    trail_reader reader("1.2.3.4:5");
    reader.read(lines, "?");
    const auto trail = reader.trail();
    CHECK(finds(trail, "t1 held the flow, and its process restarted 3000 ms"));
    CHECK(finds(trail, "t1 held the flow, and its target restarted 3100 ms"));
    CHECK(finds(trail, "e1 left out 5 lines of kind flow_searched"));
    CHECK(finds(trail, "e1 reset the flow"));
}

TEST_CASE("trail: a refusal states what the opening would have waited, and by which figures")
{
    std::istringstream lines(
        R"(1.0 t1 target {"event":"opening_decided","timeMs":1000,"caller":"1.2.3.4:5","outcome":"overloaded","load":9,"reason":"wait too long","waitedMs":120,"expectedWaitMs":1400,"leftMs":1260,"serviceMs":300,"slots":2}
1.1 e1 entry {"event":"flow_reset","timeMs":1001,"caller":"1.2.3.4:5","reason":"refused by all targets asked"}
)");
    trail_reader reader("1.2.3.4:5");
    reader.read(lines, "?");
    CHECK(finds(reader.trail(),
        "t1 decided overloaded with 9 requests waiting (wait too long: after 120 ms in the queue "
        "it "
        "would have waited 1400 ms more and had 1260 ms left, at 2 slots with 300 ms a request)"));
}

TEST_CASE("trail: the expected end of a request is named with its parts")
{
    std::istringstream lines(
        R"(1.0 e1 entry {"event":"opening_decided","timeMs":1000,"caller":"1.2.3.4:5","outcome":"placed","target":"t4","endMs":77,"workMs":12,"costMs":55,"distanceMs":10}
)");
    trail_reader reader("1.2.3.4:5");
    reader.read(lines, "?");
    CHECK(finds(reader.trail(),
        "e1 expected the request to end at t4 after 77 ms: 12 ms of work before it, 55 ms of its "
        "own and 10 ms for the distance"));
}
