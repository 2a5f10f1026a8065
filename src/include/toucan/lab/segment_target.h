#pragma once

/// A stand-in target whose flows are connections of a segment transport: takes openings, answers
/// each request after a while, sends answers again when asked, and returns what it does not hold.

#include <deque>
#include <functional>
#include <map>
#include <random>
#include <toucan/segment.h>

namespace toucan::lab {

/// Bytes of each request and each answer between stand-ins.
inline constexpr std::uint32_t standInPayload = 100;

/// How a stand-in target is connected to the world.
struct segment_target_options
{
    const segment_codec &codec;
    std::chrono::milliseconds work{50}; ///< Time that it works on a request.
    /// Time that it works on a flow's request with this number; `work` for each when empty.
    std::function<std::chrono::milliseconds(const flow_key &, std::uint32_t request)> workOf;
    std::size_t slots = 0; ///< Requests that it works on at once; 0: any number.
    std::uint64_t seed = 1; ///< For sequence numbers.
    std::function<void(byte_buffer)> send; ///< Sends a segment to the process beside it.
    std::function<void(std::chrono::microseconds, std::function<void()>)> schedule;
    std::function<void(const flow_key &)> onOpening; ///< Called for each new opening.
};

/// One stand-in target. Not thread-safe.
class segment_target
{
public:
    explicit segment_target(segment_target_options options)
        : m_options(std::move(options))
        , m_random(m_options.seed)
    { }

    /// A segment reached the target.
    void onSegment(byte_view bytes);
    /// Starts a new lifetime, without flows.
    void restart();
    /// Resets the flow of each request instead of answering it.
    void failRequests(bool fail) { m_failing = fail; }
    /// Stops answering and starting work; a restart ends that.
    void stop() { m_running = false; }

    bool isRunning() const { return m_running; }
    /// True when a caller has opened the flow and the target holds it.
    bool holds(const flow_key &flow) const;
    std::size_t openings() const { return m_openings; }
    /// Times that a request was started, by flow and the request's first byte.
    const std::map<std::pair<flow_key, std::uint32_t>, int> &runs() const { return m_runs; }

private:
    struct held_flow
    {
        std::uint32_t sequence = 0;
        bool established = false;
        std::uint32_t callerNext = 0;
        std::uint32_t answered = 0;
        std::uint32_t taken = 0;
    };

    void onOpening(const segment &head);
    void take(const flow_key &key);
    void startNext();
    void onEstablished(const segment &head, byte_view bytes);
    void reply(const flow_key &key, const held_flow &flow, std::uint32_t number);

    segment_target_options m_options;
    std::mt19937_64 m_random;
    std::map<flow_key, held_flow> m_held;
    std::map<std::pair<flow_key, std::uint32_t>, int> m_runs;
    std::deque<std::pair<flow_key, std::chrono::milliseconds>> m_waiting; ///< No slot is free.
    std::size_t m_working = 0;
    std::uint64_t m_lifetime = 0;
    std::size_t m_openings = 0;
    bool m_running = true;
    bool m_failing = false;
};

} // namespace toucan::lab
