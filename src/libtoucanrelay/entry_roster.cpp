#include <algorithm>
#include <set>
#include <toucan/entry_roster.h>
#include <toucan/ranking.h>

namespace toucan {
namespace {

using namespace std::chrono_literals;

// Silent entries of a domain with too few alive ones are tried in turn for this long each.
constexpr auto trialTime = 1s;

std::uint64_t rankOf(const endpoint &address)
{
    return hashText(toString(address));
}

} // namespace

entry_roster::entry_roster(const endpoint &self, std::string domain)
    : m_self(self)
    , m_domain(std::move(domain))
    , m_ownRank(rankOf(self))
{ }

bool entry_roster::add(instant now, const entry_place &entry)
{
    if (entry.address == m_self || !entry.address)
        return false;
    const auto [found, isNew] = m_peers.try_emplace(
        entry.address, entry_peer{.rank = rankOf(entry.address), .lastSeen = now - silenceLimit});
    if (found->second.domain.empty())
        found->second.domain = entry.domain;
    return isNew;
}

bool entry_roster::recordSeen(instant now, const entry_place &entry, std::uint64_t boot)
{
    if (entry.address == m_self)
        return false;
    add(now, entry);
    auto &peer = m_peers.at(entry.address);
    const bool wasSeen = mayForward(peer, now);
    const bool isRestarted = peer.leaving && peer.boot != boot;
    if (isRestarted)
        peer.leaving = false;
    peer.boot = boot;
    peer.lastSeen = now;
    peer.domain = entry.domain;
    return !wasSeen || isRestarted;
}

void entry_roster::recordLeaving(const endpoint &address)
{
    if (auto *peer = at(address)) {
        peer->leaving = true;
        peer->store = store_standing::lost;
    }
}

void entry_roster::sweep(instant now, std::span<const endpoint> kept)
{
    std::erase_if(m_peers, [&](const auto &item) {
        return now - item.second.lastSeen >= forgetAfter
            && std::ranges::find(kept, item.first) == kept.end();
    });
}

entry_peer *entry_roster::at(const endpoint &address)
{
    const auto found = m_peers.find(address);
    return found == m_peers.end() ? nullptr : &found->second;
}

bool entry_roster::isAlive(const endpoint &address, instant now) const
{
    const auto found = m_peers.find(address);
    return found != m_peers.end() && isAlive(found->second, now);
}

bool entry_roster::hasCompletePeer(instant now) const
{
    return std::ranges::any_of(m_peers, [&](const auto &item) {
        const auto &peer = item.second;
        return peer.domain == m_domain && peer.isDomainComplete && isAlive(peer, now);
    });
}

template <class Predicate>
std::vector<endpoint> entry_roster::addressesWhere(Predicate &&accept) const
{
    std::vector<endpoint> list;
    for (const auto &[address, peer] : m_peers) {
        if (accept(peer))
            list.push_back(address);
    }
    return list;
}

std::vector<endpoint> entry_roster::aliveIn(std::string_view domain, instant now) const
{
    return addressesWhere(
        [&](const entry_peer &peer) { return peer.domain == domain && isAlive(peer, now); });
}

std::vector<endpoint> entry_roster::forwardingIn(std::string_view domain, instant now) const
{
    return addressesWhere(
        [&](const entry_peer &peer) { return peer.domain == domain && mayForward(peer, now); });
}

bool entry_roster::isHeardIn(
    std::string_view domain, instant now, std::chrono::milliseconds limit) const
{
    return std::ranges::any_of(m_peers, [&](const auto &item) {
        return item.second.domain == domain && now - item.second.lastSeen <= limit;
    });
}

std::vector<endpoint> entry_roster::alive(instant now) const
{
    return addressesWhere([&](const entry_peer &peer) { return isAlive(peer, now); });
}

std::vector<endpoint> entry_roster::knownIn(std::string_view domain) const
{
    return addressesWhere(
        [&](const entry_peer &peer) { return peer.domain == domain || peer.domain.empty(); });
}

std::vector<std::string> entry_roster::otherDomains() const
{
    std::set<std::string> names;
    for (const auto &[address, peer] : m_peers) {
        if (!peer.domain.empty() && peer.domain != m_domain)
            names.insert(peer.domain);
    }
    return {names.begin(), names.end()};
}

std::vector<entry_roster::ranked_entry> entry_roster::orderOf(std::string_view domain) const
{
    std::vector<ranked_entry> order;
    for (const auto &[address, peer] : m_peers) {
        if (peer.domain == domain)
            order.push_back({.address = address, .peer = &peer});
    }
    std::ranges::sort(
        order, std::greater<>(), [](const ranked_entry &item) { return item.peer->rank; });
    return order;
}

std::vector<endpoint> entry_roster::delegatesOf(std::string_view domain, instant now) const
{
    std::vector<endpoint> chosen;
    std::vector<endpoint> leaving;
    std::vector<endpoint> silent;
    for (const auto &item : orderOf(domain)) {
        auto &list = isAlive(*item.peer, now) ? chosen
            : mayForward(*item.peer, now)     ? leaving
                                              : silent;
        list.push_back(item.address);
    }
    chosen.insert(chosen.end(), leaving.begin(), leaving.end());
    chosen.resize(std::min(chosen.size(), delegatesPerDomain));
    const auto missing = std::min(delegatesPerDomain - chosen.size(), silent.size());
    const auto turn = static_cast<std::size_t>(now / trialTime);
    for (std::size_t i = 0; i < missing; ++i)
        chosen.push_back(silent[(turn * missing + i) % silent.size()]);
    return chosen;
}

bool entry_roster::isDelegate(instant now, bool isStopping) const
{
    const auto order = orderOf(m_domain);
    const auto before = std::ranges::count_if(order, [&](const ranked_entry &item) {
        return (isStopping || item.peer->rank > m_ownRank) && isAlive(*item.peer, now);
    });
    return static_cast<std::size_t>(before) < delegatesPerDomain;
}

bool entry_roster::shouldFollowStore(instant now, store_standing own) const
{
    std::size_t following = 0;
    std::size_t ableBefore = 0;
    std::size_t lostBefore = 0;
    for (const auto &item : orderOf(m_domain)) {
        if (!isAlive(*item.peer, now))
            continue;
        const bool comesBefore = item.peer->rank > m_ownRank;
        const bool isLost = item.peer->store == store_standing::lost;
        following += item.peer->store == store_standing::followed;
        ableBefore += comesBefore && !isLost;
        lostBefore += comesBefore && isLost;
    }
    const auto others = own == store_standing::lost ? following : ableBefore;
    return others < delegatesPerDomain && lostBefore < maxFollowers;
}

endpoint entry_roster::sourceOf(const config_order &order, const config_stamp &stamp,
    const endpoint &reporter, std::uint64_t choice, instant now) const
{
    std::vector<endpoint> sources{reporter};
    for (const auto &[address, peer] : m_peers) {
        if (address != reporter && peer.domain == m_domain && !order.supersedes(stamp, peer.config)
            && isAlive(peer, now))
            sources.push_back(address);
    }
    return sources[choice % sources.size()];
}

std::vector<entry_place> entry_roster::entriesToAnnounce(std::string_view domain, instant now) const
{
    std::vector<entry_place> announced;
    const auto append = [&](std::span<const endpoint> addresses, std::string_view in) {
        for (const auto &address : addresses)
            announced.push_back({.address = address, .domain = std::string(in)});
    };
    auto domains = otherDomains();
    domains.push_back(m_domain);
    for (const auto &each : domains) {
        if (each != domain)
            append(delegatesOf(each, now), each);
        else if (each == m_domain)
            append(forwardingIn(each, now), each);
        else
            append(knownIn(each), each);
    }
    if (domain == m_domain || isDelegate(now))
        announced.push_back({.address = m_self, .domain = m_domain});
    return announced;
}

} // namespace toucan
