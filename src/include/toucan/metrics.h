#pragma once

/// Counters, gauges and distributions, written as Prometheus text.

// Boost's quantile header requires <sstream> before it.
#include <sstream>

#include <atomic>
#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/extended_p_square_quantile.hpp>
#include <boost/accumulators/statistics/max.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <boost/accumulators/statistics/sum.hpp>
#include <map>
#include <mutex>
#include <string>
#include <string_view>
#include <vector>

namespace toucan::metrics {

/// A counter or gauge. Thread-safe.
class number
{
public:
    void add(std::uint64_t amount = 1) { m_value.fetch_add(amount, std::memory_order_relaxed); }
    void set(std::uint64_t value) { m_value.store(value, std::memory_order_relaxed); }
    std::uint64_t value() const { return m_value.load(std::memory_order_relaxed); }

private:
    std::atomic<std::uint64_t> m_value{0};
};

/// A distribution with estimated quantiles. Thread-safe.
class distribution
{
public:
    distribution();
    void add(double value);
    /// Count, sum, maximum, and the 50%, 95% and 99% quantiles.
    struct summary
    {
        std::size_t count;
        double sum;
        double max;
        double p50;
        double p95;
        double p99;
    };
    /// All zero while no value was added.
    summary read() const;

private:
    using accumulator = boost::accumulators::accumulator_set<double,
        boost::accumulators::stats<boost::accumulators::tag::count, boost::accumulators::tag::sum,
            boost::accumulators::tag::max, boost::accumulators::tag::extended_p_square_quantile>>;
    mutable std::mutex m_mutex;
    accumulator m_accumulator;
};

/// All metrics of a process by name. Thread-safe. References stay valid while the registry exists.
class registry
{
public:
    /// The number called `name`, created on first use. Names of counters end in "_total".
    number &numberOf(const std::string &name);
    /// The number called `name` whose label has this value. Each value is a time series of its own,
    /// so there must be few.
    number &numberOf(const std::string &name, std::string_view label, std::string_view value);
    /// The distribution called `name`, created on first use.
    distribution &distributionOf(const std::string &name);
    /// All metrics in the Prometheus text format.
    std::string text() const;

private:
    mutable std::mutex m_mutex;
    std::map<std::string, number> m_numbers;
    std::map<std::string, distribution> m_distributions;
};

} // namespace toucan::metrics
