#include <algorithm>
#include <catch2/catch.hpp>
#include <toucan/digest_book.h>

using namespace toucan;
using namespace std::chrono_literals;

namespace {

constexpr endpoint delegate{.ip = 0x0a010001, .port = 7000};

endpoint addressOf(std::uint32_t number)
{
    return {.ip = 0x0a020000 + number, .port = 7000};
}

target_report reportOf(std::uint32_t number, std::uint64_t order,
    target_standing standing = target_standing::ready, std::uint64_t boot = 1)
{
    return {.member = "t" + std::to_string(number),
        .service = "main",
        .domain = "b",
        .boot = boot,
        .lifetime = 1,
        .order = order,
        .standing = static_cast<std::uint64_t>(standing),
        .slots = 4};
}

// An entry of domain "b" that receives reports of its members, and one of domain "a" that receives
// its digests.
struct domain_fixture
{
    member_table near;
    digest_book nearBook;
    member_table far;
    digest_book farBook;
    instant now = 100s;
    std::uint64_t order = 0;
    std::uint32_t members = 0;

    explicit domain_fixture(std::uint32_t count)
        : members(count)
    {
        report();
    }
    void report(std::optional<std::uint32_t> except = {})
    {
        ++order;
        for (std::uint32_t i = 0; i < members; ++i) {
            if (i != except)
                near.apply(now, addressOf(i), reportOf(i, order));
        }
    }
    std::vector<member_digest> make(bool whole, bool complete = true)
    {
        return nearBook.make(now, near, "b",
            {.address = delegate, .domain = "b", .boot = 7, .config = {.point = {.revision = 3}}},
            complete, whole);
    }
    digest_outcome deliver(const std::vector<member_digest> &pages)
    {
        digest_outcome last;
        for (const auto &page : pages)
            last = farBook.apply(now, far, page);
        return last;
    }
    void advance(std::chrono::milliseconds time)
    {
        now += time;
        near.onTick(now);
        far.onTick(now);
    }
};

} // namespace

TEST_CASE("digest: a whole digest on several pages makes the domain complete")
{
    domain_fixture domain(50);
    domain.advance(0ms);
    CHECK_FALSE(domain.farBook.isComplete("b"));
    CHECK_FALSE(domain.farBook.countOf("b"));
    const auto pages = domain.make(true);
    CHECK(pages.size() > 1);
    domain.deliver(pages);
    CHECK(domain.farBook.isComplete("b"));
    CHECK(domain.farBook.countOf("b") == 50U);
    CHECK(domain.far.aliveCount() == 50);
    CHECK(domain.far.summaryOf("b") == domain.near.summaryOf("b"));
}

TEST_CASE("digest: only recent changes are sent, and members without changes stay in use")
{
    domain_fixture domain(50);
    domain.deliver(domain.make(true));
    for (int second = 0; second < 10; ++second) {
        domain.advance(1s);
        domain.report();
        const auto pages = domain.make(false);
        CHECK_FALSE(domain.deliver(pages).needsWhole);
        if (second < 3)
            continue;
        REQUIRE(pages.size() == 1);
        CHECK(pages.front().members.empty());
    }
    CHECK(domain.far.aliveCount() == 50);
}

// Such members were marked as gone, and their flows were reset (seen on the users' bench).
TEST_CASE("digest: a member that reported here once stays in use while digests confirm it")
{
    domain_fixture domain(3);
    domain.far.apply(domain.now, addressOf(0), reportOf(0, 1));
    domain.deliver(domain.make(true));
    for (int second = 0; second < 10; ++second) {
        domain.advance(1s);
        domain.report();
        domain.deliver(domain.make(second % 2 == 1));
        CHECK(domain.far.aliveCount() == 3);
    }
}

// A target process reported briefly to an entry of another domain, which marked it as lost when
// these reports ended (seen on the users' bench).
TEST_CASE("digest: a member whose own reports end stays in use while digests confirm it")
{
    // Reports end at any time between two digests.
    for (auto offset = 0ms; offset < digestInterval; offset += 50ms) {
        domain_fixture domain(3);
        domain.deliver(domain.make(true));
        domain.advance(offset);
        domain.report();
        domain.far.apply(domain.now, addressOf(0), reportOf(0, domain.order + 20));
        domain.advance(digestInterval - offset);
        for (int second = 0; second < 5; ++second) {
            domain.report();
            domain.deliver(domain.make(false));
            for (int step = 0; step < 20; ++step) {
                domain.advance(50ms);
                domain.report();
            }
            CHECK(domain.far.aliveCount() == 3);
        }
    }
}

TEST_CASE("digest: a member that is wrongly marked as lost is in use again after the next digests")
{
    domain_fixture domain(3);
    domain.deliver(domain.make(true));
    for (int second = 0; second < 4; ++second) {
        domain.advance(1s);
        domain.report();
        domain.deliver(domain.make(false));
    }
    domain.far.at(addressOf(0))->lost = true;
    CHECK_FALSE(domain.deliver(domain.make(false)).needsWhole);
    domain.advance(1s);
    domain.report();
    REQUIRE(domain.deliver(domain.make(false)).needsWhole);
    domain.deliver(domain.make(true));
    CHECK(domain.far.aliveCount() == 3);
}

TEST_CASE("digest: an entry that missed a change requests a whole digest, which contains it")
{
    domain_fixture domain(5);
    domain.deliver(domain.make(true));
    const auto drain = [&] {
        domain.report(1);
        domain.near.apply(
            domain.now, addressOf(1), reportOf(1, domain.order, target_standing::draining));
    };
    drain();
    // The digests with the change are lost.
    for (int second = 0; second < 4; ++second) {
        domain.advance(1s);
        drain();
    }
    CHECK_FALSE(domain.deliver(domain.make(false)).needsWhole);
    domain.advance(1s);
    drain();
    CHECK(domain.deliver(domain.make(false)).needsWhole);
    domain.deliver(domain.make(true));
    CHECK(domain.far.summaryOf("b") == domain.near.summaryOf("b"));
}

TEST_CASE("digest: a member that is silent in its domain is reported as lost to others")
{
    domain_fixture domain(3);
    domain.deliver(domain.make(true));
    for (int step = 0; step < 8; ++step) {
        domain.advance(250ms);
        domain.report(2);
    }
    CHECK(domain.near.aliveCount() == 2);
    const auto outcome = domain.deliver(domain.make(false));
    REQUIRE(outcome.changes.size() == 1);
    CHECK(outcome.changes.front().to == "lost");
    CHECK(domain.far.at(addressOf(2))->reportedLost);
    CHECK(domain.far.aliveCount() == 2);
}

TEST_CASE("digest: members that are not in a whole digest are lost")
{
    domain_fixture domain(3);
    domain.far.apply(domain.now, "b",
        member_state{.name = "t9", .service = "main", .address = addressOf(9), .boot = 1});
    domain.deliver(domain.make(true));
    CHECK(domain.far.at(addressOf(9))->lost);
    CHECK(domain.farBook.isComplete("b"));
}

TEST_CASE("digest: the members of a silent domain are not used any more")
{
    domain_fixture domain(3);
    domain.deliver(domain.make(true));
    domain.advance(2s);
    CHECK(domain.far.aliveCount() == 3);
    domain.advance(2s);
    CHECK(domain.far.aliveCount() == 0);
}

TEST_CASE("digest: old pages change nothing, and an incomplete digest does not complete a domain")
{
    domain_fixture domain(3);
    const auto old = domain.make(true);
    domain.near.apply(domain.now, addressOf(0), reportOf(0, 2, target_standing::draining));
    domain.deliver(domain.make(true, false));
    CHECK_FALSE(domain.farBook.isComplete("b"));
    CHECK_FALSE(domain.deliver(old).isNew);
    CHECK(domain.far.at(addressOf(0))->standing == target_standing::draining);
}

TEST_CASE("digest: an old page does not undo a member's change of address")
{
    domain_fixture fleet(1);
    const endpoint newAddress = addressOf(70);
    fleet.far.apply(fleet.now, newAddress, reportOf(0, 1, target_standing::ready, 2));
    fleet.far.apply(fleet.now, "b",
        {.name = "t0",
            .service = "main",
            .address = addressOf(0),
            .boot = 1,
            .order = 5,
            .silentMs = 3000});
    CHECK(fleet.far.at(newAddress));
    CHECK(fleet.far.count() == 1);
}

// Substitutes know some of the members each, so a view that matches one of them may lack others.
TEST_CASE("digest: a match proves the members of earlier moments only, one of a substitute later")
{
    for (const bool isSubstitute : {false, true}) {
        domain_fixture domain(3);
        auto pages = domain.make(true);
        if (isSubstitute)
            pages.front().originDomain = "c";
        const auto sentAt = domain.now;
        domain.deliver(pages);
        // Its age is not known.
        CHECK_FALSE(domain.farBook.hasStatementSince("b", sentAt - 1h));
        pages.front().requestedAtMs
            = static_cast<std::uint64_t>(std::chrono::milliseconds(100s).count());
        REQUIRE(sentAt == 100s);
        domain.advance(700ms);
        domain.deliver(pages);
        REQUIRE(domain.farBook.isComplete("b"));
        const auto margin
            = digestTransitTime + (isSubstitute ? instant(digestInterval) : instant{});
        INFO("substitute " << isSubstitute);
        CHECK(domain.farBook.hasStatementSince("b", sentAt - margin));
        CHECK_FALSE(domain.farBook.hasStatementSince("b", sentAt - margin + 1ms));
        CHECK(domain.farBook.lastReported("b") == sentAt);
        CHECK_FALSE(domain.farBook.hasStatementSince("a", sentAt - 1h));
    }
}
