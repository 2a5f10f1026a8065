#pragma once

/// Which failure domains are out of service. Not thread-safe.

#include <set>
#include <string>
#include <toucan/relay_config.h>

namespace toucan {

/// The store's newest list of failure domains out of service. After a return of the store from an
/// older copy, those that it lacks stay out until it lists them again or its era has settled: a
/// domain that is used too early breaks the operators' promise, one that is used late does not.
class domain_outages
{
public:
    /// Takes a list in, from the store or another process. True when other domains are out now.
    bool apply(const domains_out &listed);
    /// An era of the store has settled. True when other domains are out now.
    bool settle(std::uint64_t era);

    /// Those that get no openings.
    const domains_out &inForce() const { return m_inForce; }
    /// The store's list, for other processes.
    const domains_out &listed() const { return m_listed; }
    /// Those that are out although the store does not list them.
    const std::set<std::string> &held() const { return m_held; }

private:
    bool rebuild();

    domains_out m_listed;
    domains_out m_inForce;
    std::set<std::string> m_held;
    std::uint64_t m_settledEra = 0;
};

} // namespace toucan
