#include <catch2/catch.hpp>
#include <platform/adapter.h>
#include <set>
#include <toucan/relay_entry.h>
#include <toucan/relay_target.h>

using namespace toucan;
using namespace std::chrono_literals;

namespace {

constexpr endpoint caller{.ip = 0x64400001, .port = 40001};
constexpr endpoint service{.ip = 0xc6120001, .port = 443};
constexpr endpoint entryAddress{.ip = 0x0a010001, .port = 7000};
constexpr endpoint processAddress{.ip = 0x0a020001, .port = 7000};
constexpr endpoint otherProcess{.ip = 0x0a020002, .port = 7000};

struct recording_port : relay_port
{
    std::vector<std::pair<endpoint, byte_buffer>> toPeers;
    std::vector<byte_buffer> toCallers;
    std::vector<byte_buffer> toTarget;

    void sendPeer(const endpoint &to, byte_view head, byte_view payload) override
    {
        byte_buffer bytes(head.begin(), head.end());
        bytes.insert(bytes.end(), payload.begin(), payload.end());
        toPeers.emplace_back(to, std::move(bytes));
    }
    void sendCaller(const endpoint &, byte_view bytes) override
    {
        toCallers.emplace_back(bytes.begin(), bytes.end());
    }
    void sendTarget(byte_view bytes) override { toTarget.emplace_back(bytes.begin(), bytes.end()); }
    void fetchConfig(const endpoint &, std::uint64_t) override { }

    // Kinds and recipients of the forwarded segments since the last call; messages are left out.
    std::vector<std::pair<relay_kind, endpoint>> takePackets()
    {
        std::vector<std::pair<relay_kind, endpoint>> packets;
        for (auto &[to, bytes] : std::exchange(toPeers, {})) {
            if (const auto packet = decodeRelayPacket(bytes))
                packets.emplace_back(packet->header.kind, to);
        }
        return packets;
    }
};

struct engine_fixture
{
    const segment_codec &codec = platform::segments();
    recording_port port;
    metrics::registry metrics;
    event_log log{"test", 0};
    instant now = 1000s;

    engine_fixture() { event_log::silence(); }

    byte_buffer packet(const relay_header &header, const segment &head) const
    {
        const auto segment = codec.encode(head, byte_buffer(head.length, 'q'));
        byte_buffer bytes(maximumRelayHeader);
        bytes.resize(encodeRelayHeader(header, bytes));
        bytes.insert(bytes.end(), segment.begin(), segment.end());
        return bytes;
    }
};

constexpr segment opening{.source = caller, .destination = service, .synchronize = true};

segment request(std::uint32_t acknowledged)
{
    return {.source = caller,
        .destination = service,
        .acknowledge = true,
        .sequence = 1,
        .acknowledged = acknowledged,
        .length = 100};
}

/// A target process whose target is ready and has taken an opening with sequence number 5000.
struct target_fixture : engine_fixture
{
    static constexpr std::uint32_t sequence = 5000;
    relay_target engine;

    target_fixture()
        : engine({.name = "t1", .domain = "a", .service = "main", .peer = processAddress}, codec,
            port, metrics, log, now)
    {
        engine.onLiveness(
            now, {.id = "i1", .service = "main", .startedMs = 1, .sequence = 1, .slots = 4});
        auto bytes = packet({.kind = relay_kind::opening,
                                .entry = entryAddress,
                                .serviceTag = serviceTagOf("main")},
            opening);
        engine.onPeerBytes(now, entryAddress, bytes);
        auto answer = codec.encode({.source = service,
                                       .destination = caller,
                                       .synchronize = true,
                                       .acknowledge = true,
                                       .sequence = sequence,
                                       .acknowledged = 1},
            {});
        engine.onTargetBytes(now, answer);
        port = {};
    }

    void sendRequest(std::uint32_t acknowledged)
    {
        auto bytes = packet(
            {.kind = relay_kind::established, .entry = entryAddress}, request(acknowledged));
        engine.onPeerBytes(now, entryAddress, bytes);
    }
};

target_report reportOf(const std::string &name, target_standing standing, std::uint64_t flows)
{
    return {.member = name,
        .service = "main",
        .domain = "a",
        .boot = 1,
        .lifetime = 1,
        .order = 1,
        .standing = static_cast<std::uint64_t>(standing),
        .slots = 4,
        .flows = flows};
}

/// An entry with one route that has long heard of one member.
struct entry_fixture : engine_fixture
{
    relay_entry engine;

    entry_fixture()
        : engine(
            {.name = "e1", .domain = "a", .peer = entryAddress}, codec, port, metrics, log, now)
    {
        boost::intrusive_ptr<relay_config> config(new relay_config);
        config->revision = 1;
        config->index[service] = 0;
        config->routes.push_back(
            {.name = "route", .address = service, .shares = {{.service = "main"}}});
        engine.onConfig(now, config, "test");
    }

    void report(const target_report &message, const endpoint &from = processAddress)
    {
        auto bytes = encodeRelayMessage(message);
        engine.onPeerBytes(now, from, bytes);
    }
    // Every member that was asked answers that its target does not hold the flow.
    void denyAll()
    {
        for (auto &[to, bytes] : std::exchange(port.toPeers, {}))
            deny(to, bytes);
    }
    // The last one on the way of a searched segment says that nobody on it holds the flow.
    void deny(const endpoint &from, byte_buffer &bytes)
    {
        auto packet = decodeRelayPacket(bytes);
        if (!packet)
            return;
        packet->header.kind = relay_kind::not_found;
        packet->header.candidates.clear();
        auto reply = this->packet(packet->header, *codec.decode(packet->bytes));
        engine.onPeerBytes(now, from, reply);
    }
    void pass(std::chrono::milliseconds time)
    {
        now += time;
        engine.onTick(now);
        port = {};
    }
    void sendRequest()
    {
        auto bytes = codec.encode(request(1), byte_buffer(100, 'q'));
        engine.onCallerBytes(now, bytes);
    }
};

} // namespace

TEST_CASE("target process: the caller's acknowledgement tells which of two targets it chose")
{
    target_fixture chosen;
    chosen.sendRequest(target_fixture::sequence + 1);
    CHECK(chosen.port.toTarget.size() == 1);
    CHECK(chosen.port.takePackets().empty());

    for (const std::uint32_t other : {~0U, 1U, 700U, 1U << 19U, 1U << 31U}) {
        target_fixture notChosen;
        notChosen.sendRequest(target_fixture::sequence + 1 + other);
        INFO("off by " << other);
        CHECK(notChosen.port.toTarget.empty());
        const auto packets = notChosen.port.takePackets();
        REQUIRE(packets.size() == 1);
        CHECK(packets.front().first == relay_kind::not_found);
    }
}

TEST_CASE("target process: a segment that the target returns is searched for, the flow not reset")
{
    target_fixture fleet;
    fleet.sendRequest(target_fixture::sequence + 1);
    auto returned = request(target_fixture::sequence + 1);
    returned.returned = true;
    auto bytes = fleet.codec.encode(returned, byte_buffer(100, 'q'));
    fleet.engine.onTargetBytes(fleet.now, bytes);
    CHECK(fleet.port.toCallers.empty());
    const auto packets = fleet.port.takePackets();
    REQUIRE(packets.size() == 1);
    CHECK(packets.front() == std::pair(relay_kind::not_found, entryAddress));
}

// Seen where a target was about to start: it answered a segment of another target's flow so.
TEST_CASE("target process: a reset by a target that was only asked is no answer to the caller")
{
    engine_fixture fleet;
    relay_target engine({.name = "t1", .domain = "a", .service = "main", .peer = processAddress},
        fleet.codec, fleet.port, fleet.metrics, fleet.log, fleet.now);
    auto asked = fleet.packet(
        {.kind = relay_kind::established, .entry = entryAddress, .search = 1}, request(1));
    engine.onPeerBytes(fleet.now, entryAddress, asked);
    REQUIRE(fleet.port.toTarget.size() == 1);
    fleet.port = {};
    auto answer = fleet.codec.encode(
        {.source = service, .destination = caller, .reset = true, .sequence = 1}, {});
    engine.onTargetBytes(fleet.now, answer);
    CHECK(fleet.port.toCallers.empty());
    REQUIRE(fleet.port.toPeers.size() == 1);
    const auto packets = fleet.port.takePackets();
    REQUIRE(packets.size() == 1);
    CHECK(packets.front() == std::pair(relay_kind::not_found, entryAddress));
}

TEST_CASE("target process: an opening that the target turns away or leaves unanswered goes on")
{
    for (const bool isReturned : {true, false}) {
        engine_fixture fleet;
        relay_target engine(
            {.name = "t1", .domain = "a", .service = "main", .peer = processAddress}, fleet.codec,
            fleet.port, fleet.metrics, fleet.log, fleet.now);
        engine.onLiveness(
            fleet.now, {.id = "i1", .service = "main", .startedMs = 1, .sequence = 1, .slots = 4});
        relay_header header{.kind = relay_kind::opening,
            .entry = entryAddress,
            .serviceTag = serviceTagOf("main"),
            .candidates = {otherProcess}};
        auto bytes = fleet.packet(header, opening);
        engine.onPeerBytes(fleet.now, entryAddress, bytes);
        REQUIRE(fleet.port.toTarget.size() == 1);
        fleet.port = {};
        if (isReturned) {
            auto returned = opening;
            returned.returned = true;
            auto answer = fleet.codec.encode(returned, {});
            engine.onTargetBytes(fleet.now, answer);
        } else {
            fleet.now += 100ms;
            engine.onTick(fleet.now);
        }
        const auto packets = fleet.port.takePackets();
        INFO("returned " << isReturned);
        REQUIRE(packets.size() == 1);
        CHECK(packets.front() == std::pair(relay_kind::opening, otherProcess));
    }
}

TEST_CASE("target process: the entry that looked for a flow is told of its owner")
{
    target_fixture fleet;
    auto bytes = fleet.packet({.kind = relay_kind::established, .entry = entryAddress, .search = 1},
        request(target_fixture::sequence + 1));
    fleet.engine.onPeerBytes(fleet.now, otherProcess, bytes);
    REQUIRE(fleet.port.toPeers.size() == 1);
    const auto message = decodeRelayMessage(fleet.port.toPeers.front().second);
    REQUIRE(valueOf(message));
    CHECK(fleet.port.toPeers.front().first == entryAddress);
    CHECK(std::get<flow_owner>(*valueOf(message)).caller == caller);
}

// Seen after a loss of power: such acknowledgements made processes report flows that were long
// gone, and searches for others stayed undecided when those processes were removed.
TEST_CASE(
    "target process: an acknowledgement of a flow's end does not show that the target holds it")
{
    engine_fixture fleet;
    relay_target engine({.name = "t1", .domain = "a", .service = "main", .peer = processAddress},
        fleet.codec, fleet.port, fleet.metrics, fleet.log, fleet.now);
    auto end = request(1);
    end.length = 0;
    end.finish = true;
    auto asked
        = fleet.packet({.kind = relay_kind::established, .entry = entryAddress, .search = 1}, end);
    engine.onPeerBytes(fleet.now, entryAddress, asked);
    fleet.port = {};
    auto answer = fleet.codec.encode(
        {.source = service, .destination = caller, .acknowledge = true, .sequence = 1}, {});
    engine.onTargetBytes(fleet.now, answer);
    CHECK(fleet.port.toCallers.size() == 1);
    CHECK(fleet.port.toPeers.empty());
}

// Load answered for: callers that gave up after an outage. Their requests do not run any more and
// must not keep others out.
TEST_CASE("target process: requests of flows that ended without an answer wait no longer")
{
    enum class ending { targetFinishes, callerResets, targetResets };
    for (const auto how : {ending::targetFinishes, ending::callerResets, ending::targetResets}) {
        engine_fixture fleet;
        relay_target engine(
            {.name = "t1", .domain = "a", .service = "main", .peer = processAddress}, fleet.codec,
            fleet.port, fleet.metrics, fleet.log, fleet.now);
        engine.onLiveness(
            fleet.now, {.id = "i1", .service = "main", .startedMs = 1, .sequence = 1, .slots = 1});
        const auto fromCaller = [&](relay_kind kind, segment head, std::uint16_t port) {
            head.source.port = port;
            auto bytes = fleet.packet(
                {.kind = kind, .entry = entryAddress, .serviceTag = serviceTagOf("main")}, head);
            engine.onPeerBytes(fleet.now, entryAddress, bytes);
        };
        const auto fromTarget = [&](segment head, std::uint16_t port) {
            head.source = service;
            head.destination = {.ip = caller.ip, .port = port};
            auto bytes = fleet.codec.encode(head, {});
            engine.onTargetBytes(fleet.now, bytes);
        };
        const auto open = [&](std::uint16_t port) {
            fromCaller(relay_kind::opening, opening, port);
            fromTarget({.synchronize = true, .acknowledge = true, .sequence = 9}, port);
            fromCaller(relay_kind::established, request(10), port);
        };
        for (std::uint16_t port = 1; port <= waitingForEachSlot; ++port) {
            open(port);
            auto end = request(10);
            end.length = 0;
            end.finish = how == ending::targetFinishes;
            end.reset = how == ending::callerResets;
            if (how != ending::targetResets)
                fromCaller(relay_kind::established, end, port);
            if (how != ending::callerResets)
                fromTarget({.acknowledge = true,
                               .finish = how == ending::targetFinishes,
                               .reset = how == ending::targetResets},
                    port);
        }
        fleet.port = {};
        fromCaller(relay_kind::opening, opening, 100);
        INFO("ending " << static_cast<int>(how));
        CHECK(fleet.port.toTarget.size() == 1);
    }
}

// Reports are older than what they tell of: the flow may have opened since.
TEST_CASE("entry: a search asks members that reported no flows")
{
    for (const auto standing : {target_standing::gone, target_standing::ready}) {
        entry_fixture fleet;
        fleet.report(reportOf("t1", standing, 0));
        fleet.pass(600ms);
        fleet.sendRequest();
        const auto packets = fleet.port.takePackets();
        REQUIRE(packets.size() == 1);
        CHECK(packets.front() == std::pair(relay_kind::established, processAddress));
        CHECK(fleet.port.toCallers.empty());
    }
}

// A planned stop may last longer than a crash is waited for: a soak found flows of such targets
// reset.
TEST_CASE("entry: a flow is not reset while a member that may hold it has just fallen silent")
{
    for (const bool isPlanned : {false, true}) {
        entry_fixture fleet;
        fleet.report(reportOf("t1", target_standing::ready, 3));
        std::uint64_t order = 1;
        const auto pass = [&](std::chrono::milliseconds time) {
            for (auto left = time; left > 0ms; left -= 250ms) {
                auto alive = reportOf("t2", target_standing::ready, 3);
                alive.order = ++order;
                fleet.report(alive, otherProcess);
                fleet.pass(250ms);
            }
        };
        pass(1000ms);
        auto last = reportOf("t1", target_standing::ready, 3);
        last.order = 2;
        last.leaving = isPlanned;
        fleet.report(last);
        const auto isResetAfter = [&](std::chrono::milliseconds time) {
            pass(time);
            fleet.sendRequest();
            fleet.denyAll();
            return !fleet.port.toCallers.empty();
        };
        INFO("planned " << isPlanned);
        CHECK_FALSE(isResetAfter(3500ms));
        CHECK(isResetAfter(1000ms) != isPlanned);
        CHECK(isResetAfter(12s));
    }
}

// Load answered for: overloaded targets, whose entries try refused openings again for a moment. A
// caller that was told to go away is gone.
TEST_CASE("entry: an opening is not tried again after its caller was reset")
{
    entry_fixture fleet;
    fleet.pass(4s);
    fleet.report(reportOf("t1", target_standing::ready, 0));
    const auto open = [&](std::uint32_t copy) {
        auto head = opening;
        head.copy = copy;
        auto bytes = fleet.codec.encode(head, {});
        fleet.engine.onCallerBytes(fleet.now, bytes);
    };
    // The refusals of an opening and of its copy come late.
    open(0);
    fleet.now += 200ms;
    auto alive = reportOf("t1", target_standing::ready, 0);
    alive.order = 2;
    fleet.report(alive);
    open(1);
    auto refusals = std::exchange(fleet.port.toPeers, {});
    REQUIRE(refusals.size() == 2);
    const auto refuse = [&](byte_buffer &bytes) {
        auto packet = decodeRelayPacket(bytes);
        packet->header.kind = relay_kind::refused_opening;
        packet->header.candidates.clear();
        auto reply = fleet.packet(packet->header, *fleet.codec.decode(packet->bytes));
        fleet.engine.onPeerBytes(fleet.now, processAddress, reply);
    };
    refuse(refusals[0].second);
    CHECK(fleet.port.toCallers.empty());
    fleet.now += 250ms;
    refuse(refusals[1].second);
    // The refusal is followed by another try at once, which is refused as well.
    for (auto &[to, bytes] : std::exchange(fleet.port.toPeers, {}))
        refuse(bytes);
    REQUIRE(fleet.port.toCallers.size() == 1);
    fleet.port = {};
    fleet.now += 100ms;
    fleet.engine.onTick(fleet.now);
    CHECK(fleet.port.takePackets().empty());
}

// Beliefs about members change while a search is under way; the owner of an open flow could be
// skipped so.
TEST_CASE("entry: a search asks everybody although the order of members changes meanwhile")
{
    constexpr std::uint32_t members = 14;
    const auto addressOf
        = [](std::uint32_t i) { return endpoint{.ip = 0x0a020000 + i, .port = 7000}; };
    for (std::uint32_t stale = 0; stale < members; ++stale) {
        entry_fixture fleet;
        std::uint64_t order = 0;
        const auto reportAll = [&](std::optional<std::uint32_t> except) {
            ++order;
            for (std::uint32_t i = 0; i < members; ++i) {
                auto message = reportOf("t" + std::to_string(i), target_standing::ready, 3);
                message.order = order;
                if (i != except)
                    fleet.report(message, addressOf(i));
            }
        };
        reportAll({});
        fleet.pass(600ms);
        fleet.sendRequest();
        std::set<endpoint> asked;
        const auto noteAsked = [&] {
            for (auto &[to, bytes] : fleet.port.toPeers) {
                const auto packet = decodeRelayPacket(bytes);
                if (!packet)
                    continue;
                asked.insert(to);
                asked.insert(packet->header.candidates.begin(), packet->header.candidates.end());
            }
        };
        noteAsked();
        // One member's next report is late while the first ones are asked.
        auto firstAsked = std::exchange(fleet.port.toPeers, {});
        fleet.now += 50ms;
        reportAll(stale);
        fleet.port.toPeers = std::move(firstAsked);
        fleet.denyAll();
        noteAsked();
        fleet.denyAll();
        INFO("stale member " << stale);
        CHECK(asked.size() == members);
    }
}

// Load answered for: all flows of a fleet that lost its power.
TEST_CASE("entry: a flow that nobody holds is reset as soon as the members are known")
{
    entry_fixture fleet;
    fleet.report(reportOf("t1", target_standing::ready, 3));
    fleet.pass(300ms);
    fleet.sendRequest();
    fleet.denyAll();
    CHECK(fleet.port.toCallers.empty());
    fleet.pass(150ms);
    CHECK(fleet.port.toCallers.empty());
    auto alive = reportOf("t1", target_standing::ready, 3);
    alive.order = 2;
    fleet.report(alive);
    fleet.now += 100ms;
    fleet.engine.onTick(fleet.now);
    CHECK(fleet.port.toCallers.size() == 1);
}

// Seen while VMs were removed one by one: every search ended at one of them, and callers whose
// flows had died waited for their deadline.
TEST_CASE("entry: a search goes on past processes that are down")
{
    constexpr std::uint32_t members = 14;
    constexpr std::uint32_t removed = 13;
    for (const bool heldFlows : {false, true}) {
        entry_fixture fleet;
        for (std::uint32_t i = 0; i < members; ++i) {
            const bool isRemoved = i == removed && !heldFlows;
            fleet.report(
                reportOf("t" + std::to_string(i),
                    isRemoved ? target_standing::gone : target_standing::ready, isRemoved ? 0 : 3),
                {.ip = 0x0a020000 + i, .port = 7000});
        }
        fleet.pass(600ms);
        fleet.sendRequest();
        for (int step = 0; step < 40; ++step) {
            for (auto &[to, bytes] : std::exchange(fleet.port.toPeers, {})) {
                const auto packet = decodeRelayPacket(bytes);
                if (!packet)
                    continue;
                std::set<endpoint> way(
                    packet->header.candidates.begin(), packet->header.candidates.end());
                way.insert(to);
                if (!way.contains({.ip = 0x0a020000 + removed, .port = 7000}))
                    fleet.deny(to, bytes);
            }
            fleet.now += 10ms;
            fleet.engine.onTick(fleet.now);
        }
        INFO("the process that is down held flows: " << heldFlows);
        CHECK(fleet.port.toCallers.size() == (heldFlows ? 0 : 1));
    }
}

TEST_CASE("entry: a copy of an opening goes past a member that left the first one unanswered")
{
    entry_fixture fleet;
    fleet.report(reportOf("t1", target_standing::ready, 0));
    fleet.report(reportOf("t2", target_standing::ready, 0), otherProcess);
    fleet.pass(100ms);
    const auto open = [&](std::uint32_t copy) {
        auto head = opening;
        head.copy = copy;
        auto bytes = fleet.codec.encode(head, {});
        fleet.engine.onCallerBytes(fleet.now, bytes);
        const auto packets = fleet.port.takePackets();
        return packets.empty() ? endpoint{} : packets.front().second;
    };
    const auto first = open(0);
    REQUIRE(first);
    fleet.now += 200ms;
    open(1);
    fleet.now += 400ms;
    // Both are asked in turn by the copies of one opening; a new one avoids the silent member.
    auto head = opening;
    head.source.port = 5;
    auto bytes = fleet.codec.encode(head, {});
    fleet.engine.onCallerBytes(fleet.now, bytes);
    const auto packets = fleet.port.takePackets();
    REQUIRE(packets.size() == 1);
    CHECK(packets.front().second != first);
}

TEST_CASE("entry: older configurations, domains and reports change nothing")
{
    entry_fixture fleet;
    fleet.report(reportOf("t1", target_standing::ready, 0));
    fleet.engine.onDomains(fleet.now, {.revision = 5, .names = {"b"}}, "test");
    boost::intrusive_ptr<relay_config> newer(new relay_config);
    newer->revision = 7;
    newer->index[service] = 0;
    newer->routes.push_back({.name = "r", .address = service, .shares = {{.service = "main"}}});
    fleet.engine.onConfig(fleet.now, newer, "test");
    boost::intrusive_ptr<relay_config> older(new relay_config);
    older->revision = 6;
    fleet.engine.onConfig(fleet.now, older, "test");
    fleet.engine.onDomains(fleet.now, {.revision = 4, .names = {"a"}}, "test");
    auto late = reportOf("t1", target_standing::draining, 0);
    late.order = 0;
    fleet.report(late);
    CHECK(fleet.engine.config()->revision == 7);
    CHECK(fleet.engine.domains().names == std::vector<std::string>{"b"});
    fleet.port = {};
    auto bytes = fleet.codec.encode(opening, {});
    fleet.engine.onCallerBytes(fleet.now, bytes);
    CHECK(fleet.port.toCallers.empty());
    CHECK(fleet.port.takePackets().size() == 1);
}

TEST_CASE("entry: target processes hear at once which failure domains are out")
{
    entry_fixture fleet;
    fleet.report(reportOf("t1", target_standing::ready, 0));
    fleet.port = {};
    fleet.engine.onDomains(fleet.now, {.revision = 5, .names = {"b"}}, "test");
    const auto told = std::ranges::count_if(fleet.port.toPeers, [](const auto &sent) {
        const auto message = decodeRelayMessage(sent.second);
        const auto *value = valueOf(message);
        return sent.first == processAddress && value
            && std::get<entry_notice>(*value).domainsOut == std::vector<std::string>{"b"};
    });
    CHECK(told == 1);
}

TEST_CASE("entry: segments that come while the owner is searched follow it there")
{
    entry_fixture fleet;
    fleet.report(reportOf("t1", target_standing::ready, 3));
    fleet.report(reportOf("t2", target_standing::ready, 3), otherProcess);
    fleet.pass(600ms);
    fleet.sendRequest();
    CHECK(fleet.port.takePackets().size() == 1);
    fleet.sendRequest();
    CHECK(fleet.port.takePackets().empty());
    auto found = encodeRelayMessage(flow_owner{.caller = caller, .service = service});
    fleet.engine.onPeerBytes(fleet.now, otherProcess, found);
    const auto packets = fleet.port.takePackets();
    REQUIRE(packets.size() == 1);
    CHECK(packets.front() == std::pair(relay_kind::established, otherProcess));
}
