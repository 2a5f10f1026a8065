// Search for the owner of a flow that is not in the cache.

#include <algorithm>
#include <toucan/ranking.h>
#include <toucan/relay_entry.h>

namespace toucan {
namespace {

using namespace std::chrono_literals;

// Members that one search asks; positionBits allow for 4096.
constexpr std::size_t maxSearchedMembers = 4000;
// More than one round of questions, as a datagram may be lost.
constexpr std::size_t questionRounds = 2;
// A question and its answer fit a datagram.
constexpr std::size_t maxFlowsPerQuestion = 40;
// A segment that arrives later than this after the start of a search starts a new one.
constexpr auto searchTimeout = 1s;
// Callers retransmit within this time; a longer pause may be between two flows of the same
// addresses.
constexpr auto maxRetransmissionGap = 2s;
// Members pass a segment on within a few milliseconds; one of them may ask its target first.
constexpr auto searchAnswerTimeout = 100ms;
constexpr auto searchTickInterval = 20ms;
// Searches that await answers, and segments buffered for each of them.
constexpr std::size_t maxWatchedSearches = 4096;
constexpr std::size_t maxBufferedSegments = 16;
// The search number in the header of a segment: the lower bits are the position of the first member
// asked, the upper bits the number of the search.
constexpr std::uint64_t positionBits = 12;
constexpr std::uint64_t searchNumberCount = 8;

std::vector<std::string> servicesOf(const route_rule &route)
{
    std::vector<std::string> services;
    std::ranges::transform(route.shares, std::back_inserter(services), &route_share::service);
    return services;
}

} // namespace

// All members that may hold the flow: targets of the route's services first, then all others,
// because the route may have changed to another service since the flow opened.
std::vector<relay_member *> relay_entry::fullSearchOrder(
    instant now, const route_rule &route, const flow_key &flow) const
{
    const auto hash = hashFlow(flow);
    const auto &current = route.serviceFor(hash);
    auto services = servicesOf(route);
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
        if (order.size() >= maxSearchedMembers)
            break;
    }
    // A process that is down gives no answer and one whose target is down answers late; both come
    // last.
    std::stable_partition(order.begin(), order.end(), [&](const relay_member *item) {
        return item->isFresh(now) && item->standing != target_standing::unknown
            && !item->holdsNoFlows();
    });
    return order;
}

// A segment of an unknown flow is passed along the most likely owners; then all others are asked.
// The order is fixed at the start of the search, so that no member is left out when states change
// during it.
void relay_entry::search(
    instant now, const segment &head, const route_rule &route, cached_flow &cached, byte_view bytes)
{
    auto &progress = cached.progress;
    if (progress && progress->stage != search_stage::ended
        && now - progress->startedAt < searchTimeout) {
        if (progress->buffered.size() < maxBufferedSegments)
            progress->buffered.emplace_back(bytes.begin(), bytes.end());
        return;
    }
    // Retransmissions must not postpone the end of the search.
    const bool isContinued = progress && now - progress->startedAt < maxRetransmissionGap;
    startSearch(now, head, route, cached, bytes, isContinued ? progress->flowSeenAt : now);
}

void relay_entry::startSearch(instant now, const segment &head, const route_rule &route,
    cached_flow &cached, byte_view bytes, instant flowSeenAt)
{
    auto &progress = cached.progress;
    progress = std::make_unique<search_progress>(search_progress{.number = ++cached.searches,
        .startedAt = now,
        .flowSeenAt = flowSeenAt,
        .head = head,
        .bytes = byte_buffer(bytes.begin(), bytes.end())});
    const auto order = fullSearchOrder(now, route, head.flowFromCaller());
    std::ranges::transform(order, std::back_inserter(progress->members),
        [](const auto *member) { return searched_member{.address = member->address}; });
    addSilentMembers(now, *progress);
    cached.owner = {};
    cached.tried.clear();
    cached.confirmed = false;
    cached.established = true;
    progress->chainLength = std::min(maxHeaderCandidates + 1, order.size());
    if (order.empty()) {
        advanceSearch(now, cached);
        return;
    }
    m_searches.add();
    logSearch(now, cached, "asked", order.front()->address, progress->chainLength);
    sendSegment(now, cached, std::span(progress->members).first(progress->chainLength));
}

// Members whose entries state nothing may report to others that are down. They get questions only:
// a segment would end its way there.
void relay_entry::addSilentMembers(instant now, search_progress &progress) const
{
    m_members.forEach([&](const relay_member &item) {
        const bool isLeftOut = !item.lost || now <= item.goneAt() || isStatedGone(item, now);
        if (isLeftOut || progress.members.size() >= maxSearchedMembers)
            return;
        const auto found
            = std::ranges::find(progress.members, item.address, &searched_member::address);
        if (found == progress.members.end())
            progress.members.push_back({.address = item.address});
    });
}

// The owner holds the flow until its process has started again; no other target can.
bool relay_entry::isOwnerRestarting(instant now, const cached_flow &cached) const
{
    const auto *owner = m_members.at(cached.owner);
    return cached.confirmed && owner && owner->isRestarting(now);
}

// A process that stopped as planned left its flows with entries. Its target holds them until it has
// started again.
bool relay_entry::adoptStoppedOwner(instant now, const flow_key &flow, cached_flow &cached)
{
    const auto owner = m_flowTables.ownerOf(now, flow);
    const auto *member = owner ? m_members.at(owner) : nullptr;
    if (!member || !member->isRestarting(now))
        return false;
    adoptOwner(now, flow, cached, owner, true);
    return true;
}

void relay_entry::sendSegment(
    instant now, cached_flow &cached, std::span<const searched_member> members)
{
    auto &progress = *cached.progress;
    const auto flow = progress.head.flowFromCaller();
    const auto *route = m_config->routeAt(flow.service);
    auto header = headerFor(
        relay_kind::established, route ? route->serviceFor(hashFlow(flow)) : std::string());
    const auto position = static_cast<std::uint64_t>(members.data() - progress.members.data());
    header.search = (progress.number % searchNumberCount << positionBits) + position + 1;
    std::ranges::transform(
        members.subspan(1), std::back_inserter(header.candidates), &searched_member::address);
    forward(members.front().address, header, progress.bytes);
    progress.askedAt = now;
    // No caller waits for the answer to a closing segment.
    const auto &head = progress.head;
    const bool isClosing = head.length == 0 && (head.finish || head.reset);
    if (!isClosing && m_watchedSearches.size() < maxWatchedSearches)
        m_watchedSearches.insert(flow);
}

void relay_entry::onNotFound(instant now, const endpoint &from, const relay_header &header,
    const segment &head, byte_view bytes)
{
    const auto *route = m_config ? m_config->routeAt(head.destination) : nullptr;
    const auto found = m_flows.find(head.flowFromCaller());
    if (!route || found == m_flows.end())
        return;
    auto &cached = found->second;
    if (header.search == 0) {
        // The owner's answer is conclusive: a flow is open at one target only.
        if (cached.confirmed && from == cached.owner && !header.inconclusive)
            resetLostFlow(now, head, {.asked = 1, .returned = 1});
        else
            search(now, head, *route, cached, bytes);
        return;
    }
    // The owner may have been found in the meantime.
    if (cached.owner) {
        forward(cached.owner,
            headerFor(relay_kind::established, route->serviceFor(hashFlow(head.flowFromCaller()))),
            bytes);
        return;
    }
    const auto position = (header.search & ((1U << positionBits) - 1)) - 1;
    if (!cached.progress || cached.progress->stage == search_stage::ended
        || cached.progress->number % searchNumberCount != header.search >> positionBits
        || position >= cached.progress->members.size())
        return; // A late answer.
    const auto end = cached.progress->stage == search_stage::chain ? cached.progress->chainLength
                                                                   : position + 1;
    for (auto &member : std::span(cached.progress->members).subspan(position, end - position))
        member.segmentReturned = true;
    recordNotHeld(now, cached, position, header.inconclusive);
}

// The last member of the chain answers for the whole chain.
void relay_entry::recordNotHeld(
    instant now, cached_flow &cached, std::size_t position, bool inconclusive)
{
    auto &progress = *cached.progress;
    const auto end = progress.stage == search_stage::chain ? progress.chainLength : position + 1;
    for (auto each = position; each < end; ++each) {
        progress.members[each].notHeld = true;
        progress.members[each].inconclusive = inconclusive;
    }
    advanceSearch(now, cached);
}

void relay_entry::advanceSearch(instant now, cached_flow &cached)
{
    auto &progress = *cached.progress;
    if (std::ranges::all_of(progress.members, &searched_member::notHeld)) {
        concludeSearch(now, cached);
        return;
    }
    if (progress.stage != search_stage::chain)
        return;
    progress.stage = search_stage::questions;
    // The next round of questions includes this flow.
    if (m_watchedSearches.size() < maxWatchedSearches)
        m_watchedSearches.insert(progress.head.flowFromCaller());
    else
        concludeSearch(now, cached);
}

// Advances all watched searches and sends their questions, batched by member.
void relay_entry::advanceSearches(instant now)
{
    if (now - m_lastSearchTick < searchTickInterval)
        return;
    m_lastSearchTick = now;
    question_batch batch;
    const std::vector<flow_key> watched(m_watchedSearches.begin(), m_watchedSearches.end());
    for (const auto &flow : watched) {
        const auto found = m_flows.find(flow);
        const bool isActive = found != m_flows.end() && !found->second.owner
            && found->second.progress && found->second.progress->stage != search_stage::ended;
        if (isActive)
            advanceSearchOnTick(now, found->second, batch);
        else
            m_watchedSearches.erase(flow);
    }
    sendQuestions(batch);
}

// A process that is down breaks the chain; then its members are asked like all others. Members that
// do not answer the questions either are skipped.
void relay_entry::advanceSearchOnTick(instant now, cached_flow &cached, question_batch &batch)
{
    auto &progress = *cached.progress;
    const bool isOverdue = now - progress.askedAt > searchAnswerTimeout;
    if (progress.stage == search_stage::chain && isOverdue)
        progress.stage = search_stage::questions;
    if (progress.stage == search_stage::chain || (progress.rounds > 0 && !isOverdue))
        return;
    if (progress.rounds < questionRounds)
        queueQuestions(now, cached, batch);
    else
        concludeSearch(now, cached);
}

void relay_entry::queueQuestions(instant now, cached_flow &cached, question_batch &batch)
{
    auto &progress = *cached.progress;
    const auto flow = progress.head.flowFromCaller();
    const flow_inquiry inquiry{.caller = flow.caller,
        .service = flow.service,
        .acknowledged = progress.head.acknowledged,
        .search = progress.number};
    for (auto &member : progress.members) {
        if (member.notHeld || member.segmentSent)
            continue;
        batch[member.address].push_back(inquiry);
        if (!member.questionedAt)
            member.questionedAt = now;
    }
    progress.askedAt = now;
    ++progress.rounds;
}

void relay_entry::sendQuestions(const question_batch &batch)
{
    for (const auto &[member, flows] : batch) {
        for (std::size_t begin = 0; begin < flows.size(); begin += maxFlowsPerQuestion) {
            const auto end = std::min(begin + maxFlowsPerQuestion, flows.size());
            send(member,
                flow_question{.flows = {flows.begin() + static_cast<std::ptrdiff_t>(begin),
                                  flows.begin() + static_cast<std::ptrdiff_t>(end)}});
        }
    }
}

void relay_entry::handle(instant now, const endpoint &from, const flow_answer &message)
{
    for (const auto &item : message.flows) {
        const flow_key flow{.caller = item.caller, .service = item.service};
        const auto found = m_flows.find(flow);
        if (found == m_flows.end() || found->second.owner || !found->second.progress)
            continue;
        auto &cached = found->second;
        auto &progress = *cached.progress;
        const auto it = std::ranges::find(progress.members, from, &searched_member::address);
        if (progress.stage == search_stage::ended || progress.number != item.search
            || it == progress.members.end())
            continue;
        if (item.word == static_cast<std::uint64_t>(flow_lookup_result::held)) {
            adoptOwner(now, flow, cached, from, false);
        } else if (item.word == static_cast<std::uint64_t>(flow_lookup_result::not_held)) {
            recordNotHeld(
                now, cached, static_cast<std::size_t>(it - progress.members.begin()), false);
        } else if (!std::exchange(it->segmentSent, true)) {
            it->questionedAt.reset();
            // Asking its target requires the segment.
            sendSegment(now, cached, std::span(&*it, 1));
        }
    }
}

void relay_entry::handle(instant, const endpoint &, const flow_question &)
{
    m_malformed.add();
}

void relay_entry::concludeSearch(instant now, cached_flow &cached)
{
    auto &progress = *cached.progress;
    progress.stage = search_stage::ended;
    const auto reason = inconclusiveReason(now, progress);
    logSearch(now, cached, progress.members.empty() ? "nobody to ask" : "not found", {},
        progress.members.size(), reason);
    if (reason.empty()) {
        resetLostFlow(now, progress.head, evidenceOf(now, progress));
        return;
    }
    const auto evidence = evidenceOf(now, progress);
    const bool needsNews = !domainsWithoutNews(progress.flowSeenAt, now).empty()
        || !evidence.unheard.empty() || evidence.isQuestionDue;
    if (needsNews && m_inconclusiveSearches.size() < maxWatchedSearches)
        m_inconclusiveSearches.insert(progress.head.flowFromCaller());
}

void relay_entry::resetLostFlow(instant now, const segment &head, const search_evidence &evidence)
{
    // `head` may be part of the flow that is erased.
    const auto flow = head.flowFromCaller();
    resetFlow(now, head, "no target holds the flow", evidence);
    m_flows.erase(flow);
}

// Resets flows that are gone as soon as all members are surely known, not at the caller's next
// retransmission, which may come after its deadline.
void relay_entry::retryInconclusiveSearches(instant now)
{
    if (!m_config)
        return;
    std::set<std::string> unclear;
    for (const auto &flow : std::exchange(m_inconclusiveSearches, {})) {
        const auto found = m_flows.find(flow);
        if (found == m_flows.end() || found->second.owner || !found->second.progress
            || found->second.progress->stage != search_stage::ended)
            continue;
        const auto flowSeenAt = found->second.progress->flowSeenAt;
        if (const auto domains = domainsWithoutNews(flowSeenAt, now); !domains.empty()) {
            m_inconclusiveSearches.insert(flow);
            if (now - flowSeenAt >= digestTransitTime)
                unclear.insert(domains.begin(), domains.end());
            continue;
        }
        const auto evidence = evidenceOf(now, *found->second.progress);
        if (!evidence.unheard.empty()) {
            m_inconclusiveSearches.insert(flow);
            unclear.insert(evidence.unheard.begin(), evidence.unheard.end());
            continue;
        }
        if (evidence.isQuestionDue) {
            askAgain(now, found->second);
            continue;
        }
        const auto last = std::move(found->second.progress);
        const auto *route = m_config->routeAt(flow.service);
        if (inconclusiveReason(now, *last).empty())
            resetLostFlow(now, last->head, evidence);
        else if (route)
            startSearch(now, last->head, *route, found->second, last->bytes, flowSeenAt);
    }
    for (const auto &domain : unclear)
        requestNews(now, domain);
}

// Members that have become silent since the search began, or did so shortly before, are asked; the
// answers of the others still hold.
void relay_entry::askAgain(instant now, cached_flow &cached)
{
    auto &progress = *cached.progress;
    const auto flow = progress.head.flowFromCaller();
    if (m_watchedSearches.size() >= maxWatchedSearches) {
        m_inconclusiveSearches.insert(flow);
        return;
    }
    addSilentMembers(now, progress);
    for (auto &member : progress.members) {
        const auto *item = m_members.at(member.address);
        if (!item || now <= item->goneAt())
            continue;
        member.segmentSent = false;
        member.questionedAt.reset();
    }
    progress.stage = search_stage::questions;
    progress.rounds = 0;
    m_watchedSearches.insert(flow);
    logSearch(now, cached, "asked again", {}, progress.members.size());
}

// Returns why the search does not show that the flow is gone; empty when it does. It does when all
// members that may have opened the flow are known and each was asked and does not hold the flow. A
// member without an answer is down; that is conclusive once it has been silent for goneAfter
// (plannedStopTime if it stopped as planned with flows), or if it last reported that no target runs
// there.
std::string relay_entry::inconclusiveReason(instant now, const search_progress &progress) const
{
    const auto &order = progress.members;
    if (const auto domains = domainsWithoutNews(progress.flowSeenAt, now); !domains.empty())
        return "members of " + domains.front() + " may be unknown yet";
    if (order.empty() || order.size() >= maxSearchedMembers)
        return "no members, or too many";
    const auto silent = std::ranges::find(order, true, &searched_member::inconclusive);
    if (silent != order.end())
        return "a target near " + toString(silent->address) + " did not answer";
    return evidenceOf(now, progress).missing;
}

search_evidence relay_entry::evidenceOf(instant now, const search_progress &progress) const
{
    const auto &order = progress.members;
    search_evidence evidence{.asked = order.size()};
    m_members.forEach([&](const relay_member &item) {
        const auto it = std::ranges::find(order, item.address, &searched_member::address);
        addEvidence(now, item, it == order.end() ? nullptr : &*it, evidence);
    });
    return evidence;
}

// `asked`: the member's state in the search, or nullptr when it was not asked.
void relay_entry::addEvidence(instant now, const relay_member &item, const searched_member *asked,
    search_evidence &evidence) const
{
    const auto silence = now - item.lastSeen;
    const bool isSilent = now > item.goneAt();
    const bool isUnanswered = asked && asked->questionedAt && *asked->questionedAt >= item.goneAt();
    if (asked && asked->notHeld) {
        ++(asked->segmentReturned ? evidence.returned : evidence.denied);
    } else if (isSilent
        && (isStatedGone(item, now) || (isUnanswered && isUnheardElsewhere(item, now)))) {
        ++evidence.silent;
        evidence.shortestSilence = std::min<instant>(evidence.shortestSilence, silence);
    } else if (item.holdsNoFlows() && (asked || item.lost)) {
        ++evidence.withoutTarget;
    } else {
        evidence.missing = item.name + (asked ? " did not answer" : " was not asked");
        if (isSilent && isUnheardElsewhere(item, now))
            evidence.isQuestionDue = true;
        else if (isSilent)
            evidence.unheard.insert(item.domain);
    }
}

void relay_entry::handle(instant now, const endpoint &from, const flow_owner &message)
{
    const flow_key flow{.caller = message.caller, .service = message.service};
    const auto found = m_flows.find(flow);
    if (found == m_flows.end())
        return;
    const auto *member = m_members.at(from);
    const auto askedAt = std::exchange(found->second.ownerAskedAt, std::nullopt);
    if (member && askedAt && !found->second.confirmed && found->second.owner == from)
        m_distances.record(member->domain, now - *askedAt);
    adoptOwner(now, flow, found->second, from, true);
}

// `hasSegment`: the owner already has the segment that started the search.
void relay_entry::adoptOwner(
    instant now, const flow_key &flow, cached_flow &cached, const endpoint &owner, bool hasSegment)
{
    const bool searched = !cached.owner;
    cached.owner = owner;
    cached.confirmed = true;
    cached.tried.clear();
    cached.searches = 0;
    if (const auto progress = std::move(cached.progress))
        forwardBuffered(*progress, owner, hasSegment);
    if (!searched)
        return;
    m_metrics.numberOf("toucan_searches_total", "outcome", "found").add();
    const auto *member = m_members.at(owner);
    m_log.write(now,
        flow_searched{.caller = flow.caller,
            .service = flow.service,
            .outcome = "found",
            .target = member ? member->name : toString(owner)});
}

void relay_entry::handle(instant now, const endpoint &from, const opening_kept &message)
{
    const auto found = m_flows.find({.caller = message.caller, .service = message.service});
    if (found == m_flows.end() || found->second.established)
        return;
    found->second.owner = from;
    found->second.keptAt = now;
}

// Sends the segments buffered during the search to the owner, in order.
void relay_entry::forwardBuffered(
    const search_progress &progress, const endpoint &owner, bool hasSegment)
{
    const auto flow = progress.head.flowFromCaller();
    const auto *route = m_config ? m_config->routeAt(flow.service) : nullptr;
    if (!route)
        return;
    const auto header = headerFor(relay_kind::established, route->serviceFor(hashFlow(flow)));
    if (!hasSegment)
        forward(owner, header, progress.bytes);
    for (const auto &bytes : progress.buffered)
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
