#pragma once

/// What is in force where: asks every process for its status.

#include <functional>
#include <toucan/platform_adapter.h>

namespace toucan {

/// One process as it answered, or did not.
struct node_status
{
    std::string name;
    std::string role; ///< entry or target.
    std::string domain;
    bool reachable = false;
    std::uint64_t version = 0; ///< In a fleet that relays segments, a packed store_point.
    std::string state;
    nlohmann::json detail = nlohmann::json::object(); ///< Everything it said.
};

/// All processes against one configuration.
struct fleet_status
{
    std::uint64_t version = 0; ///< Newest one known, like those of the nodes.
    std::vector<node_status> nodes;

    /// Processes that answered with an older version, or did not answer.
    std::vector<const node_status *> lagging(std::uint64_t expected) const;
};

/// Asks the processes that the configuration names; each has `timeout` to answer. Several are asked
/// at a time.
fleet_status readFleet(const config_snapshot &config, std::chrono::milliseconds timeout);

/// A target process as the entries that answered see it.
struct observed_target
{
    std::string name;
    std::string service;
    std::string domain;
    std::string state; ///< What most of them believe of its target; "lost" when none hears it.
    std::size_t seenByEntries = 0; ///< Entries that hear it.
};

/// A fleet that relays segments: its entries against the configuration, and its targets.
struct relay_fleet_status
{
    fleet_status entries;
    std::vector<observed_target> targets; ///< By service and name.
};

/// Asks the entries on the platform's list or, when the platform does not answer, those behind the
/// control links given; the newest configuration is then the newest that one of them has.
result<relay_fleet_status> readRelayFleet(platform_client &platform, const platform_kinds &kinds,
    std::span<const endpoint> peers, std::chrono::milliseconds timeout);

/// The configuration from the platform or, when it does not answer, from one of the control links.
result<config_ptr> readConfig(platform_client &platform, std::span<const endpoint> peers);

} // namespace toucan
