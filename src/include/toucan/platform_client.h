#pragma once

/// Client of the platform's object service: HTTP with JSON bodies, versions as entity tags, and
/// conditional requests (RFC 9110). Every call has a time limit. Not thread-safe.

#include <chrono>
#include <optional>
#include <toucan/config.h>

namespace toucan {

/// All objects, or those that changed, at one version.
struct object_list
{
    std::uint64_t version = 0;
    std::vector<stored_object> objects; ///< A deleted one has a null body.
};

/// One connection to the platform.
class platform_client
{
public:
    platform_client(const endpoint &address, std::chrono::milliseconds timeout);

    /// Every object.
    result<object_list> list();
    /// One object; not_found when there is none.
    result<stored_object> get(std::string_view kind, std::string_view name);
    /// Creates or replaces. `expected` is the version that must be current, 0 for "must not exist".
    /// conflict when it is not; write_uncertain when the answer was lost. Returns the new version.
    result<std::uint64_t> put(std::string_view kind, std::string_view name,
        const nlohmann::json &body, std::uint64_t expected);
    /// Deletes on the same terms.
    result<std::uint64_t> remove(
        std::string_view kind, std::string_view name, std::uint64_t expected);
    /// Waits up to `wait` for changes after `version`. Not_found when the platform no longer has
    /// the changes since then: list again.
    result<object_list> changesAfter(std::uint64_t version, std::chrono::milliseconds wait);

private:
    struct response
    {
        int status = 0;
        std::string body;
    };
    result<response> call(const std::string &method, const std::string &path,
        const std::string &body, std::optional<std::uint64_t> expected,
        std::chrono::milliseconds timeout);
    result<std::uint64_t> write(const std::string &method, std::string_view kind,
        std::string_view name, const std::string &body, std::uint64_t expected);

    endpoint m_address;
    std::chrono::milliseconds m_timeout;
};

} // namespace toucan
