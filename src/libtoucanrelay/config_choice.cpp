#include <toucan/config_choice.h>

namespace toucan {
namespace {

bool comesAfterRestore(const config_stamp &candidate, const config_stamp &inForce)
{
    return inForce.point.era != 0 && candidate.point.era > inForce.point.era;
}

} // namespace

config_offer config_choice::offer(instant now, const relay_config_ptr &config)
{
    const auto known = stampOf(m_inForce);
    const auto &stamp = config->stamp;
    if (!m_inForce || supersedes(stamp, known)) {
        const bool isSame = m_inForce && m_inForce->text == config->text && !config->text.empty();
        m_inForce = config;
        m_deferred.reset();
        return isSame ? config_offer::confirmed : config_offer::in_force;
    }
    if (!comesAfterRestore(stamp, known) || (m_deferred && stamp.point <= m_deferred->stamp.point))
        return config_offer::ignored;
    if (!m_deferred || m_deferred->stamp.point.era != stamp.point.era)
        m_deferredSince = now;
    m_deferred = config;
    return config_offer::deferred;
}

bool config_choice::onTick(instant now)
{
    if (!m_deferred || now - m_deferredSince < restoreSettleTime)
        return false;
    m_inForce = settledCopy(*m_deferred);
    m_deferred.reset();
    return true;
}

} // namespace toucan
