#include <algorithm>
#include <toucan/ranking.h>
#include <toucan/relay_members.h>
#include <tuple>

namespace toucan {
namespace {

using namespace std::chrono_literals;

// Time between two digests of another domain.
constexpr auto digestInterval = 1s;
// Time after which a member that left an opening unanswered is tried again, when digests of its
// domain still confirm it.
constexpr auto suspicionTime = 1s;
// Change of load, thousandths of a slot, that is sent to other domains.
constexpr std::uint64_t notableLoadChange = 300;

target_standing standingOf(std::uint64_t value)
{
    return value <= static_cast<std::uint64_t>(target_standing::gone)
        ? static_cast<target_standing>(value)
        : target_standing::unknown;
}

// Factor on the expected time of a request that is sent to other domains.
constexpr double notableMeanRatio = 1.5;

// Fields of which every change is sent to other entries.
using notable_state = std::tuple<std::string, std::string, endpoint, std::uint64_t, std::uint64_t,
    target_standing, bool, std::uint64_t>;

notable_state notableState(const relay_member &item)
{
    return {item.service, item.domain, item.address, item.boot, item.lifetime, item.standing,
        item.lost, item.openRate};
}

std::uint64_t hashOf(const relay_member &item)
{
    return hashText(item.name + '/' + item.service + '/' + toString(item.address) + '/'
        + std::to_string(item.boot) + '/' + std::to_string(item.lifetime) + '/'
        + std::to_string(static_cast<int>(item.standing)));
}

// A search has to know each member by this, whether it is in use or not.
std::uint64_t keptHashOf(const relay_member &item)
{
    constexpr unsigned portBits = 16;
    const auto address
        = static_cast<std::uint64_t>(item.address.ip) << portBits | item.address.port;
    return rankWeight(item.nameHash, address << 1U | static_cast<std::uint64_t>(item.leaving));
}

bool isWorkNotable(const relay_member &item)
{
    const auto [low, high] = std::minmax(item.meanUs, item.reportedMeanUs);
    if (static_cast<double>(high) > static_cast<double>(low) * notableMeanRatio)
        return true;
    constexpr std::uint64_t thousand = 1000;
    const auto [less, more] = std::minmax(item.workUs, item.reportedWorkUs);
    return item.meanUs > 0 && (more - less) * thousand >= notableLoadChange * item.meanUs;
}

void recordChange(instant now, relay_member &item, const notable_state &previous)
{
    const auto difference
        = std::max(item.load, item.reportedLoad) - std::min(item.load, item.reportedLoad);
    if (previous == notableState(item) && difference < notableLoadChange && !isWorkNotable(item))
        return;
    item.changedAt = now;
    item.reportedLoad = item.load;
    item.reportedWorkUs = item.workUs;
    item.reportedMeanUs = item.meanUs;
    item.stateHash = hashOf(item);
}

std::optional<member_change> changeOf(
    relay_member &item, std::string before, const notable_state &previous)
{
    auto after = std::string(stateNameOf(item));
    if (before == after && std::get<4>(previous) == item.lifetime)
        return std::nullopt;
    return member_change{.member = &item, .from = std::move(before), .to = std::move(after)};
}

// Three reports may be lost before a member counts as silent.
bool hasRecentReport(const relay_member &item, instant now)
{
    const auto limit = std::max<instant>(member_table::silenceLimit, item.reportInterval * 4);
    return item.reportedAt != instant{} && now - item.reportedAt <= limit;
}

bool isConfirmed(const relay_member &item, instant now)
{
    return item.confirmedAt != instant{}
    && now - item.confirmedAt <= member_table::digestSilenceLimit;
}

// Copies the fields that reports and digests share.
template <class T>
void copyState(relay_member &item, const T &state)
{
    item.service = state.service;
    item.boot = state.boot;
    item.order = state.order;
    item.lifetime = state.lifetime;
    item.standing = standingOf(state.standing);
    item.slots = state.slots;
    item.flows = state.flows;
    item.load = state.load;
    item.workUs = state.workUs;
    item.meanUs = state.meanUs;
    item.openRate = state.openRate;
    item.leaving = state.leaving;
    item.openedSince = 0;
    item.suspectedSince = {};
}

} // namespace

std::string_view stateNameOf(const relay_member &item)
{
    return item.lost ? "lost" : toString(item.standing);
}

bool relay_member::isReachable(instant now) const
{
    return hasRecentReport(*this, now)
        || (domainSeenAt != instant{} && now - domainSeenAt <= member_table::domainSilenceLimit);
}

bool relay_member::isRestarting(instant now) const
{
    return leaving && flows > 0 && standing != target_standing::gone
        && now - lastSeen <= member_table::plannedStopTime;
}

instant relay_member::goneAt() const
{
    return lastSeen
        + (leaving && flows > 0 ? member_table::plannedStopTime : member_table::goneAfter);
}

std::uint64_t relay_member::expectedLoad() const
{
    constexpr std::uint64_t thousand = 1000;
    // An opening brings one request, which waits for part of the time until the next report.
    constexpr std::uint64_t openingWeight = thousand / 4;
    return load + openedSince * openingWeight / std::max<std::uint64_t>(slots, 1);
}

double relay_member::expectedQueue() const
{
    constexpr double openingWeight = 0.25; // As for expectedLoad().
    const auto sent = static_cast<double>(openedSince) * openingWeight
        / static_cast<double>(std::max<std::uint64_t>(slots, 1));
    return static_cast<double>(workUs) / static_cast<double>(std::max<std::uint64_t>(meanUs, 1))
        + sent;
}

relay_member *member_table::find(std::string_view name) const
{
    for (const auto &[address, item] : m_members) {
        if (item->name == name)
            return item.get();
    }
    return nullptr;
}

void member_table::remove(const endpoint &address)
{
    m_members.erase(address);
    rebuildIndex();
}

void member_table::rebuildIndex()
{
    m_services.clear();
    for (const auto &[address, item] : m_members)
        m_services[item->service].push_back(item.get());
}

// The member with this address and name, added if there is none. A VM may be replaced by one of the
// same name at another address, or another VM may get its address.
relay_member *member_table::findOrAdd(const endpoint &from, const std::string &name)
{
    auto *item = at(from);
    if (item && item->name == name)
        return item;
    if (const auto *elsewhere = find(name))
        remove(endpoint(elsewhere->address));
    m_members[from] = std::make_unique<relay_member>(
        relay_member{.name = name, .nameHash = hashText(name), .address = from, .lost = true});
    return m_members[from].get();
}

std::optional<member_change> member_table::apply(
    instant now, const endpoint &from, const target_report &report)
{
    auto *item = findOrAdd(from, report.member);
    const bool isSame = item->reportedAt != instant{} && item->boot == report.boot;
    if (isSame && (report.order <= item->order || (item->leaving && !report.leaving)))
        return std::nullopt;
    auto before = std::string(stateNameOf(*item));
    const auto previous = notableState(*item);
    const bool moved = item->service != report.service || item->domain != report.domain;
    copyState(*item, report);
    item->reportedAt = now;
    item->reportedLost = false;
    item->domain = report.domain;
    item->waiting = report.waiting;
    item->interval = std::chrono::milliseconds(std::min<std::uint64_t>(report.intervalMs, 60'000));
    item->reportInterval = item->interval;
    item->lastSeen = now;
    item->lost = report.leaving;
    if (moved)
        rebuildIndex();
    recordChange(now, *item, previous);
    return changeOf(*item, std::move(before), previous);
}

std::optional<member_change> member_table::apply(
    instant now, std::string_view domain, const member_state &state, bool isReachable)
{
    auto *known = at(state.address);
    const auto lastSeen = now - std::chrono::milliseconds(state.silentMs);
    const bool same = known && known->name == state.name && known->boot == state.boot;
    if (same && !state.lost && !state.leaving)
        known->confirmedAt = std::max(known->confirmedAt, lastSeen);
    // A stop ends a start, so news of it is newer than any report of that start.
    const bool isStopNews = same && state.leaving && !known->leaving;
    if (!isStopNews && (same ? state.order < known->order : known && known->lastSeen > lastSeen))
        return std::nullopt;
    if (same && state.order == known->order && known->isReportingDirectly(now) && !known->lost)
        return std::nullopt;
    // A start that stops does not go on; the sender has not heard of it.
    if (same && known->leaving && !state.leaving)
        return std::nullopt;
    // The state is older than the newest one of the VM at another address.
    const auto *elsewhere = known ? nullptr : find(state.name);
    if (elsewhere && elsewhere->lastSeen > lastSeen)
        return std::nullopt;
    auto *item = findOrAdd(state.address, state.name);
    if (!same)
        item->reportedAt = {};
    auto before = std::string(stateNameOf(*item));
    const auto previous = notableState(*item);
    const bool moved = item->service != state.service || item->domain != domain;
    copyState(*item, state);
    item->domain = domain;
    if (!item->isReportingDirectly(now))
        item->interval = digestInterval;
    item->lastSeen = std::max(item->lastSeen, lastSeen);
    item->confirmedAt = std::max(item->confirmedAt, lastSeen);
    if (isReachable)
        item->domainSeenAt = std::max(item->domainSeenAt, lastSeen);
    item->lost = state.lost || state.leaving;
    item->reportedLost = state.lost;
    if (moved)
        rebuildIndex();
    recordChange(now, *item, previous);
    return changeOf(*item, std::move(before), previous);
}

std::optional<member_change> member_table::recordStopped(
    instant now, const endpoint &from, const std::string &name, std::uint64_t boot)
{
    auto *item = at(from);
    if (!item || item->name != name || item->boot != boot || item->leaving)
        return std::nullopt;
    auto before = std::string(stateNameOf(*item));
    const auto previous = notableState(*item);
    item->leaving = true;
    item->lost = true;
    item->flows = std::max<std::uint64_t>(item->flows, 1);
    item->lastSeen = now;
    item->changedAt = now;
    recordChange(now, *item, previous);
    return changeOf(*item, std::move(before), previous);
}

void member_table::recordDomainSeen(instant now, std::string_view domain)
{
    forEach([&](relay_member &item) {
        if (item.domain == domain)
            item.domainSeenAt = now;
    });
}

void member_table::confirm(instant now, std::string_view domain)
{
    forEach([&](relay_member &item) {
        if (item.domain != domain || item.lost)
            return;
        item.confirmedAt = now;
        if (item.isReportingDirectly(now))
            return;
        item.lastSeen = now;
        item.openedSince = 0;
        // A silent member is tried again: its domain's entries would report it lost if it were.
        if (item.suspectedSince != instant{} && now - item.suspectedSince > suspicionTime)
            item.suspectedSince = {};
    });
}

std::vector<member_change> member_table::markOthersLost(
    instant now, std::string_view domain, const std::set<std::string> &names)
{
    std::vector<member_change> changes;
    forEach([&](relay_member &item) {
        if (item.domain != domain || item.isReportingDirectly(now) || names.contains(item.name))
            return;
        item.reportedLost = true;
        if (item.lost)
            return;
        auto before = std::string(stateNameOf(item));
        item.lost = true;
        item.changedAt = now;
        changes.push_back({.member = &item, .from = std::move(before), .to = "lost"});
    });
    return changes;
}

member_table::summary member_table::summaryOf(std::string_view domain) const
{
    summary result;
    forEach([&](const relay_member &item) {
        if (item.domain != domain || item.lost)
            return;
        ++result.count;
        // Addition does not depend on the order of members.
        result.hash += item.stateHash;
    });
    return result;
}

member_table::summary member_table::keptOf(std::string_view domain) const
{
    summary result;
    forEach([&](const relay_member &item) {
        if (item.domain != domain)
            return;
        ++result.count;
        result.hash += keptHashOf(item);
    });
    return result;
}

std::vector<member_change> member_table::onTick(instant now)
{
    std::vector<member_change> changes;
    if (std::erase_if(
            m_members, [&](const auto &item) { return now - item.second->lastSeen > forgetAfter; })
        > 0)
        rebuildIndex();
    forEach([&](relay_member &item) {
        if (item.lost || hasRecentReport(item, now) || isConfirmed(item, now))
            return;
        auto before = std::string(stateNameOf(item));
        item.lost = true;
        item.changedAt = now;
        changes.push_back({.member = &item, .from = std::move(before), .to = "lost"});
    });
    return changes;
}

std::span<relay_member *const> member_table::membersOf(std::string_view service) const
{
    const auto found = m_services.find(service);
    return found == m_services.end() ? std::span<relay_member *const>() : found->second;
}

relay_member *member_table::at(const endpoint &address) const
{
    const auto found = m_members.find(address);
    return found == m_members.end() ? nullptr : found->second.get();
}

std::vector<std::string_view> member_table::services() const
{
    std::vector<std::string_view> names;
    for (const auto &[name, members] : m_services)
        names.push_back(name);
    return names;
}

std::size_t member_table::aliveCount() const
{
    return static_cast<std::size_t>(
        std::ranges::count_if(m_members, [](const auto &item) { return !item.second->lost; }));
}

} // namespace toucan
