#pragma once

/// The failure domains out of service. Not thread-safe.

#include <set>
#include <string>
#include <toucan/relay_config.h>

namespace toucan {

/// The store's newest list of failure domains out of service. After the store is restored from an
/// older copy, domains that the copy lacks stay out until the store lists them again or its era has
/// settled: use of a domain that operators took out is a fault, late use of one that is back in
/// service is not.
class domain_outages
{
public:
    /// Applies a list from the store or another process; older ones are ignored. True when the
    /// domains out of service changed.
    bool apply(const domains_out &listed);
    /// Records that an era of the store has settled. True when the domains out of service changed.
    bool settle(std::uint64_t era);

    /// Domains that get no openings.
    const domains_out &inForce() const { return m_inForce; }
    /// The store's list, for other processes.
    const domains_out &listed() const { return m_listed; }
    /// Domains that stay out although the store's list lacks them.
    const std::set<std::string> &held() const { return m_held; }

private:
    bool rebuild();

    domains_out m_listed;
    domains_out m_inForce;
    std::set<std::string> m_held;
    std::uint64_t m_settledEra = 0;
};

} // namespace toucan
