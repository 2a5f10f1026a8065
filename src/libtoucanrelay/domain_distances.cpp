#include <algorithm>
#include <span>
#include <toucan/domain_distances.h>

namespace toucan {
namespace {

// Round trips that are needed before the distance counts.
constexpr std::size_t minSamples = 8;
// Quantile of the round trips: one in this many is shorter.
constexpr std::size_t quantileDivisor = 8;

} // namespace

void domain_distances::record(std::string_view domain, instant roundTrip)
{
    auto found = m_domains.find(domain);
    if (found == m_domains.end())
        found = m_domains.emplace(std::string(domain), samples{}).first;
    auto &item = found->second;
    item.times[item.recorded++ % sampleCount] = roundTrip;
}

std::optional<double> domain_distances::roundTripMs(std::string_view domain) const
{
    const auto found = m_domains.find(domain);
    if (found == m_domains.end() || found->second.recorded < minSamples)
        return std::nullopt;
    auto times = found->second.times;
    const auto known = std::span(times).first(std::min(found->second.recorded, sampleCount));
    const auto low = known.begin() + static_cast<std::ptrdiff_t>(known.size() / quantileDivisor);
    std::ranges::nth_element(known, low);
    return std::chrono::duration<double, std::milli>(*low).count();
}

std::map<std::string, std::uint64_t> domain_distances::roundTrips() const
{
    constexpr double thousand = 1000;
    std::map<std::string, std::uint64_t> result;
    for (const auto &[domain, item] : m_domains) {
        if (const auto known = roundTripMs(domain))
            result[domain] = static_cast<std::uint64_t>(*known * thousand);
    }
    return result;
}

std::optional<double> domain_distances::extraMs(std::string_view domain) const
{
    const auto there = roundTripMs(domain);
    const auto here = roundTripMs(m_home);
    if (!there || !here)
        return std::nullopt;
    return std::max(*there - *here, 0.0);
}

} // namespace toucan
