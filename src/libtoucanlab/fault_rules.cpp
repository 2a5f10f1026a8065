#include <toucan/lab/fault_rules.h>

namespace toucan::lab {

link_faults faultsFromJson(const nlohmann::json &value)
{
    const auto time = [&](const char *name) {
        return std::chrono::duration_cast<instant>(
            std::chrono::duration<double, std::milli>(value.value(name, 0.0)));
    };
    return {.drop = value.value("drop", 0.0),
        .duplicate = value.value("duplicate", 0.0),
        .delay = time("delay"),
        .jitter = time("jitter"),
        .duplicateDelay = time("duplicateDelay"),
        .cut = value.value("cut", false)};
}

nlohmann::json toJson(const link_faults &faults)
{
    const auto time
        = [](instant value) { return std::chrono::duration<double, std::milli>(value).count(); };
    return {{"drop", faults.drop}, {"duplicate", faults.duplicate}, {"delay", time(faults.delay)},
        {"jitter", time(faults.jitter)}, {"duplicateDelay", time(faults.duplicateDelay)},
        {"cut", faults.cut}};
}

void delay_line::hold(instant due, std::function<void()> deliver)
{
    m_held.push({due, ++m_order, std::move(deliver)});
}

void delay_line::offer(instant now, const link_faults &faults, std::function<void()> deliver)
{
    std::uniform_real_distribution<double> chance(0, 1);
    if (faults.cut || (faults.drop > 0 && chance(m_random) < faults.drop))
        return;
    const auto upTo = [&](instant most) {
        return instant(
            static_cast<std::int64_t>(chance(m_random) * static_cast<double>(most.count())));
    };
    if (faults.duplicate > 0 && chance(m_random) < faults.duplicate)
        hold(now + faults.delay + upTo(faults.duplicateDelay), deliver);
    if (faults.delay.count() == 0 && faults.jitter.count() == 0)
        deliver();
    else
        hold(now + faults.delay + upTo(faults.jitter), std::move(deliver));
}

void delay_line::run(instant now)
{
    while (!m_held.empty() && m_held.top().due <= now) {
        const auto deliver = m_held.top().deliver;
        m_held.pop();
        deliver();
    }
}

} // namespace toucan::lab
