#pragma once

/// What a platform's adapter brings to the programs: translation only, no decisions and no state.

#include <toucan/control_link.h>
#include <toucan/platform_client.h>
#include <toucan/relay_config.h>
#include <toucan/segment.h>
#include <toucan/target_liveness.h>
#include <variant>

namespace toucan {

/// The platform asks whether the process takes traffic.
struct readiness_probe
{
};

/// A request that the process does not know.
struct unknown_request
{
};

/// A liveness report that cannot be used, and why.
struct malformed_report
{
    std::string reason;
};

/// A request to the process by the platform or by a target.
using incoming_request
    = std::variant<unknown_request, readiness_probe, target_liveness, malformed_report>;

/// Kinds and names of the platform's objects, in the platform's words.
struct platform_kinds
{
    std::string_view config; ///< Kind that holds the configuration.
    std::string_view configName; ///< Name of the object that holds it.
    std::string_view domainsOut; ///< Kind with an object for each failure domain out of service.
    std::string_view entries; ///< Kind of the system's own, with an object for each entry.
};

/// The adapter of one platform. All members are usable by any thread.
struct platform_adapter
{
    /// Environment variable that names the settings file when the command line does not.
    std::string_view settingsVariable;
    const segment_codec &segments;
    const platform_dialect &objects;
    platform_kinds kinds;
    /// Reads a configuration; invalid_record when it is none at all. Parts that cannot be read are
    /// left out and named in its `faults`.
    result<relay_config_ptr> (*readConfig)(const store_point &point, const std::string &text);
    /// Tells what a request of the platform or of a target asks for.
    incoming_request (*readRequest)(const http_request &request);
};

} // namespace toucan
