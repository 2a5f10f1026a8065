#pragma once

/// The VMs of an emulated fleet: each is an engine and the port through which it acts.

#include <toucan/lab/relay_fleet.h>
#include <toucan/lab/segment_target.h>

namespace toucan::lab {

/// Addresses and rhythm of an emulated fleet.
namespace fleet_layout {

inline constexpr std::uint32_t entryNet = 0x0a010000;
inline constexpr std::uint32_t targetNet = 0x0a020000;
inline constexpr std::uint16_t peerPort = 7000;
inline constexpr std::chrono::milliseconds tick{50};
/// Between a target and the process beside it.
inline constexpr std::chrono::microseconds localDelay{100};
/// Time that a fetch of the configuration from a peer takes.
inline constexpr std::chrono::milliseconds fetchTime{5};

} // namespace fleet_layout

struct relay_fleet::entry_node : relay_port
{
    relay_fleet &fleet;
    std::size_t number;
    endpoint peer;
    std::string domain;
    std::unique_ptr<relay_entry> engine;
    metrics::registry metrics;
    event_log log{"entry", 100'000};
    std::uint64_t starts = 0;
    bool paused = false; ///< Its VM stands still.
    bool follows = false; ///< It followed the store at its last tick.

    entry_node(relay_fleet &owner, std::size_t index)
        : fleet(owner)
        , number(index)
        , peer{.ip = fleet_layout::entryNet + static_cast<std::uint32_t>(index),
              .port = fleet_layout::peerPort}
        , domain(owner.m_options.domains[index % owner.m_options.domains.size()])
    { }

    void sendPeer(const endpoint &to, byte_view head, byte_view payload) override
    {
        byte_buffer bytes(head.begin(), head.end());
        bytes.insert(bytes.end(), payload.begin(), payload.end());
        fleet.deliver(peer, to, std::move(bytes));
    }
    void sendCaller(const endpoint &, byte_view bytes) override
    {
        fleet.toCaller(domain, byte_buffer(bytes.begin(), bytes.end()));
    }
    void sendTarget(byte_view) override { }
    void fetchConfig(const endpoint &from, const config_stamp &) override;
};

struct relay_fleet::target_node : relay_port
{
    relay_fleet &fleet;
    std::size_t number;
    endpoint peer;
    std::string domain;
    std::string service;
    std::unique_ptr<relay_target> engine;
    relay_config_ptr copy;
    metrics::registry metrics;
    event_log log{"target", 100'000};
    std::uint64_t starts = 0;
    segment_target target;
    bool silent = false; ///< It takes packets and answers none.
    std::uint64_t lifetime = 0;
    std::uint64_t nextReport = 0; ///< Its number.
    bool draining = false;
    std::optional<instant> drainConfirmed;
    instant coldUntil{};

    target_node(relay_fleet &owner, std::size_t index, std::string serviceName)
        : fleet(owner)
        , number(index)
        , peer{.ip = fleet_layout::targetNet + static_cast<std::uint32_t>(index),
              .port = fleet_layout::peerPort}
        , domain(owner.m_options.domains[index % owner.m_options.domains.size()])
        , service(std::move(serviceName))
        , target({.codec = owner.m_codec,
              .work = owner.m_options.work,
              .workOf = workOf(),
              .slots = owner.m_options.workOf ? owner.m_options.slots : 0,
              .seed = owner.m_random(),
              .send = [this](byte_buffer bytes) { answer(std::move(bytes)); },
              .schedule = [this](auto delay, auto act) { fleet.after(delay, std::move(act)); },
              .onOpening = [this](const flow_key &key) { checkOpening(key); }})
    { }

    void sendPeer(const endpoint &to, byte_view head, byte_view payload) override
    {
        byte_buffer bytes(head.begin(), head.end());
        bytes.insert(bytes.end(), payload.begin(), payload.end());
        fleet.deliver(peer, to, std::move(bytes));
    }
    void sendCaller(const endpoint &, byte_view bytes) override
    {
        fleet.toCaller(domain, byte_buffer(bytes.begin(), bytes.end()));
    }
    void sendTarget(byte_view bytes) override
    {
        fleet.after(fleet_layout::localDelay,
            [this, start = lifetime, data = byte_buffer(bytes.begin(), bytes.end())] {
                if (lifetime != start || silent)
                    return;
                fleet.countStray(data, *this);
                target.onSegment(data);
            });
    }
    void fetchConfig(const endpoint &from, const config_stamp &) override
    {
        fleet.after(fleet_layout::fetchTime, [this, from] {
            const auto *entry = fleet.entryAt(from);
            if (!entry || !entry->engine || !entry->engine->config() || !engine)
                return;
            copy = entry->engine->config();
            engine->setConfigCopy(copy->stamp);
        });
    }

    std::function<std::chrono::milliseconds(const flow_key &, std::uint32_t)> workOf()
    {
        if (!fleet.m_options.workOf)
            return {};
        return [this](const flow_key &flow, std::uint32_t request) {
            return fleet.m_options.workOf(number, flow, request);
        };
    }

    void answer(byte_buffer bytes)
    {
        fleet.after(fleet_layout::localDelay, [this, data = std::move(bytes)]() mutable {
            if (engine)
                engine->onTargetBytes(fleet.m_now, data);
        });
    }

    void checkOpening(const flow_key &key);
};

} // namespace toucan::lab
