#pragma once

/// Fixtures for tests of the relay engines: one engine, a port that records what it sends, and a
/// clock that the test moves.

#include <platform/adapter.h>
#include <set>
#include <toucan/relay_entry.h>
#include <toucan/relay_target.h>

namespace toucan::testing {

using namespace std::chrono_literals;

constexpr endpoint caller{.ip = 0x64400001, .port = 40001};
constexpr endpoint service{.ip = 0xc6120001, .port = 443};
constexpr endpoint entryAddress{.ip = 0x0a010001, .port = 7000};
constexpr endpoint processAddress{.ip = 0x0a020001, .port = 7000};
constexpr endpoint targetAddress{.ip = 0x7f000001, .port = 8080};
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
    void fetchConfig(const endpoint &, const config_stamp &) override { }

    // Messages of one kind sent to `recipient` since the last reset.
    template <class T>
    std::vector<T> messagesTo(const endpoint &recipient) const
    {
        std::vector<T> found;
        for (const auto &[to, bytes] : toPeers) {
            const auto message = decodeRelayMessage(bytes);
            const auto *value = valueOf(message) ? std::get_if<T>(valueOf(message)) : nullptr;
            if (to == recipient && value)
                found.push_back(*value);
        }
        return found;
    }

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
        byte_buffer bytes(maxRelayHeaderBytes);
        bytes.resize(encodeRelayHeader(header, bytes));
        bytes.insert(bytes.end(), segment.begin(), segment.end());
        return bytes;
    }
};

constexpr segment opening{.source = caller, .destination = service, .synchronize = true};

inline segment request(std::uint32_t acknowledged)
{
    return {.source = caller,
        .destination = service,
        .acknowledge = true,
        .sequence = 1,
        .acknowledged = acknowledged,
        .length = 100};
}

/// A target process whose target is ready and has taken an opening with sequence number 5000,
/// unless its answer is still on its way.
struct target_fixture : engine_fixture
{
    static constexpr std::uint32_t sequence = 5000;
    relay_target engine;

    explicit target_fixture(bool isAnswered = true)
        : engine({.name = "t1",
                     .domain = "a",
                     .service = "main",
                     .peer = processAddress,
                     .target = targetAddress,
                     .firstStart = true},
            codec, port, metrics, log, now)
    {
        engine.onLiveness(now,
            {.id = "i1",
                .service = "main",
                .address = targetAddress,
                .startedMs = 1,
                .sequence = 1,
                .slots = 4});
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
        if (isAnswered)
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

inline target_report reportOf(
    const std::string &name, target_standing standing, std::uint64_t flows)
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

/// An entry with one route and no members yet.
struct entry_fixture : engine_fixture
{
    relay_entry engine;

    entry_fixture()
        : engine(
            {.name = "e1", .domain = "a", .peer = entryAddress}, codec, port, metrics, log, now)
    {
        boost::intrusive_ptr<relay_config> config(new relay_config);
        config->stamp.point.revision = 1;
        config->routeIndex[service] = 0;
        config->routes.push_back(
            {.name = "route", .address = service, .shares = {{.service = "main"}}});
        engine.onConfig(now, config, "test");
    }

    void report(const target_report &message, const endpoint &from = processAddress)
    {
        auto bytes = encodeRelayMessage(message);
        engine.onPeerBytes(now, from, bytes);
    }
    // All members that were asked answer that their targets do not hold the flow.
    void answerAllNotHeld()
    {
        for (auto &[to, bytes] : std::exchange(port.toPeers, {}))
            answerNotHeld(to, bytes);
        now += 20ms;
        engine.onTick(now);
        for (auto &[to, bytes] : std::exchange(port.toPeers, {}))
            answerNotHeld(to, bytes);
    }
    // Answers a segment or question of a search: no member asked with it holds the flow.
    void answerNotHeld(const endpoint &from, byte_buffer &bytes)
    {
        auto packet = decodeRelayPacket(bytes);
        if (!packet) {
            answerQuestion(from, bytes, flow_lookup_result::not_held);
            return;
        }
        packet->header.kind = relay_kind::not_found;
        packet->header.candidates.clear();
        auto reply = this->packet(packet->header, *codec.decode(packet->bytes));
        engine.onPeerBytes(now, from, reply);
    }
    void answerQuestion(const endpoint &from, byte_view bytes, flow_lookup_result lookupResult)
    {
        const auto message = decodeRelayMessage(bytes);
        const auto *question
            = valueOf(message) ? std::get_if<flow_question>(valueOf(message)) : nullptr;
        if (!question)
            return;
        flow_answer answer;
        for (const auto &item : question->flows)
            answer.flows.push_back({.caller = item.caller,
                .service = item.service,
                .search = item.search,
                .word = static_cast<std::uint64_t>(lookupResult)});
        auto reply = encodeRelayMessage(answer);
        engine.onPeerBytes(now, from, reply);
    }
    // Members addressed by the recorded segments and questions of a search.
    std::set<endpoint> asked() const
    {
        std::set<endpoint> members;
        for (const auto &[to, sent] : port.toPeers) {
            auto bytes = sent;
            if (const auto packet = decodeRelayPacket(bytes)) {
                members.insert(to);
                members.insert(packet->header.candidates.begin(), packet->header.candidates.end());
                continue;
            }
            const auto message = decodeRelayMessage(bytes);
            if (valueOf(message) && std::holds_alternative<flow_question>(*valueOf(message)))
                members.insert(to);
        }
        return members;
    }
    void advance(std::chrono::milliseconds time)
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

} // namespace toucan::testing
