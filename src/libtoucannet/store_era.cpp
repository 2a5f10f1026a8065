#include <toucan/generated/events.h>
#include <toucan/store_era.h>
#include <toucan/udp_socket.h>

namespace toucan {

bool store_era::observe(std::optional<std::uint64_t> stated)
{
    auto known = m_current.load();
    if (!stated) {
        // Cannot be distinguished from an answer of the current era.
        if (known != 0 && !m_missingLogged.exchange(true))
            m_log.write(monotonicNow(), store_era_changed{.before = known, .outcome = "missing"});
        return true;
    }
    while (*stated > known) {
        if (m_current.compare_exchange_weak(known, *stated)) {
            reportIncrease(known, *stated);
            return true;
        }
    }
    return *stated == known;
}

// The first era that is stated does not count as an increase for the listeners.
void store_era::reportIncrease(std::uint64_t before, std::uint64_t now)
{
    m_metrics.numberOf("toucan_store_era").set(now);
    m_log.write(monotonicNow(),
        store_era_changed{
            .before = before, .after = now, .outcome = before == 0 ? "stated first" : "restored"});
    if (before == 0)
        return;
    m_metrics.numberOf("toucan_store_restores_total").add();
    const std::lock_guard lock(m_mutex);
    for (const auto &[number, onIncrease] : m_listeners)
        onIncrease();
}

store_era::listener::listener(store_era &era, std::function<void()> onIncrease)
    : m_era(era)
{
    const std::lock_guard lock(m_era.m_mutex);
    m_number = m_era.m_nextListener++;
    m_era.m_listeners.emplace(m_number, std::move(onIncrease));
}

store_era::listener::~listener()
{
    const std::lock_guard lock(m_era.m_mutex);
    m_era.m_listeners.erase(m_number);
}

} // namespace toucan
