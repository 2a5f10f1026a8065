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
// A process with flows that is stopped for planned work starts again within this; its target serves
// on and still holds them.
constexpr auto plannedStopTime = 15s;
// Members that one search asks. Beyond that it would cost more than the caller's next try.
constexpr std::size_t mostSearched = 256;
// A new search begins when a segment comes this long after the last one began.
constexpr auto searchTime = 1s;
// Members pass a segment on within a few milliseconds; one of them may ask its target first.
constexpr auto answerTime = 100ms;
constexpr auto searchTick = 20ms;
// Searches that are watched for missing answers, and segments that wait for the end of one.
constexpr std::size_t mostWatched = 4096;
constexpr std::size_t mostHeld = 16;
// The number that travels with a searched segment: the search's own above, its place below.
constexpr std::uint64_t placeBits = 12;
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

// A segment of an unknown flow is passed from member to member in batches. The order stays what it
// was when the search began, so that nobody is left out when beliefs about members change
// meanwhile.
void relay_entry::search(
    instant now, const segment &head, const route_rule &route, cached_flow &cached, byte_view bytes)
{
    auto &progress = cached.progress;
    if (progress && !progress->ended && now - progress->begun < searchTime) {
        if (progress->held.size() < mostHeld)
            progress->held.emplace_back(bytes.begin(), bytes.end());
        return;
    }
    progress = std::make_unique<search_progress>(search_progress{.number = ++cached.searches,
        .begun = now,
        .head = head,
        .bytes = byte_buffer(bytes.begin(), bytes.end())});
    const auto order = wholeSearchOrder(now, route, head.flowFromCaller());
    std::ranges::transform(order, std::back_inserter(progress->order),
        [](const auto *member) { return search_place{.address = member->address}; });
    cached.owner = {};
    cached.tried.clear();
    cached.confirmed = false;
    cached.established = true;
    askNext(now, cached);
}

// Asks the members behind the batch that has answered, or has not in time.
void relay_entry::askNext(instant now, cached_flow &cached)
{
    auto &progress = *cached.progress;
    progress.first = progress.end;
    progress.end = std::min(progress.first + maximumCandidates + 1, progress.order.size());
    progress.oneByOne = false;
    if (progress.first == progress.end) {
        concludeSearch(now, cached);
        return;
    }
    const auto batch
        = std::span(progress.order).subspan(progress.first, progress.end - progress.first);
    m_searches.add();
    logSearch(now, cached, "asked", batch.front().address, batch.size());
    sendSearch(now, cached, batch);
}

void relay_entry::sendSearch(instant now, cached_flow &cached, std::span<const search_place> places)
{
    auto &progress = *cached.progress;
    const auto flow = progress.head.flowFromCaller();
    const auto *route = m_config->routeAt(flow.service);
    auto header = headerFor(
        relay_kind::established, route ? route->serviceFor(hashFlow(flow)) : std::string());
    const auto place = static_cast<std::uint64_t>(places.data() - progress.order.data());
    header.search = (progress.number % searchNumbers << placeBits) + place + 1;
    std::ranges::transform(
        places.subspan(1), std::back_inserter(header.candidates), &search_place::address);
    forward(places.front().address, header, progress.bytes);
    progress.askedAt = now;
    // Nobody waits for the answer to a closing segment.
    const auto &head = progress.head;
    const bool isClosing = head.length == 0 && (head.finish || head.reset);
    if (!isClosing && m_searching.size() < mostWatched)
        m_searching.insert(flow);
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
    const auto place = (header.search & ((1U << placeBits) - 1)) - 1;
    if (!cached.progress || cached.progress->number % searchNumbers != header.search >> placeBits
        || place < cached.progress->first || place >= cached.progress->end)
        return; // An answer that came too late.
    noteDenial(now, cached, place, header.doubtful);
}

void relay_entry::noteDenial(instant now, cached_flow &cached, std::size_t place, bool doubtful)
{
    auto &progress = *cached.progress;
    const auto end = progress.oneByOne ? place + 1 : progress.end;
    for (auto each = place; each < end; ++each) {
        progress.order[each].denied = true;
        progress.order[each].doubtful = doubtful;
    }
    const auto batch
        = std::span(progress.order).subspan(progress.first, progress.end - progress.first);
    if (std::ranges::all_of(batch, &search_place::denied))
        askNext(now, cached);
}

// A process that is down ends the way of a batch. Its members are then asked one by one, and those
// that give no answer again are passed over.
void relay_entry::tendSearches(instant now)
{
    if (now - m_lastSearchTick < searchTick)
        return;
    m_lastSearchTick = now;
    const std::vector<flow_key> watched(m_searching.begin(), m_searching.end());
    for (const auto &flow : watched) {
        const auto found = m_flows.find(flow);
        const bool goesOn = found != m_flows.end() && !found->second.owner && found->second.progress
            && !found->second.progress->ended;
        if (!goesOn)
            m_searching.erase(flow);
        else if (now - found->second.progress->askedAt > answerTime)
            onMissingAnswer(now, found->second);
    }
}

void relay_entry::onMissingAnswer(instant now, cached_flow &cached)
{
    auto &progress = *cached.progress;
    if (progress.oneByOne || progress.end - progress.first == 1) {
        askNext(now, cached);
        return;
    }
    progress.oneByOne = true;
    for (auto place = progress.first; place < progress.end; ++place)
        sendSearch(now, cached, std::span(progress.order).subspan(place, 1));
}

void relay_entry::concludeSearch(instant now, cached_flow &cached)
{
    auto &progress = *cached.progress;
    progress.ended = true;
    const auto doubt = doubtAbout(now, progress);
    logSearch(now, cached, progress.order.empty() ? "nobody to ask" : "not found", {},
        progress.order.size(), doubt);
    if (doubt.empty())
        resetLostFlow(now, progress.head);
    else if (!knowsMembers(now) && m_waitingSearches.size() < mostWatched)
        m_waitingSearches.insert(progress.head.flowFromCaller());
}

void relay_entry::resetLostFlow(instant now, const segment &head)
{
    const auto copy = head;
    resetFlow(now, copy, "no target holds the flow");
    m_flows.erase(copy.flowFromCaller());
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
            || !found->second.progress->ended)
            continue;
        const auto last = std::move(found->second.progress);
        const auto *route = m_config->routeAt(flow.service);
        if (doubtAbout(now, *last).empty())
            resetLostFlow(now, last->head);
        else if (route)
            search(now, last->head, *route, found->second, last->bytes);
    }
}

// Every target that could hold the flow was asked and said no: the process has known its members
// for long enough and none was left out. One that gave no answer is down; that is conclusive once
// it has been silent for long, or when its last word was that no target runs there.
// Returns why the search does not show that the flow is gone; empty when it does.
std::string relay_entry::doubtAbout(instant now, const search_progress &progress) const
{
    const auto &order = progress.order;
    if (!knowsMembers(now))
        return m_named.empty() ? "members may be unknown yet"
                               : toString(m_named.begin()->first) + " was named and is not heard";
    if (order.empty() || order.size() >= mostSearched)
        return "no members, or too many";
    const auto silent = std::ranges::find(order, true, &search_place::doubtful);
    if (silent != order.end())
        return "a target near " + toString(silent->address) + " gave no word";
    std::string doubt;
    m_members.forEach([&](const relay_member &item) {
        const auto place = std::ranges::find(order, item.address, &search_place::address);
        const instant limit = item.leaving && item.flows > 0 ? plannedStopTime : memberGone;
        const bool isGone = now - item.heard > limit;
        const bool wasAsked = place != order.end();
        if (!(wasAsked && place->denied) && !isGone
            && !(item.holdsNothing() && (wasAsked || item.lost)))
            doubt = item.name + (wasAsked ? " gave no answer" : " was not asked");
    });
    return doubt;
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
    if (const auto progress = std::move(cached.progress))
        forwardHeld(*progress, from);
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

void relay_entry::handle(instant now, const endpoint &from, const opening_kept &message)
{
    const auto found = m_flows.find({.caller = message.caller, .service = message.service});
    if (found == m_flows.end() || found->second.established)
        return;
    found->second.owner = from;
    found->second.keptAt = now;
}

// What came while the owner was searched; the segment that found it is with the owner already.
void relay_entry::forwardHeld(const search_progress &progress, const endpoint &owner)
{
    const auto flow = progress.head.flowFromCaller();
    const auto *route = m_config ? m_config->routeAt(flow.service) : nullptr;
    if (!route)
        return;
    const auto header = headerFor(relay_kind::established, route->serviceFor(hashFlow(flow)));
    for (const auto &bytes : progress.held)
        forward(owner, header, bytes);
}

void relay_entry::logSearch(instant now, const cached_flow &cached, std::string_view outcome,
    const endpoint &first, std::size_t asked, std::string_view undecided)
{
    const auto &head = cached.progress->head;
    const auto *member = m_members.at(first);
    if (outcome != "asked")
        m_metrics.numberOf("toucan_searches_total", "outcome", outcome).add();
    m_log.write(now,
        flow_searched{.caller = head.source,
            .service = head.destination,
            .outcome = std::string(outcome),
            .target = member ? member->name : std::string(),
            .asked = asked,
            .searches = cached.searches,
            .undecided = std::string(undecided)});
}

} // namespace toucan
