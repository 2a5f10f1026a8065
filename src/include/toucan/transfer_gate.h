#pragma once

/// Admission of transfers to an entry whose network link is short. Pure functions of the times that
/// are passed in.
///
/// All callers send a whole window before they notice that the link is full, and what they sent
/// waits in the network in front of the entry, where nothing can be ordered. So only as many
/// transfers run at once as have their windows carried within a fraction of the retransmission
/// time. The openings of others wait here, and are refused when the wait would use up the time in
/// which they have to be answered: the caller's next try meets another entry.
///
/// An opening is refused only while this entry has received every copy that its caller has sent:
/// another entry that received one may have opened the flow meanwhile.

#include <chrono>
#include <cstddef>
#include <map>
#include <optional>
#include <toucan/segment.h>
#include <unordered_map>
#include <utility>

namespace toucan {

/// Transfers of one entry. Not thread-safe.
class transfer_gate
{
public:
    /// An opening that waits.
    struct waiting_transfer
    {
        segment head;
        byte_buffer bytes;
        instant startedAt{}; ///< Start of the caller's attempt.
        instant heldSince{};
        instant latest{}; ///< When it is refused, if it may be.
        std::uint32_t copies = 0; ///< Bits of the copies received.
    };

    /// What to do with an opening.
    enum class verdict : std::uint8_t {
        admitted, ///< Place it.
        held, ///< Stored; next() returns it.
        copy, ///< Drop it: an earlier one is stored here.
        refused, ///< Reset it: it would wait too long.
    };

    /// Sums since the start.
    struct statistics
    {
        std::uint64_t held = 0;
        std::uint64_t refused = 0;
        std::uint64_t expired = 0; ///< Dropped at the end of their attempts, without a reset.
        std::uint64_t copies = 0;
        instant longestWait{}; ///< Since takeLongestWait().
    };

    /// `megabits`: rate of the link, Mbit/s; 0 when it is no limit.
    explicit transfer_gate(double megabits = 0) { setRate(megabits); }
    void setRate(double megabits);
    bool isLimited() const { return m_bytesPerMs > 0; }
    /// Number of transfers that may run at once.
    std::size_t maxRunning() const { return m_maxRunning; }

    /// Decides on the opening of a transfer. `objective` is the time within which to answer the
    /// caller, 0 when it is not known.
    verdict offer(instant now, const segment &head, byte_view bytes, instant startedAt,
        std::chrono::milliseconds objective);
    /// Takes note of a segment of a transfer.
    void onSegment(instant now, const segment &head);
    /// Removes and returns the next opening that may be placed; nullopt when there is none.
    std::optional<waiting_transfer> next(instant now);
    /// Removes and returns an opening that has waited too long and may be refused; nullopt when
    /// there is none. Drops those whose attempts have ended.
    std::optional<waiting_transfer> takeLate(instant now);
    /// Ends the transfers that have paused; call now and then.
    void sweep(instant now);
    /// Forgets all openings and transfers, after a pause of the VM.
    void clear();

    /// Time until the next call of next(); nullopt while no opening waits.
    std::optional<instant> untilNext(instant now) const;
    std::size_t running() const { return m_running.size(); }
    std::size_t waiting() const { return m_waiting.size(); }
    const statistics &totals() const { return m_totals; }
    /// Longest wait of an opening since the last call.
    instant takeLongestWait() { return std::exchange(m_totals.longestWait, instant{}); }

private:
    using place = std::pair<instant, flow_key>; ///< Orders by the start of the attempt.

    instant expectedWait() const;
    waiting_transfer take(instant now, std::map<place, waiting_transfer>::iterator position);

    double m_bytesPerMs = 0;
    std::size_t m_maxRunning = 0;
    double m_turnUs = 0; ///< Smoothed time between two admissions while others wait, us.
    instant m_lastAdmitted{};
    std::unordered_map<flow_key, instant> m_running; ///< Last segment of each.
    std::map<place, waiting_transfer> m_waiting;
    std::unordered_map<flow_key, instant> m_attempts; ///< Start of the attempt of those waiting.
    statistics m_totals;
};

} // namespace toucan
