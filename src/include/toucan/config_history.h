#pragma once

/// The configuration in force together with recent deletions, so that a peer with an older version
/// is sent the changes instead of all objects.

#include <deque>
#include <toucan/config.h>

namespace toucan {

/// Changes from one version to a later one, or all objects.
struct config_update
{
    std::uint64_t version = 0; ///< Version after the update.
    std::uint64_t since = 0; ///< Version that it builds on; 0 when it holds all objects.
    std::vector<stored_object> objects; ///< State at `version`; deleted objects have a null body.
};

/// Converts an update to and from JSON, for transfer between processes. updateFromJson() returns
/// bad_request when the value is malformed.
nlohmann::json updateToJson(const config_update &update);
result<config_update> updateFromJson(const nlohmann::json &value);

/// Keeps the newest configuration. Not thread-safe.
class config_history
{
public:
    /// Applies an update. Returns false when it is not newer or builds on a version not reached
    /// yet.
    bool apply(const config_update &update);
    /// Returns the changes after version `have`, or all objects when the deletions since then
    /// are not recorded here any more.
    config_update updateSince(std::uint64_t have) const;
    /// The configuration in force, or null.
    const config_ptr &current() const { return m_current; }
    /// Version in force, or 0.
    std::uint64_t version() const { return m_current ? m_current->version : 0; }

private:
    void recordDeletion(const stored_object &object, std::uint64_t version);

    config_ptr m_current;
    /// Oldest version that a partial update can start from: all later deletions are in m_deletions.
    std::uint64_t m_oldestBaseVersion = 0;
    std::deque<stored_object> m_deletions; ///< Oldest first.
};

} // namespace toucan
