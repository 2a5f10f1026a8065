#pragma once

/// Stand-in callers whose flows are connections of a segment transport: copies of openings,
/// requests, retransmissions, and what became of them.

#include <functional>
#include <memory>
#include <toucan/segment.h>
#include <vector>

namespace toucan::lab {

/// How stand-in callers are connected to the world.
struct segment_callers_options
{
    const segment_codec &codec;
    std::uint32_t firstIp = 0; ///< Callers' addresses begin here.
    std::uint32_t ips = 1; ///< Addresses that flows are spread over.
    std::function<void(byte_buffer)> send; ///< Hands a segment to the fabric.
    std::function<void(std::chrono::microseconds, std::function<void()>)> schedule;
    std::function<void(std::size_t flow)> onReset; ///< The system reset a flow.
    std::function<void(std::size_t flow)> onAnswer; ///< A request was answered; may be empty.
};

/// What became of the callers' flows.
struct caller_outcome
{
    std::size_t opened = 0; ///< Flows whose opening was answered.
    std::size_t answered = 0; ///< Requests that were answered.
    std::size_t unanswered = 0; ///< Requests given up by their callers.
    std::size_t resetOpen = 0; ///< Open flows that the system reset.
    std::size_t resetUnopened = 0; ///< Openings that the system reset.
};

/// Stand-in callers. Flows are numbered from 0. Not thread-safe.
class segment_callers
{
public:
    explicit segment_callers(segment_callers_options options)
        : m_options(std::move(options))
    { }

    /// Opens a flow and sends one request once it is open; returns the flow's number.
    std::size_t open(const endpoint &service);
    /// Sends another request on an open flow; nothing happens on others.
    void request(std::size_t flow);
    /// A segment for the caller with this IP came.
    void onSegment(byte_view bytes);

    std::size_t count() const { return m_flows.size(); }
    const flow_key &key(std::size_t flow) const { return m_flows[flow]->key; }
    bool isOpen(std::size_t flow) const { return m_flows[flow]->open && !m_flows[flow]->reset; }
    /// True when the flow's newest request was answered.
    bool wasAnswered(std::size_t flow) const;
    /// True when the system reset the flow.
    bool wasReset(std::size_t flow) const { return m_flows[flow]->reset; }
    /// The flow of a caller's address, or nullopt.
    std::optional<std::size_t> flowOf(const endpoint &caller) const;
    const caller_outcome &outcome() const { return m_outcome; }

private:
    struct caller_flow
    {
        flow_key key;
        bool open = false;
        bool reset = false;
        std::uint32_t peerNext = 0; ///< Next byte expected of the target.
        std::uint32_t asked = 0; ///< Requests sent.
        std::uint32_t answered = 0; ///< Requests answered.
    };

    void sendOpening(std::size_t flow, std::uint32_t copy);
    void sendRequest(std::size_t flow, std::uint32_t number, int tries);
    void onReset(std::size_t number);

    segment_callers_options m_options;
    std::vector<std::unique_ptr<caller_flow>> m_flows;
    caller_outcome m_outcome;
};

} // namespace toucan::lab
