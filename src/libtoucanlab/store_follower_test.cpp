#include <catch2/catch.hpp>
#include <condition_variable>
#include <platform/adapter.h>
#include <thread>
#include <toucan/entry_directory.h>
#include <toucan/lab/child_process.h>
#include <toucan/lab/platform_stand_in.h>

using namespace toucan;
using namespace toucan::lab;
using namespace std::chrono_literals;

namespace {

// Bound of the users: what changed while the store was away is known two seconds after its return.
constexpr auto returnBound = 2s;

endpoint storeAddress()
{
    return {.ip = newLoopbackNetwork() | 1U, .port = 8101};
}

// A store and a follower of its kind "config", which remembers the newest value.
struct followed_store
{
    endpoint address = storeAddress();
    platform_stand_in platform{address};
    metrics::registry metrics;
    event_log log{"test", 1};
    store_era era{log, metrics};
    std::mutex mutex;
    std::condition_variable changed;
    std::optional<int> value;
    store_point point; ///< That the newest value came with.
    std::optional<store_follower> follower;

    followed_store() { event_log::silence(); }
    store_access access()
    {
        return {.address = address,
            .timeout = 500ms,
            .dialect = platform::objects(),
            .metrics = metrics,
            .log = log,
            .era = era};
    }
    void start(bool isNeeded = true, std::chrono::milliseconds watchTime = 18s)
    {
        follower.emplace(
            access(), "config",
            [this](const store_point &at, const store_follower::snapshot &objects) {
                const std::lock_guard lock(mutex);
                point = at;
                const auto found = objects.find("main");
                value = found == objects.end() ? std::nullopt
                                               : std::optional(found->second.body.get<int>());
                changed.notify_all();
            },
            watchTime);
        if (isNeeded)
            follower->setActive(true);
    }
    void write(int newValue) { platform.put("config", "main", newValue, std::nullopt); }
    bool follows(int expected, std::chrono::milliseconds limit = returnBound)
    {
        std::unique_lock lock(mutex);
        return changed.wait_for(lock, limit, [&] { return value == expected; });
    }
};

} // namespace

TEST_CASE("store: a follower hears of the list and of each change, and stops at once")
{
    followed_store store;
    store.write(1);
    store.start();
    CHECK(store.follows(1));
    store.write(2);
    CHECK(store.follows(2));
    const auto before = std::chrono::steady_clock::now();
    store.follower.reset();
    CHECK(std::chrono::steady_clock::now() - before < 1s);
}

TEST_CASE("store: a follower that is not needed lists once and makes no calls until it is")
{
    followed_store store;
    const auto calls = [&] { return store.platform.counts()["reads"].get<int>(); };
    store.write(1);
    store.start(false);
    CHECK(store.follows(1));
    store.follower->setActive(false);
    const auto before = calls();
    store.write(3);
    std::this_thread::sleep_for(300ms);
    CHECK(calls() == before);
    CHECK_FALSE(store.follower->isFollowing());
    store.follower->setActive(true);
    CHECK(store.follows(3));
    CHECK(store.follower->isFollowing());
}

// Five entries of one fleet missed a version this way.
TEST_CASE("store: a change that no watch heard before the history was dropped is found")
{
    followed_store store;
    store.write(1);
    store.start();
    REQUIRE(store.follows(1));
    store.platform.setFaults({.deafWatches = true});
    store.write(2);
    std::this_thread::sleep_for(100ms);
    store.platform.forgetHistory();
    store.platform.setFaults({});
    CHECK(store.follows(2));
}

TEST_CASE("store: changes made during an outage are known two seconds after its end")
{
    for (const auto &fault : {platform_faults{.down = true}, platform_faults{.busy = true}}) {
        followed_store store;
        store.write(1);
        store.start();
        REQUIRE(store.follows(1));
        store.platform.setFaults(fault);
        store.platform.forgetHistory();
        std::this_thread::sleep_for(2500ms);
        store.write(2);
        store.platform.setFaults({});
        CHECK(store.follows(2));
    }
}

TEST_CASE("store: an entry's record stands although the answers to its writes are lost")
{
    followed_store store;
    const auto address = parseEndpoint("127.0.0.1:7000");
    store.platform.put("entries", "e1", nlohmann::json{{"peer", "127.0.0.1:1"}}, std::nullopt);
    store.platform.put("entries", "other", "nonsense", std::nullopt);
    store.platform.setFaults({.loseWriteAnswers = true});
    std::mutex mutex;
    std::condition_variable changed;
    std::vector<entry_place> listed;
    const entry_registration registration(store.access(), "entries",
        {.name = "e1", .peer = *address}, [&](std::vector<entry_place> peers) {
            const std::lock_guard lock(mutex);
            listed = std::move(peers);
            changed.notify_all();
        });
    std::unique_lock lock(mutex);
    CHECK(changed.wait_for(
        lock, 5s, [&] { return !listed.empty() && listed.back().address == *address; }));
    CHECK(store.platform.get("entries", "e1").body.dump().find("127.0.0.1:7000")
        != std::string::npos);
}

namespace {

// Keeps one entry's record in a store while other entries answer or do not.
struct registered_entry
{
    endpoint self{.ip = 0x7f000001, .port = 7000};
    std::mutex mutex;
    std::vector<endpoint> answering; ///< Entries that are heard.
    std::size_t rounds = 0;
    std::optional<entry_registration> registration;

    void start(followed_store &store, std::chrono::milliseconds interval = 120ms)
    {
        registration.emplace(
            store.access(), "entries", directory_entry{.name = "e1", .peer = self, .control = self},
            [this](const std::vector<entry_place> &) {
                const std::lock_guard lock(mutex);
                ++rounds;
            },
            directory_timing{.interval = interval, .answerTime = 80ms});
    }
    // Lets a number of rounds pass, in which those that answer are heard.
    void pass(std::size_t count)
    {
        const auto until = std::chrono::steady_clock::now() + 5s;
        std::size_t first = 0;
        {
            const std::lock_guard lock(mutex);
            first = rounds;
        }
        while (std::chrono::steady_clock::now() < until) {
            std::this_thread::sleep_for(10ms);
            const std::lock_guard lock(mutex);
            if (registration->isCollectingAnswers())
                registration->recordAlive(answering);
            if (rounds > first + count)
                return;
        }
    }
};

bool holdsRecord(followed_store &store, const std::string &name)
{
    return store.platform.get("entries", name).status == 200;
}

void addRecord(followed_store &store, const std::string &name, const endpoint &peer)
{
    store.platform.put("entries", name, nlohmann::json{{"peer", toString(peer)}}, std::nullopt);
}

} // namespace

TEST_CASE("store: the record of an entry that is gone is removed, those of others stay")
{
    followed_store store;
    const endpoint alive{.ip = 0x7f000002, .port = 7000};
    addRecord(store, "alive", alive);
    addRecord(store, "gone", {.ip = 0x7f000003, .port = 7000});
    registered_entry entry;
    entry.answering = {alive};
    entry.start(store);
    entry.pass(4);
    CHECK(holdsRecord(store, "e1"));
    CHECK(holdsRecord(store, "alive"));
    CHECK_FALSE(holdsRecord(store, "gone"));
}

TEST_CASE("store: an entry that hears nobody removes no record, and writes its own again")
{
    followed_store store;
    addRecord(store, "other", {.ip = 0x7f000002, .port = 7000});
    registered_entry entry;
    entry.start(store);
    entry.pass(3);
    CHECK(holdsRecord(store, "other"));
    store.platform.remove("entries", "e1", std::nullopt);
    entry.pass(3);
    CHECK(holdsRecord(store, "e1"));
}

TEST_CASE("store restored: a follower hears of the older copy and of what is written again")
{
    followed_store store;
    store.write(1);
    store.start();
    REQUIRE(store.follows(1));
    std::this_thread::sleep_for(50ms);
    store.write(2);
    REQUIRE(store.follows(2));
    store.platform.restore(40ms);
    CHECK(store.follows(1));
    CHECK(store.point.era == 2);
    store.write(2);
    CHECK(store.follows(2));
}

TEST_CASE("store restored: a follower misses no change whose revision was given out before")
{
    followed_store store;
    store.write(1);
    store.start(true, 60ms);
    REQUIRE(store.follows(1));
    std::this_thread::sleep_for(50ms);
    store.write(2);
    REQUIRE(store.follows(2));
    // The store has the follower's revision again, with another value, before it asks.
    store.platform.setFaults({.deafWatches = true});
    store.platform.restore(40ms, false);
    store.write(3);
    store.platform.setFaults({});
    CHECK(store.follows(3));
}

TEST_CASE("store restored: all followers of a process list again when one of them meets it")
{
    followed_store store;
    store.write(1);
    store.start();
    REQUIRE(store.follows(1));
    const auto reads = [&] { return store.platform.counts()["reads"].get<int>(); };
    const auto before = reads();
    store.era.observe(5);
    const auto until = std::chrono::steady_clock::now() + returnBound;
    while (reads() == before && std::chrono::steady_clock::now() < until)
        std::this_thread::sleep_for(5ms);
    CHECK(reads() > before);
}

TEST_CASE("store era: answers of an earlier era are no answers, and one without an era is taken")
{
    followed_store store;
    CHECK(store.era.observe(std::nullopt));
    CHECK(store.era.observe(3));
    CHECK(store.era.observe(std::nullopt));
    CHECK(store.era.observe(4));
    CHECK_FALSE(store.era.observe(3));
    CHECK(store.era.current() == 4);
    platform_client client(store.address, 500ms, platform::objects(), &store.era);
    CHECK(errorOf(client.list("config")));
    store.platform.setFaults({.hideEra = true});
    CHECK(valueOf(client.list("config")));
}

TEST_CASE("store restored: an entry's record that the copy lacks is written again")
{
    followed_store store;
    registered_entry entry;
    entry.start(store, std::chrono::minutes(10));
    const auto stands = [&] { return holdsRecord(store, "e1"); };
    const auto waitFor = [&](const auto &condition) {
        const auto until = std::chrono::steady_clock::now() + returnBound;
        while (!condition() && std::chrono::steady_clock::now() < until)
            std::this_thread::sleep_for(10ms);
        return condition();
    };
    REQUIRE(waitFor(stands));
    entry.registration->observeEra(1);
    store.platform.restore(10s);
    REQUIRE_FALSE(stands());
    entry.registration->observeEra(2);
    CHECK(waitFor(stands));
}

TEST_CASE(
    "store restored: a record whose version was given out again is not taken for silent before")
{
    directory_census census("e1");
    const listed_entry left{.name = "e2", .peer = {.ip = 2, .port = 1}, .version = 7};
    const listed_entry alive{.name = "e3", .peer = {.ip = 3, .port = 1}, .version = 8};
    const auto round = [&] {
        census.begin({left, alive});
        census.recordAlive(std::span(&alive.peer, 1));
        return census.conclude().gone.size();
    };
    CHECK(round() == 0);
    census.forgetRounds();
    CHECK(round() == 0);
    CHECK(round() == 1);
}
