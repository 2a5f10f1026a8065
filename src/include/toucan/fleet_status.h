#pragma once

/// Which configuration is in force on which process: queries every process for its status.

#include <functional>
#include <toucan/platform_adapter.h>

namespace toucan {

/// Status of one process, or that it did not answer.
struct node_status
{
    std::string name;
    std::string role; ///< entry or target.
    std::string domain;
    bool reachable = false;
    std::uint64_t version = 0; ///< In a fleet that relays segments, a packed store_point.
    std::string state;
    nlohmann::json detail = nlohmann::json::object(); ///< The whole answer.
};

/// All processes compared with one configuration.
struct fleet_status
{
    std::uint64_t version = 0; ///< Newest version known, in the form of node_status::version.
    std::vector<node_status> nodes;

    /// Processes that answered with an older version, or did not answer.
    std::vector<const node_status *> lagging(std::uint64_t expected) const;
};

/// Queries the processes that the configuration names, several in parallel; each has `timeout` to
/// answer.
fleet_status readFleet(const config_snapshot &config, std::chrono::milliseconds timeout);

/// A target process, from the states that the answering entries report.
struct observed_target
{
    std::string name;
    std::string service;
    std::string domain;
    std::string state; ///< The state that most of them report; "lost" when all report it lost.
    std::size_t seenByEntries = 0; ///< Entries that do not report it lost.
};

/// A fleet that relays segments: its entries compared with the configuration, and its targets.
struct relay_fleet_status
{
    fleet_status entries;
    std::vector<observed_target> targets; ///< By service and name.
};

/// Queries the entries on the platform's list or, when the platform does not answer, those at the
/// control links `peers`; the expected version is then the newest that one of them has.
result<relay_fleet_status> readRelayFleet(platform_client &platform, const platform_kinds &kinds,
    std::span<const endpoint> peers, std::chrono::milliseconds timeout);

/// The configuration from the platform or, when it does not answer, from one of the control links.
result<config_ptr> readConfig(platform_client &platform, std::span<const endpoint> peers);

} // namespace toucan
