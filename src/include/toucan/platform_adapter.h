#pragma once

/// Interface of a platform's adapter: translation only, no decisions and no state.

#include <toucan/control_link.h>
#include <toucan/platform_client.h>
#include <toucan/relay_config.h>
#include <toucan/segment.h>
#include <toucan/target_liveness.h>
#include <variant>

namespace toucan {

/// A query by the platform whether the process takes traffic.
struct readiness_probe
{
};

/// A request that the process does not support.
struct unknown_request
{
};

/// A liveness report that cannot be read, and the reason.
struct malformed_report
{
    std::string reason;
};

/// A request to the process by the platform or by a target.
using incoming_request
    = std::variant<unknown_request, readiness_probe, target_liveness, malformed_report>;

/// The platform's names of object kinds and objects.
struct platform_kinds
{
    std::string_view config; ///< Kind that holds the configuration.
    std::string_view configName; ///< Name of the object that holds it.
    std::string_view domainsOut; ///< Kind with an object for each failure domain out of service.
    std::string_view entries; ///< Kind used by this system only, with an object for each entry.
};

/// The adapter of one platform. Thread-safe.
struct platform_adapter
{
    /// Environment variable with the settings file's name, used when the command line has none.
    std::string_view settingsVariable;
    const segment_codec &segments;
    const platform_dialect &objects;
    platform_kinds kinds;
    /// Reads a configuration; invalid_record when the text as a whole is not one. Malformed parts
    /// are skipped and named in its `faults`.
    result<relay_config_ptr> (*readConfig)(const store_point &point, const std::string &text);
    /// Decodes a request by the platform or by a target.
    incoming_request (*readRequest)(const http_request &request);
};

} // namespace toucan
