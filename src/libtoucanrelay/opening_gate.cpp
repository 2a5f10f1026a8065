#include <algorithm>
#include <array>
#include <cmath>
#include <toucan/opening_gate.h>

namespace toucan {

namespace {

using namespace std::chrono_literals;

// Time in which a failure loses two thirds of its weight. Targets fail for some seconds, and
// callers wait about as long.
constexpr std::chrono::milliseconds failureDecayTime = 2s;
// Successful requests assumed in advance, so that a few failures have a small effect.
constexpr double priorRequests = 2;
// Penalty of a target that fails all requests, thousandths of a slot; above the load of any queue.
constexpr double maxFailurePenalty = 4000;

} // namespace

std::string_view toString(opening_verdict verdict)
{
    constexpr std::array<std::string_view, openingVerdictCount> names{"accepted",
        "standing unknown", "draining", "domain out", "wrong service", "route stale", "cold",
        "full", "busy", "waits", "overloaded", "target silent"};
    return names[static_cast<std::size_t>(verdict)];
}

opening_verdict evaluateOpening(const opening_conditions &conditions)
{
    const auto &now = conditions;
    if (!now.serviceMatches)
        return opening_verdict::wrong_service;
    if (now.standing == target_standing::unknown)
        return opening_verdict::standing_unknown;
    if (now.standing == target_standing::draining || now.standing == target_standing::gone)
        return opening_verdict::draining;
    if (now.isDomainOut)
        return opening_verdict::domain_out;
    if (now.isRouteStale)
        return opening_verdict::route_stale;
    if (now.standing == target_standing::cold && !now.hasColdAllowance)
        return opening_verdict::cold;
    if (now.maxFlows != 0 && now.flows >= now.maxFlows)
        return opening_verdict::full;
    if (now.isTargetSilent)
        return opening_verdict::silent;
    if (now.hasAlternative && now.slots != 0 && now.waitingRequests >= now.slots)
        return opening_verdict::busy;
    if (now.maxRequests != 0 && now.waitingRequests >= now.maxRequests)
        return opening_verdict::waits;
    return opening_verdict::accepted;
}

std::size_t opening_window::count(instant now)
{
    using namespace std::chrono_literals;
    while (!m_times.empty() && now - m_times.front() >= 1s)
        m_times.pop_front();
    return m_times.size();
}

std::vector<instant> opening_window::nextStarts(instant now, std::size_t limit)
{
    using namespace std::chrono_literals;
    const auto taken = std::min(count(now), limit);
    std::vector<instant> starts(limit - taken, now);
    std::ranges::transform(m_times.end() - static_cast<std::ptrdiff_t>(taken), m_times.end(),
        std::back_inserter(starts), [](instant time) { return time + 1s; });
    return starts;
}

void smoothed_level::set(instant now, double value)
{
    m_smoothed = read(now);
    m_at = now;
    m_value = value;
}

double smoothed_level::read(instant now) const
{
    const auto passed = std::chrono::duration<double>(std::max(now - m_at, instant{}));
    const auto memory = std::chrono::duration<double>(m_memory);
    return m_value + (m_smoothed - m_value) * std::exp(-passed / memory);
}

double failure_share::decayFactor(instant now) const
{
    const auto passed = std::chrono::duration<double>(std::max(now - m_at, instant{}));
    return std::exp(-passed / std::chrono::duration<double>(failureDecayTime));
}

void failure_share::add(instant now, bool failed)
{
    const auto left = decayFactor(now);
    m_failed = m_failed * left + (failed ? 1 : 0);
    m_total = m_total * left + 1;
    m_at = now;
}

std::uint64_t failure_share::penalty(instant now) const
{
    const auto left = decayFactor(now);
    const auto share = m_failed * left / (m_total * left + priorRequests);
    return static_cast<std::uint64_t>(share * maxFailurePenalty);
}

} // namespace toucan
