#include <catch2/catch.hpp>
#include <fmt/format.h>
#include <platform/adapter.h>
#include <toucan/lab/relay_fleet.h>

using namespace toucan;
using namespace toucan::lab;
using namespace std::chrono_literals;

namespace {

// Bound of the users for a change of the configuration, and for a failure domain out of service.
constexpr auto configBound = 4s;
constexpr auto domainBound = 5s;

relay_fleet makeFleet(relay_fleet_options options = {})
{
    return {std::move(options), platform::segments()};
}

void changeRoutes(relay_fleet &fleet, std::uint32_t extra)
{
    fleet.setRoutes(
        {{relay_fleet::mainAddress(), "main"}, {{.ip = 0xc6120100 + extra, .port = 443}, "main"}});
}

bool isInForce(const relay_fleet &fleet, std::uint64_t version)
{
    for (std::size_t i = 0; i < fleet.entryCount(); ++i) {
        if (fleet.entryVersion(i).value_or(version) != version)
            return false;
    }
    return true;
}

bool areDomainsOut(const relay_fleet &fleet, const std::vector<std::string> &names)
{
    for (std::size_t i = 0; i < fleet.entryCount(); ++i) {
        if (fleet.entryDomainsOut(i).value_or(names) != names)
            return false;
    }
    for (std::size_t i = 0; i < fleet.targetCount(); ++i) {
        if (fleet.targetDomainsOut(i).value_or(names) != names)
            return false;
    }
    return true;
}

// Runs for a while; false when a process has another version in force at any time.
bool staysInForce(relay_fleet &fleet, std::uint64_t version, std::chrono::milliseconds time)
{
    constexpr auto step = 100ms;
    for (auto passed = 0ms; passed < time; passed += step) {
        fleet.run(step);
        if (!isInForce(fleet, version))
            return false;
    }
    return true;
}

void repeatAll(relay_fleet &fleet)
{
    while (fleet.repeatWrite()) { }
}

} // namespace

TEST_CASE("store restored: a newer configuration with a lower revision is in force everywhere")
{
    auto fleet = makeFleet({.entries = 6});
    fleet.run(3s);
    for (std::uint32_t i = 0; i < 20; ++i)
        changeRoutes(fleet, i);
    fleet.run(configBound);
    fleet.restoreStore(10s);
    fleet.repeatNewest();
    changeRoutes(fleet, 99);
    fleet.run(configBound);
    CHECK(isInForce(fleet, fleet.wantedVersion()));
}

TEST_CASE("store restored: a revision given out twice names the newer configuration")
{
    auto fleet = makeFleet({.entries = 6});
    fleet.run(3s);
    changeRoutes(fleet, 1);
    fleet.run(2s);
    const auto lost = fleet.wantedVersion();
    fleet.restoreStore(3s);
    // The operators write another one instead, which gets the revision of the lost one.
    fleet.dropLostWrites();
    changeRoutes(fleet, 2);
    fleet.run(configBound);
    CHECK(fleet.wantedVersion() > lost);
    CHECK(isInForce(fleet, fleet.wantedVersion()));
}

TEST_CASE(
    "store restored: the copy's older configuration is not in force before the operators repeat")
{
    auto fleet = makeFleet({.entries = 6});
    fleet.run(3s);
    changeRoutes(fleet, 1);
    fleet.run(1s);
    const auto version = fleet.wantedVersion();
    fleet.restoreStore(5s);
    CHECK(staysInForce(fleet, version, 8s));
    repeatAll(fleet);
    CHECK(staysInForce(fleet, version, configBound));
}

TEST_CASE("store restored: an older configuration is in force once the store has kept to it")
{
    auto fleet = makeFleet({.entries = 6});
    fleet.run(3s);
    const auto older = fleet.wantedVersion();
    changeRoutes(fleet, 1);
    fleet.run(2s);
    fleet.restoreStore(4s);
    fleet.run(restoreSettleTime + configBound);
    CHECK(isInForce(fleet, older));
}

TEST_CASE("store restored: an entry that starts meanwhile takes what the others have in force")
{
    auto fleet = makeFleet({.entries = 6});
    fleet.run(3s);
    changeRoutes(fleet, 1);
    fleet.run(1s);
    fleet.restoreStore(5s);
    fleet.run(1s);
    const auto young = fleet.addEntry();
    fleet.run(2s);
    CHECK(fleet.entryVersion(young) == fleet.wantedVersion());
    repeatAll(fleet);
    CHECK(staysInForce(fleet, fleet.wantedVersion(), configBound));
}

TEST_CASE("store restored: a failure domain that is out stays out until the operators repeat")
{
    auto fleet = makeFleet({.entries = 6});
    fleet.run(3s);
    fleet.setDomainsOut({"b"});
    fleet.run(domainBound);
    fleet.restoreStore(8s);
    for (int i = 0; i < 400; ++i) {
        fleet.openFlow();
        fleet.run(20ms);
    }
    CHECK(areDomainsOut(fleet, {"b"}));
    repeatAll(fleet);
    fleet.run(2s);
    fleet.setDomainsOut({});
    fleet.run(domainBound);
    CHECK(areDomainsOut(fleet, {}));
    CHECK(fleet.violations().empty());
}

TEST_CASE("store restored: a failure domain that the store keeps lacking is in use once settled")
{
    auto fleet = makeFleet({.entries = 6});
    fleet.run(3s);
    fleet.setDomainsOut({"b"});
    fleet.run(2s);
    fleet.restoreStore(4s);
    fleet.run(restoreSettleTime + domainBound);
    CHECK(areDomainsOut(fleet, {}));
}

TEST_CASE("store restored: domains of which one was cut off meanwhile agree again")
{
    auto fleet = makeFleet({.entries = 9, .targets = 9});
    fleet.run(3s);
    changeRoutes(fleet, 1);
    fleet.setDomainsOut({"a"});
    fleet.run(2s);
    fleet.setDomainCut("c", true);
    fleet.setStore(false);
    fleet.run(1s);
    fleet.restoreStore(5s);
    fleet.setStore(true);
    fleet.run(500ms);
    repeatAll(fleet);
    changeRoutes(fleet, 2);
    fleet.setDomainsOut({"b"});
    fleet.run(10s);
    fleet.setDomainCut("c", false);
    fleet.run(restoreSettleTime);
    CHECK(isInForce(fleet, fleet.wantedVersion()));
    CHECK(areDomainsOut(fleet, {"b"}));
}

TEST_CASE("store restored: open flows go on, and none is reset")
{
    auto fleet = makeFleet({.entries = 6});
    fleet.run(3s);
    std::vector<std::size_t> flows;
    for (int i = 0; i < 50; ++i) {
        flows.push_back(fleet.openFlow());
        fleet.run(10ms);
    }
    fleet.run(1s);
    changeRoutes(fleet, 1);
    fleet.run(1s);
    fleet.restoreStore(10s);
    for (int round = 0; round < 10; ++round) {
        for (const auto flow : flows)
            fleet.request(flow);
        fleet.run(1s);
        if (round == 4)
            repeatAll(fleet);
    }
    for (const auto flow : flows) {
        CHECK(fleet.wasAnswered(flow));
        CHECK_FALSE(fleet.wasReset(flow));
    }
    CHECK(fleet.violations().empty());
}

namespace {

// A fleet under random writes, restores, outages, cuts and restarts.
class random_history
{
public:
    explicit random_history(std::uint64_t seed)
        : m_random(seed)
        , m_fleet(makeFleet({.entries = 6, .targets = 6, .loss = 0.01, .seed = seed}))
    { }

    // Plays it, and lets everything come to rest.
    void play()
    {
        m_fleet.run(3s);
        constexpr int steps = 25;
        for (int i = 0; i < steps; ++i) {
            step();
            m_fleet.run(std::chrono::milliseconds(pick(1500)));
        }
        m_fleet.setDomainCut("c", false);
        m_fleet.setStore(true);
        repeatAll(m_fleet);
        m_fleet.run(restoreSettleTime + domainBound);
    }
    const relay_fleet &fleet() const { return m_fleet; }
    /// Numbers and times of what was done, for a failure's message.
    const std::string &steps() const { return m_steps; }

private:
    std::size_t pick(std::size_t count)
    {
        return std::uniform_int_distribution<std::size_t>(0, count - 1)(m_random);
    }
    void step()
    {
        const std::array<void (random_history::*)(), 11> moves{&random_history::moveRoutes,
            &random_history::moveRoutes, &random_history::moveDomains, &random_history::restore,
            &random_history::restore, &random_history::repeat, &random_history::repeatNewest,
            &random_history::drop, &random_history::harmStore, &random_history::cutDomain,
            &random_history::restartEntry};
        const auto chosen = pick(moves.size());
        m_steps += fmt::format(" {}@{}", chosen, m_fleet.now().count() / 1000);
        (this->*moves[chosen])();
    }
    void moveRoutes() { changeRoutes(m_fleet, static_cast<std::uint32_t>(pick(50))); }
    void moveDomains()
    {
        const std::array<std::vector<std::string>, 4> sets{{{}, {"a"}, {"b"}, {"b", "c"}}};
        m_fleet.setDomainsOut(sets[pick(sets.size())]);
    }
    void restore() { m_fleet.restoreStore(std::chrono::milliseconds(pick(10'000))); }
    void repeat() { m_fleet.repeatWrite(); }
    void repeatNewest() { m_fleet.repeatNewest(); }
    void drop() { m_fleet.dropLostWrites(); }
    void harmStore() { m_fleet.setStore(pick(2) == 0); }
    void cutDomain() { m_fleet.setDomainCut("c", pick(2) == 0); }
    void restartEntry()
    {
        const auto entry = pick(m_fleet.entryCount());
        m_fleet.killEntry(entry);
        m_fleet.startEntry(entry);
    }

    std::mt19937_64 m_random;
    relay_fleet m_fleet;
    std::string m_steps;
};

} // namespace

TEST_CASE("store restored: after quiet all processes hold what the operators wrote last")
{
    constexpr std::uint64_t seeds = 60;
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        INFO("seed " << seed);
        random_history history(seed);
        history.play();
        const auto &fleet = history.fleet();
        std::string held;
        for (std::size_t i = 0; i < fleet.entryCount(); ++i)
            held += fmt::format(" {}:{}{}", i, fleet.entryVersion(i).value_or(0),
                fmt::join(fleet.entryDomainsOut(i).value_or(std::vector<std::string>{}), "+"));
        for (std::size_t i = 0; i < fleet.targetCount(); ++i)
            held += fmt::format(" t{}:{}", i,
                fmt::join(fleet.targetDomainsOut(i).value_or(std::vector<std::string>{}), "+"));
        INFO("wanted " << fleet.wantedVersion()
                       << fmt::format("{}", fmt::join(fleet.wantedDomainsOut(), "+")) << ", held"
                       << held << history.steps());
        CHECK(isInForce(fleet, fleet.wantedVersion()));
        CHECK(areDomainsOut(fleet, fleet.wantedDomainsOut()));
    }
}
