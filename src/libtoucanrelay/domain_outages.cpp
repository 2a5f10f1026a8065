#include <algorithm>
#include <toucan/domain_outages.h>
#include <utility>

namespace toucan {

bool domain_outages::apply(const domains_out &listed)
{
    const auto known = m_listed.point;
    if (!isLater(listed.point, known))
        return false;
    const bool isNewEra = known.era != 0 && listed.point.era > known.era;
    if (isNewEra && listed.point.era > m_settledEra)
        m_held.insert(m_inForce.names.begin(), m_inForce.names.end());
    for (const auto &name : listed.names)
        m_held.erase(name);
    m_listed = listed;
    return rebuild();
}

bool domain_outages::settle(std::uint64_t era)
{
    if (era <= m_settledEra)
        return false;
    m_settledEra = era;
    if (m_listed.point.era <= era)
        m_held.clear();
    return rebuild();
}

bool domain_outages::rebuild()
{
    auto names = m_listed.names;
    names.insert(names.end(), m_held.begin(), m_held.end());
    std::ranges::sort(names);
    m_inForce.point = m_listed.point;
    return std::exchange(m_inForce.names, names) != names;
}

} // namespace toucan
