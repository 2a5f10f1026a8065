#pragma once

/// What is in force where: asks every process for its status.

#include <functional>
#include <toucan/platform_client.h>

namespace toucan {

/// One process as it answered, or did not.
struct node_status
{
    std::string name;
    std::string role; ///< entry or target.
    std::string domain;
    bool reachable = false;
    std::uint64_t version = 0;
    std::string state;
    nlohmann::json detail; ///< Everything it said.
};

/// All processes against one configuration.
struct fleet_status
{
    std::uint64_t version = 0; ///< Newest version known.
    std::vector<node_status> nodes;

    /// Processes that answered with an older version, or did not answer.
    std::vector<const node_status *> lagging(std::uint64_t wanted) const;
};

/// Asks the processes that the configuration names; each has `timeout` to answer. Several are asked
/// at a time.
fleet_status readFleet(const config_snapshot &config, std::chrono::milliseconds timeout);

/// The configuration from the platform or, when it does not answer, from one of the control links.
result<config_ptr> readConfig(platform_client &platform, std::span<const endpoint> peers);

} // namespace toucan
