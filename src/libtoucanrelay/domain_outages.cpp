#include <algorithm>
#include <toucan/domain_outages.h>
#include <utility>

namespace toucan {

bool domain_outages::apply(instant now, const domains_out &listed)
{
    const auto &known = m_listed.point;
    if (listed.point == known && listed.settled) {
        m_listed.settled = true;
        m_held.clear();
        return rebuild();
    }
    if (!isLater(listed.point, known))
        return false;
    const bool isNewEra = listed.point.era > known.era;
    if (isNewEra)
        m_eraSince = now;
    if (isNewEra && known.era != 0 && !listed.settled)
        holdMissing(now, listed);
    for (const auto &name : listed.names)
        m_held.erase(name);
    if (listed.settled)
        m_held.clear();
    m_listed = listed;
    return rebuild();
}

void domain_outages::holdMissing(instant now, const domains_out &listed)
{
    for (const auto &name : m_inForce.names) {
        if (!listed.contains(name))
            m_held[name] = now + restoreSettleTime;
    }
}

bool domain_outages::onTick(instant now)
{
    if (m_held.empty())
        return false;
    std::erase_if(m_held, [&](const auto &item) { return now >= item.second; });
    return rebuild();
}

domains_out domain_outages::listed(instant now) const
{
    auto list = m_listed;
    list.settled = list.settled || now - m_eraSince >= restoreSettleTime;
    return list;
}

std::vector<std::string> domain_outages::held() const
{
    std::vector<std::string> names;
    for (const auto &[name, until] : m_held)
        names.push_back(name);
    return names;
}

bool domain_outages::rebuild()
{
    auto names = m_listed.names;
    const auto missing = held();
    names.insert(names.end(), missing.begin(), missing.end());
    std::ranges::sort(names);
    m_inForce.point = m_listed.point;
    return std::exchange(m_inForce.names, names) != names;
}

} // namespace toucan
