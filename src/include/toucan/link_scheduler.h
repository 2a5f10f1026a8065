#pragma once

/// Order in which an entry's datagrams enter a network link of limited rate. Pure functions of the
/// times that are passed in.
///
/// Designed for bulk transfers that exceed the link for seconds: a queue in the network delays
/// everybody's segments, and copies sent after the retransmission time fill it further. So the
/// queue is kept here, where urgent segments pass it and copies of queued ones are recognised.
/// Datagrams pass unchanged and nothing is stored while the link has room.

#include <array>
#include <cstddef>
#include <deque>
#include <functional>
#include <optional>
#include <toucan/endpoint.h>
#include <unordered_map>
#include <utility>

namespace toucan {

/// Classes of datagrams, the most urgent first.
enum class link_class : std::uint8_t {
    control, ///< Messages between processes and openings; never queued.
    small, ///< Segments of flows with little data.
    bulk, ///< Segments of transfers.
};
inline constexpr std::size_t linkClassCount = 3;

/// Bytes that headers of the network add to a datagram.
inline constexpr std::size_t datagramOverhead = 28;

/// Data that a flow carried lately, to distinguish transfers from small requests. Kept with the
/// flow by its owner.
class flow_volume
{
public:
    /// Counts `bytes` of data; true when the flow carries a transfer.
    bool add(instant now, std::size_t bytes);

private:
    std::uint32_t m_bytes = 0;
    instant m_since{};
};

/// What the scheduler needs to know of a segment.
struct link_segment
{
    endpoint to;
    flow_key flow;
    std::uint32_t sequence = 0;
    std::uint32_t length = 0; ///< Bytes of data; segments without data are no copies of others.
    link_class kind = link_class::small;
};

/// Queues the datagrams of one link. Not thread-safe.
class link_scheduler
{
public:
    /// Sends a datagram that is due.
    using sender = std::function<void(const endpoint &to, byte_view head, byte_view payload)>;

    /// What to do with a datagram.
    enum class verdict : std::uint8_t {
        pass, ///< Send it now.
        queued, ///< Stored; release() sends it.
        copy, ///< Drop it: the same segment is queued here.
        full, ///< Drop it: the queue is full.
    };

    /// Sums since the start.
    struct statistics
    {
        std::array<std::uint64_t, linkClassCount> passedBytes{}; ///< Sent, by class.
        std::uint64_t queued = 0; ///< Segments that had to wait.
        std::uint64_t copies = 0; ///< Copies dropped.
        std::uint64_t overflows = 0; ///< Segments dropped for lack of room.
        instant longestWait{}; ///< In the queue, since takeLongestWait().
    };

    /// `megabits`: rate of the link, Mbit/s; 0 when it is no limit.
    explicit link_scheduler(double megabits = 0) { setRate(megabits); }
    void setRate(double megabits);
    bool isLimited() const { return m_bytesPerMs > 0; }

    /// Decides on a segment.
    verdict offer(instant now, const link_segment &about, byte_view head, byte_view payload);
    /// Counts a datagram that is sent without being offered.
    void count(link_class kind, std::size_t bytes);
    /// Sends the segments that are due.
    void release(instant now, const sender &send);
    /// Sends all queued segments, at the stop of the process.
    void flush(instant now, const sender &send);
    /// Drops all queued segments, after a pause of the VM.
    void clear();

    /// Time until the next call of release(); nullopt while nothing is queued.
    std::optional<instant> untilRelease(instant now) const;
    bool empty() const { return queuedBytes() == 0; }
    /// Bytes in the queue of a class.
    std::size_t queuedBytes(link_class kind) const
    {
        return m_queues[static_cast<std::size_t>(kind)].bytes;
    }
    std::size_t queuedBytes() const
    {
        return queuedBytes(link_class::small) + queuedBytes(link_class::bulk);
    }
    /// Time in which the link carries what is queued here and in the network.
    instant backlog(instant now) const;
    const statistics &totals() const { return m_totals; }
    /// Longest wait in the queue since the last call.
    instant takeLongestWait() { return std::exchange(m_totals.longestWait, instant{}); }

private:
    struct queued_segment
    {
        endpoint to;
        std::uint32_t sequence = 0;
        std::uint32_t length = 0;
        std::size_t headBytes = 0;
        instant since{};
        byte_buffer bytes; ///< Head and payload.
    };
    struct flow_queue
    {
        std::deque<queued_segment> segments;
        std::size_t deficit = 0; ///< Bytes that the flow may still send in this round.
    };
    /// The flows of one class, served in turn.
    struct class_queue
    {
        std::unordered_map<flow_key, flow_queue> flows;
        std::deque<flow_key> turns;
        std::size_t bytes = 0;
    };

    class_queue &queueOf(link_class kind) { return m_queues[static_cast<std::size_t>(kind)]; }
    void settle(instant now);
    bool makeRoom(instant now, std::size_t size);
    static queued_segment removeFirst(
        class_queue &queue, const std::deque<flow_key>::iterator &turn);
    static queued_segment takeNext(class_queue &queue);
    void sendNext(instant now, link_class kind, const sender &send);

    double m_bytesPerMs = 0;
    std::array<class_queue, linkClassCount> m_queues; ///< That of `control` stays empty.
    std::size_t m_unsettled = 0; ///< Bytes sent since m_idleAt was brought up to date.
    instant m_idleAt{}; ///< When the link will have carried all that was sent.
    statistics m_totals;
};

} // namespace toucan
