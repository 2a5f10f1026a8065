#pragma once

/// Seeded faults on datagrams: drop, double, delay (and so reorder), and cuts.

#include <functional>
#include <map>
#include <nlohmann/json.hpp>
#include <queue>
#include <random>
#include <toucan/endpoint.h>

namespace toucan::lab {

/// Faults of a link, as fractions of its datagrams.
struct link_faults
{
    double drop = 0;
    double duplicate = 0;
    instant delay{0}; ///< For every datagram.
    instant jitter{0}; ///< Up to this much more, at random; reorders.
    instant duplicateDelay{0}; ///< Up to this much more for the second copy.
    bool cut = false; ///< Nothing passes.
};

/// Faults as JSON, and back; see faultsFromJson.
nlohmann::json toJson(const link_faults &faults);

/// Reads faults from JSON with members of the same names, times in milliseconds.
link_faults faultsFromJson(const nlohmann::json &value);

/// Holds datagrams back until their time and releases them in order of time.
class delay_line
{
public:
    explicit delay_line(std::uint64_t seed)
        : m_random(seed)
    { }

    /// Takes a datagram; `deliver` is called for each copy that survives, now or later.
    void offer(instant now, const link_faults &faults, std::function<void()> deliver);
    /// Delivers what is due.
    void run(instant now);
    /// True when nothing is held back.
    bool isEmpty() const { return m_held.empty(); }

private:
    struct held
    {
        instant due;
        std::uint64_t order;
        std::function<void()> deliver;
        bool operator>(const held &other) const
        {
            return std::tie(due, order) > std::tie(other.due, other.order);
        }
    };
    void hold(instant due, std::function<void()> deliver);

    std::mt19937_64 m_random;
    std::priority_queue<held, std::vector<held>, std::greater<>> m_held;
    std::uint64_t m_order = 0;
};

} // namespace toucan::lab
