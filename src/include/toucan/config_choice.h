#pragma once

/// Which configuration is in force. Not thread-safe.

#include <toucan/relay_config.h>

namespace toucan {

/// What became of a configuration that was offered.
enum class config_offer : std::uint8_t {
    ignored, ///< It is older, or the same.
    deferred, ///< It is of a later era and older than the one in force, which stays.
    confirmed, ///< It is the one in force, written again.
    in_force,
};

/// Keeps the configuration in force and, after a return of the store from an older copy, the older
/// one that the store has until the operators have written again.
class config_choice
{
public:
    config_offer offer(const relay_config_ptr &config);
    /// An era of the store has settled. True when the store's older configuration is in force now.
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
