#pragma once

/// Which configuration is in force. Not thread-safe.

#include <toucan/relay_config.h>

namespace toucan {

/// What became of a configuration that was offered.
enum class config_offer : std::uint8_t {
    ignored, ///< It is older, or the same.
    deferred, ///< The store came back with it; it is older than the one in force, which stays.
    confirmed, ///< It is the one in force, written again.
    in_force,
};

/// Keeps the configuration in force and, after a return of the store from an older copy, the older
/// one that the store has until the operators have written again.
class config_choice
{
public:
    config_offer offer(instant now, const relay_config_ptr &config);
    /// Time passed. True when the store has kept to its older configuration for so long that the
    /// operators must want it: it is in force now.
    bool onTick(instant now);

    const relay_config_ptr &inForce() const { return m_inForce; }
    /// The store's older configuration, or null.
    const relay_config_ptr &deferred() const { return m_deferred; }

private:
    relay_config_ptr m_inForce;
    relay_config_ptr m_deferred;
    instant m_deferredSince{}; ///< When the era of the deferred one was seen first.
};

} // namespace toucan
