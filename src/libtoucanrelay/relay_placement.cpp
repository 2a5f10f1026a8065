#include <algorithm>
#include <array>
#include <toucan/ranking.h>
#include <toucan/relay_placement.h>

namespace toucan {
namespace {

// Number of rendezvous ranks compared by load, in the own domain and over all domains.
constexpr std::size_t comparedRanks = 2;
// Load advantage that a target of another failure domain needs, thousandths of a slot. A request
// there costs a few milliseconds, a quarter of a queue about as much as half a request.
constexpr std::uint64_t otherDomainPenalty = 150;

// Times of a request at two targets that differ by a smaller factor are taken as equal.
constexpr double similarTimes = 1.5;
// A later candidate where the request ends later than at the first by more than this factor is not
// asked: waiting for a slot at the first is shorter.
constexpr double maxEndRatio = 2;
// Crossings of the link between two domains until a request is answered: opening, confirmation with
// the request, answer to the opening, answer to the request. Two round trips.
constexpr double roundTripsOfRequest = 2;

struct ranked_member
{
    std::uint64_t weight;
    relay_member *member;
};

std::vector<ranked_member> rank(
    std::span<relay_member *const> members, std::uint64_t flowHash, auto &&accept)
{
    std::vector<ranked_member> ranked;
    ranked.reserve(members.size());
    for (auto *item : members) {
        if (accept(*item))
            ranked.push_back({rankWeight(flowHash, item->nameHash), item});
    }
    std::ranges::sort(ranked, std::greater<>(), &ranked_member::weight);
    return ranked;
}

// The first ranks of the own domain, then those of all domains, without duplicates.
std::vector<relay_member *> likelyOwners(
    std::span<const ranked_member> ranked, std::string_view domain)
{
    std::vector<relay_member *> likely;
    for (const auto &item : ranked) {
        if (item.member->domain == domain && likely.size() < comparedRanks)
            likely.push_back(item.member);
    }
    for (const auto &item : ranked.first(std::min(comparedRanks, ranked.size()))) {
        if (std::ranges::find(likely, item.member) == likely.end())
            likely.push_back(item.member);
    }
    return likely;
}

std::vector<ranked_member> rankCandidates(
    std::span<relay_member *const> members, const placement_request &request)
{
    const bool isAnyReachable = std::ranges::any_of(members, [&](const relay_member *item) {
        return item->isReachable(request.now) && takesOpenings(*item, request.out, request.now);
    });
    return rank(members, request.flowHash, [&](const relay_member &item) {
        return takesOpenings(item, request.out, request.now)
            && (item.isReachable(request.now) || !isAnyReachable)
            && hasCredit(item, request.maxRoundsPerReport)
            && std::ranges::find(request.tried, item.address) == request.tried.end();
    });
}

double millisecondsOf(std::uint64_t microseconds)
{
    constexpr double thousand = 1000;
    return static_cast<double>(microseconds) / thousand;
}

double otherDomainCost(const relay_member &item, const placement_request &request, double requestMs)
{
    if (item.domain == request.domain)
        return 0;
    constexpr double thousand = 1000;
    const auto usual = static_cast<double>(otherDomainPenalty) / thousand * requestMs;
    const auto distance
        = request.distances ? request.distances->extraMs(item.domain) : std::nullopt;
    return std::max(usual, distance.value_or(0) * roundTripsOfRequest);
}

expected_end endAt(const relay_member &item, const placement_request &request, double requestMs)
{
    return {.workMs = item.expectedQueue() * requestMs,
        .costMs = requestMs,
        .distanceMs = otherDomainCost(item, request, requestMs)};
}

// Time of a request at each candidate: one for all while they are similar.
struct request_times
{
    std::vector<double> ms;
    bool areSimilar = false;
};

request_times requestTimes(std::span<relay_member *const> candidates)
{
    request_times times{.ms = std::vector<double>(candidates.size())};
    std::ranges::transform(candidates, times.ms.begin(),
        [](const relay_member *item) { return millisecondsOf(item->meanUs); });
    const auto [low, high] = std::ranges::minmax(times.ms);
    times.areSimilar = high <= low * similarTimes;
    if (times.areSimilar)
        std::ranges::fill(times.ms, (low + high) / 2);
    return times;
}

} // namespace

bool takesOpenings(const relay_member &item, const domains_out &out, instant now)
{
    if (!item.isAnswering() || out.contains(item.domain) || now - item.refusedAt < refusalPause)
        return false;
    if (item.standing == target_standing::cold)
        return item.openedSince < item.openRate;
    return item.standing == target_standing::ready;
}

bool hasCredit(const relay_member &item, std::uint64_t rounds)
{
    return rounds == 0 || item.openedSince < rounds * std::max<std::uint64_t>(item.slots, 1);
}

placement placeByLoad(std::span<relay_member *const> members, const placement_request &request)
{
    const auto ranked = rankCandidates(members, request);
    auto likely = likelyOwners(ranked, request.domain);
    std::ranges::stable_sort(likely, {}, [&](const relay_member *item) {
        return item->expectedLoad() + (item->domain == request.domain ? 0 : otherDomainPenalty);
    });
    placement result{.eligible = ranked.size()};
    likely.resize(std::min(likely.size(), maxOpeningCandidates));
    result.order.assign(likely.begin(), likely.end());
    return result;
}

std::optional<expected_end> expectedEnd(const relay_member &item, const placement_request &request)
{
    if (item.meanUs == 0)
        return std::nullopt;
    return endAt(item, request, millisecondsOf(item.meanUs));
}

placement placeByWork(std::span<relay_member *const> members, const placement_request &request)
{
    const auto ranked = rankCandidates(members, request);
    const auto likely = likelyOwners(ranked, request.domain);
    if (likely.empty()
        || std::ranges::any_of(likely, [](const relay_member *item) { return item->meanUs == 0; }))
        return placeByLoad(members, request);
    const auto times = requestTimes(likely);
    std::vector<std::pair<double, relay_member *>> byEnd(likely.size());
    std::ranges::transform(likely, times.ms, byEnd.begin(), [&](relay_member *item, double time) {
        return std::pair(endAt(*item, request, time).totalMs(), item);
    });
    std::ranges::stable_sort(byEnd, {}, &std::pair<double, relay_member *>::first);
    if (!times.areSimilar) {
        const auto limit = byEnd.front().first * maxEndRatio;
        std::erase_if(byEnd, [&](const auto &item) { return item.first > limit; });
    }
    byEnd.resize(std::min(byEnd.size(), maxOpeningCandidates));
    placement result{.eligible = ranked.size()};
    std::ranges::transform(
        byEnd, std::back_inserter(result.order), &std::pair<double, relay_member *>::second);
    return result;
}

placement placeByHash(std::span<relay_member *const> members, const placement_request &request)
{
    const auto ranked = rankCandidates(members, request);
    placement result{.eligible = ranked.size()};
    std::ranges::transform(std::span(ranked).first(std::min(maxOpeningCandidates, ranked.size())),
        std::back_inserter(result.order), &ranked_member::member);
    return result;
}

placement_policy placementNamed(std::string_view name)
{
    constexpr std::array<std::pair<std::string_view, placement_policy>, 3> policies{
        {{"load", placeByLoad}, {"work", placeByWork}, {"hash", placeByHash}}};
    const auto *const found
        = std::ranges::find(policies, name, &std::pair<std::string_view, placement_policy>::first);
    return found == policies.end() ? nullptr : found->second;
}

std::vector<relay_member *> searchOrder(
    std::span<relay_member *const> members, std::uint64_t flowHash, std::string_view domain)
{
    const auto ranked
        = rank(members, flowHash, [](const relay_member &item) { return !item.lost; });
    auto order = likelyOwners(ranked, domain);
    for (const bool local : {true, false}) {
        for (const auto &item : ranked) {
            if ((item.member->domain == domain) == local
                && std::ranges::find(order, item.member) == order.end())
                order.push_back(item.member);
        }
    }
    return order;
}

} // namespace toucan
