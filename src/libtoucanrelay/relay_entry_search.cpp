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
constexpr std::size_t mostSearched = 256;
// Segments of one flow that come this close together share a search: its order takes a few
// milliseconds to work off, and retransmissions come 200 ms apart at least.
constexpr auto searchShared = 100ms;
// Segments that wait until the members are known, a few hundred bytes each.
constexpr std::size_t mostWaiting = 2000;
// The number that travels with a searched segment: the search's own above, members asked below.
constexpr std::uint64_t askedBits = 12;
constexpr std::uint64_t searchNumbers = 8;

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

// Every segment of an unknown flow is passed from member to member; the order stays what it was
// when the search began, so that nobody is left out when beliefs about members change meanwhile.
void relay_entry::search(
    instant now, const segment &head, const route_rule &route, cached_flow &cached, byte_view bytes)
{
    auto &progress = cached.progress;
    if (!progress || now - progress->begun > searchShared) {
        progress = std::make_unique<search_progress>(
            search_progress{.number = ++cached.searches % searchNumbers, .begun = now});
        const auto order = wholeSearchOrder(now, route, head.flowFromCaller());
        std::ranges::transform(order, std::back_inserter(progress->order), &relay_member::address);
        // Each further search goes the other way round: one that gets no answer ended at a process
        // that has just gone down.
        if (cached.searches % 2 == 0)
            std::ranges::reverse(progress->order);
    }
    cached.owner = {};
    cached.tried.clear();
    cached.confirmed = false;
    cached.established = true;
    continueSearch(now, head, route, cached, {}, bytes);
}

void relay_entry::continueSearch(instant now, const segment &head, const route_rule &route,
    cached_flow &cached, const search_state &state, byte_view bytes)
{
    const auto &order = cached.progress->order;
    if (state.asked >= order.size()) {
        concludeSearch(now, head, cached, state.doubtful, bytes);
        return;
    }
    auto header
        = headerFor(relay_kind::established, route.serviceFor(hashFlow(head.flowFromCaller())));
    header.search = (cached.progress->number << askedBits) + state.asked + 1;
    header.doubtful = state.doubtful;
    const auto behind = std::span(order).subspan(state.asked + 1);
    const auto next = behind.first(std::min(behind.size(), maximumCandidates));
    header.candidates.assign(next.begin(), next.end());
    m_searches.add();
    const auto *first = m_members.at(order[state.asked]);
    logSearch(now, head, "asked", first ? first->name : toString(order[state.asked]),
        header.candidates.size() + 1, cached);
    forward(order[state.asked], header, bytes);
}

void relay_entry::concludeSearch(
    instant now, const segment &head, cached_flow &cached, bool doubtful, byte_view bytes)
{
    const auto flow = head.flowFromCaller();
    auto &progress = *cached.progress;
    logSearch(now, head, progress.order.empty() ? "nobody to ask" : "not found", {},
        progress.order.size(), cached);
    if (doubtful)
        return;
    if (searchIsConclusive(now, progress)) {
        resetFlow(now, head, "no target holds the flow");
        m_flows.erase(flow);
        return;
    }
    if (knowsMembers(now) || m_waitingSearches.size() >= mostWaiting)
        return;
    progress.head = head;
    progress.waiting.assign(bytes.begin(), bytes.end());
    m_waitingSearches.insert(flow);
}

// A caller whose flow is gone learns of it as soon as the members are known, not at its next
// retransmission, which may come after its deadline.
void relay_entry::retryWaitingSearches(instant now)
{
    if (m_waitingSearches.empty() || !m_config || !knowsMembers(now))
        return;
    for (const auto &flow : std::exchange(m_waitingSearches, {})) {
        const auto found = m_flows.find(flow);
        if (found == m_flows.end() || found->second.owner || !found->second.progress
            || found->second.progress->waiting.empty())
            continue;
        const auto head = found->second.progress->head;
        const auto bytes = std::exchange(found->second.progress->waiting, {});
        if (searchIsConclusive(now, *found->second.progress)) {
            resetFlow(now, head, "no target holds the flow");
            m_flows.erase(found);
        } else if (const auto *route = m_config->routeAt(flow.service)) {
            found->second.progress.reset();
            search(now, head, *route, found->second, bytes);
        }
    }
}

// Every target that could hold the flow was asked and said no: the process has known its members
// for long enough, none was left out, and the silent ones are gone.
bool relay_entry::searchIsConclusive(instant now, const search_progress &progress) const
{
    const auto &order = progress.order;
    if (!knowsMembers(now) || order.empty() || order.size() >= mostSearched)
        return false;
    bool conclusive = true;
    m_members.forEach([&](const relay_member &item) {
        const instant limit = item.leaving ? plannedStopTime : memberGone;
        const bool isGone = item.lost && now - item.heard > limit;
        conclusive &= isGone || std::ranges::find(order, item.address) != order.end();
        conclusive &= !item.lost || isGone;
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
    auto &cached = found->second;
    if (header.search == 0) {
        search(now, head, *route, cached, bytes);
        return;
    }
    // The owner may be known again meanwhile.
    if (cached.owner) {
        forward(cached.owner,
            headerFor(relay_kind::established, route->serviceFor(hashFlow(head.flowFromCaller()))),
            bytes);
        return;
    }
    const auto asked = (header.search & ((1U << askedBits) - 1)) + maximumCandidates;
    if (cached.progress && cached.progress->number == header.search >> askedBits)
        continueSearch(
            now, head, *route, cached, {.asked = asked, .doubtful = header.doubtful}, bytes);
    else
        m_dropped.add(); // A newer search is under way.
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
    cached.progress.reset();
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
