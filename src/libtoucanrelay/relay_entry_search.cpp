// How an entry finds the owner of a flow that it does not know.

#include <algorithm>
#include <toucan/ranking.h>
#include <toucan/relay_entry.h>

namespace toucan {
namespace {

using namespace std::chrono_literals;

// A member reports at once to an entry that it hears for the first time; without other entries to
// name this one, it has reported after this many of its intervals.
constexpr auto shortestLearning = 500ms;
constexpr int learningIntervals = 2;
// A member silent for longer is gone for its callers: none waits longer for an answer, and a killed
// process is back sooner.
constexpr auto memberGone = 4s;
// A process that is stopped for planned work starts again within this; its target serves on and
// still holds its flows.
constexpr auto plannedStopTime = 15s;
// Members that one search asks. Beyond that it would cost more than the caller's next try.
constexpr std::size_t mostSearched = 96;
// Tells searches that go backwards in the number that travels with them.
constexpr std::uint64_t backwardsMark = 1U << 15U;

std::vector<std::string> sharesOf(const route_rule &route)
{
    std::vector<std::string> services;
    std::ranges::transform(route.shares, std::back_inserter(services), &route_share::service);
    return services;
}

} // namespace

// Everybody who may hold the flow: targets of the route's services first, then all others, because
// a route may have gone to another service since the flow opened.
std::vector<relay_member *> relay_entry::wholeSearchOrder(
    instant now, const route_rule &route, const flow_key &flow) const
{
    const auto hash = hashFlow(flow);
    const auto &current = route.serviceFor(hash);
    auto services = sharesOf(route);
    std::stable_partition(
        services.begin(), services.end(), [&](const auto &name) { return name == current; });
    for (const auto &name : m_members.services()) {
        if (std::ranges::find(services, name) == services.end())
            services.emplace_back(name);
    }
    std::vector<relay_member *> order;
    for (const auto &service : services) {
        const auto part = searchOrder(m_members.membersOf(service), hash, m_options.domain);
        order.insert(order.end(), part.begin(), part.end());
        if (order.size() >= mostSearched)
            break;
    }
    // A search ends unanswered at a process that is down, and waits at one whose target is; both
    // come last.
    std::stable_partition(order.begin(), order.end(), [&](const relay_member *item) {
        return item->isFresh(now) && item->standing != target_standing::unknown
            && !item->holdsNothing();
    });
    return order;
}

// Asks the members behind those of the search order that were asked.
void relay_entry::search(instant now, const segment &head, const route_rule &route,
    cached_flow &cached, const search_state &state, byte_view bytes)
{
    const auto asked = state.asked;
    auto order = wholeSearchOrder(now, route, head.flowFromCaller());
    if (state.backwards)
        std::ranges::reverse(order);
    cached.owner = {};
    cached.tried.clear();
    cached.confirmed = false;
    cached.established = true;
    if (order.empty()) {
        m_dropped.add();
        logSearch(now, head, "nobody to ask", {}, 0, cached);
        return;
    }
    if (asked >= order.size()) {
        logSearch(now, head, "not found", {}, order.size(), cached);
        if (!state.doubtful && searchIsConclusive(now, order)) {
            resetFlow(now, head, "no target holds the flow");
            m_flows.erase(head.flowFromCaller());
        }
        return;
    }
    auto header = headerFor(relay_kind::established, order[asked]->service);
    header.search = asked + 1 + (state.backwards ? backwardsMark : 0);
    header.doubtful = state.doubtful;
    const auto behind = std::span(order).subspan(asked + 1);
    for (const auto *member : behind.first(std::min(behind.size(), maximumCandidates)))
        header.candidates.push_back(member->address);
    m_searches.add();
    logSearch(now, head, "asked", order[asked]->name, header.candidates.size() + 1, cached);
    forward(order[asked]->address, header, bytes);
}

// Every target that could hold the flow was asked and said no: the process has known its members
// for long enough, none was left out, and the silent ones are gone.
bool relay_entry::searchIsConclusive(instant now, std::span<relay_member *const> order) const
{
    if (!knowsMembers(now) || order.size() >= mostSearched)
        return false;
    bool conclusive = true;
    m_members.forEach([&](const relay_member &item) {
        const instant limit = item.leaving ? plannedStopTime : memberGone;
        conclusive &= !item.lost || now - item.heard > limit;
    });
    return conclusive;
}

// Members that other entries name are told of this one and report at once, and the process waits
// for all of them. Without other entries the members' own intervals have to do.
bool relay_entry::knowsMembers(instant now) const
{
    instant longest = shortestLearning;
    if (!m_introducedAt) {
        m_members.forEach([&](const relay_member &item) {
            longest = std::max<instant>(longest, item.interval * learningIntervals);
        });
    }
    return m_named.empty() && now - m_started >= longest
        && now - std::max(m_started, m_memberAddedAt) >= longest / 2;
}

void relay_entry::onNotFound(
    instant now, const relay_header &header, const segment &head, byte_view bytes)
{
    const auto *route = m_config ? m_config->routeAt(head.destination) : nullptr;
    const auto found = m_flows.find(head.flowFromCaller());
    if (!route || found == m_flows.end())
        return;
    // Each packet is searched for on its own; the header says how far its search has come. The
    // owner in the cache may be known again meanwhile.
    const bool backwards = header.search >= backwardsMark;
    const auto place = backwards ? header.search - backwardsMark : header.search;
    const auto asked = place == 0 ? 0 : place + maximumCandidates;
    if (header.search != 0 && found->second.owner) {
        forward(found->second.owner,
            headerFor(relay_kind::established, route->serviceFor(hashFlow(head.flowFromCaller()))),
            bytes);
        return;
    }
    search(now, head, *route, found->second,
        {.asked = asked, .backwards = backwards, .doubtful = header.doubtful}, bytes);
}

void relay_entry::handle(instant now, const endpoint &from, const flow_owner &message)
{
    const flow_key flow{.caller = message.caller, .service = message.service};
    const auto found = m_flows.find(flow);
    if (found == m_flows.end())
        return;
    auto &cached = found->second;
    const bool searched = !cached.owner;
    cached.owner = from;
    cached.confirmed = true;
    cached.tried.clear();
    cached.searches = 0;
    if (!searched)
        return;
    m_metrics.numberOf("toucan_searches_total", "outcome", "found").add();
    const auto *member = m_members.at(from);
    m_log.write(now,
        flow_searched{.caller = flow.caller,
            .service = flow.service,
            .outcome = "found",
            .target = member ? member->name : toString(from)});
}

void relay_entry::logSearch(instant now, const segment &head, std::string_view outcome,
    std::string_view target, std::size_t asked, const cached_flow &cached)
{
    if (outcome != "asked")
        m_metrics.numberOf("toucan_searches_total", "outcome", outcome).add();
    m_log.write(now,
        flow_searched{.caller = head.source,
            .service = head.destination,
            .outcome = std::string(outcome),
            .target = std::string(target),
            .asked = asked,
            .searches = cached.searches});
}

} // namespace toucan
