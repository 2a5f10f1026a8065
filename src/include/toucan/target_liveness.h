#pragma once

/// What a target says of itself, and the order of its lifetimes and reports.

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <toucan/endpoint.h>

namespace toucan {

/// Whether a target takes new flows.
enum class target_standing : std::uint8_t {
    unknown, ///< Nothing is known of it yet.
    ready, ///< Takes new flows.
    cold, ///< Started lately and bears little.
    draining, ///< Finishes its flows and takes no new ones.
    gone, ///< Said good-bye, or none runs.
};

/// Name of a standing in logs.
std::string_view toString(target_standing standing);

/// One report of a target's liveness.
struct target_liveness
{
    std::string id; ///< Identity of the target; may stay the same over a restart.
    std::string service;
    std::uint64_t startedMs = 0; ///< Start of this lifetime, Unix milliseconds.
    std::uint64_t sequence = 0; ///< Grows within a lifetime.
    std::uint64_t slots = 0; ///< Requests that it runs at once.
    bool draining = false;
    bool leaving = false; ///< The last report of the lifetime.
    std::chrono::milliseconds coldRemaining{0}; ///< How much longer it is cold.
};

/// What a report changed.
enum class liveness_outcome : std::uint8_t {
    applied, ///< The newest word of the current lifetime.
    new_lifetime, ///< A later lifetime began; flows of the earlier one are gone.
    late, ///< Older than what is known.
};

/// Name of an outcome in logs.
std::string_view toString(liveness_outcome outcome);

/// The newest word of the target beside a process. Not thread-safe.
class liveness_record
{
public:
    /// Takes a report in, unless it is late.
    liveness_outcome apply(instant now, const target_liveness &report);
    /// The newest report, or nullopt before the first.
    const std::optional<target_liveness> &latest() const { return m_latest; }
    /// Standing now. A target that has been silent for `silenceLimit` is unknown.
    target_standing standing(instant now, std::chrono::milliseconds silenceLimit) const;
    /// Number that tells lifetimes apart, 0 before the first report.
    std::uint64_t lifetime() const;
    /// When the newest report came.
    instant lastSeen() const { return m_lastSeen; }

private:
    std::optional<target_liveness> m_latest;
    instant m_lastSeen{};
    instant m_coldUntil{};
};

} // namespace toucan
