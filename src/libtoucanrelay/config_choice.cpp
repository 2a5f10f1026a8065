#include <toucan/config_choice.h>
#include <utility>

namespace toucan {

bool config_choice::wouldTake(const config_stamp &stamp) const
{
    return !m_inForce || m_order.supersedes(stamp, m_inForce->stamp);
}

config_offer config_choice::offer(const relay_config_ptr &config)
{
    const auto known = stampOf(m_inForce);
    const auto &stamp = config->stamp;
    if (wouldTake(stamp)) {
        const auto before = std::exchange(m_inForce, config);
        if (m_deferred && stamp.point.era >= m_deferred->stamp.point.era)
            m_deferred.reset();
        // A process that started with the copy's configuration gets the one that others had before.
        if (before && known.point.era > stamp.point.era)
            defer(before);
        const bool isSame = before && before->text == config->text && !config->text.empty();
        return isSame ? config_offer::confirmed : config_offer::in_force;
    }
    if (known.point.era == 0 || stamp.point.era <= known.point.era)
        return config_offer::ignored;
    if (m_deferred && stamp.point <= m_deferred->stamp.point)
        return config_offer::ignored;
    defer(config);
    return config_offer::deferred;
}

void config_choice::defer(const relay_config_ptr &config)
{
    if (!m_deferred || config->stamp.point > m_deferred->stamp.point)
        m_deferred = config;
}

bool config_choice::settle(std::uint64_t era)
{
    if (!m_order.settle(era) || !m_deferred || !wouldTake(m_deferred->stamp))
        return false;
    m_inForce = std::exchange(m_deferred, nullptr);
    return true;
}

} // namespace toucan
