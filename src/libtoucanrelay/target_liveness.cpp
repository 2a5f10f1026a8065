#include <algorithm>
#include <array>
#include <toucan/ranking.h>
#include <toucan/target_liveness.h>

namespace toucan {

std::string_view toString(target_standing standing)
{
    constexpr std::array<std::string_view, 5> names{"unknown", "ready", "cold", "draining", "gone"};
    return names[static_cast<std::size_t>(standing)];
}

std::string foreignReason(
    const target_liveness &report, std::string_view service, const endpoint &address)
{
    // The last report of a lifetime carries its identity only.
    if (report.leaving)
        return {};
    if (!service.empty() && report.service != service)
        return "the target's service is not " + report.service;
    if (address && report.address != address)
        return "the target's address is not " + toString(report.address);
    return {};
}

std::string_view toString(liveness_outcome outcome)
{
    constexpr std::array<std::string_view, 3> names{"applied", "new lifetime", "late"};
    return names[static_cast<std::size_t>(outcome)];
}

liveness_outcome liveness_record::apply(instant now, const target_liveness &report)
{
    if (report.leaving) {
        // The last report carries no start time, so it applies to the lifetime with that identity.
        if (!m_latest || m_latest->id != report.id)
            return liveness_outcome::late;
        m_latest->leaving = true;
        m_lastSeen = now;
        return liveness_outcome::applied;
    }
    const bool same
        = m_latest && m_latest->id == report.id && m_latest->startedMs == report.startedMs;
    if (m_latest
        && (same ? report.sequence <= m_latest->sequence : report.startedMs < m_latest->startedMs))
        return liveness_outcome::late;
    const auto outcome
        = same || !m_latest ? liveness_outcome::applied : liveness_outcome::new_lifetime;
    m_latest = report;
    m_lastSeen = now;
    m_coldUntil = now + report.coldRemaining;
    m_restored = false;
    return outcome;
}

void liveness_record::restore(instant now, const target_liveness &report)
{
    m_latest = report;
    m_lastSeen = now;
    m_restored = true;
}

target_standing liveness_record::standing(instant now, std::chrono::milliseconds silenceLimit) const
{
    if (!m_latest)
        return target_standing::unknown;
    if (m_latest->leaving)
        return target_standing::gone;
    if (m_latest->draining)
        return target_standing::draining;
    if (m_restored || now - m_lastSeen > silenceLimit)
        return target_standing::unknown;
    return now < m_coldUntil ? target_standing::cold : target_standing::ready;
}

std::uint64_t liveness_record::lifetime() const
{
    if (!m_latest)
        return 0;
    const auto hash = hashText(m_latest->id + '@' + std::to_string(m_latest->startedMs));
    return std::max<std::uint64_t>(hash, 1);
}

} // namespace toucan
