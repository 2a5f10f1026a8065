#include <algorithm>
#include <cmath>
#include <numeric>
#include <queue>
#include <toucan/opening_queue.h>
#include <utility>

namespace toucan {
namespace {

using namespace std::chrono_literals;
using std::chrono::milliseconds;

// The answer to an opening reaches its caller in a few milliseconds; the caller acknowledges it.
constexpr auto answerReserve = 20ms;
// Weight of the newest request in smoothed times: about the last ten requests count.
constexpr double smoothingWeight = 0.1;
// Durations are clamped to this range: others do not indicate how fast a queue is served.
constexpr auto minServiceTime = 2ms;
constexpr auto maxServiceTime = 1000ms;

// First requests arrive within this factor of the smoothed time plus one tick of the process.
constexpr double handshakeFactor = 3;
constexpr double handshakeReserveMs = 15;
// Callers with a longer time between opening and request have given up.
constexpr auto maxHandshakeTime = 100ms;

// Time in which the rate of arrivals follows the demand; shorter bursts leave room for late
// openings before their attempts end.
constexpr auto arrivalMemory = 1000ms;
// A caller's served openings lose two thirds of their weight in this time, longer than one attempt.
constexpr auto shareMemory = 3000ms;
// A caller's opening gives way when its served ones exceed the other's by this factor and number:
// below that callers that open at random differ.
constexpr double shareFactor = 1.5;
constexpr double shareTolerance = 3;
// Served openings of the first level of callers.
constexpr double shareLevelWidth = 10;
// Part of the objective below which a wait is too short to be filled by arrivals.
constexpr int arrivalsWaitPart = 4;
// Part of the objective by which an expected start varies, as it follows the times of single
// requests.
constexpr int allowancePart = 10;
// Errors of the estimated start of an attempt, and time that a copy takes through an entry.
constexpr auto copyEarliness = 10ms;
constexpr auto copyTransit = 60ms;
// Openings that a class can be owed; more would let it have the target alone after a pause.
constexpr double maxCredit = 1.5;
// Avoids a division by zero where no floor is set.
constexpr double minFloor = 0.001;
constexpr double millisecondsPerSecond = 1000;

instant toInstant(double milliseconds)
{
    return std::chrono::duration_cast<instant>(
        std::chrono::duration<double, std::milli>(milliseconds));
}

instant scaled(instant time, double factor)
{
    return instant(static_cast<std::int64_t>(static_cast<double>(time.count()) * factor));
}

milliseconds toMilliseconds(instant time)
{
    return std::chrono::duration_cast<milliseconds>(std::max(time, instant{}));
}

void smooth(double &value, milliseconds newest)
{
    value += smoothingWeight * (static_cast<double>(newest.count()) - value);
}

// Callers that were served about as often have the same level.
double shareLevel(double share)
{
    return std::floor(std::log2(1 + share / shareLevelWidth));
}

bool exceeds(double share, double other)
{
    return share > other * shareFactor + shareTolerance;
}

flow_key flowOf(const waiting_opening &item)
{
    return item.head.flowFromCaller();
}

} // namespace

instant attemptStartTime(instant now, std::uint32_t copy)
{
    return now - copyTimes[std::min<std::size_t>(copy, copyTimes.size() - 1)];
}

std::uint8_t copyBit(std::uint32_t copy)
{
    return static_cast<std::uint8_t>(1U << std::min<std::size_t>(copy, copyTimes.size() - 1));
}

std::string_view toString(queue_refusal reason)
{
    constexpr std::array<std::string_view, queueRefusalCount> names{
        "attempt ended", "wait too long", "arrivals first", "queue full", "process paused"};
    return names[static_cast<std::size_t>(reason)];
}

instant waiting_opening::deadline() const
{
    const auto end = timeLimit > 0ms ? std::min(attemptTime, timeLimit - cost) : attemptTime;
    return attemptStart + end - answerReserve;
}

std::optional<instant> waiting_opening::latestTimelyStart(instant now, milliseconds answer) const
{
    const auto latest = attemptStart + objective - answer;
    return objective > 0ms && now <= latest ? std::optional(latest) : std::nullopt;
}

std::size_t waiting_opening::priorityClass() const
{
    return std::min<std::size_t>(priority, priorityClassCount - 1);
}

refusal_proof waiting_opening::proofOfRefusal(instant now) const
{
    auto proof = refusal_proof::proven;
    bool isAfterFirst = false;
    for (std::size_t copy = 0; copy < copyTimes.size(); ++copy) {
        const auto due = attemptStart + copyTimes[copy];
        const bool isReceived = (copies >> copy & 1U) != 0;
        if (isAfterFirst && !isReceived && now >= due - copyEarliness)
            proof = std::max(
                proof, now < due + copyTransit ? refusal_proof::pending : refusal_proof::missing);
        isAfterFirst = isAfterFirst || isReceived;
    }
    return proof;
}

bool timelyFirst(
    const waiting_opening &left, const waiting_opening &right, instant now, milliseconds answer)
{
    const auto leftStart = left.latestTimelyStart(now, answer);
    const auto rightStart = right.latestTimelyStart(now, answer);
    if (leftStart.has_value() != rightStart.has_value())
        return leftStart.has_value();
    if (leftStart)
        return *leftStart < *rightStart;
    return std::pair(left.priority, left.deadline()) < std::pair(right.priority, right.deadline());
}

bool byArrival(const waiting_opening &left, const waiting_opening &right, instant, milliseconds)
{
    return left.attemptStart < right.attemptStart;
}

double opening_queue::decaying_sum::read(instant now, milliseconds memory) const
{
    const auto passed = std::chrono::duration<double>(std::max(now - at, instant{}));
    return value * std::exp(-passed / std::chrono::duration<double>(memory));
}

void opening_queue::decaying_sum::add(instant now, double amount, milliseconds memory)
{
    value = read(now, memory) + amount;
    at = now;
}

void opening_queue::recordServiceTime(milliseconds duration)
{
    smooth(m_serviceMs, std::clamp<milliseconds>(duration, minServiceTime, maxServiceTime));
    m_plannedAt.reset();
}

void opening_queue::recordHandshakeTime(milliseconds duration)
{
    smooth(m_handshakeMs, std::clamp<milliseconds>(duration, 0ms, maxHandshakeTime));
}

void opening_queue::setAllowedStarts(std::vector<instant> starts)
{
    m_allowedStarts = std::move(starts);
    m_plannedAt.reset();
}

void opening_queue::recordArrival(instant now, const waiting_opening &opening)
{
    if (!opening.latestTimelyStart(now, answerTime()))
        return;
    const auto each = opening.priorityClass();
    m_arrivingWork[each].add(now, costMsOf(opening), arrivalMemory);
    m_arrivals[each].add(now, 1, arrivalMemory);
}

void opening_queue::recordServed(instant now, const endpoint &caller, std::size_t priorityClass)
{
    if (m_callers.size() >= maxCallers && !m_callers.contains(caller.ip)) {
        const auto count = [&](const auto &item) { return item.second.read(now, shareMemory); };
        m_callers.erase(std::ranges::min_element(m_callers, {}, count));
    }
    m_callers[caller.ip].add(now, 1, shareMemory);
    m_plannedAt.reset();
    if (m_openings.empty())
        return;
    std::array<bool, priorityClassCount> waits{};
    waits[priorityClass] = true;
    for (const auto &item : m_openings)
        waits[item.priorityClass()] = true;
    const auto share = floorFor(static_cast<std::size_t>(std::ranges::count(waits, true)));
    for (std::size_t each = 0; each < priorityClassCount; ++each)
        m_credits[each] = std::min(m_credits[each] + (waits[each] ? share : 0), maxCredit);
    m_credits[priorityClass] = std::max(m_credits[priorityClass] - 1, 0.0);
}

std::uint64_t opening_queue::maxConcurrency(std::uint64_t slots) const
{
    const auto onTheWay = std::ceil(static_cast<double>(slots) * m_handshakeMs / m_serviceMs);
    return slots + std::min(static_cast<std::uint64_t>(onTheWay), slots) + 1;
}

milliseconds opening_queue::handshakeTimeout() const
{
    return milliseconds(
        static_cast<std::int64_t>(m_handshakeMs * handshakeFactor + handshakeReserveMs));
}

milliseconds opening_queue::serviceTime() const
{
    return milliseconds(static_cast<std::int64_t>(m_serviceMs));
}

milliseconds opening_queue::answerTime() const
{
    return milliseconds(static_cast<std::int64_t>(m_handshakeMs + m_serviceMs));
}

double opening_queue::costMsOf(const waiting_opening &opening) const
{
    return opening.cost > 0ms ? static_cast<double>(opening.cost.count()) : m_serviceMs;
}

// Start of an opening after others: by the work of the slots, and by the allowed starts. The slots
// are occupied, and the first one is free after about the part of a request that falls to each of
// them.
instant opening_queue::startAfter(
    instant now, const target_room &room, const work_before &before, double ownMs) const
{
    const auto start
        = now + toInstant((room.workAheadMs + before.ms + ownMs) / static_cast<double>(room.slots));
    if (m_allowedStarts.empty())
        return start;
    const auto allowed = std::max(m_allowedStarts[before.count % m_allowedStarts.size()], now)
        + std::chrono::seconds(before.count / m_allowedStarts.size());
    return std::max(start, allowed);
}

void opening_queue::setRoom(std::uint64_t slots, milliseconds workAhead)
{
    m_room = {.slots = std::max<std::uint64_t>(slots, 1),
        .workAheadMs = static_cast<double>(workAhead.count())};
    m_plannedAt.reset();
}

milliseconds opening_queue::expectedWait(
    instant now, const waiting_opening &opening, std::uint64_t slots, milliseconds workAhead) const
{
    const auto answer = answerTime();
    const target_room room{.slots = std::max<std::uint64_t>(slots, 1),
        .workAheadMs = static_cast<double>(workAhead.count())};
    work_before before;
    for (const auto &item : m_openings) {
        if (m_policy.order(opening, item, now, answer))
            continue;
        ++before.count;
        before.ms += costMsOf(item);
    }
    return toMilliseconds(startAfter(now, room, before, costMsOf(opening)) - now);
}

std::optional<queue_refusal> opening_queue::fullFor(const endpoint &caller) const
{
    const auto ofCaller = std::ranges::count(
        m_openings, caller.ip, [](const waiting_opening &item) { return item.head.source.ip; });
    const bool isFull = m_openings.size() >= maxOpenings
        || static_cast<std::size_t>(ofCaller) >= maxOpeningsPerCaller;
    return isFull ? std::optional(queue_refusal::queue_full) : std::nullopt;
}

bool opening_queue::offer(
    instant now, waiting_opening opening, std::uint64_t slots, milliseconds workAhead)
{
    const auto flow = flowOf(opening);
    opening.copies = copyBit(opening.head.copy);
    const auto same = find(flow);
    if (same != m_openings.end()) {
        opening.attemptStart = std::min(opening.attemptStart, same->attemptStart);
        opening.queuedAt = same->queuedAt;
        opening.copies = static_cast<std::uint8_t>(opening.copies | same->copies);
        *same = std::move(opening);
        m_plannedAt.reset();
        return true;
    }
    recordArrival(now, opening);
    setRoom(slots, workAhead);
    m_lastForecast = {
        .left = toMilliseconds(opening.deadline() - now), .refusal = fullFor(opening.head.source)};
    if (m_lastForecast.refusal)
        return false;
    opening.queuedAt = now;
    m_openings.push_back(std::move(opening));
    plan(now);
    const auto planned = std::ranges::find(m_plan, m_openings.size() - 1, &planned_opening::index);
    m_lastForecast = planned->forecast;
    if (!m_lastForecast.refusal)
        return true;
    m_openings.pop_back();
    m_plannedAt.reset();
    return false;
}

std::vector<unserved_opening> opening_queue::judge(
    instant now, std::uint64_t slots, milliseconds workAhead)
{
    if (m_openings.empty())
        return {};
    setRoom(slots, workAhead);
    plan(now);
    std::vector<unserved_opening> removed;
    std::vector<bool> leaves(m_openings.size());
    for (const auto &item : m_plan) {
        auto &opening = m_openings[item.index];
        const auto proof = opening.proofOfRefusal(now);
        const bool isOver = item.forecast.refusal == queue_refusal::attempt_ended;
        if (!item.forecast.refusal || (proof == refusal_proof::pending && !isOver))
            continue;
        leaves[item.index] = true;
        removed.push_back(
            {.opening = std::move(opening), .forecast = item.forecast, .proof = proof});
    }
    if (removed.empty())
        return removed;
    std::size_t index = 0;
    std::erase_if(m_openings, [&](const waiting_opening &) { return leaves[index++]; });
    m_plannedAt.reset();
    return removed;
}

void opening_queue::plan(instant now)
{
    if (m_plannedAt == now)
        return;
    m_plannedAt = now;
    const auto answer = answerTime();
    std::vector<std::size_t> order(m_openings.size());
    std::iota(order.begin(), order.end(), 0);
    std::ranges::stable_sort(order, [&](std::size_t left, std::size_t right) {
        return m_policy.order(m_openings[left], m_openings[right], now, answer);
    });
    m_plan.clear();
    std::ranges::transform(order, std::back_inserter(m_plan), [&](std::size_t index) {
        const auto &item = m_openings[index];
        return planned_opening{.index = index,
            .priorityClass = item.priorityClass(),
            .timelyStart = item.latestTimelyStart(now, answer),
            .deadline = item.deadline(),
            .costMs = costMsOf(item)};
    });
    if (m_policy.sharesRoom) {
        assignShares(now);
        giveWay(now);
    }
    schedule(now);
}

void opening_queue::assignShares(instant now)
{
    std::unordered_map<std::uint32_t, double> counts;
    for (auto &item : m_plan) {
        const auto address = m_openings[item.index].head.source.ip;
        const auto [count, isNew] = counts.try_emplace(address, 0);
        const auto served = isNew ? m_callers.find(address) : m_callers.end();
        if (served != m_callers.end())
            count->second = served->second.read(now, shareMemory);
        item.share = count->second++;
    }
}

// Time to spare for an opening that is to be in time: the slots may take a whole request until one
// is free, and the expected start varies.
instant opening_queue::reserveOf(const planned_opening &item) const
{
    return toInstant(item.costMs) + m_openings[item.index].objective / allowancePart;
}

// Of the openings that can be in time, keeps as many as can start in time one after the other.
// Where one would be late, the least urgent one up to it gives way, then one of the caller with the
// largest share, else the one itself.
void opening_queue::giveWay(instant now)
{
    const auto rank = [&](std::size_t place) {
        return std::tuple(m_plan[place].priorityClass, shareLevel(m_plan[place].share), place);
    };
    const auto isBelow
        = [&](std::size_t left, std::size_t right) { return rank(left) < rank(right); };
    std::priority_queue<std::size_t, std::vector<std::size_t>, decltype(isBelow)> kept(isBelow);
    const auto parts = partsOfClasses();
    work_before before;
    for (std::size_t place = 0; place < m_plan.size() && m_plan[place].timelyStart; ++place) {
        auto &item = m_plan[place];
        const auto yields = [&](const planned_opening &other) {
            return other.priorityClass > item.priorityClass
                || (other.priorityClass == item.priorityClass && exceeds(other.share, item.share));
        };
        const auto isLate = [&](instant reserve) {
            const auto wait = startAfter(now, m_room, before, 0) - now;
            return now + scaled(wait, 1 / parts[item.priorityClass]) + reserve > *item.timelyStart;
        };
        while (!kept.empty() && yields(m_plan[kept.top()]) && isLate(reserveOf(item))) {
            auto &last = m_plan[kept.top()];
            last.gaveWay = true;
            kept.pop();
            --before.count;
            before.ms -= last.costMs;
        }
        item.gaveWay = isLate(0ms);
        if (item.gaveWay)
            continue;
        kept.push(place);
        ++before.count;
        before.ms += item.costMs;
    }
    const auto late = std::stable_partition(m_plan.begin(), m_plan.end(),
        [](const planned_opening &item) { return item.timelyStart && !item.gaveWay; });
    std::stable_sort(late, m_plan.end(), [](const auto &left, const auto &right) {
        const auto key = [](const planned_opening &item) {
            return std::tuple(item.priorityClass, shareLevel(item.share), item.deadline);
        };
        return key(left) < key(right);
    });
}

// Puts the plan into the order of service, with the floors of the classes, and forecasts each
// opening's wait. One that is refused takes no time from those after it.
void opening_queue::schedule(instant now)
{
    // The places of a class in the plan go to its openings in their own order, last ones first
    // here: one that gave way is not overtaken by a later one that did not.
    std::array<std::vector<std::size_t>, priorityClassCount> byClass;
    for (std::size_t place = m_plan.size(); place-- > 0;)
        byClass[m_plan[place].priorityClass].push_back(place);
    auto ordered = byClass;
    const auto isAfter = [&](std::size_t left, std::size_t right) {
        const auto key = [&](const planned_opening &item) {
            return std::tuple(!item.timelyStart, shareLevel(item.share),
                item.timelyStart.value_or(item.deadline));
        };
        return key(m_plan[right]) < key(m_plan[left]);
    };
    if (m_policy.sharesRoom) {
        for (auto &places : ordered)
            std::ranges::stable_sort(places, isAfter);
    }
    const auto classes = static_cast<std::size_t>(
        std::ranges::count_if(byClass, [](const auto &places) { return !places.empty(); }));
    const auto share = m_policy.sharesRoom && classes > 1 ? floorFor(classes) : 0;
    auto credits = m_credits;
    std::array<bool, priorityClassCount> hasServed{};
    std::array<double, priorityClassCount> msOfClass{};
    work_before before;
    m_next.reset();
    const auto pick = [&] {
        std::optional<std::size_t> owed;
        std::optional<std::size_t> first;
        for (std::size_t each = 0; each < priorityClassCount; ++each) {
            if (byClass[each].empty())
                continue;
            if (share > 0 && credits[each] >= 1 && (!owed || credits[each] > credits[*owed]))
                owed = each;
            if (!first || byClass[each].back() < byClass[*first].back())
                first = each;
        }
        return owed ? *owed : *first;
    };
    for (std::size_t left = m_plan.size(); left > 0; --left) {
        const auto each = pick();
        auto &item = m_plan[ordered[each].back()];
        const auto start = startAfter(now, m_room, before, item.costMs);
        before.ofClassMs = msOfClass[each];
        item.forecast = {.wait = toMilliseconds(start - now),
            .left = toMilliseconds(item.deadline - now),
            .refusal = refusalOf(now, item, before, !hasServed[each])};
        if (!m_next && now < item.deadline)
            m_next = item.index;
        if (!item.forecast.refusal) {
            hasServed[each] = true;
            ++before.count;
            before.ms += item.costMs;
            msOfClass[each] += item.costMs;
            for (std::size_t other = 0; other < priorityClassCount; ++other)
                credits[other] += byClass[other].empty() ? 0 : share;
            credits[each] = std::max(credits[each] - 1, 0.0);
        }
        byClass[each].pop_back();
        ordered[each].pop_back();
    }
}

std::optional<queue_refusal> opening_queue::refusalOf(
    instant now, const planned_opening &item, const work_before &before, bool isFirst) const
{
    if (now >= item.deadline)
        return queue_refusal::attempt_ended;
    const auto start = startAfter(now, m_room, before, item.costMs);
    if (start > item.deadline)
        return queue_refusal::wait_too_long;
    const auto objective = m_openings[item.index].objective;
    // The first of each class waits for the class's floor.
    if (!m_policy.sharesRoom || !m_policy.refusesLate || objective == 0ms || isFirst
        || start - now <= objective / arrivalsWaitPart || canBeTimely(now, item, before))
        return std::nullopt;
    // Arrivals that can be in time come before it as long as it waits.
    const auto room = 1 - arrivingLoad(now, priorityClassCount);
    const bool isServed = room > 0 && now + scaled(start - now, 1 / room) <= item.deadline;
    return isServed ? std::nullopt : std::optional(queue_refusal::arrivals_first);
}

// False when it would be late, also by more urgent arrivals while arrivals exceed the capacity.
bool opening_queue::canBeTimely(
    instant now, const planned_opening &item, const work_before &before) const
{
    if (!item.timelyStart)
        return false;
    const auto wait = startAfter(now, m_room, before, 0) - now;
    const auto room
        = arrivingLoad(now, priorityClassCount) < 1 ? 1 : 1 - arrivingLoad(now, item.priorityClass);
    const auto behindUrgent = room > 0 ? scaled(wait, 1 / room) : instant::max();
    const auto byFloor = toInstant(before.ofClassMs / static_cast<double>(m_room.slots)
        / std::max(m_policy.classFloor, minFloor));
    const auto expected = std::max(wait, std::min(behindUrgent, byFloor));
    const auto &opening = m_openings[item.index];
    const auto allowance
        = opening.queuedAt == now ? -reserveOf(item) : instant(opening.objective / allowancePart);
    return now + expected <= *item.timelyStart + allowance;
}

// Part of the target's capacity that recent arrivals of the first `classes` need which can be in
// time.
double opening_queue::arrivingLoad(instant now, std::size_t classes) const
{
    const auto perMillisecond = [&](std::span<const decaying_sum> sums) {
        return std::accumulate(sums.begin(), sums.end(), 0.0, [&](double sum, const auto &item) {
            return sum + item.read(now, arrivalMemory);
        }) / static_cast<double>(arrivalMemory.count());
    };
    const auto work = perMillisecond(std::span(m_arrivingWork).first(classes))
        / static_cast<double>(m_room.slots);
    if (m_allowedStarts.empty())
        return work;
    const auto perSecond
        = perMillisecond(std::span(m_arrivals).first(classes)) * millisecondsPerSecond;
    return std::max(work, perSecond / static_cast<double>(m_allowedStarts.size()));
}

double opening_queue::floorFor(std::size_t waitingClasses) const
{
    return waitingClasses < 2
        ? 0
        : std::min(m_policy.classFloor, 1.0 / static_cast<double>(waitingClasses));
}

// Part of the target that is left to each class by the floors of the less urgent ones that wait.
std::array<double, priorityClassCount> opening_queue::partsOfClasses() const
{
    std::array<bool, priorityClassCount> waits{};
    for (const auto &item : m_plan)
        waits[item.priorityClass] = true;
    const auto share = floorFor(static_cast<std::size_t>(std::ranges::count(waits, true)));
    std::array<double, priorityClassCount> parts{};
    double part = 1;
    for (std::size_t each = priorityClassCount; each-- > 0;) {
        parts[each] = part;
        part -= waits[each] ? share : 0;
    }
    return parts;
}

const waiting_opening *opening_queue::next(instant now)
{
    plan(now);
    return m_next ? &m_openings[*m_next] : nullptr;
}

std::vector<waiting_opening> opening_queue::takeExpired(instant now)
{
    const auto firstEnded = std::stable_partition(m_openings.begin(), m_openings.end(),
        [&](const waiting_opening &item) { return now < item.deadline(); });
    std::vector<waiting_opening> ended(
        std::make_move_iterator(firstEnded), std::make_move_iterator(m_openings.end()));
    m_openings.erase(firstEnded, m_openings.end());
    m_plannedAt.reset();
    return ended;
}

std::vector<waiting_opening> opening_queue::takeAll()
{
    m_plannedAt.reset();
    return std::exchange(m_openings, {});
}

std::vector<waiting_opening>::iterator opening_queue::find(const flow_key &flow)
{
    return std::ranges::find(m_openings, flow, flowOf);
}

bool opening_queue::contains(const flow_key &flow) const
{
    return std::ranges::find(m_openings, flow, flowOf) != m_openings.end();
}

std::optional<waiting_opening> opening_queue::take(const flow_key &flow)
{
    const auto found = find(flow);
    if (found == m_openings.end())
        return std::nullopt;
    auto taken = std::move(*found);
    m_openings.erase(found);
    m_plannedAt.reset();
    return taken;
}

} // namespace toucan
