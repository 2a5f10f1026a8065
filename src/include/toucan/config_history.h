#pragma once

/// The configuration in force together with what changed lately, so that a peer that is behind is
/// sent the changes and not everything.

#include <deque>
#include <toucan/config.h>

namespace toucan {

/// Changes from one version to a later one, or everything.
struct config_update
{
    std::uint64_t version = 0; ///< Version after the update.
    std::uint64_t since = 0; ///< Version that it builds on; 0 when it has everything.
    std::vector<stored_object>
        objects; ///< In their state at `version`; deleted ones have a null body.
};

/// An update as JSON, for transfer between processes, and back; bad_request when malformed.
nlohmann::json updateToJson(const config_update &update);
result<config_update> updateFromJson(const nlohmann::json &value);

/// Keeps the newest configuration. Not thread-safe.
class config_history
{
public:
    /// Takes an update in. False when it is not newer, or builds on a version not reached yet.
    bool apply(const config_update &update);
    /// What a peer at version `have` lacks. Has everything when the deletions since then are not
    /// known here.
    config_update updateSince(std::uint64_t have) const;
    /// The configuration in force, or null.
    const config_ptr &current() const { return m_current; }
    /// Its version, or 0.
    std::uint64_t version() const { return m_current ? m_current->version : 0; }

private:
    void noteDeletion(const stored_object &object, std::uint64_t version);

    config_ptr m_current;
    std::uint64_t m_knownSince = 0; ///< Deletions after this version are in m_deletions.
    std::deque<stored_object> m_deletions; ///< Oldest first.
};

} // namespace toucan
