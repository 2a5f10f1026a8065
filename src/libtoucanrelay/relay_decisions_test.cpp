#include <catch2/catch.hpp>
#include <set>
#include <toucan/event_log.h>
#include <toucan/opening_gate.h>
#include <toucan/ranking.h>
#include <toucan/relay_packet.h>
#include <toucan/relay_placement.h>

using namespace toucan;
using namespace std::chrono_literals;

namespace {

constexpr opening_conditions fine{.standing = target_standing::ready, .slots = 4, .maxRequests = 6};

opening_verdict evaluateWith(const std::function<void(opening_conditions &)> &change)
{
    auto conditions = fine;
    change(conditions);
    return evaluateOpening(conditions);
}

std::vector<relay_member> makeMembers(std::size_t count)
{
    std::vector<relay_member> members;
    for (std::size_t i = 0; i < count; ++i) {
        const auto name = "t" + std::to_string(i);
        members.push_back({.name = name,
            .nameHash = hashText(name),
            .service = "main",
            .domain = i % 2 == 0 ? "a" : "b",
            .address = {.ip = static_cast<std::uint32_t>(i + 1), .port = 7000},
            .standing = target_standing::ready,
            .slots = 4});
    }
    return members;
}

std::vector<relay_member *> pointersTo(std::vector<relay_member> &members)
{
    std::vector<relay_member *> pointers(members.size());
    std::ranges::transform(members, pointers.begin(), [](auto &item) { return &item; });
    return pointers;
}

target_liveness report(std::uint64_t started, std::uint64_t sequence, bool draining = false)
{
    return {.id = "i1",
        .service = "main",
        .startedMs = started,
        .sequence = sequence,
        .slots = 4,
        .draining = draining};
}

} // namespace

TEST_CASE("gate: each condition that forbids an opening has its own verdict")
{
    using c = opening_conditions;
    CHECK(evaluateOpening(fine) == opening_verdict::accepted);
    CHECK(evaluateWith([](c &x) { x.serviceMatches = false; }) == opening_verdict::wrong_service);
    CHECK(evaluateWith([](c &x) { x.standing = target_standing::unknown; })
        == opening_verdict::standing_unknown);
    CHECK(evaluateWith([](c &x) { x.standing = target_standing::draining; })
        == opening_verdict::draining);
    CHECK(evaluateWith([](c &x) { x.standing = target_standing::gone; })
        == opening_verdict::draining);
    CHECK(evaluateWith([](c &x) { x.isDomainOut = true; }) == opening_verdict::domain_out);
    CHECK(evaluateWith([](c &x) { x.isRouteStale = true; }) == opening_verdict::route_stale);
    CHECK(evaluateWith([](c &x) {
        x.standing = target_standing::cold;
        x.hasColdAllowance = false;
    }) == opening_verdict::cold);
    CHECK(evaluateWith([](c &x) {
        x.maxFlows = 10;
        x.flows = 10;
    }) == opening_verdict::full);
    CHECK(evaluateWith([](c &x) { x.isTargetSilent = true; }) == opening_verdict::silent);
}

TEST_CASE("gate: an opening without a free slot is passed on, and queued at the last candidate")
{
    using c = opening_conditions;
    CHECK(evaluateWith([](c &x) {
        x.waitingRequests = 4;
        x.hasAlternative = true;
    }) == opening_verdict::busy);
    CHECK(evaluateWith([](c &x) { x.waitingRequests = 4; }) == opening_verdict::accepted);
    CHECK(evaluateWith([](c &x) { x.waitingRequests = x.maxRequests; }) == opening_verdict::waits);
    CHECK(evaluateWith([](c &x) {
        x.standing = target_standing::cold;
        x.waitingRequests = x.maxRequests;
    }) == opening_verdict::waits);
    CHECK(evaluateWith([](c &x) {
        x.standing = target_standing::draining;
        x.waitingRequests = x.maxRequests;
    }) == opening_verdict::draining);
    CHECK(evaluateWith([](c &x) { x.waitingRequests = 5; }) == opening_verdict::accepted);
}

TEST_CASE("gate: openings are counted in a sliding second")
{
    opening_window window;
    for (int i = 0; i < 5; ++i)
        window.add(10s + i * 100ms);
    CHECK(window.count(10s + 500ms) == 5);
    CHECK(window.count(11s) == 4);
    CHECK(window.count(11s + 450ms) == 0);
}

TEST_CASE("gate: the smoothed level is weighted by the time that a value lasted")
{
    smoothed_level level(1s);
    level.set(0s, 4);
    CHECK(level.read(10s) > 3.9);
    level.set(10s, 0);
    CHECK(level.read(10s) > 3.9);
    CHECK(level.read(11s) < 2);
    CHECK(level.read(20s) < 0.1);
}

TEST_CASE("liveness: reports are ordered by the start of the lifetime, then by sequence number")
{
    liveness_record record;
    CHECK(record.standing(1s, 4s) == target_standing::unknown);
    CHECK(record.apply(1s, report(100, 5)) == liveness_outcome::applied);
    CHECK(record.apply(1s, report(100, 5)) == liveness_outcome::late);
    CHECK(record.apply(1s, report(100, 6, true)) == liveness_outcome::applied);
    CHECK(record.standing(1s, 4s) == target_standing::draining);
    const auto lifetime = record.lifetime();
    CHECK(record.apply(2s, report(200, 1)) == liveness_outcome::new_lifetime);
    CHECK(record.lifetime() != lifetime);
    CHECK(record.standing(2s, 4s) == target_standing::ready);
    CHECK(record.apply(2s, report(100, 7, true)) == liveness_outcome::late);
    CHECK(record.standing(2s, 4s) == target_standing::ready);
}

TEST_CASE("liveness: the standing reflects silence, cold starts and last reports")
{
    liveness_record record;
    auto cold = report(100, 1);
    cold.coldRemaining = 2s;
    record.apply(1s, cold);
    CHECK(record.standing(2s, 4s) == target_standing::cold);
    CHECK(record.standing(4s, 4s) == target_standing::ready);
    CHECK(record.standing(6s, 4s) == target_standing::unknown);
    CHECK(record.apply(7s, {.id = "another", .leaving = true}) == liveness_outcome::late);
    CHECK(record.apply(7s, {.id = "i1", .leaving = true}) == liveness_outcome::applied);
    CHECK(record.standing(7s, 4s) == target_standing::gone);
}

TEST_CASE("placement: chooses only members that may be sent openings and were not tried before")
{
    auto members = makeMembers(6);
    members[0].standing = target_standing::draining;
    members[1].lost = true;
    members[2].suspectedSince = 5s;
    members[3].standing = target_standing::cold;
    const auto pointers = pointersTo(members);
    const domains_out out{.point = {.revision = 1}, .names = {}};
    const std::vector tried{members[4].address};
    const auto chosen = placeByLoad(
        pointers, {.flowHash = 7, .domain = "a", .out = out, .tried = tried, .now = 100s});
    REQUIRE(chosen.order.size() == 1);
    CHECK(chosen.order.front() == &members[5]);
    CHECK(chosen.eligible == 1);
}

// Guards against repeated openings to full targets when many entries send more than all sustain.
TEST_CASE("placement: a member that refused is not asked again within the refusal pause")
{
    auto members = makeMembers(1);
    members[0].refusedAt = 10s;
    const auto pointers = pointersTo(members);
    const domains_out out;
    const auto at = [&](instant now) {
        return placeByLoad(
            pointers, {.flowHash = 7, .domain = "a", .out = out, .tried = {}, .now = now})
            .order.size();
    };
    CHECK(at(10s + refusalPause / 2) == 0);
    CHECK(at(10s + refusalPause) == 1);
}

TEST_CASE("placement: the own failure domain is preferred until it is clearly more loaded")
{
    auto members = makeMembers(8);
    const auto pointers = pointersTo(members);
    const domains_out out;
    const auto shareOfDomain = [&] {
        int local = 0;
        for (std::uint64_t hash = 0; hash < 200; ++hash)
            local += placeByLoad(pointers,
                         {.flowHash = hash, .domain = "a", .out = out, .tried = {}, .now = 100s})
                         .order.front()
                         ->domain
                == "a";
        return local;
    };
    CHECK(shareOfDomain() == 200);
    for (auto &item : members)
        item.load = item.domain == "a" ? 900 : 100;
    CHECK(shareOfDomain() < 100);
}

TEST_CASE("placement: the hash policy chooses by the flow's hash alone, regardless of load")
{
    auto members = makeMembers(8);
    const auto pointers = pointersTo(members);
    const domains_out out;
    const auto first = [&](std::uint64_t hash) {
        return placementNamed("hash")(
            pointers, {.flowHash = hash, .domain = "a", .out = out, .tried = {}, .now = 100s})
            .order.front();
    };
    std::set<relay_member *> chosen;
    for (std::uint64_t hash = 0; hash < 200; ++hash) {
        auto *before = first(hash);
        before->load = 5000;
        CHECK(first(hash) == before);
        chosen.insert(before);
    }
    CHECK(chosen.size() == members.size());
    CHECK(placementNamed("load") == placeByLoad);
    CHECK(placementNamed("other") == nullptr);
}

TEST_CASE("placement: by work chooses as by load while times are unknown or similar")
{
    auto members = makeMembers(8);
    const auto pointers = pointersTo(members);
    const domains_out out;
    const auto isSameChoice = [&] {
        std::size_t same = 0;
        for (std::uint64_t hash = 0; hash < 200; ++hash) {
            const placement_request request{
                .flowHash = hash, .domain = "a", .out = out, .tried = {}, .now = 100s};
            same += placeByWork(pointers, request).order == placeByLoad(pointers, request).order;
        }
        return same == 200;
    };
    for (std::size_t i = 0; i < members.size(); ++i) {
        members[i].load = 130 * i;
        members[i].openedSince = i % 3;
    }
    CHECK(isSameChoice());
    for (auto &item : members) {
        item.meanUs = item.load % 4 == 0 ? 50'000 : 60'000;
        item.workUs = item.load * item.meanUs / 1000;
    }
    CHECK(isSameChoice());
    // Processes of an older version among them send no times.
    for (auto &item : members) {
        item.meanUs = 500'000;
        item.workUs = 9'000'000;
    }
    members.front().meanUs = 0;
    std::vector<relay_member *> others{&members[0], &members[2]};
    const placement_request request{
        .flowHash = 3, .domain = "a", .out = out, .tried = {}, .now = 100s};
    CHECK(placeByWork(others, request).order == placeByLoad(others, request).order);
}

TEST_CASE("placement: by work prefers the target where the request ends first")
{
    auto members = makeMembers(2);
    members[1].domain = "a";
    const auto pointers = pointersTo(members);
    const domains_out out;
    const auto first = [&](const domain_distances *distances = nullptr) {
        return placeByWork(pointers,
            {.flowHash = 3,
                .domain = "a",
                .out = out,
                .tried = {},
                .now = 100s,
                .distances = distances})
            .order.front();
    };
    members[0].meanUs = 250'000;
    members[1].meanUs = 50'000;
    members[1].workUs = 150'000;
    CHECK(first() == &members[1]);
    members[1].workUs = 20'000;
    // A free slot of the slow target is worth less than a short wait at the other.
    CHECK(
        placeByWork(pointers, {.flowHash = 3, .domain = "a", .out = out, .tried = {}, .now = 100s})
            .order.size()
        == 1);
    members[1].workUs = 350'000;
    CHECK(first() == &members[0]);
    // The same times, in another domain that is near or far.
    members[0].meanUs = members[1].meanUs = 50'000;
    members[0].workUs = 0;
    members[1].workUs = 9'000;
    members[0].domain = "b";
    domain_distances distances("a");
    const auto learn = [&](instant there) {
        for (int i = 0; i < 40; ++i) {
            distances.record("a", 1ms);
            distances.record("b", there);
        }
    };
    CHECK(first() == &members[0]);
    learn(2ms);
    CHECK(first(&distances) == &members[0]);
    learn(8ms);
    CHECK(first(&distances) == &members[1]);
}

TEST_CASE("placement: the search starts with the candidates of the flow's opening")
{
    auto members = makeMembers(12);
    const auto pointers = pointersTo(members);
    const domains_out out;
    for (std::uint64_t hash = 0; hash < 100; ++hash) {
        const auto chosen = placeByLoad(
            pointers, {.flowHash = hash, .domain = "b", .out = out, .tried = {}, .now = 100s});
        const auto order = searchOrder(pointers, hash, "b");
        REQUIRE(order.size() == members.size());
        for (const auto *candidate : chosen.order)
            CHECK(std::ranges::find(order, candidate) - order.begin() < 4);
    }
}

TEST_CASE("relay packets: headers are decoded as encoded, malformed ones are rejected")
{
    relay_header header{.kind = relay_kind::established,
        .point = {.era = 3, .revision = 70000},
        .entry = {.ip = 0x0a010203, .port = 7000},
        .serviceTag = serviceTagOf("main"),
        .search = 3,
        .ageMs = 210,
        .objectiveMs = 150,
        .timeLimitMs = 2500,
        .priority = 2,
        .shortestWaitMs = 70,
        .shortestWaitAt = {.ip = 0x0a020009, .port = 7000}};
    for (std::uint32_t i = 0; i < maxHeaderCandidates; ++i)
        header.candidates.push_back({.ip = 0x0a020000 + i, .port = 7000});
    byte_buffer datagram(maxRelayHeaderBytes);
    const auto size = encodeRelayHeader(header, datagram);
    datagram.resize(size);
    datagram.insert(datagram.end(), {1, 2, 3});
    const auto packet = decodeRelayPacket(datagram);
    REQUIRE(packet);
    CHECK(packet->header.kind == header.kind);
    CHECK(packet->header.point == header.point);
    CHECK(packet->header.entry == header.entry);
    CHECK(packet->header.serviceTag == header.serviceTag);
    CHECK(packet->header.search == header.search);
    CHECK(packet->header.ageMs == header.ageMs);
    CHECK(packet->header.objectiveMs == header.objectiveMs);
    CHECK(packet->header.timeLimitMs == header.timeLimitMs);
    CHECK(packet->header.priority == header.priority);
    CHECK(packet->header.shortestWaitMs == header.shortestWaitMs);
    CHECK(packet->header.shortestWaitAt == header.shortestWaitAt);
    CHECK(packet->header.candidates == header.candidates);
    CHECK(packet->bytes.size() == 3);
    for (std::size_t cut = 0; cut < size; ++cut)
        CHECK_FALSE(decodeRelayPacket(std::span(datagram).first(cut)));
}

TEST_CASE("relay messages: messages are decoded as encoded, others are rejected")
{
    const target_report report{.member = "t1", .service = "main", .flows = 7, .domainsOut = {"b"}};
    const auto read = decodeRelayMessage(encodeRelayMessage(report));
    REQUIRE(valueOf(read));
    CHECK(std::get<target_report>(*valueOf(read)) == report);
    CHECK(errorOf(decodeRelayMessage(byte_buffer{1, 2, 3})));
}

TEST_CASE("event log: a token bucket allows a burst and then its rate")
{
    token_bucket bucket(10);
    int burst = 0;
    for (int i = 0; i < 100; ++i)
        burst += bucket.take(1000s);
    CHECK(burst == 10);
    int later = 0;
    for (int i = 0; i < 1000; ++i)
        later += bucket.take(1000s + i * 1ms);
    CHECK(later >= 9);
    CHECK(later <= 10);
}
