#include "bed.h"

// The cases: `bed NAME FOLDER` plays one and writes FOLDER/record.txt. It exits with 1 if the rule
// was broken, 0 if it held, 2 if the case could not run.

namespace bed {
namespace {

// The operator's desired state: one route for each address, to the service named.
std::string desiredState(int version, const std::vector<std::pair<std::uint32_t, std::string>> &routes,
    const std::vector<std::string> &services, int timeoutMs = 2000)
{
    std::string text = "{\"version\":" + std::to_string(version) + ",\"routes\":[";
    int number = 0;
    for (const auto &[ip, service] : routes) {
        text += (number == 0 ? "" : ",") + std::string("{\"name\":\"r-") + std::to_string(number) + "\",\"host\":\""
            + ipText(ip) + "\",\"pathPrefix\":\"/443/\",\"kind\":\"non_idempotent\",\"timeoutMs\":"
            + std::to_string(timeoutMs) + ",\"sloMs\":300,\"priority\":1,\"service\":\"" + service
            + "\",\"maxAttempts\":2}";
        ++number;
    }
    text += "],\"services\":[";
    for (std::size_t i = 0; i < services.size(); ++i)
        text += (i == 0 ? "" : ",") + std::string("{\"name\":\"") + services[i]
            + "\",\"healthPath\":\"/health\",\"maxConns\":2000,\"protocol\":\"h1\",\"tls\":false,\"warmupS\":2.0,"
              "\"warmupPerS\":0.0}";
    return text + "],\"limits\":{\"maxHeaderBytes\":16384,\"maxBodyBytes\":262144,\"headerTimeoutMs\":3000,"
                  "\"idleTimeoutMs\":15000}}";
}

using back_ends = std::vector<std::unique_ptr<back_end>>;

back_ends addBackEnds(deployment &fleet, const std::vector<std::pair<std::string, std::string>> &places,
    const back_end::options &options)
{
    back_ends servers;
    for (const auto &[zone, service] : places)
        servers.push_back(std::make_unique<back_end>(fleet, fleet.addSide(zone, service), options));
    return servers;
}

bool areReady(deployment &fleet, ms until)
{
    while (now() < until) {
        fleet.events().runUntil(now() + 100);
        if (std::ranges::all_of(fleet.machinesIn({}, true), [](const machine *item) { return item->inRotation; }))
            return true;
    }
    return false;
}

// CONFIG: requests sent later than configApplyMs after a version's confirmation, run by a service to
// which only an older version sends them, through machines in touch.
struct config_check
{
    struct change
    {
        ms confirmedAt;
        std::string service;
    };
    std::vector<change> changes;
    std::map<std::uint16_t, attempt_ptr> flows;
    std::map<std::string, ms> troubledUntil; ///< By machine.
    std::size_t judged = 0, wrong = 0, excused = 0;
    ms worst = 0;

    void judge(deployment &fleet, const machine &side, std::uint16_t port)
    {
        const auto found = flows.find(port);
        if (found == flows.end() || changes.empty())
            return;
        const auto &flow = *found->second;
        ++judged;
        std::optional<change> due;
        for (const auto &item : changes) {
            if (flow.sentAt > item.confirmedAt + fleet.configApplyMs)
                due = item;
        }
        if (!due || side.service == due->service)
            return;
        // A later version may allow the service as well.
        for (const auto &item : changes) {
            if (item.confirmedAt > due->confirmedAt && item.service == side.service)
                return;
        }
        const auto isTroubled = [&](const std::string &name) {
            const auto until = troubledUntil.find(name);
            return until != troubledUntil.end() && flow.sentAt < until->second;
        };
        if (isTroubled(flow.lastEntry) || isTroubled(side.name)) {
            ++excused;
            return;
        }
        ++wrong;
        worst = std::max(worst, flow.sentAt - due->confirmedAt);
        fleet.note("CONFIG: flow %u, sent %.0f ms after the confirmation, through %s, was run by %s of %s", port,
            flow.sentAt - due->confirmedAt, flow.lastEntry.c_str(), side.name.c_str(), side.service.c_str());
    }
};

void openOne(deployment &fleet, config_check &check, const std::string &zone, std::uint32_t service)
{
    const auto flow = fleet.open(zone, service);
    check.flows[flow->port] = flow;
    flow->onOpen = [&fleet, flow](attempt &) { fleet.request(flow, 2000); };
    flow->onAnswer = [&fleet, flow](attempt &) { fleet.finish(flow); };
}

int report(deployment &fleet, const char *rule, std::size_t broken, const std::string &words)
{
    fleet.note("%s: %s (%s)", rule, broken > 0 ? "BROKEN" : "held", words.c_str());
    std::printf("%s: %s (%s)\n", rule, broken > 0 ? "BROKEN" : "held", words.c_str());
    fleet.shutDown();
    return broken > 0 ? 1 : 0;
}

// Two of a zone's three entries lose power at the same moment; the operator moves a route.
int twoEntriesDark(const std::string &folder)
{
    deployment fleet(folder);
    const auto service = fleet.serviceIp(1);
    std::vector<machine *> trio;
    for (int i = 0; i < 3; ++i)
        trio.push_back(&fleet.addEdge("zone-a"));
    fleet.addEdge("zone-b");
    fleet.addEdge("zone-c");
    auto servers = addBackEnds(fleet,
        {{"zone-a", "old-svc"}, {"zone-b", "old-svc"}, {"zone-c", "old-svc"}, {"zone-a", "new-svc"},
            {"zone-b", "new-svc"}, {"zone-c", "new-svc"}},
        {});
    int version = 7;
    const std::vector<std::string> services{"old-svc", "new-svc"};
    const auto send = [&](const std::string &name) {
        fleet.platform().put("config", "main", desiredState(version += 3, {{service, name}}, services));
    };
    send("old-svc");
    fleet.startAll();
    config_check check;
    for (auto &server : servers) {
        server->start();
        server->onOpening = [&, side = &server->beside()](
                                const packet &item) { check.judge(fleet, *side, item.sport); };
    }
    if (!areReady(fleet, now() + 8000))
        return 2;
    fleet.events().runUntil(now() + 6000);
    for (const std::string zone : {"zone-a", "zone-b", "zone-c"})
        fleet.events().every(zone == "zone-a" ? 20 : 100, [&, zone] { openOne(fleet, check, zone, service); });
    fleet.events().runUntil(now() + 5000);
    // Which two of the three follow the store is not known here, so each pair has its turn.
    constexpr ms darkFor = 3500;
    std::string current = "old-svc";
    for (int spared = 0; spared < 3; ++spared) {
        const auto at = now();
        if (fleet.isTroubled) {
            for (int i = 0; i < 3; ++i) {
                if (i == spared)
                    continue;
                fleet.kill(*trio[static_cast<std::size_t>(i)], darkFor);
                check.troubledUntil[trio[static_cast<std::size_t>(i)]->name] = at + darkFor + fleet.contactMs + 500;
            }
        }
        fleet.events().runUntil(at + 20);
        current = current == "old-svc" ? "new-svc" : "old-svc";
        send(current);
        check.changes.push_back({now(), current});
        fleet.note("the route goes to %s; spared: %s", current.c_str(), trio[static_cast<std::size_t>(spared)]->name.c_str());
        fleet.events().runUntil(at + 16000);
    }
    return report(fleet, "CONFIG", check.wrong,
        std::to_string(check.judged) + " openings judged, " + std::to_string(check.wrong) + " handled by the older version, "
            + std::to_string(check.excused) + " excused, latest sent "
            + std::to_string(static_cast<int>(check.worst)) + " ms after the confirmation");
}

// Answers of the store are lost for some seconds while desired states come in quick succession.
int lostAnswers(const std::string &folder)
{
    deployment fleet(folder);
    const auto service = fleet.serviceIp(1);
    for (const std::string zone : {"zone-a", "zone-a", "zone-b", "zone-c"})
        fleet.addEdge(zone);
    auto servers = addBackEnds(fleet,
        {{"zone-a", "old-svc"}, {"zone-b", "old-svc"}, {"zone-c", "old-svc"}, {"zone-a", "new-svc"},
            {"zone-b", "new-svc"}, {"zone-c", "new-svc"}},
        {});
    int version = 7;
    const std::vector<std::string> services{"old-svc", "new-svc"};
    const auto send = [&](const std::string &name, int timeoutMs = 2000) {
        fleet.platform().put("config", "main", desiredState(version += 3, {{service, name}}, services, timeoutMs));
    };
    send("old-svc");
    fleet.startAll();
    config_check check;
    for (auto &server : servers) {
        server->start();
        server->onOpening = [&, side = &server->beside()](
                                const packet &item) { check.judge(fleet, *side, item.sport); };
    }
    if (!areReady(fleet, now() + 8000))
        return 2;
    fleet.events().runUntil(now() + 6000);
    for (const std::string zone : {"zone-a", "zone-b", "zone-c"})
        fleet.events().every(50, [&, zone] { openOne(fleet, check, zone, service); });
    fleet.events().runUntil(now() + 2000);
    send("old-svc", 1900);
    const auto at = now() + 1000;
    fleet.events().runUntil(at);
    fleet.note("watches that wait at the store: %zu", fleet.platform().waitingWatches());
    constexpr double share = 0.35;
    constexpr ms lasts = 4500, gap = 330, storm = 4000;
    if (fleet.isTroubled)
        fleet.platform().loseAnswers(share, 5);
    for (ms t = gap; t < storm; t += gap)
        fleet.events().after(t, [&, t] { send("old-svc", 2000 + static_cast<int>(t)); });
    fleet.events().runUntil(at + lasts);
    fleet.platform().loseAnswers(0, 5);
    fleet.note("answers lost: %zu; watches that wait: %zu", fleet.platform().lostAnswers(), fleet.platform().waitingWatches());
    // The store is undisturbed for contactMs and some more.
    fleet.events().runUntil(at + lasts + 4500);
    send("new-svc");
    check.changes.push_back({now(), "new-svc"});
    fleet.note("the route goes to new-svc; watches that wait: %zu", fleet.platform().waitingWatches());
    fleet.events().runUntil(now() + 25000);
    return report(fleet, "CONFIG", check.wrong,
        std::to_string(check.judged) + " openings judged, " + std::to_string(check.wrong)
            + " handled by the older version, latest sent " + std::to_string(static_cast<int>(check.worst))
            + " ms after the confirmation, " + std::to_string(fleet.platform().lostAnswers()) + " answers lost");
}

// The store comes back from a copy; then the operator adds a route.
int restoredStore(const std::string &folder)
{
    deployment fleet(folder);
    const auto known = fleet.serviceIp(1), added = fleet.serviceIp(2);
    for (const std::string zone : {"zone-a", "zone-a", "zone-b", "zone-c"})
        fleet.addEdge(zone);
    auto servers
        = addBackEnds(fleet, {{"zone-a", "svc"}, {"zone-a", "svc"}, {"zone-b", "svc"}, {"zone-c", "svc"}}, {});
    fleet.platform().era = 65536;
    const auto first = desiredState(7, {{known, "svc"}}, {"svc"});
    fleet.platform().put("config", "main", first);
    fleet.startAll();
    for (auto &server : servers)
        server->start();
    if (!areReady(fleet, now() + 8000))
        return 2;
    fleet.events().runUntil(now() + 6000);
    std::vector<attempt_ptr> before, after, old;
    std::vector<attempt_ptr> *list = &before;
    std::uint32_t service = known;
    const auto open = [&](std::vector<attempt_ptr> &into, std::uint32_t ip) {
        const auto flow = fleet.open("zone-a", ip);
        into.push_back(flow);
        flow->onOpen = [&fleet, flow](attempt &) { fleet.request(flow, 2000); };
        flow->onAnswer = [&fleet, flow](attempt &) { fleet.finish(flow); };
    };
    fleet.events().every(100, [&] {
        if (list)
            open(*list, service);
        if (list == &after)
            open(old, known);
    });
    fleet.events().runUntil(now() + 5000);
    list = nullptr;
    if (fleet.isTroubled) {
        fleet.note("the store goes away");
        fleet.platform().restore(3000, 1000, [&] {
            fleet.note("the store is back, its era is %llu", static_cast<unsigned long long>(fleet.platform().era));
            fleet.platform().put("config", "main", first);
        });
    }
    fleet.events().runUntil(now() + 7000);
    fleet.platform().put("config", "main", desiredState(11, {{known, "svc"}, {added, "svc"}}, {"svc"}));
    fleet.note("a route is added");
    fleet.events().runUntil(now() + fleet.configApplyMs + 500);
    list = &after;
    service = added;
    fleet.events().runUntil(now() + 10000);
    list = nullptr;
    fleet.events().runUntil(now() + 2500);
    const auto opened = [](const std::vector<attempt_ptr> &flows) {
        return static_cast<std::size_t>(
            std::ranges::count_if(flows, [](const attempt_ptr &flow) { return flow->isOpen; }));
    };
    if (opened(before) == 0)
        return 2;
    return report(fleet, "CONFIG", after.size() - opened(after),
        std::to_string(opened(before)) + " of " + std::to_string(before.size()) + " flows opened before; "
            + std::to_string(opened(after)) + " of " + std::to_string(after.size()) + " on the added route, "
            + std::to_string(opened(old)) + " of " + std::to_string(old.size()) + " on the old one, opened later than "
            + "configApplyMs");
}

// Planned work only: a process beside a back end and an entry are stopped and started again, then
// the zone is evacuated. Openings that wait at an entry for the back end's first report were opened
// by their copies through another entry meanwhile.
int parkedOpenings(const std::string &folder)
{
    deployment fleet(folder);
    const auto service = fleet.serviceIp(1);
    std::vector<machine *> edges;
    for (int i = 0; i < 3; ++i)
        edges.push_back(&fleet.addEdge("zone-a"));
    auto servers = addBackEnds(fleet, {{"zone-a", "svc"}}, {.slots = 2, .work = 5});
    fleet.platform().put("config", "main", desiredState(7, {{service, "svc"}}, {"svc"}));
    fleet.startAll();
    auto &server = *servers.front();
    server.start();
    if (!areReady(fleet, now() + 8000))
        return 2;
    fleet.events().runUntil(now() + 6000);
    std::size_t broken = 0, resets = 0, unopened = 0, count = 0;
    fleet.events().every(8, [&] {
        const auto flow = fleet.open("zone-a", service);
        ++count;
        flow->onOpen = [&fleet, flow](attempt &) { fleet.request(flow, 2000); };
        // A flow stays open for a while after its answer.
        flow->onAnswer = [&fleet, flow](attempt &) {
            fleet.events().after(3000, [&fleet, flow] { fleet.finish(flow); });
        };
        flow->onReset = [&](attempt &item) {
            if (!item.isOpen) {
                ++unopened;
                return;
            }
            ++resets;
            if (!server.holds(item.ip, item.port))
                return;
            ++broken;
            fleet.note("FLOW: flow %u was reset although its back end holds it, %.0f ms after its opening", item.port,
                now() - item.sentAt);
        };
    });
    fleet.events().runUntil(now() + 3000);
    constexpr ms evacuatedAfter = 1300, backAfter = 4000, roundLasts = 10000;
    for (int round = 0; round < 8; ++round) {
        const auto at = now();
        if (fleet.isTroubled) {
            fleet.note("planned stop of an entry and of the process beside the back end");
            fleet.stop(*edges[static_cast<std::size_t>(round) % 3]);
            fleet.stop(server.beside());
        }
        fleet.events().runUntil(at + evacuatedAfter);
        if (fleet.isTroubled) {
            fleet.note("the zone is evacuated");
            fleet.platform().put("evacuations", "zone-a", "{}");
        }
        fleet.events().runUntil(at + backAfter);
        fleet.platform().remove("evacuations", "zone-a");
        fleet.events().runUntil(at + roundLasts);
    }
    return report(fleet, "FLOW", broken,
        std::to_string(count) + " flows, " + std::to_string(unopened) + " refused, " + std::to_string(resets)
            + " open ones reset, " + std::to_string(broken) + " of them held by their back end");
}

} // namespace
} // namespace bed

int main(int argc, char **argv)
{
    if (argc < 3)
        return 2;
    const std::map<std::string, int (*)(const std::string &)> cases{{"two-entries-dark", bed::twoEntriesDark},
        {"lost-answers", bed::lostAnswers}, {"restored-store", bed::restoredStore}, {"parked-openings", bed::parkedOpenings}};
    const auto found = cases.find(argv[1]);
    return found == cases.end() ? 2 : found->second(argv[2]);
}
