#include <algorithm>
#include <catch2/catch.hpp>
#include <cstring>
#include <map>
#include <random>
#include <set>
#include <toucan/link_scheduler.h>
#include <toucan/opening_queue.h>
#include <toucan/transfer_gate.h>

using namespace toucan;
using namespace std::chrono_literals;

namespace {

constexpr std::size_t segmentHead = 36;
constexpr std::size_t relayHead = 50;
constexpr std::size_t segmentData = 1200;
constexpr std::size_t window = 16;
constexpr double configuredRate = 10;
constexpr std::uint32_t firstCaller = 0x64400001;

// A link that loses what would wait in it for longer than `room`.
struct fake_link
{
    double megabits = configuredRate;
    instant room = 600ms;
    instant idleAt{};

    std::optional<instant> carry(instant now, std::size_t bytes)
    {
        const auto start = std::max(now, idleAt);
        if (start - now > room)
            return std::nullopt;
        idleAt
            = start + instant(static_cast<instant::rep>(static_cast<double>(bytes) * 8 / megabits));
        return idleAt;
    }
};

struct fake_caller
{
    flow_key flow;
    bool isBulk = false;
    instant startedAt{};
    std::size_t segments = 1;
    std::size_t dataBytes = segmentData;
    std::size_t nextSegment = 0;
    std::map<std::size_t, instant> outstanding; ///< Retransmission interval by segment.
    std::set<std::uint32_t> received; ///< Sequence numbers at the target.
    bool isOpen = false;
    std::optional<instant> refusedAt;
    std::optional<instant> answeredAt;
};

// What the targets need to know of a datagram; the first bytes of its header.
struct packet
{
    fake_caller *caller = nullptr;
    std::uint32_t sequence = 0;
    bool opens = false;
    bool ends = false;
};

struct options
{
    double load = 1; ///< Of transfers, as a share of the link.
    bool isScheduled = true;
    double actualRate = configuredRate;
    instant duration = 10s;
    std::optional<instant> pausedAt; ///< The entry stops for a second.
    std::optional<instant> targetLostAt; ///< Targets answer nothing for a second.
};

// Callers, the links of one entry in both directions and the entry. Targets answer past the entry.
class fake_entry
{
public:
    fake_entry(const options &options, std::uint64_t seed)
        : m_options(options)
        , m_random(seed)
        , m_link(options.isScheduled ? configuredRate : 0)
        , m_gate(options.isScheduled ? configuredRate : 0)
    {
        m_in.megabits = m_out.megabits = options.actualRate;
        const auto time = options.duration - 1s;
        const auto segments = options.load * configuredRate / 8 * static_cast<double>(time.count())
            / static_cast<double>(segmentData + segmentHead + relayHead + datagramOverhead);
        std::uniform_real_distribution<double> place(0, 1);
        std::uniform_int_distribution<std::size_t> size(10, 57);
        std::vector<std::size_t> sizes;
        for (std::size_t sum = 0; static_cast<double>(sum) < segments; sum += sizes.back())
            sizes.push_back(size(m_random));
        // One start in each of as many spans of equal length.
        const auto span = time / static_cast<instant::rep>(sizes.size());
        for (instant at = 1s; const auto count : sizes) {
            add(at
                    + instant(static_cast<instant::rep>(
                        place(m_random) * static_cast<double>(span.count()))),
                true, count);
            at += span;
        }
        for (instant at = 1s; at < options.duration; at += 25ms)
            add(at, false, 1);
    }

    void run()
    {
        for (auto &caller : m_callers)
            at(caller.startedAt, [&] { open(caller, 0); });
        while (!m_events.empty() && m_events.begin()->first < m_options.duration) {
            m_now = m_events.begin()->first;
            auto work = std::move(m_events.begin()->second);
            m_events.erase(m_events.begin());
            work();
        }
    }

    // Time to the answer that the given share of the small requests stayed below, from `since` on.
    instant smallQuantile(double share, instant since = 0s) const
    {
        std::vector<instant> times;
        for (const auto &caller : m_callers) {
            if (!caller.isBulk && caller.startedAt >= since
                && caller.startedAt < m_options.duration - 1s)
                times.push_back(
                    caller.answeredAt ? *caller.answeredAt - caller.startedAt : instant(1h));
        }
        std::ranges::sort(times);
        return times[static_cast<std::size_t>(static_cast<double>(times.size() - 1) * share)];
    }
    // Share of the link that data of transfers used after the first second, copies not counted.
    double goodput() const
    {
        const auto time = std::chrono::duration<double, std::micro>(m_options.duration - 2s);
        return static_cast<double>(m_bulkBytes) * 8 / configuredRate / time.count();
    }
    // Openings that ended at the caller's limit instead of with an answer or a refusal.
    std::size_t unansweredOpenings() const
    {
        return static_cast<std::size_t>(std::ranges::count_if(m_callers, [&](const auto &caller) {
            return !caller.isOpen && !caller.refusedAt
                && caller.startedAt + attemptTime < m_options.duration;
        }));
    }
    instant longestRefusal() const
    {
        instant longest{};
        for (const auto &caller : m_callers)
            longest
                = std::max(longest, caller.refusedAt.value_or(caller.startedAt) - caller.startedAt);
        return longest;
    }
    std::size_t served() const
    {
        return static_cast<std::size_t>(std::ranges::count_if(m_callers,
            [](const auto &caller) { return caller.isBulk && caller.answeredAt.has_value(); }));
    }
    const link_scheduler &link() const { return m_link; }
    const transfer_gate &gate() const { return m_gate; }

private:
    void add(instant at, bool isBulk, std::size_t segments)
    {
        m_callers.push_back(
            {.flow = {.caller
                 = {.ip = firstCaller + static_cast<std::uint32_t>(m_callers.size()), .port = 4000},
                 .service = {.ip = 0xc6120001, .port = 443}},
                .isBulk = isBulk,
                .startedAt = at,
                .segments = segments,
                .dataBytes = isBulk ? segmentData : 900});
    }
    void at(instant time, std::function<void()> work) { m_events.emplace(time, std::move(work)); }
    bool isPaused()
    {
        const bool isPaused = m_options.pausedAt && m_now >= *m_options.pausedAt
            && m_now < *m_options.pausedAt + 1s;
        m_wasPaused = m_wasPaused || isPaused;
        return isPaused;
    }

    void open(fake_caller &caller, std::uint32_t copy)
    {
        const auto passed = m_now - caller.startedAt;
        if (caller.isOpen || caller.refusedAt || passed >= attemptTime)
            return;
        toEntry(caller, {.synchronize = true, .copy = copy});
        if (copy + 1 < copyTimes.size())
            at(caller.startedAt + copyTimes[copy + 1], [&, copy] { open(caller, copy + 1); });
    }
    void send(fake_caller &caller, std::size_t number)
    {
        if (caller.answeredAt)
            return;
        const auto interval = caller.outstanding[number];
        caller.outstanding[number] = std::min<instant>(interval * 2, 1600ms);
        toEntry(caller,
            {.acknowledge = true,
                .sequence = static_cast<std::uint32_t>(number),
                .length = static_cast<std::uint32_t>(caller.dataBytes)});
        at(m_now + interval, [&, number] {
            if (caller.outstanding.contains(number))
                send(caller, number);
        });
    }
    void sendWindow(fake_caller &caller)
    {
        while (caller.outstanding.size() < window && caller.nextSegment < caller.segments) {
            caller.outstanding[caller.nextSegment] = 200ms;
            send(caller, caller.nextSegment++);
        }
    }
    void toEntry(fake_caller &caller, segment head)
    {
        head.source = caller.flow.caller;
        head.destination = caller.flow.service;
        if (const auto arrival = m_in.carry(m_now, segmentHead + datagramOverhead + head.length))
            at(*arrival + 1ms, [&, head] { arrive(caller, head); });
    }

    void arrive(fake_caller &caller, const segment &head)
    {
        if (isPaused())
            return;
        if (std::exchange(m_wasPaused, false)) {
            m_link.clear();
            m_gate.clear();
        }
        const auto verdict = head.isOpening() && caller.isBulk
            ? m_gate.offer(m_now, head, {}, attemptStartTime(m_now, head.copy), 800ms)
            : transfer_gate::verdict::admitted;
        if (verdict == transfer_gate::verdict::refused)
            refuse(caller);
        if (verdict == transfer_gate::verdict::admitted)
            forward(caller, head);
        wakeUp();
    }
    void refuse(fake_caller &caller)
    {
        at(m_now + 1ms, [&] { caller.refusedAt = m_now; });
    }
    void forward(fake_caller &caller, const segment &head)
    {
        const packet bytes{.caller = &caller,
            .sequence = head.sequence,
            .opens = head.isOpening(),
            .ends = head.finish};
        const auto view = byte_view(reinterpret_cast<const std::uint8_t *>(&bytes), sizeof(bytes));
        const byte_buffer data(segmentHead + relayHead - sizeof(bytes) + head.length);
        if (head.isOpening()) {
            m_link.count(link_class::control, segmentHead + relayHead);
            leave(view, data);
            return;
        }
        if (caller.isBulk)
            m_gate.onSegment(m_now, head);
        const link_segment about{.flow = caller.flow,
            .sequence = head.sequence,
            .length = head.length,
            .kind = caller.isBulk ? link_class::bulk : link_class::small};
        if (m_link.offer(m_now, about, view, data) == link_scheduler::verdict::pass)
            leave(view, data);
    }
    // What the process does after each wake-up; it wakes up again when something is due.
    void wakeUp()
    {
        if (isPaused())
            return;
        while (const auto late = m_gate.takeLate(m_now))
            refuse(*find(late->head.flowFromCaller()));
        while (const auto item = m_gate.next(m_now))
            forward(*find(item->head.flowFromCaller()), item->head);
        m_link.release(m_now,
            [&](const endpoint &, byte_view head, byte_view payload) { leave(head, payload); });
        const auto due = std::min(
            m_link.untilRelease(m_now).value_or(50ms), m_gate.untilNext(m_now).value_or(50ms));
        const auto next = m_now + std::max<instant>(due, 1ms);
        if (m_wakeUpAt > m_now && m_wakeUpAt <= next)
            return;
        m_wakeUpAt = next;
        at(next, [this] { wakeUp(); });
    }
    fake_caller *find(const flow_key &flow) { return &m_callers[flow.caller.ip - firstCaller]; }

    void leave(byte_view head, byte_view payload)
    {
        packet bytes;
        std::memcpy(&bytes, head.data(), sizeof(bytes));
        if (const auto arrival
            = m_out.carry(m_now, head.size() + payload.size() + datagramOverhead))
            at(*arrival, [=, this] { reachTarget(bytes); });
    }
    void reachTarget(const packet &bytes)
    {
        auto &caller = *bytes.caller;
        const bool isNew = !bytes.opens && caller.received.insert(bytes.sequence).second;
        if (bytes.ends
            || (m_options.targetLostAt && m_now >= *m_options.targetLostAt
                && m_now < *m_options.targetLostAt + 1s))
            return;
        if (bytes.opens) {
            at(m_now + 1ms, [&] {
                if (!std::exchange(caller.isOpen, true))
                    sendWindow(caller);
            });
            return;
        }
        if (isNew && caller.isBulk && m_now >= 2s)
            m_bulkBytes += segmentData + segmentHead + relayHead + datagramOverhead;
        at(m_now + 1ms, [&, number = bytes.sequence] {
            caller.outstanding.erase(number);
            if (caller.outstanding.empty() && caller.nextSegment == caller.segments)
                at(m_now + 5ms, [&] { answer(caller); });
            else
                sendWindow(caller);
        });
    }
    void answer(fake_caller &caller)
    {
        if (caller.answeredAt)
            return;
        caller.answeredAt = m_now;
        toEntry(caller, {.acknowledge = true, .finish = true, .sequence = 1U << 20U});
    }

    options m_options;
    std::mt19937_64 m_random;
    link_scheduler m_link;
    transfer_gate m_gate;
    fake_link m_in;
    fake_link m_out;
    std::deque<fake_caller> m_callers;
    std::multimap<instant, std::function<void()>> m_events;
    instant m_now{};
    instant m_wakeUpAt{};
    bool m_wasPaused = false;
    std::uint64_t m_bulkBytes = 0;
};

} // namespace

TEST_CASE("link: without a scheduler transfers beyond the link's rate make everybody late")
{
    const auto load = GENERATE(2.0, 3.0);
    fake_entry entry({.load = load, .isScheduled = false}, 7711);
    entry.run();
    CHECK(entry.smallQuantile(0.99) > 200ms);
    CHECK(entry.unansweredOpenings() > 0);
}

TEST_CASE("link: small requests are in time beside transfers that exceed the link")
{
    const auto load = GENERATE(1.0, 2.0, 3.0);
    const auto seed = GENERATE(7711U, 1U, 2U, 3U, 4U);
    fake_entry entry({.load = load}, seed);
    entry.run();
    INFO("load " << load << " seed " << seed);
    CHECK(entry.smallQuantile(1) < 200ms);
    CHECK(entry.goodput() >= 0.9);
    CHECK(entry.unansweredOpenings() == 0);
    CHECK(entry.longestRefusal() < 800ms);
}

TEST_CASE("link: an entry serves on when its link is slower than configured")
{
    fake_entry entry({.load = 1, .actualRate = 6}, 7711);
    entry.run();
    CHECK(entry.unansweredOpenings() == 0);
    CHECK(entry.goodput() >= 0.9 * 0.6);
}

TEST_CASE("link: an entry serves on after a pause")
{
    fake_entry entry({.load = 2, .pausedAt = 4s}, 7711);
    entry.run();
    CHECK(entry.smallQuantile(1, 6s) < 200ms);
    CHECK(entry.gate().waiting() < 40);
}

TEST_CASE("link: transfers whose target is gone make room for others")
{
    fake_entry entry({.load = 1, .targetLostAt = 4s}, 7711);
    entry.run();
    CHECK(entry.smallQuantile(1, 6s) < 200ms);
    CHECK(entry.gate().running() <= 2 * entry.gate().maxRunning());
}
