#include <algorithm>
#include <cmath>
#include <numeric>
#include <toucan/work_estimator.h>

namespace toucan {
namespace {

using namespace std::chrono_literals;

// Buckets of a distribution: the first one ends here, each further one is longer by the ratio, up
// to some 8 s.
constexpr double firstBucketMs = 1;
constexpr double bucketRatio = 1.4;
// Rare kinds of requests have to occur within it; a change of the requests is learned as fast.
constexpr double memorySeconds = 30;
// A request that takes longer counts as this long: callers have given up.
constexpr double maxWorkMs = 10'000;
// Weight that the more general distribution has in a special one, in requests.
constexpr double generalWeight = 4;
// Weight of the guess that a request which outlasts others runs for half of its time again.
constexpr double tailGuessWeight = 0.5;
constexpr double tailGuessShare = 0.5;
// The median of this many requests is the target's speed: fewer than half of them may be long.
constexpr std::size_t speedSamples = 9;
constexpr std::size_t minSpeedSamples = 4;
constexpr auto speedMemory = 4s;
// Slower or faster by less is chance: medians of a few scattered times differ that much. The second
// is the factor on the standard deviation of a median, for the spread of the times.
constexpr double minLogRatio = 0.4;
constexpr double chanceFactor = 3.5;
constexpr double maxLogRatio = 2.5;
// Requests that must have been measured before the estimate is used.
constexpr double minLearnedWeight = 3;
// Standard deviation over mean from which the number of requests misrepresents the work.
constexpr double unevenSpread = 0.5;
constexpr double minUnevenWeight = 20;

double millisecondsOf(instant time)
{
    return std::chrono::duration<double, std::milli>(time).count();
}

} // namespace

std::size_t decaying_times::bucketOf(double ms)
{
    if (ms <= firstBucketMs)
        return 0;
    const auto steps = std::ceil(std::log(ms / firstBucketMs) / std::log(bucketRatio));
    return std::min(static_cast<std::size_t>(steps), bucketCount - 1);
}

double decaying_times::decayUntil(instant now) const
{
    const auto elapsed = std::max(millisecondsOf(now - m_newest) / 1000, 0.0);
    return std::exp(-elapsed / memorySeconds);
}

void decaying_times::add(instant now, double ms)
{
    const auto factor = decayUntil(now);
    for (auto &item : m_buckets) {
        item.weight *= factor;
        item.sumMs *= factor;
    }
    m_newest = std::max(m_newest, now);
    auto &item = m_buckets[bucketOf(ms)];
    item.weight += 1;
    item.sumMs += ms;
}

double decaying_times::weight(instant now) const
{
    return longerThan(now, -1).weight;
}

double decaying_times::meanMs() const
{
    const auto all = longerThan(m_newest, -1);
    return all.weight > 0 ? all.sumMs / all.weight : 0;
}

double decaying_times::medianMs() const
{
    auto left = longerThan(m_newest, -1).weight / 2;
    for (const auto &item : m_buckets) {
        left -= item.weight;
        if (item.weight > 0 && left <= 0)
            return item.sumMs / item.weight;
    }
    return 0;
}

double decaying_times::spread() const
{
    const auto all = longerThan(m_newest, -1);
    if (all.weight <= 0)
        return 0;
    const auto mean = all.sumMs / all.weight;
    const auto squares = std::accumulate(
        m_buckets.begin(), m_buckets.end(), 0.0, [](double sum, const bucket &item) {
            return item.weight > 0 ? sum + item.sumMs * item.sumMs / item.weight : sum;
        });
    return std::sqrt(std::max(squares / all.weight - mean * mean, 0.0)) / mean;
}

decaying_times::tail decaying_times::longerThan(instant now, double ageMs) const
{
    tail result;
    for (const auto &item : m_buckets) {
        // Times of one bucket differ by its ratio only, so its mean stands for them.
        if (item.weight > 0 && item.sumMs > ageMs * item.weight) {
            result.weight += item.weight;
            result.sumMs += item.sumMs;
        }
    }
    const auto factor = decayUntil(now);
    return {.weight = result.weight * factor, .sumMs = result.sumMs * factor};
}

std::size_t work_estimator::indexOf(const work_kind &kind)
{
    // Ends of the buckets; requests of a full segment go on in further ones.
    constexpr std::array<std::uint32_t, 3> ends{200, 600, 1200};
    const auto size = std::ranges::upper_bound(ends, kind.bytes) - ends.begin();
    return static_cast<std::size_t>(size) * 2 + (kind.isFirst ? 1 : 0);
}

std::array<const decaying_times *, 3> work_estimator::scopesOf(const work_kind &kind) const
{
    const auto found = m_routes.find(kind.route);
    if (!m_parts.byRoute || found == m_routes.end())
        return {nullptr, nullptr, &m_all};
    return {&found->second.kinds[indexOf(kind)], &found->second.all, &m_all};
}

work_estimator::route_times &work_estimator::routeAt(instant now, const endpoint &route)
{
    if (!m_routes.contains(route) && m_routes.size() >= maxRoutes)
        m_routes.erase(std::ranges::min_element(
            m_routes, {}, [](const auto &item) { return item.second.used; }));
    auto &item = m_routes[route];
    item.used = now;
    return item;
}

std::uint64_t work_estimator::begin(instant now, const work_kind &kind, bool isMeasure)
{
    if (m_running.size() >= maxRunning)
        m_running.erase(m_running.begin());
    m_running[++m_lastNumber]
        = {.kind = kind, .begun = now, .expectedMs = expectedMs(now, kind), .isMeasure = isMeasure};
    return m_lastNumber;
}

work_estimator::outcome work_estimator::end(instant now, std::uint64_t number, bool answered)
{
    const auto found = m_running.find(number);
    if (found == m_running.end())
        return {};
    const auto item = found->second;
    m_running.erase(found);
    const outcome result{.expectedMs = item.expectedMs,
        .seenMs = millisecondsOf(now - item.begun),
        .isMeasured = answered && item.isMeasure};
    if (!result.isMeasured)
        return result;
    const auto tookMs = std::clamp(result.seenMs, firstBucketMs, maxWorkMs);
    for (const auto *scope : scopesOf(item.kind)) {
        if (!scope || scope->weight(now) < minLearnedWeight)
            continue;
        m_speed.push_back({.at = now,
            .logRatio
            = std::clamp(std::log(tookMs / scope->medianMs()), -maxLogRatio, maxLogRatio)});
        break;
    }
    if (m_speed.size() > speedSamples)
        m_speed.erase(m_speed.begin());
    auto &route = routeAt(now, item.kind.route);
    for (auto *times : {&route.kinds[indexOf(item.kind)], &route.all, &m_all})
        times->add(now, tookMs);
    return result;
}

// Mean of the kind, which counts the more, the more requests of it were measured; then that of the
// route, of all requests, and the initial value.
double work_estimator::usualMs(instant now, const work_kind &kind) const
{
    const auto scopes = scopesOf(kind);
    return std::accumulate(scopes.rbegin(), scopes.rend(), static_cast<double>(initialWork.count()),
        [&](double general, const decaying_times *scope) {
            const auto all = scope ? scope->longerThan(now, -1) : decaying_times::tail{};
            // All requests together say more than a guess.
            const auto share = scope == &m_all ? 1 : generalWeight;
            return (all.sumMs + share * general) / (all.weight + share);
        });
}

double work_estimator::slowness(instant now) const
{
    std::vector<double> ratios;
    for (const auto &sample : m_speed) {
        if (now - sample.at <= speedMemory)
            ratios.push_back(sample.logRatio);
    }
    if (ratios.size() < minSpeedSamples)
        return 1;
    const auto middle = ratios.begin() + static_cast<std::ptrdiff_t>(ratios.size() / 2);
    std::ranges::nth_element(ratios, middle);
    const auto spread = m_all.spread();
    const auto chance = chanceFactor
        * std::sqrt(std::log1p(spread * spread) / static_cast<double>(ratios.size()));
    return std::abs(*middle) < std::max(minLogRatio, chance) ? 1 : std::exp(*middle);
}

double work_estimator::expectedMs(instant now, const work_kind &kind) const
{
    return usualMs(now, kind) * slowness(now);
}

double work_estimator::meanMs(instant now) const
{
    const auto all = m_all.longerThan(now, -1);
    const auto initial = static_cast<double>(initialWork.count());
    return (all.sumMs + initial) / (all.weight + 1) * slowness(now);
}

double work_estimator::remainingMs(instant now, const work_kind &kind, double ageMs) const
{
    if (!m_parts.residual)
        return expectedMs(now, kind);
    const auto factor = slowness(now);
    const auto age = std::max(ageMs, 0.0) / factor;
    const auto scopes = scopesOf(kind);
    const auto usual = usualMs(now, kind);
    // Without longer ones: what it has run for shows that it is no usual request.
    const auto guess = age < usual ? usual - age : age * tailGuessShare;
    const auto remaining = std::accumulate(
        scopes.rbegin(), scopes.rend(), guess, [&](double general, const decaying_times *scope) {
            const auto longer = scope ? scope->longerThan(now, age) : decaying_times::tail{};
            const auto sum = longer.sumMs - age * longer.weight;
            return (sum + tailGuessWeight * general) / (longer.weight + tailGuessWeight);
        });
    return std::max(remaining, 1.0) * factor;
}

double work_estimator::remainingMs(instant now) const
{
    return std::accumulate(
        m_running.begin(), m_running.end(), 0.0, [&](double sum, const auto &item) {
            const auto &request = item.second;
            return sum + remainingMs(now, request.kind, millisecondsOf(now - request.begun));
        });
}

// Ends of independent requests add up as rates.
double work_estimator::nextEndMs(instant now) const
{
    const auto rate = std::accumulate(
        m_running.begin(), m_running.end(), 0.0, [&](double sum, const auto &item) {
            const auto &request = item.second;
            return sum + 1 / remainingMs(now, request.kind, millisecondsOf(now - request.begun));
        });
    return rate > 0 ? 1 / rate : 0;
}

std::vector<work_estimator::route_mean> work_estimator::routes(instant now) const
{
    const auto factor = slowness(now);
    std::vector<route_mean> result(m_routes.size());
    std::ranges::transform(m_routes, result.begin(), [&](const auto &item) {
        return route_mean{.address = item.first, .meanMs = item.second.all.meanMs() * factor};
    });
    return result;
}

bool work_estimator::isLearned(instant now) const
{
    return m_all.weight(now) >= minLearnedWeight;
}

bool work_estimator::isUneven(instant now) const
{
    return m_all.weight(now) >= minUnevenWeight && m_all.spread() > unevenSpread;
}

} // namespace toucan
