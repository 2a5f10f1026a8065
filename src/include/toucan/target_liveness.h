#pragma once

/// Liveness reports of a target, and the order of its lifetimes and reports.

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <toucan/endpoint.h>

namespace toucan {

/// Whether a target takes new flows.
enum class target_standing : std::uint8_t {
    unknown, ///< No report yet, or none within the silence limit.
    ready, ///< Takes new flows.
    cold, ///< Started recently and sustains only a low rate of openings.
    draining, ///< Completes its flows and takes no new ones.
    gone, ///< Reported its end, or is not running.
};

/// Name of a standing in logs.
std::string_view toString(target_standing standing);

/// One report of a target's liveness.
struct target_liveness
{
    std::string id; ///< Identity of the target; may stay the same over a restart.
    std::string service;
    endpoint address; ///< Where it receives packets; zero in the last report.
    std::uint64_t startedMs = 0; ///< Start of this lifetime, Unix milliseconds.
    std::uint64_t sequence = 0; ///< Increases within a lifetime.
    std::uint64_t slots = 0; ///< Requests that it serves concurrently.
    bool draining = false;
    bool leaving = false; ///< The last report of the lifetime.
    std::chrono::milliseconds coldRemaining{0}; ///< Time until it is no longer cold.
};

/// Returns why a report is not one of the target of `service` at `address`, as far as these are
/// known; empty when it may be. Another writer on the VM may report as well.
std::string foreignReason(
    const target_liveness &report, std::string_view service, const endpoint &address);

/// Effect of a report.
enum class liveness_outcome : std::uint8_t {
    applied, ///< Newest report of the current lifetime.
    new_lifetime, ///< A later lifetime began; flows of the earlier one are gone.
    late, ///< Older than the newest report; ignored.
};

/// Name of an outcome in logs.
std::string_view toString(liveness_outcome outcome);

/// Newest report of the target beside a process. Not thread-safe.
class liveness_record
{
public:
    /// Stores a report, unless it is late.
    liveness_outcome apply(instant now, const target_liveness &report);
    /// Takes the newest report that an earlier start of the process stored. The standing is
    /// unknown, or draining, until the target reports again.
    void restore(instant now, const target_liveness &report);
    /// The newest report, or nullopt before the first.
    const std::optional<target_liveness> &latest() const { return m_latest; }
    /// Current standing; unknown when the newest report is older than `silenceLimit`.
    target_standing standing(instant now, std::chrono::milliseconds silenceLimit) const;
    /// Identifier of the current lifetime; 0 before the first report.
    std::uint64_t lifetime() const;
    /// Time of the newest report.
    instant lastSeen() const { return m_lastSeen; }

private:
    std::optional<target_liveness> m_latest;
    instant m_lastSeen{};
    instant m_coldUntil{};
    bool m_restored = false; ///< The newest report is of an earlier start of the process.
};

} // namespace toucan
