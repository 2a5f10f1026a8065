#include <algorithm>
#include <catch2/catch.hpp>
#include <set>
#include <toucan/entry_roster.h>

using namespace toucan;
using namespace std::chrono_literals;

namespace {

endpoint entryAt(std::uint32_t number)
{
    return {.ip = 0x0a010000 + number, .port = 7000};
}

// Entries of one failure domain, each with its own roster; all receive messages of all others
// except those in `silent`.
struct domain_fixture
{
    std::vector<entry_roster> rosters;
    std::vector<store_standing> standing;
    instant now = 100s;

    explicit domain_fixture(std::uint32_t count)
    {
        for (std::uint32_t i = 0; i < count; ++i)
            rosters.emplace_back(entryAt(i), "a");
        standing.resize(count, store_standing::not_asked);
        recordSeen({});
    }
    void recordSeen(const std::set<std::uint32_t> &silent)
    {
        for (auto &roster : rosters) {
            for (std::uint32_t from = 0; from < rosters.size(); ++from) {
                if (!silent.contains(from))
                    roster.recordSeen(now, {.address = entryAt(from), .domain = "a"});
            }
        }
    }
    // Each entry calls the store if it has to and reports its state to the others; calls of those
    // in `cutOff` fail.
    void settle(const std::set<std::uint32_t> &cutOff)
    {
        for (std::size_t round = 0; round < rosters.size(); ++round) {
            for (std::uint32_t each = 0; each < rosters.size(); ++each) {
                if (rosters[each].shouldFollowStore(now, standing[each]))
                    standing[each]
                        = cutOff.contains(each) ? store_standing::lost : store_standing::followed;
                else if (standing[each] == store_standing::followed)
                    standing[each] = store_standing::not_asked;
                for (auto &other : rosters) {
                    if (auto *peer = other.at(entryAt(each)))
                        peer->store = standing[each];
                }
            }
        }
    }
    // Entries that call the store.
    std::vector<std::uint32_t> storeCallers() const
    {
        std::vector<std::uint32_t> list;
        for (std::uint32_t each = 0; each < rosters.size(); ++each) {
            if (rosters[each].shouldFollowStore(now, standing[each]))
                list.push_back(each);
        }
        return list;
    }
    std::size_t followers() const
    {
        return static_cast<std::size_t>(std::ranges::count(standing, store_standing::followed));
    }
    std::vector<std::uint32_t> delegates() const
    {
        std::vector<std::uint32_t> list;
        for (std::uint32_t each = 0; each < rosters.size(); ++each) {
            if (rosters[each].isDelegate(now))
                list.push_back(each);
        }
        return list;
    }
};

} // namespace

TEST_CASE("roster: a domain has two delegates, and others replace silent ones")
{
    domain_fixture domain(12);
    const auto first = domain.delegates();
    CHECK(first.size() == delegatesPerDomain);
    domain.now += entry_roster::silenceLimit;
    domain.recordSeen({first[0]});
    const auto second = domain.delegates();
    // The silent entry's own roster may still name it as a delegate; no other roster does.
    CHECK(std::ranges::count_if(second, [&](auto each) { return each != first[0]; })
        == delegatesPerDomain);
    CHECK(std::ranges::find(second, first[1]) != second.end());
}

TEST_CASE("roster: two entries follow the store, and others take over when it stops answering them")
{
    domain_fixture domain(12);
    domain.settle({});
    const auto first = domain.storeCallers();
    CHECK(first.size() == delegatesPerDomain);
    CHECK(domain.followers() == delegatesPerDomain);
    for (std::size_t lost = 1; lost < maxFollowers; ++lost) {
        domain_fixture again(12);
        std::set<std::uint32_t> cutOff;
        for (std::size_t i = 0; i < lost; ++i) {
            again.settle(cutOff);
            cutOff.insert(again.storeCallers().front());
        }
        again.settle(cutOff);
        INFO("lost by " << lost);
        CHECK(again.followers() == delegatesPerDomain);
        // Those that are cut off need not try while two others follow.
        CHECK(again.storeCallers().size() == delegatesPerDomain);
    }
}

TEST_CASE("roster: while the store answers no entry a few try, and two follow when it is back")
{
    domain_fixture domain(12);
    domain.settle({0, 1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11});
    CHECK(domain.storeCallers().size() == maxFollowers);
    CHECK(domain.followers() == 0);
    domain.settle({});
    CHECK(domain.followers() >= delegatesPerDomain);
    CHECK(domain.storeCallers().size() == delegatesPerDomain);
}

TEST_CASE("roster: silent delegates of another domain are tried in turn until some are alive")
{
    entry_roster roster(entryAt(1), "a");
    const instant now = 100s;
    for (std::uint32_t i = 10; i < 16; ++i)
        roster.add(now, {.address = entryAt(i), .domain = "b"});
    std::set<endpoint> tried;
    for (int second = 0; second < 6; ++second) {
        const auto asked = roster.delegatesOf("b", now + second * 1s);
        CHECK(asked.size() == delegatesPerDomain);
        tried.insert(asked.begin(), asked.end());
    }
    CHECK(tried.size() == 6);
    roster.recordSeen(now, {.address = entryAt(12), .domain = "b"});
    roster.recordSeen(now, {.address = entryAt(13), .domain = "b"});
    const auto alive = roster.delegatesOf("b", now);
    CHECK(std::set<endpoint>(alive.begin(), alive.end())
        == std::set<endpoint>{entryAt(12), entryAt(13)});
}

TEST_CASE("roster: all entries of its domain and delegates of others are announced to a process")
{
    entry_roster roster(entryAt(1), "a");
    const instant now = 100s;
    for (std::uint32_t i = 2; i < 6; ++i)
        roster.recordSeen(now, {.address = entryAt(i), .domain = "a"});
    for (std::uint32_t i = 10; i < 16; ++i)
        roster.add(now, {.address = entryAt(i), .domain = "b"});
    const auto countIn = [&](std::string_view recipient, std::string_view domain) {
        const auto announced = roster.entriesToAnnounce(recipient, now);
        return std::ranges::count(announced, domain, &entry_place::domain);
    };
    CHECK(countIn("a", "a") == 5);
    CHECK(countIn("a", "b") == delegatesPerDomain);
    CHECK(countIn("b", "b") == 6);
}

TEST_CASE("roster: an entry that reports its stop is not used, a silent one is removed")
{
    entry_roster roster(entryAt(1), "a");
    const instant now = 100s;
    CHECK(roster.recordSeen(now, {.address = entryAt(2), .domain = "a"}));
    CHECK_FALSE(roster.recordSeen(now, {.address = entryAt(2), .domain = "a"}));
    CHECK(roster.isAlive(entryAt(2), now));
    roster.recordLeaving(entryAt(2));
    CHECK_FALSE(roster.isAlive(entryAt(2), now));
    roster.sweep(now + entry_roster::forgetAfter, {});
    CHECK(roster.at(entryAt(2)) == nullptr);
}

TEST_CASE("roster: an entry that stops gets what forwarding requires until it ends")
{
    entry_roster roster(entryAt(1), "a");
    const instant now = 100s;
    for (std::uint32_t i = 2; i < 5; ++i)
        roster.recordSeen(now, {.address = entryAt(i), .domain = "a"}, 7);
    roster.recordLeaving(entryAt(2));
    // Messages of the stopping entry do not make it alive again.
    CHECK_FALSE(roster.recordSeen(now, {.address = entryAt(2), .domain = "a"}, 7));
    CHECK_FALSE(roster.isAlive(entryAt(2), now));
    CHECK(roster.aliveIn("a", now).size() == 2);
    CHECK(roster.forwardingIn("a", now).size() == 3);
    CHECK(roster.entriesToAnnounce("a", now).size() == 4);
    CHECK(roster.forwardingIn("a", now + entry_roster::silenceLimit).empty());
    CHECK(roster.recordSeen(now, {.address = entryAt(2), .domain = "a"}, 8));
    CHECK(roster.isAlive(entryAt(2), now));
}

TEST_CASE("roster: beside one alive delegate all silent entries are tried, stopping ones first")
{
    entry_roster roster(entryAt(1), "a");
    const instant now = 100s;
    for (std::uint32_t i = 10; i < 14; ++i)
        roster.add(now, {.address = entryAt(i), .domain = "b"});
    const auto tried = [&] {
        std::set<endpoint> list;
        for (int second = 0; second < 4; ++second) {
            roster.recordSeen(now + second * 1s, {.address = entryAt(10), .domain = "b"});
            const auto chosen = roster.delegatesOf("b", now + second * 1s);
            CHECK(chosen.size() == delegatesPerDomain);
            list.insert(chosen.begin(), chosen.end());
        }
        return list;
    };
    CHECK(tried().size() == 4);
    roster.recordSeen(now + 1s, {.address = entryAt(12), .domain = "b"});
    roster.recordLeaving(entryAt(12));
    CHECK(tried() == std::set<endpoint>{entryAt(10), entryAt(12)});
}

TEST_CASE("roster: a configuration is fetched from any entry of the domain that has it")
{
    const instant now = 100s;
    std::set<endpoint> sources;
    for (std::uint64_t choice = 0; choice < 6; ++choice) {
        entry_roster roster(entryAt(1), "a");
        for (std::uint32_t i = 2; i < 6; ++i) {
            roster.recordSeen(now, {.address = entryAt(i), .domain = i == 5 ? "b" : "a"});
            roster.at(entryAt(i))->config.point.revision = i == 4 ? 6 : 7;
        }
        sources.insert(roster.sourceOf({}, {.point = {.revision = 7}}, entryAt(2), choice, now));
    }
    CHECK(sources == std::set<endpoint>{entryAt(2), entryAt(3)});
}
