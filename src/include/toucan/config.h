#pragma once

/// The configuration in force: an immutable snapshot of the platform's objects, indexed for
/// routing decisions. Snapshots are reference-counted and shared between threads.

#include <boost/intrusive_ptr.hpp>
#include <boost/smart_ptr/intrusive_ref_counter.hpp>
#include <nlohmann/json.hpp>
#include <span>
#include <string>
#include <toucan/error.h>
#include <toucan/generated/records.h>
#include <unordered_map>
#include <vector>

namespace toucan {

/// Kinds of objects in the platform.
namespace object_kind {
inline constexpr std::string_view service = "service";
inline constexpr std::string_view domain = "domain";
inline constexpr std::string_view standing = "standing";
inline constexpr std::string_view stop = "stop";
inline constexpr std::string_view member = "member";
inline constexpr std::string_view entry = "entry";
} // namespace object_kind

/// An object as stored in the platform.
struct stored_object
{
    std::string kind;
    std::string name;
    std::uint64_t version = 0; ///< Platform version of its last change.
    nlohmann::json body;
};

/// One target process of a service, with the operators' settings for it.
struct member
{
    std::string name;
    std::uint64_t nameHash = 0; ///< Input to rendezvous hashing.
    std::string domain;
    endpoint data;
    endpoint control;
    std::uint64_t boot = 0;
    bool firstBoot = false;
    bool out = false; ///< Its failure domain is out of service.
    bool stopping = false; ///< A planned stop is in force.
    bool standby = false; ///< Takes no new flows.
    std::uint64_t slots = 0; ///< Maximum number of concurrent requests when warm.

    /// True when it may be the home of flows and a holder of claims.
    bool isListed() const { return !out && !stopping; }
    /// True when it may own new flows.
    bool takesFlows() const { return isListed() && !standby; }
};

/// A service with its members, sorted by name.
struct service_view
{
    std::string name;
    service_record record;
    std::vector<member> members;
    std::uint64_t listHash = 0; ///< Identifies the set of members that hold claims.

    /// Member by name, or nullptr.
    const member *find(std::string_view memberName) const;
};

/// An entry process.
struct entry_view
{
    std::string name;
    std::uint64_t nameHash = 0;
    std::string domain;
    endpoint data;
    endpoint control;
};

/// The whole configuration at one version. Immutable once built.
class config_snapshot : public boost::intrusive_ref_counter<config_snapshot>
{
public:
    std::uint64_t version = 0;
    std::vector<stored_object> objects; ///< All objects, as stored in the platform.
    std::vector<service_view> services; ///< Sorted by name.
    std::vector<entry_view> entries; ///< Sorted by name.
    std::vector<std::string> faults; ///< Objects that were left out, with the reason.

    /// Service by its address, or nullptr.
    const service_view *serviceAt(const endpoint &address) const;
    /// Service by name, or nullptr.
    const service_view *serviceNamed(std::string_view name) const;
    /// True when the failure domain is out of service.
    bool isOut(std::string_view domain) const;

    std::unordered_map<endpoint, std::size_t> serviceIndex; ///< Into services.
    std::vector<std::string> domainsOut; ///< Sorted.
};

using config_ptr = boost::intrusive_ptr<const config_snapshot>;

/// Builds a snapshot. Invalid objects are left out and listed in `faults`.
config_ptr buildConfig(std::uint64_t version, std::vector<stored_object> objects);

} // namespace toucan
