#include <array>
#include <boost/accumulators/statistics/extended_p_square.hpp>
#include <fmt/format.h>
#include <toucan/metrics.h>

namespace toucan::metrics {
namespace {

namespace acc = boost::accumulators;

constexpr std::array quantiles{0.5, 0.95, 0.99};

} // namespace

distribution::distribution()
    : m_accumulator(acc::extended_p_square_probabilities = quantiles)
{ }

void distribution::add(double value)
{
    const std::lock_guard lock(m_mutex);
    m_accumulator(value);
}

distribution::summary distribution::read() const
{
    const std::lock_guard lock(m_mutex);
    const auto count = acc::count(m_accumulator);
    if (count == 0)
        return {};
    const auto at
        = [&](double p) { return acc::quantile(m_accumulator, acc::quantile_probability = p); };
    return {.count = count,
        .sum = acc::sum(m_accumulator),
        .max = acc::max(m_accumulator),
        .p50 = at(quantiles[0]),
        .p95 = at(quantiles[1]),
        .p99 = at(quantiles[2])};
}

number &registry::numberOf(const std::string &name)
{
    const std::lock_guard lock(m_mutex);
    return m_numbers[name];
}

number &registry::numberOf(const std::string &name, std::string_view label, std::string_view value)
{
    return numberOf(fmt::format("{}{{{}=\"{}\"}}", name, label, value));
}

distribution &registry::distributionOf(const std::string &name)
{
    const std::lock_guard lock(m_mutex);
    return m_distributions[name];
}

std::string registry::text() const
{
    const std::lock_guard lock(m_mutex);
    std::string out;
    std::string lastBase;
    for (const auto &[name, value] : m_numbers) {
        const auto base = name.substr(0, name.find('{'));
        const auto *kind = base.ends_with("_total") ? "counter" : "gauge";
        if (base != lastBase)
            out += fmt::format("# TYPE {} {}\n", base, kind);
        lastBase = base;
        out += fmt::format("{} {}\n", name, value.value());
    }
    for (const auto &[name, value] : m_distributions) {
        const auto summary = value.read();
        out += fmt::format(
            "# TYPE {0} summary\n{0}{{quantile=\"0.5\"}} {1}\n{0}{{quantile=\"0.95\"}} {2}\n"
            "{0}{{quantile=\"0.99\"}} {3}\n{0}_sum {4}\n{0}_count {5}\n",
            name, summary.p50, summary.p95, summary.p99, summary.sum, summary.count);
    }
    return out;
}

} // namespace toucan::metrics
