#pragma once

/// Which failure domains are out of service. Not thread-safe.

#include <map>
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
    bool apply(instant now, const domains_out &listed);
    /// Time passed. True when other domains are out now.
    bool onTick(instant now);

    /// Those that get no openings.
    const domains_out &inForce() const { return m_inForce; }
    /// The store's list, for other processes.
    domains_out listed(instant now) const;
    /// Those that are out although the store does not list them.
    std::vector<std::string> held() const;

private:
    void holdMissing(instant now, const domains_out &listed);
    bool rebuild();

    domains_out m_listed;
    domains_out m_inForce;
    instant m_eraSince{}; ///< When the era of the list was seen first.
    std::map<std::string, instant> m_held; ///< Until when.
};

} // namespace toucan
