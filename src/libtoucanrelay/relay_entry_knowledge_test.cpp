#include "engine_fixtures.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <functional>
#include <toucan/digest_book.h>

using namespace toucan;
using namespace toucan::testing;

namespace {

constexpr endpoint otherEntry{.ip = 0x0a010002, .port = 7000};
constexpr endpoint thirdEntry{.ip = 0x0a010003, .port = 7000};
constexpr std::uint32_t pageOfMembers = 17; // More than one page.

endpoint addressOf(std::uint32_t number)
{
    return {.ip = 0x0a020000 + number, .port = 7000};
}

std::set<std::uint32_t> numbersBelow(std::uint32_t limit)
{
    std::set<std::uint32_t> numbers;
    for (std::uint32_t i = 0; i < limit; ++i)
        numbers.insert(numbers.end(), i);
    return numbers;
}

bool listsStopped(const member_digest &page)
{
    return std::ranges::any_of(page.members, &member_state::leaving);
}

/// Another entry with its own view of one failure domain.
struct other_entry
{
    endpoint address;
    std::string entryDomain;
    std::string domain; ///< Of the members that it has.
    std::uint64_t boot = 2;
    member_table members;
    digest_book book;
    std::uint64_t order = 10'000; ///< Its reports are newer than those to the entry under test.
    std::uint64_t unheardMs = 0; ///< Its time without digests of the domain; not complete then.

    void hear(instant now, std::uint32_t number, bool leaving = false, std::uint64_t load = 0)
    {
        auto report = reportOf("t" + std::to_string(number), target_standing::ready, 3);
        report.domain = domain;
        report.order = ++order;
        report.leaving = leaving;
        report.load = load;
        members.apply(now, addressOf(number), report);
    }
    std::vector<member_digest> digest(instant now, bool whole)
    {
        return book.make(now, members, domain,
            {.address = address, .domain = entryDomain, .boot = boot}, unheardMs == 0, whole);
    }
};

/// An entry of domain "a", its members, and other entries that answer its requests.
struct knowledge_fixture : entry_fixture
{
    std::vector<other_entry *> others;
    std::set<std::uint32_t> reporting; ///< Members that report to the entry itself.
    std::uint64_t order = 100;
    bool answersRequests = true;
    std::set<endpoint> silent; ///< Members that answer nothing.
    endpoint holding; ///< A silent member that answers questions: it holds the flow.
    std::function<bool(const member_digest &)> loses = [](const auto &) { return false; };

    void introduce(const other_entry &other)
    {
        auto notice = encodeRelayMessage(entry_notice{.name = toString(other.address),
            .domain = other.entryDomain,
            .boot = other.boot,
            .revision = 1,
            .knowsDomain = true});
        engine.onPeerBytes(now, other.address, notice);
    }
    void deliver(const other_entry &from, std::span<const member_digest> pages)
    {
        for (const auto &page : pages) {
            auto bytes = encodeRelayMessage(page);
            if (!loses(page))
                engine.onPeerBytes(now, from.address, bytes);
        }
    }
    void answer(const endpoint &to, byte_buffer &bytes)
    {
        const auto message = decodeRelayMessage(bytes);
        const auto *request
            = valueOf(message) ? std::get_if<digest_request>(valueOf(message)) : nullptr;
        if (!request) {
            if (to == holding)
                answerQuestion(to, bytes, flow_lookup_result::held);
            else if (!asksSilent(to, bytes))
                answerNotHeld(to, bytes);
            return;
        }
        const auto other = std::ranges::find_if(others, [&](const auto *item) {
            return item->address == to && item->domain == request->domain;
        });
        if (other == others.end() || !answersRequests)
            return;
        auto pages = (*other)->digest(now, !request->news);
        for (auto &page : pages) {
            page.direct = request->news;
            page.requestedAtMs = request->requestedAtMs;
            page.unheardMs = (*other)->unheardMs;
        }
        deliver(**other, pages);
    }
    // Members that answer deny all flows; other entries answer requests and send notices.
    void run(std::chrono::milliseconds time)
    {
        for (auto left = time; left > 0ms; left -= 10ms) {
            now += 10ms;
            if (left % 250ms == 0ms) {
                for (const auto number : reporting) {
                    auto report = reportOf("t" + std::to_string(number), target_standing::ready, 3);
                    report.order = ++order;
                    fixtureReport(report, addressOf(number));
                }
                std::ranges::for_each(others, [&](const auto *other) { introduce(*other); });
            }
            engine.onTick(now);
            for (auto &[to, bytes] : std::exchange(port.toPeers, {}))
                answer(to, bytes);
        }
    }
    std::size_t resets() const { return port.toCallers.size(); }

private:
    // A segment is passed along its candidates.
    bool asksSilent(const endpoint &to, byte_buffer &bytes) const
    {
        const auto packet = decodeRelayPacket(bytes);
        return silent.contains(to)
            || (packet && std::ranges::any_of(packet->header.candidates, [&](const auto &next) {
                   return silent.contains(next);
               }));
    }
    void fixtureReport(const target_report &message, const endpoint &from)
    {
        report(message, from);
    }
};

} // namespace

TEST_CASE("entry: a flow of a stopped member is not reset when the page that lists it is lost")
{
    const auto domain = GENERATE(as<std::string>(), "a", "b");
    const bool losesPage = GENERATE(true, false);
    const bool answersRequests = GENERATE(true, false);
    INFO("members of " << domain << ", page lost " << losesPage << ", requests answered "
                       << answersRequests);
    knowledge_fixture fleet;
    other_entry other{.address = otherEntry, .entryDomain = domain, .domain = domain};
    fleet.others = {&other};
    fleet.answersRequests = answersRequests;
    fleet.reporting = {100};
    fleet.silent = {addressOf(pageOfMembers)};
    other.hear(fleet.now, pageOfMembers, true);
    const auto hearAll = [&](std::uint64_t load) {
        for (std::uint32_t i = 0; i < pageOfMembers; ++i)
            other.hear(fleet.now, i, false, load);
    };
    // Digests of changes do not list the member any more.
    hearAll(0);
    if (domain == "a")
        fleet.reporting = numbersBelow(pageOfMembers);
    fleet.run(domain == "a" ? 260ms : 3500ms);
    if (losesPage)
        fleet.loses = listsStopped;
    fleet.deliver(other, other.digest(fleet.now, true));
    hearAll(1000);
    fleet.run(300ms);
    fleet.deliver(other, other.digest(fleet.now, false));
    fleet.sendRequest();
    for (int round = 0; round < 6; ++round) {
        hearAll(1000);
        fleet.run(250ms);
        if (round % 4 == 3)
            fleet.deliver(other, other.digest(fleet.now, false));
    }
    CHECK(fleet.resets() == 0);
}

TEST_CASE("entry: a flow of a new member that has not reported here is not reset")
{
    const bool answersRequests = GENERATE(true, false);
    knowledge_fixture fleet;
    other_entry other{.address = otherEntry, .entryDomain = "a", .domain = "a"};
    fleet.others = {&other};
    fleet.answersRequests = answersRequests;
    fleet.reporting = {0, 1, 2};
    for (int round = 0; round < 20; ++round) {
        std::ranges::for_each(fleet.reporting, [&](auto i) { other.hear(fleet.now, i); });
        fleet.run(250ms);
        if (round == 4)
            fleet.deliver(other, other.digest(fleet.now, true));
    }
    other.hear(fleet.now, 7);
    fleet.silent = {addressOf(7)};
    fleet.sendRequest();
    fleet.run(600ms);
    INFO("requests answered " << answersRequests);
    CHECK(fleet.resets() == 0);
}

TEST_CASE("entry: a digest that was made before the flow opened does not show that it is gone")
{
    knowledge_fixture fleet;
    other_entry other{.address = otherEntry, .entryDomain = "b", .domain = "b"};
    fleet.others = {&other};
    fleet.reporting = {100};
    std::ranges::for_each(numbersBelow(3), [&](std::uint32_t i) { other.hear(fleet.now, i); });
    fleet.run(260ms);
    fleet.deliver(other, other.digest(fleet.now, true));
    fleet.run(1s);
    const auto late = other.digest(fleet.now, false);
    other.hear(fleet.now, 7);
    fleet.silent = {addressOf(7)};
    fleet.answersRequests = false;
    fleet.sendRequest();
    fleet.run(500ms);
    fleet.deliver(other, late);
    fleet.run(200ms);
    CHECK(fleet.resets() == 0);
}

TEST_CASE("entry: members that fall silent together with all entries are not taken for gone")
{
    knowledge_fixture fleet;
    other_entry other{.address = otherEntry, .entryDomain = "a", .domain = "a"};
    fleet.others = {&other};
    fleet.reporting = {0, 1, 2};
    for (int round = 0; round < 8; ++round) {
        std::ranges::for_each(fleet.reporting, [&](auto i) { other.hear(fleet.now, i); });
        fleet.run(250ms);
        if (round == 4)
            fleet.deliver(other, other.digest(fleet.now, true));
    }
    const bool hearsAgain = GENERATE(true, false);
    INFO("one member is heard again " << hearsAgain);
    fleet.reporting = {};
    fleet.others = {};
    fleet.silent = {addressOf(0), addressOf(1), addressOf(2)};
    for (int step = 0; step < 600; ++step)
        fleet.advance(10ms);
    if (hearsAgain)
        fleet.reporting = {2};
    for (int second = 0; second < 3; ++second) {
        fleet.sendRequest();
        fleet.run(1s);
    }
    CHECK(fleet.resets() == 0);
}

TEST_CASE("entry: silence of a failure domain that a third one hears does not end its flows")
{
    knowledge_fixture fleet;
    other_entry other{.address = otherEntry, .entryDomain = "b", .domain = "b"};
    other_entry third{.address = thirdEntry, .entryDomain = "c", .domain = "b", .boot = 3};
    fleet.others = {&other, &third};
    fleet.reporting = {100};
    const auto hearAll = [&] {
        for (std::uint32_t i = 0; i < 3; ++i) {
            other.hear(fleet.now, i);
            third.hear(fleet.now, i);
        }
    };
    hearAll();
    fleet.run(260ms);
    fleet.deliver(other, other.digest(fleet.now, true));
    fleet.run(1s);
    fleet.others = {&third};
    fleet.silent = {addressOf(0), addressOf(1), addressOf(2)};
    for (int round = 0; round < 20; ++round) {
        hearAll();
        fleet.run(250ms);
    }
    fleet.sendRequest();
    for (int round = 0; round < 8; ++round) {
        hearAll();
        fleet.run(250ms);
    }
    CHECK(fleet.resets() == 0);
}

TEST_CASE("entry: a failure domain is gone only when an entry of each other domain says so")
{
    const bool isGone = GENERATE(true, false);
    knowledge_fixture fleet;
    other_entry third{.address = thirdEntry, .entryDomain = "c", .domain = "b", .boot = 3};
    other_entry fourth{
        .address = {.ip = 0x0a010004, .port = 7000}, .entryDomain = "d", .domain = "b", .boot = 4};
    other_entry viewOfOwn{.address = thirdEntry, .entryDomain = "c", .domain = "a", .boot = 3};
    other_entry emptyThird{.address = thirdEntry, .entryDomain = "c", .domain = "c", .boot = 3};
    other_entry emptyFourth{
        .address = fourth.address, .entryDomain = "d", .domain = "d", .boot = 4};
    const other_entry lost{.address = otherEntry, .entryDomain = "b", .domain = "b"};
    fleet.introduce(lost);
    fleet.others = {&third, &fourth, &viewOfOwn, &emptyThird, &emptyFourth};
    fleet.reporting = {100};
    fleet.silent = {addressOf(0), addressOf(1), addressOf(2)};
    for (std::uint32_t i = 0; i < 3; ++i) {
        third.hear(fleet.now, i);
        fourth.hear(fleet.now, i);
    }
    viewOfOwn.hear(fleet.now, 100);
    fleet.run(260ms);
    auto pages = third.digest(fleet.now, true);
    std::ranges::for_each(pages, [](auto &page) { page.originDomain = "b"; });
    fleet.deliver(third, pages);
    third.unheardMs = 5000;
    fourth.unheardMs = isGone ? 5000 : 0;
    for (int round = 0; round < 20; ++round) {
        viewOfOwn.hear(fleet.now, 100);
        for (std::uint32_t i = 0; i < 3; ++i) {
            if (!isGone)
                fourth.hear(fleet.now, i);
        }
        fleet.run(250ms);
    }
    for (int round = 0; round < 24; ++round) {
        viewOfOwn.hear(fleet.now, 100);
        if (round % 4 == 0)
            fleet.sendRequest();
        for (std::uint32_t i = 0; i < 3; ++i) {
            if (!isGone)
                fourth.hear(fleet.now, i);
        }
        fleet.run(250ms);
    }
    INFO("gone " << isGone);
    CHECK((fleet.resets() > 0) == isGone);
}

// Its processes outlive the entries of the domain.
TEST_CASE("entry: members of a failure domain without entries are asked before a flow is reset")
{
    const bool isAnswered = GENERATE(true, false);
    knowledge_fixture fleet;
    other_entry third{.address = thirdEntry, .entryDomain = "c", .domain = "b", .boot = 3};
    other_entry viewOfOwn{.address = thirdEntry, .entryDomain = "c", .domain = "a", .boot = 3};
    other_entry emptyThird{.address = thirdEntry, .entryDomain = "c", .domain = "c", .boot = 3};
    fleet.introduce({.address = otherEntry, .entryDomain = "b", .domain = "b"});
    fleet.others = {&third, &viewOfOwn, &emptyThird};
    fleet.reporting = {100};
    fleet.silent = {addressOf(0), addressOf(1), addressOf(2)};
    for (std::uint32_t i = 0; i < 3; ++i)
        third.hear(fleet.now, i);
    viewOfOwn.hear(fleet.now, 100);
    fleet.run(260ms);
    auto pages = third.digest(fleet.now, true);
    std::ranges::for_each(pages, [](auto &page) { page.originDomain = "b"; });
    fleet.deliver(third, pages);
    third.unheardMs = 5000;
    const auto pass = [&](int rounds) {
        for (int round = 0; round < rounds; ++round) {
            viewOfOwn.hear(fleet.now, 100);
            fleet.run(250ms);
        }
    };
    pass(6);
    // A digest of the domain that says nothing about these members.
    auto later = third.digest(fleet.now, false);
    std::ranges::for_each(later, [](auto &page) {
        page.originDomain = "b";
        page.complete = false;
        page.members.clear();
    });
    fleet.deliver(third, later);
    pass(4);
    // The search asks before the silence is long enough to show anything.
    fleet.sendRequest();
    pass(2);
    if (isAnswered)
        fleet.holding = addressOf(1);
    pass(34);
    INFO("answered " << isAnswered);
    CHECK((fleet.resets() > 0) != isAnswered);
}

TEST_CASE("entry: a member that another entry hears keeps its flow although segments go on coming")
{
    knowledge_fixture fleet;
    other_entry other{.address = otherEntry, .entryDomain = "a", .domain = "a"};
    fleet.others = {&other};
    fleet.reporting = {0, 1, 2};
    fleet.silent = {addressOf(2)};
    for (int round = 0; round < 60; ++round) {
        for (std::uint32_t i = 0; i < 3; ++i)
            other.hear(fleet.now, i);
        if (round == 16)
            fleet.reporting.erase(2);
        if (round > 20 && round % 4 == 0)
            fleet.sendRequest();
        fleet.run(250ms);
        if (round == 4)
            fleet.deliver(other, other.digest(fleet.now, true));
    }
    CHECK(fleet.resets() == 0);
}

TEST_CASE("entry: a flow that no member holds is reset once the other entries have confirmed that")
{
    for (const std::string domain : {"a", "b"}) {
        knowledge_fixture fleet;
        other_entry other{.address = otherEntry, .entryDomain = domain, .domain = domain};
        fleet.others = {&other};
        fleet.reporting = {100};
        if (domain == "a")
            fleet.reporting = {0, 1, 2};
        // It knows the entry's own members by digests.
        other_entry view{.address = otherEntry, .entryDomain = domain, .domain = "a"};
        if (domain == "b")
            fleet.others.push_back(&view);
        for (int round = 0; round < 8; ++round) {
            for (std::uint32_t i = 0; i < 3; ++i)
                other.hear(fleet.now, i);
            view.hear(fleet.now, 100);
            fleet.run(250ms);
            fleet.deliver(other, other.digest(fleet.now, round == 0));
        }
        fleet.sendRequest();
        for (std::uint32_t i = 0; i < 3; ++i)
            other.hear(fleet.now, i);
        fleet.run(500ms);
        INFO("members of " << domain);
        CHECK(fleet.resets() == 1);
    }
}
