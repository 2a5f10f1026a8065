#include <algorithm>
#include <toucan/ranking.h>
#include <toucan/relay_members.h>

namespace toucan {
namespace {

target_standing standingOf(std::uint64_t value)
{
    return value <= static_cast<std::uint64_t>(target_standing::gone)
        ? static_cast<target_standing>(value)
        : target_standing::unknown;
}

} // namespace

std::string_view beliefAbout(const relay_member &item)
{
    return item.lost ? "lost" : toString(item.standing);
}

std::uint64_t relay_member::expectedLoad() const
{
    constexpr std::uint64_t thousand = 1000;
    // An opening brings one request, which waits for part of the time until the next report.
    constexpr std::uint64_t openingWeight = thousand / 4;
    return load + openedSince * openingWeight / std::max<std::uint64_t>(slots, 1);
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

std::optional<member_change> member_table::apply(
    instant now, const endpoint &from, const target_report &report)
{
    auto *item = at(from);
    // A VM that is replaced under its name, or another one at its address.
    if (!item || item->name != report.member) {
        if (const auto *elsewhere = find(report.member))
            remove(endpoint(elsewhere->address));
        m_members[from] = std::make_unique<relay_member>(
            relay_member{.name = report.member, .nameHash = hashText(report.member), .lost = true});
        item = m_members[from].get();
    } else if (item->boot == report.boot && report.order <= item->order) {
        return std::nullopt;
    }
    auto before = std::string(beliefAbout(*item));
    const auto lifetimeBefore = item->lifetime;
    const bool moved = item->service != report.service || item->address != from;
    item->service = report.service;
    item->domain = report.domain;
    item->address = from;
    item->boot = report.boot;
    item->order = report.order;
    item->lifetime = report.lifetime;
    item->standing = standingOf(report.standing);
    item->slots = report.slots;
    item->flows = report.flows;
    item->waiting = report.waiting;
    item->load = report.load;
    item->openRate = report.openRate;
    item->interval = std::chrono::milliseconds(std::min<std::uint64_t>(report.intervalMs, 60'000));
    item->openedSince = 0;
    item->heard = now;
    item->suspectedSince = {};
    item->lost = report.leaving;
    item->leaving = report.leaving;
    if (moved)
        rebuildIndex();
    auto after = std::string(beliefAbout(*item));
    if (before == after && lifetimeBefore == item->lifetime)
        return std::nullopt;
    return member_change{.member = item, .from = std::move(before), .to = std::move(after)};
}

std::vector<member_change> member_table::onTick(instant now)
{
    std::vector<member_change> changes;
    if (std::erase_if(
            m_members, [&](const auto &item) { return now - item.second->heard > forgetAfter; })
        > 0)
        rebuildIndex();
    forEach([&](relay_member &item) {
        // Three reports may be lost before silence means anything.
        const auto limit = std::max<instant>(silenceLimit, item.interval * 4);
        if (item.lost || now - item.heard <= limit)
            return;
        auto before = std::string(beliefAbout(item));
        item.lost = true;
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
