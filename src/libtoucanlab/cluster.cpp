#include <Poco/Pipe.h>
#include <Poco/PipeStream.h>
#include <Poco/Process.h>
#include <Poco/StreamCopier.h>
#include <algorithm>
#include <csignal>
#include <fmt/format.h>
#include <fstream>
#include <sstream>
#include <thread>
#include <toucan/config_agent.h>
#include <toucan/lab/cluster.h>
#include <unistd.h>

namespace toucan::lab {
namespace {

using namespace std::chrono_literals;
using json = nlohmann::json;

constexpr std::uint16_t dataPort = 7000;
constexpr std::uint16_t controlPort = 7001;
constexpr std::uint16_t adminPort = 7002;
constexpr std::uint16_t publicPort = 7100;
constexpr std::uint16_t platformPort = 8001;
constexpr std::uint16_t servicePort = 5683;
constexpr std::uint32_t firstServiceHost = 200;
// Operators state a warm-up time on the safe side.
constexpr int warmUpMargin = 2;
constexpr auto askTimeout = 1000ms;
// Processes that may be added while a cluster runs; the switch knows them from its start.
constexpr std::size_t spareTargets = 4;
constexpr std::size_t spareEntries = 3;

byte_buffer bytesFromHex(std::string_view hex)
{
    constexpr int base = 16;
    byte_buffer bytes;
    for (std::size_t i = 0; i + 1 < hex.size(); i += 2)
        bytes.push_back(
            static_cast<std::uint8_t>(std::stoi(std::string(hex.substr(i, 2)), nullptr, base)));
    return bytes;
}

} // namespace

cluster::cluster(cluster_options options, std::filesystem::path programs)
    : m_options(std::move(options))
    , m_programs(std::move(programs))
    , m_network(newLoopbackNetwork())
{
    m_directory = std::filesystem::temp_directory_path()
        / fmt::format("toucan-{}-{:06x}", ::getpid(), (m_network >> 8U) & 0xffffffU);
    std::filesystem::remove_all(m_directory);
    std::filesystem::create_directories(m_directory);
    for (std::size_t i = 0; i < m_options.services.size(); ++i)
        m_serviceAddresses[m_options.services[i].name]
            = address(firstServiceHost + static_cast<std::uint32_t>(i), servicePort);
    for (const auto *name : {"platform", "fabric", "switch"})
        newHost(name);
    for (std::size_t i = 0; i < m_options.entries + spareEntries; ++i) {
        const auto name = fmt::format("entry-{}", i + 1);
        newHost(name);
        m_domains[name] = m_options.domains[i % m_options.domains.size()];
        if (i < m_options.entries)
            m_entries.push_back(name);
    }
    for (const auto &service : m_options.services) {
        for (std::size_t i = 0; i < service.targets + spareTargets; ++i) {
            const placed_target target{.name = fmt::format("{}-{}", service.name, i + 1),
                .service = service.name,
                .domain = m_options.domains[i % m_options.domains.size()]};
            newHost(target.name);
            newHost("target:" + target.name);
            m_domains[target.name] = target.domain;
            if (i < service.targets)
                m_targets.push_back(target);
        }
    }
}

cluster::~cluster()
{
    // Stop all before waiting for any, so that none logs the others' end.
    for (const auto &[name, item] : m_processes) {
        if (item->isRunning())
            ::kill(item->id(), SIGKILL);
    }
    m_processes.clear();
    std::error_code ignored;
    std::filesystem::remove_all(m_directory, ignored);
}

endpoint cluster::address(std::uint32_t host, std::uint16_t port) const
{
    return {.ip = m_network | host, .port = port};
}

std::uint32_t cluster::newHost(const std::string &name)
{
    const auto host = static_cast<std::uint32_t>(m_hosts.size() + 1);
    return m_hosts.emplace(name, host).first->second;
}

std::uint32_t cluster::hostOf(const std::string &name) const
{
    return m_hosts.at(name);
}

endpoint cluster::platformAddress() const
{
    return address(hostOf("platform"), platformPort);
}

endpoint cluster::controlOf(const std::string &name) const
{
    return address(hostOf(name), controlPort);
}

const service_plan &cluster::planOf(const std::string &service) const
{
    return *std::ranges::find(m_options.services, service, &service_plan::name);
}

std::string cluster::writeFile(const std::string &name, const std::string &text) const
{
    const auto path = m_directory / name;
    std::ofstream(path) << text;
    return path.string();
}

void cluster::planEntry(const std::string &name)
{
    const auto host = hostOf(name);
    const auto text = fmt::format(
        "[entry]\nname = {}\ndomain = {}\ndata = {}\nadvertise = {}\ncontrol = {}\nfabric = "
        "encapsulated\n"
        "[platform]\naddress = {}\npeers = {}\n[log]\nlevel = {}\n[trace]\nfile = {}\nevery = 20\n",
        name, m_domains[name], toString(address(host, dataPort)),
        toString(address(host, publicPort)), toString(address(host, controlPort)),
        toString(address(host, platformPort)), toString(controlOf("entry-1")), m_options.logLevel,
        m_options.traceDirectory.empty() ? "" : m_options.traceDirectory + '/' + name + ".spans");
    m_plans[name] = {"toucanbridge", {"serve", "--config", writeFile(name + ".ini", text)}};
    m_plans["relay:" + name] = {"toucanlab",
        {"relay", "--listen", toString(address(host, platformPort)), "--target",
            toString(platformAddress()), "--admin", toString(address(host, adminPort))}};
}

void cluster::planTarget(const service_plan &service, const placed_target &target)
{
    const auto host = hostOf(target.name);
    const auto standIn = hostOf("target:" + target.name);
    const auto text = fmt::format("[target]\nname = {}\ndomain = {}\nservice = {}\naddress = "
                                  "{}\ndata = {}\nadvertise = {}\ncontrol = {}\n"
                                  "[platform]\naddress = {}\npeers = {}\n[policy]\nname = "
                                  "{}\n[log]\nlevel = {}\n[trace]\nfile = {}\n",
        target.name, target.domain, target.service, toString(address(standIn, servicePort)),
        toString(address(host, dataPort)), toString(address(host, publicPort)),
        toString(address(host, controlPort)), toString(platformAddress()),
        toString(controlOf("entry-1")), m_options.policy, m_options.logLevel,
        m_options.traceDirectory.empty() ? ""
                                         : m_options.traceDirectory + '/' + target.name + ".spans");
    m_plans[target.name] = {"toucantarget", {"--config", writeFile(target.name + ".ini", text)}};
    plan &stand = m_plans["target:" + target.name];
    stand = {"toucanlab",
        {"target", "--listen", toString(address(standIn, servicePort)), "--admin",
            toString(address(standIn, adminPort)), "--name", target.name, "--slots",
            std::to_string(service.slots), "--cold-slots", std::to_string(service.coldSlots),
            "--cold-ms", std::to_string(service.coldTime.count()), "--service-ms",
            std::to_string(service.serviceTime.count()), "--log",
            (m_directory / (target.name + ".runs")).string(), "--seed",
            std::to_string(m_options.seed + host)}};
    if (service.healthLies)
        stand.arguments.emplace_back("--health-lies");
}

void cluster::planSwitch()
{
    plan &item = m_plans["switch"];
    item = {"toucanlab",
        {"switch", "--admin", toString(address(hostOf("switch"), adminPort)), "--seed",
            std::to_string(m_options.seed)}};
    for (const auto &[name, domain] : m_domains) {
        const auto host = hostOf(name);
        item.arguments.insert(item.arguments.end(),
            {"--port",
                fmt::format("{}={}={}", name, toString(address(host, publicPort)),
                    toString(address(host, dataPort)))});
    }
}

bool cluster::start(std::chrono::seconds limit)
{
    m_plans["platform"] = {"toucanlab",
        {"platform", "--listen", toString(platformAddress()), "--admin",
            toString(address(hostOf("platform"), adminPort))}};
    plan &spray = m_plans["fabric"];
    spray = {"toucanlab",
        {"fabric", "--inner", toString(address(hostOf("fabric"), dataPort)), "--admin",
            toString(address(hostOf("fabric"), adminPort)), "--seed",
            std::to_string(m_options.seed)}};
    for (const auto &[name, service] : m_serviceAddresses)
        spray.arguments.insert(spray.arguments.end(), {"--service", toString(service)});
    for (const auto &name : m_entries) {
        spray.arguments.insert(
            spray.arguments.end(), {"--entry", toString(address(hostOf(name), dataPort))});
        planEntry(name);
    }
    for (const auto &target : m_targets)
        planTarget(planOf(target.service), target);
    planSwitch();
    for (const auto *name : {"platform", "fabric", "switch"})
        startProcess(name);
    const auto answers = [&](const char *name) {
        return !ask(name, json::object({{"op", "ping"}})).is_null();
    };
    if (!waitFor(
            [&] { return answers("platform") && answers("fabric") && answers("switch"); }, limit))
        return false;
    applyDelays();
    setCallerFaults({});
    for (const auto &service : m_options.services) {
        const auto status = operate({"record", "put", "service", service.name,
            "address=" + toString(m_serviceAddresses[service.name]),
            "slots=" + std::to_string(service.slots),
            "coldSlots=" + std::to_string(service.coldSlots),
            "warmUpMs=" + std::to_string(service.coldTime.count() * warmUpMargin)});
        if (status != 0)
            return false;
    }
    for (const auto &name : m_entries) {
        startProcess("relay:" + name);
        startProcess(name);
    }
    for (const auto &target : m_targets) {
        startProcess("target:" + target.name);
        startProcess(target.name);
    }
    return waitFor(
        [&] {
            const bool entriesServe = std::ranges::all_of(m_entries, [&](const auto &name) {
                const auto state = status(name);
                return state.is_object() && state.value("announced", false)
                    && state.value("version", std::uint64_t{0}) > 0;
            });
            return entriesServe && std::ranges::all_of(m_targets, [&](const auto &target) {
                const auto state = status(target.name);
                return state.is_object() && state.value("state", "") == "serving";
            });
        },
        limit);
}

void cluster::startProcess(const std::string &name)
{
    const auto &item = m_plans.at(name);
    m_processes.erase(name);
    auto file = name;
    std::ranges::replace(file, ':', '-');
    m_processes[name] = std::make_unique<child_process>((m_programs / item.program).string(),
        item.arguments, (m_directory / (file + ".log")).string());
}

void cluster::signal(const std::string &name, int number)
{
    if (isRunning(name))
        ::kill(m_processes.at(name)->id(), number);
}

void cluster::kill(const std::string &name)
{
    if (m_processes.contains(name))
        m_processes.at(name)->end(SIGKILL);
}

void cluster::terminate(const std::string &name)
{
    if (m_processes.contains(name))
        m_processes.at(name)->end(SIGTERM);
}

void cluster::freeze(const std::string &name)
{
    signal(name, SIGSTOP);
}

void cluster::thaw(const std::string &name)
{
    signal(name, SIGCONT);
}

bool cluster::isRunning(const std::string &name) const
{
    const auto found = m_processes.find(name);
    return found != m_processes.end() && found->second->isRunning();
}

std::string cluster::addEntry()
{
    auto name = fmt::format("entry-{}", m_entries.size() + 1);
    m_entries.push_back(name);
    planEntry(name);
    startProcess("relay:" + name);
    startProcess(name);
    return name;
}

std::string cluster::addTarget(const std::string &service, const std::string &domain)
{
    const auto count = std::ranges::count(m_targets, service, &placed_target::service);
    const placed_target target{
        .name = fmt::format("{}-{}", service, count + 1), .service = service, .domain = domain};
    m_domains[target.name] = domain;
    m_targets.push_back(target);
    planTarget(planOf(service), target);
    startProcess("target:" + target.name);
    startProcess(target.name);
    return target.name;
}

void cluster::sprayOver(const std::vector<std::string> &entries)
{
    auto addresses = json::array();
    for (const auto &name : entries)
        addresses.push_back(toString(address(hostOf(name), dataPort)));
    ask("fabric", {{"op", "entries"}, {"entries", addresses}});
}

void cluster::setLink(const std::string &from, const std::string &to, const link_faults &faults)
{
    ask("switch", {{"op", "rule"}, {"from", from}, {"to", to}, {"faults", toJson(faults)}});
}

void cluster::cut(const std::string &left, const std::string &right)
{
    setLink(left, right, {.cut = true});
    setLink(right, left, {.cut = true});
}

void cluster::healLinks()
{
    ask("switch", json::object({{"op", "clear"}}));
    applyDelays();
}

void cluster::applyDelays()
{
    if (m_options.domainDelayMs <= 0)
        return;
    const auto delay = std::chrono::duration_cast<instant>(
        std::chrono::duration<double, std::milli>(m_options.domainDelayMs));
    for (const auto &[left, leftDomain] : m_domains) {
        for (const auto &[right, rightDomain] : m_domains) {
            if (leftDomain != rightDomain)
                setLink(left, right, {.delay = delay});
        }
    }
}

void cluster::setCallerFaults(link_faults faults)
{
    faults.delay += std::chrono::duration_cast<instant>(
        std::chrono::duration<double, std::milli>(m_options.callerDelayMs));
    ask("fabric", {{"op", "faults"}, {"faults", toJson(faults)}});
}

void cluster::cutPlatform(const std::string &name, bool cut)
{
    static_cast<void>(queryControlLink(
        address(hostOf(name), adminPort), json{{"op", "cut"}, {"cut", cut}}, askTimeout));
}

void cluster::setPlatformFaults(const json &faults)
{
    ask("platform", {{"op", "faults"}, {"faults", faults}});
}

json cluster::platformCounts()
{
    return ask("platform", json::object({{"op", "counts"}}));
}

void cluster::turnCold(const std::string &target)
{
    ask("target:" + target, json::object({{"op", "cold"}}));
}

json cluster::targetCounts(const std::string &target)
{
    return ask("target:" + target, json::object({{"op", "counts"}}));
}

json cluster::ask(const std::string &name, const json &request) const
{
    return queryControlLink(address(hostOf(name), adminPort), request, askTimeout).value_or(json());
}

json cluster::status(const std::string &name)
{
    const auto answer
        = queryControlLink(controlOf(name), json::object({{"op", "status"}}), askTimeout);
    return answer && answer->is_object() ? *answer : json::object();
}

int cluster::operate(const std::vector<std::string> &words, std::string *output)
{
    std::vector<std::string> arguments = words;
    arguments.insert(arguments.end(), {"--platform", toString(platformAddress())});
    Poco::Pipe out;
    const auto handle = Poco::Process::launch(
        (m_programs / "toucanbridge").string(), arguments, nullptr, &out, output ? &out : nullptr);
    std::string text;
    Poco::PipeInputStream input(out);
    Poco::StreamCopier::copyToString(input, text);
    if (output)
        *output += text;
    return handle.wait();
}

caller_options cluster::callersFor(const std::string &service) const
{
    constexpr std::uint32_t callerHost = 240;
    return {.service = m_serviceAddresses.at(service),
        .callerIp = m_network | callerHost,
        .seed = m_options.seed};
}

std::vector<run_record> cluster::runs() const
{
    std::vector<run_record> records;
    for (const auto &target : m_targets) {
        std::ifstream file(m_directory / (target.name + ".runs"));
        std::string word;
        std::string key;
        run_record record;
        while (file >> word >> key >> record.attempt >> record.target) {
            record.key = bytesFromHex(key);
            records.push_back(record);
        }
    }
    return records;
}

bool cluster::waitFor(const std::function<bool()> &condition, std::chrono::milliseconds limit)
{
    const auto end = std::chrono::steady_clock::now() + limit;
    while (!condition()) {
        if (std::chrono::steady_clock::now() > end)
            return false;
        std::this_thread::sleep_for(20ms);
    }
    return true;
}

} // namespace toucan::lab
