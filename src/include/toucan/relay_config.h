#pragma once

/// The operators' configuration of services whose flows are relayed segment by segment.

#include <boost/intrusive_ptr.hpp>
#include <boost/smart_ptr/intrusive_ref_counter.hpp>
#include <chrono>
#include <string>
#include <toucan/endpoint.h>
#include <toucan/store_point.h>
#include <unordered_map>
#include <unordered_set>
#include <vector>

namespace toucan {

/// A service and its share of a route's new flows.
struct route_share
{
    std::string service;
    std::uint64_t weight = 1;
};

/// What the requests of a route are, as far as it matters to how they are carried.
enum class request_kind : std::uint8_t {
    unknown, ///< Not stated.
    idempotent, ///< Short requests that callers may repeat.
    non_idempotent, ///< Short requests that may run once at most.
    download, ///< Answers of many segments.
    upload, ///< Requests of many segments, which all pass through the entries.
};

/// Rule that assigns the new flows of one service address to services.
struct route_rule
{
    std::string name;
    endpoint address;
    std::vector<route_share> shares; ///< At least one.
    std::chrono::milliseconds objective{0}; ///< Time within which to answer callers; 0: not set.
    std::chrono::milliseconds timeLimit{0}; ///< Time after which callers give up; 0: not set.
    std::uint64_t priority = 0; ///< 0 is the most urgent.
    request_kind kind = request_kind::unknown;

    /// The service that a flow with this hash belongs to.
    const std::string &serviceFor(std::uint64_t flowHash) const;
};

/// Limits for each target of one service.
struct service_rule
{
    std::string name;
    std::uint64_t flows = 0; ///< Maximum concurrent flows of a target; 0: not set.
    double coldRate = 0; ///< Openings a second that a cold target sustains; 0: not set.
};

/// One version of the configuration. Never changes once built; shared between threads.
class relay_config : public boost::intrusive_ref_counter<relay_config>
{
public:
    config_stamp stamp; ///< Orders configurations.
    std::string text; ///< Original text, for transfer to peers.
    std::vector<route_rule> routes;
    std::vector<service_rule> services;
    std::chrono::milliseconds idleTimeout{0}; ///< Idle flows may be dropped after it; 0: not set.
    std::vector<std::string> faults; ///< Parts that could not be read, and why.
    std::unordered_map<endpoint, std::size_t> routeIndex; ///< Position in routes by address.

    /// The route at an address, or nullptr.
    const route_rule *routeAt(const endpoint &address) const;
    /// Limits of a service, or nullptr.
    const service_rule *serviceNamed(std::string_view name) const;
};

using relay_config_ptr = boost::intrusive_ptr<const relay_config>;

/// The stamp of a configuration; without one, a stamp that is older than all others.
config_stamp stampOf(const relay_config_ptr &config);

/// Failure domains that are out of service, as read at one point of the store's history.
struct domains_out
{
    store_point point;
    std::vector<std::string> names; ///< Sorted.

    bool contains(std::string_view domain) const;
    bool operator==(const domains_out &) const = default;
};

} // namespace toucan
