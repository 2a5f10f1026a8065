#pragma once

/// Selects the configuration in force. Not thread-safe.

#include <toucan/relay_config.h>

namespace toucan {

/// Result of offering a configuration.
enum class config_offer : std::uint8_t {
    ignored, ///< It is older, or the same.
    deferred, ///< It is of a later era but an older version than the one in force, which stays.
    confirmed, ///< It has the text of the one in force, and replaces it.
    in_force, ///< It is in force now.
};

/// Keeps the configuration in force and, after the store is restored from an older copy, the older
/// one that the store has, until the operators write again or the era settles.
class config_choice
{
public:
    /// Takes a configuration that was read or received, and decides whether it is in force.
    config_offer offer(const relay_config_ptr &config);
    /// Records that an era of the store has settled. True when this puts the store's older
    /// configuration in force.
    bool settle(std::uint64_t era);

    /// True when a configuration with this stamp would be in force.
    bool wouldTake(const config_stamp &stamp) const;
    const config_order &order() const { return m_order; }
    const relay_config_ptr &inForce() const { return m_inForce; }
    /// The store's older configuration, or null.
    const relay_config_ptr &deferred() const { return m_deferred; }

private:
    void defer(const relay_config_ptr &config);

    config_order m_order;
    relay_config_ptr m_inForce;
    relay_config_ptr m_deferred;
};

} // namespace toucan
