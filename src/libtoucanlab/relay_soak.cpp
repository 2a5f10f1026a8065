#include <Poco/Net/HTTPClientSession.h>
#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>
#include <csignal>
#include <fmt/format.h>
#include <fstream>
#include <platform/adapter.h>
#include <platform/stand_in.h>
#include <toucan/lab/relay_soak.h>

namespace toucan::lab {
namespace {

using namespace std::chrono_literals;

constexpr std::uint16_t listenPort = 7000;
constexpr std::uint16_t controlPort = 7001;
constexpr std::uint16_t readinessPort = 7002;
constexpr std::uint16_t callersPort = 7003;
constexpr std::uint16_t reportsPort = 7005;
constexpr std::uint16_t targetPort = 7010;
constexpr std::uint16_t outboundPort = 7011;
constexpr std::uint16_t peerPort = 7100;
constexpr std::uint16_t storePort = 8001;
constexpr std::uint32_t storeHost = 1;
constexpr std::uint32_t fabricHost = 2;
constexpr std::uint32_t firstVmHost = 10;
constexpr std::uint32_t firstCallerHost = 200;
constexpr std::uint32_t callerHosts = 4;
constexpr endpoint firstRoute{.ip = 0xc6120001, .port = 443};
constexpr endpoint secondRoute{.ip = 0xc6120002, .port = 443};
const std::array<std::string, 3> domains{"a", "b", "c"};
// Start of everything before the first caller, and of the faults after it.
constexpr auto startTime = 5s;
constexpr auto calmTime = 3s;
// After the last fault has ended: bounds hold again after 5 s, and a few seconds of calls follow.
constexpr auto recoveryTime = 7s;
constexpr auto judgedTime = 2s;
constexpr auto lastAnswers = 2500ms;
// The fabric asks twice a second and takes a VM out after two misses.
constexpr auto readinessInterval = 500ms;
constexpr long readinessMicroseconds = 250'000;
constexpr int missesAllowed = 2;
// Entries whose state may have decided on a flow's reset.
constexpr std::size_t entriesRemembered = 4;
// Flows on which requests are sent now and then.
constexpr std::size_t recentFlows = 400;
constexpr std::size_t heldFlows = 3000;
// Segments of an open flow may reach other targets, but not so many for so long with none at its
// own.
constexpr std::size_t strayLimit = 3;
constexpr auto strayTime = 2000ms;
constexpr auto readTime = 50ms;
// Shorter stalls are not reported.
constexpr auto shortStall = 100ms;

bool isReady(const endpoint &address)
{
    using namespace Poco::Net;
    try {
        HTTPClientSession session(SocketAddress(toString(address)));
        session.setTimeout(Poco::Timespan(readinessMicroseconds));
        HTTPRequest question(
            HTTPRequest::HTTP_GET, platform::readinessProbePath(), HTTPMessage::HTTP_1_1);
        session.sendRequest(question);
        HTTPResponse answer;
        session.receiveResponse(answer);
        return answer.getStatus() == HTTPResponse::HTTP_OK;
    } catch (const Poco::Exception &) {
        return false;
    }
}

udp_socket bindSocket(const endpoint &address)
{
    auto bound = udp_socket::bind(address);
    if (const auto *failure = errorOf(bound))
        throw std::runtime_error(failure->detail);
    return std::get<udp_socket>(std::move(bound));
}

} // namespace

relay_soak::relay_soak(relay_soak_options options)
    : m_options(std::move(options))
    , m_network(newLoopbackNetwork())
    , m_directory(std::filesystem::temp_directory_path()
          / fmt::format("toucan-soak-{}-{}", ::getpid(), m_options.seed))
    , m_random(m_options.seed)
    , m_now(monotonicNow())
    , m_started(m_now)
    , m_callers({.codec = platform::segments(),
          .firstIp = m_network | firstCallerHost,
          .ips = callerHosts,
          .send = [this](byte_buffer bytes) { spray(std::move(bytes)); },
          .schedule = [this](auto delay, auto act) { after(delay, std::move(act)); },
          .onReset = [this](std::size_t flow) { checkReset(flow); }})
{
    std::filesystem::remove_all(m_directory);
    std::filesystem::create_directories(m_directory);
    m_stalls.emplace((m_directory / "stalls.log").string());
    m_stallWatch.emplace(*m_stalls, m_network);
    build();
}

relay_soak::~relay_soak()
{
    for (auto &item : m_vms)
        item->process.reset();
    if (m_result.violations.empty())
        std::filesystem::remove_all(m_directory);
}

// --- The deployment

void relay_soak::build()
{
    m_store = std::make_unique<platform_stand_in>(
        endpoint{.ip = m_network | storeHost, .port = storePort});
    publishConfig();
    m_fabric.emplace(bindSocket({.ip = m_network | fabricHost, .port = callersPort}));
    for (std::uint32_t i = 0; i < callerHosts; ++i)
        m_callerSockets.push_back(
            bindSocket({.ip = m_network | (firstCallerHost + i), .port = callersPort}));
    m_entryCount = m_options.entries;
    for (std::size_t i = 0; i < m_options.entries + spareEntries; ++i)
        addVm(fmt::format("entry-{}", i + 1), domains[i % domains.size()], true);
    for (std::size_t i = 0; i < m_options.targets; ++i) {
        addVm(fmt::format("target-{}", i + 1), domains[i % domains.size()], false);
        addTarget(i);
    }
    std::vector<packet_switch::port> ports;
    for (const auto &item : m_vms)
        ports.push_back({.name = item->name,
            .publicAddress = {.ip = item->ip, .port = peerPort},
            .realAddress = {.ip = item->ip, .port = listenPort}});
    m_switch = std::make_unique<packet_switch>(std::move(ports), m_options.seed,
        [this](auto end, auto length) { m_stalls->add("the switch", end, length); });
    m_switchThread = std::jthread([this](const std::stop_token &stop) {
        m_switch->run([&] { return stop.stop_requested(); });
    });
    m_rotationThread = std::jthread([this](const std::stop_token &stop) { watchRotation(stop); });
}

void relay_soak::addVm(const std::string &name, const std::string &domain, bool isEntry)
{
    auto item = std::make_unique<vm>();
    item->name = name;
    item->domain = domain;
    item->ip = m_network | (firstVmHost + static_cast<std::uint32_t>(m_vms.size()));
    item->program = isEntry ? "toucanbridge" : "toucantarget";
    item->store = std::make_unique<tcp_relay>(endpoint{.ip = item->ip, .port = storePort},
        endpoint{.ip = m_network | storeHost, .port = storePort});
    m_vms.push_back(std::move(item));
}

std::string relay_soak::serviceOf(std::size_t target) const
{
    return target % 4 == 3 ? "second" : "first";
}

void relay_soak::addTarget(std::size_t index)
{
    const auto &place = *m_vms.back();
    auto &added = m_targets.emplace_back();
    added = std::make_unique<soak_target>(soak_target_options{.codec = platform::segments(),
        .name = "i-" + place.name,
        .vm = place.name,
        .domain = place.domain,
        .service = serviceOf(index),
        .address = {.ip = place.ip, .port = targetPort},
        .outbound = {.ip = place.ip, .port = outboundPort},
        .reports = {.ip = place.ip, .port = reportsPort},
        .seed = m_random(),
        .schedule = [this](auto delay, auto act) { after(delay, std::move(act)); },
        .onOpening = [this, index](const flow_key &flow) { checkOpening(*m_targets[index], flow); },
        .onAnswer = [this](byte_view bytes) { m_fromTargets.add(bytes); }});
}

std::string relay_soak::settingsOf(const vm &item) const
{
    const auto at
        = [&](std::uint16_t port) { return toString(endpoint{.ip = item.ip, .port = port}); };
    std::string seeds;
    for (std::size_t i = 0; i < m_options.entries; ++i)
        seeds += (seeds.empty() ? "" : ", ")
            + toString(endpoint{.ip = m_vms[i]->ip, .port = readinessPort});
    auto text = fmt::format("[vm]\nname = {}\ndomain = {}\nfirst_start = {}\npeer = {}\n"
                            "listen = {}\ncontrol = {}\nreadiness = {}\nreports = {}\nseeds = {}\n"
                            "[flows]\ncallers = {}\n[platform]\naddress = {}\n[log]\nrate = 500\n",
        item.name, item.domain, item.starts == 1, at(peerPort), at(listenPort), at(controlPort),
        at(readinessPort), at(reportsPort), seeds, at(callersPort), at(storePort));
    const auto target = std::ranges::find_if(
        m_targets, [&](const auto &each) { return each->options().vm == item.name; });
    if (target != m_targets.end())
        text += fmt::format("[target]\naddress = {}\noutbound = {}\nservice = {}\n"
                            "report_interval = 1s\ncold_overshoot = {}\ncold_slack = {}\n",
            at(targetPort), at(outboundPort),
            serviceOf(static_cast<std::size_t>(target - m_targets.begin())),
            m_options.bounds.coldOvershoot, m_options.bounds.coldSlack);
    return text;
}

void relay_soak::startProgram(vm &item)
{
    ++item.starts;
    const auto file = m_directory / (item.name + ".ini");
    std::ofstream(file) << settingsOf(item);
    item.process = std::make_unique<child_process>((m_options.programs / item.program).string(),
        std::vector<std::string>{"relay", "--config", file.string()},
        (m_directory / (item.name + ".log")).string());
    item.signalled.reset();
    item.wanted = true;
}

void relay_soak::stopProgram(vm &item, int signal)
{
    item.wanted = false;
    item.process->end(signal);
}

void relay_soak::publishConfig()
{
    relay_config config;
    config.stamp.version = ++m_version;
    config.routes = {{.name = "r1", .address = firstRoute, .shares = {{.service = "first"}}},
        {.name = "r2",
            .address = secondRoute,
            .shares = {{.service = m_routeMoved ? "first" : "second"}}}};
    for (const auto *name : {"first", "second"})
        config.services.push_back(
            {.name = name, .flows = 2000, .coldRate = m_options.bounds.coldRate});
    const auto &kinds = platform::adapter().kinds;
    writeAsOperator([this, kinds, body = platform::makeConfig(config)] {
        m_store->put(std::string(kinds.config), std::string(kinds.configName), body, std::nullopt);
    });
}

// --- Traffic

relay_soak_result relay_soak::run()
{
    for (std::size_t i = 0; i < m_vms.size(); ++i) {
        if (i < m_entryCount || i >= m_options.entries + spareEntries)
            startProgram(*m_vms[i]);
    }
    for (auto &target : m_targets)
        target->start(monotonicNow(), {});
    loop(m_started + startTime);
    openFlows();
    sendRequests();
    loop(m_started + startTime + calmTime);
    nextFault();
    loop(m_started + startTime + calmTime + m_options.faultTime);
    m_faultsOver = true;
    while (!m_disturbed.isFree("operator"))
        loop(monotonicNow() + 100ms);
    if (m_domainOutSince)
        moveDomain();
    // Every fault ends within its own time, and what can be served is served by all targets.
    while (!isWhole())
        loop(monotonicNow() + 100ms);
    loop(monotonicNow() + recoveryTime);
    const auto firstJudged = m_callers.count();
    loop(monotonicNow() + judgedTime);
    const auto firstUnjudged = m_callers.count();
    loop(monotonicNow() + lastAnswers);
    checkRuns();
    checkRecovery(firstJudged, firstUnjudged);
    m_result.outcome = m_callers.outcome();
    m_result.stalls = m_stalls->lines(m_started, shortStall);
    m_result.logs = m_directory;
    return m_result;
}

bool relay_soak::isWhole() const
{
    const bool free = std::ranges::all_of(
        m_vms, [&](const auto &item) { return m_disturbed.isFree(item->name); });
    return free && m_disturbed.isFree("store")
        && std::ranges::all_of(
            m_targets, [&](const auto &target) { return target->takesFlows(m_now); });
}

void relay_soak::loop(instant until)
{
    Poco::Net::PollSet poll;
    watchSockets(poll);
    constexpr long pollMicroseconds = 2000;
    auto passed = monotonicNow();
    while (monotonicNow() < until) {
        const auto begin = monotonicNow();
        m_stalls->add("the soak's loop", begin, begin - std::exchange(passed, begin));
        if (!poll.poll(Poco::Timespan(pollMicroseconds)).empty()) {
            m_now = monotonicNow();
            std::ranges::for_each(m_callerSockets, [&](auto &socket) { onCallerSocket(socket); });
            std::ranges::for_each(m_targets, [&](auto &target) { onTargetSocket(*target); });
        }
        m_events.runUntil(monotonicNow(), m_now);
        checkPrograms();
        if (std::exchange(m_targetsChanged, false))
            watchSockets(poll);
    }
}

void relay_soak::watchSockets(Poco::Net::PollSet &poll) const
{
    poll.clear();
    for (const auto &socket : m_callerSockets)
        poll.add(socket.handle(), Poco::Net::PollSet::POLL_READ);
    for (const auto &target : m_targets) {
        if (auto *socket = target->socket())
            poll.add(socket->handle(), Poco::Net::PollSet::POLL_READ);
    }
}

void relay_soak::watchRotation(const std::stop_token &stop)
{
    while (!stop.stop_requested()) {
        for (std::size_t i = 0; i < m_options.entries + spareEntries; ++i) {
            auto &item = *m_vms[i];
            const bool ready = isReady({.ip = item.ip, .port = readinessPort});
            const std::lock_guard lock(m_rotationMutex);
            item.missed = ready ? 0 : item.missed + 1;
            item.inRotation = ready || (item.inRotation && item.missed < missesAllowed);
        }
        std::this_thread::sleep_for(readinessInterval);
    }
}

void relay_soak::spray(byte_buffer bytes)
{
    const auto head = platform::segments().decode(bytes);
    std::vector<vm *> usable;
    {
        const std::lock_guard lock(m_rotationMutex);
        for (std::size_t i = 0; i < m_entryCount; ++i) {
            if (m_vms[i]->inRotation)
                usable.push_back(m_vms[i].get());
        }
    }
    if (usable.empty())
        std::ranges::transform(std::span(m_vms).first(m_entryCount), std::back_inserter(usable),
            [](const auto &item) { return item.get(); });
    auto &entry = *usable[pick(usable.size())];
    if (const auto flow = m_callers.flowOf(head->source)) {
        auto &takers = m_entriesOf[*flow];
        takers.push_back(entry.name);
        if (takers.size() > entriesRemembered)
            takers.pop_front();
    }
    m_fromCallers.add(bytes);
    m_fabric->send({.ip = entry.ip, .port = callersPort}, bytes);
}

void relay_soak::openFlows()
{
    m_callers.open(pick(4) == 0 ? secondRoute : firstRoute);
    after(std::chrono::microseconds(static_cast<std::int64_t>(1e6 / m_options.callersPerSecond)),
        [this] { openFlows(); });
}

void relay_soak::sendRequests()
{
    if (m_callers.count() > 0) {
        const auto recent
            = std::min(m_callers.count(), m_options.planned ? heldFlows : recentFlows);
        const auto flow = m_callers.count() - 1 - pick(recent);
        if (m_callers.wasAnswered(flow))
            m_callers.request(flow);
    }
    after(std::chrono::microseconds(static_cast<std::int64_t>(1e6 / m_options.callersPerSecond)),
        [this] { sendRequests(); });
}

void relay_soak::onCallerSocket(udp_socket &socket)
{
    while (const auto datagram = socket.receive(m_buffer)) {
        const auto head = platform::segments().decode(datagram->payload);
        const auto sender = std::ranges::find(
            m_vms, datagram->from.ip, [](const auto &item) { return item->ip; });
        m_resetSender = sender == m_vms.end() ? "" : (*sender)->name;
        if (!head || (!head->reset && !m_fromTargets.contains(datagram->payload)))
            violate("a caller got a segment that no target wrote");
        m_callers.onSegment(datagram->payload);
    }
}

void relay_soak::onTargetSocket(soak_target &target)
{
    while (target.socket()) {
        const auto datagram = target.socket()->receive(m_buffer);
        if (!datagram)
            return;
        if (!m_fromCallers.contains(datagram->payload))
            violate("a target got a segment that no caller wrote");
        else if (const auto head = platform::segments().decode(datagram->payload))
            checkStray(target, *head);
        target.onSegment(datagram->payload);
    }
}

void relay_soak::after(std::chrono::microseconds delay, std::function<void()> act)
{
    m_events.at(m_now + delay, std::move(act));
}

std::size_t relay_soak::pick(std::size_t count)
{
    return std::uniform_int_distribution<std::size_t>(0, count - 1)(m_random);
}

std::chrono::milliseconds relay_soak::pickTime(
    std::chrono::milliseconds least, std::chrono::milliseconds most)
{
    return std::chrono::milliseconds(
        std::uniform_int_distribution<std::int64_t>(least.count(), most.count())(m_random));
}

// --- Rules

void relay_soak::violate(const std::string &text)
{
    m_result.violations.push_back(fmt::format(
        "{:.3f} s: {}", std::chrono::duration<double>(m_now - m_started).count(), text));
}

bool relay_soak::isCalm(const std::string &name) const
{
    return m_disturbed.isCalm(m_now, name, m_options.bounds.contact);
}

std::chrono::milliseconds relay_soak::withSkew(std::chrono::milliseconds bound) const
{
    return isCalm("store") ? bound : bound + m_options.bounds.storeSkew;
}

void relay_soak::checkOpening(soak_target &target, const flow_key &flow)
{
    const auto &place = target.options();
    const auto name = place.vm;
    if (target.isCold(m_now)) {
        const auto &bounds = m_options.bounds;
        const auto most = bounds.coldRate * bounds.coldOvershoot + bounds.coldSlack;
        if (static_cast<double>(target.coldOpenings().add(m_now)) > most)
            violate(name + " is cold and got too many openings in a second");
    }
    const auto number = m_callers.flowOf(flow.caller);
    const bool calm = isCalm(name) && number
        && std::ranges::all_of(
            m_entriesOf[*number], [&](const auto &item) { return isCalm(item); });
    if (!calm)
        return;
    const auto confirmed = target.confirmed();
    if (confirmed && m_now - *confirmed > m_options.bounds.drain)
        violate(name + " drains and got an opening");
    if (place.domain == "b" && m_domainOutSince
        && m_now - *m_domainOutSince > withSkew(m_options.bounds.domainOut))
        violate(name + " got an opening although its domain is out");
    const bool mayServe = flow.service == firstRoute ? place.service == "first"
        : m_routeMoved                               ? place.service == "first"
                                                     : place.service == "second";
    if (mayServe)
        return;
    if (flow.service == firstRoute || !m_routeMovedAt)
        violate(name + " got an opening of a service that it never had");
    else if (m_now - *m_routeMovedAt > withSkew(m_options.bounds.config))
        violate(name + " got an opening by an earlier configuration");
}

void relay_soak::checkReset(std::size_t flow)
{
    const auto &key = m_callers.key(flow);
    for (const auto &target : m_targets) {
        const auto &name = target->options().vm;
        if (target->end().holds(key) && isCalm(m_resetSender) && isCalmFor(flow, name))
            violate(fmt::format("flow {} of {} was reset by {} while {} holds it", flow,
                toString(key.caller), m_resetSender, name));
    }
}

// True when neither the target's VM nor the entries that took the flow's segments are disturbed.
bool relay_soak::isCalmFor(std::size_t flow, const std::string &target) const
{
    const auto takers = m_entriesOf.find(flow);
    return isCalm(target)
        && (takers == m_entriesOf.end()
            || std::ranges::all_of(takers->second, [&](const auto &item) { return isCalm(item); }));
}

void relay_soak::checkStray(const soak_target &taker, const segment &head)
{
    const auto key = head.flowFromCaller();
    const auto flow = m_callers.flowOf(key.caller);
    if (!flow || head.isOpening())
        return;
    const auto owner = std::ranges::find_if(
        m_targets, [&](const auto &target) { return target->end().holds(key); });
    if (owner == m_targets.end()) {
        m_strays.erase(*flow);
        return;
    }
    auto &item = m_strays[*flow];
    const auto &name = (*owner)->options().vm;
    const bool isStray = owner->get() != &taker;
    if (!isCalmFor(*flow, name) || !isCalm(taker.options().vm)) {
        item = {.ownAt = m_now};
        return;
    }
    // Sockets are not read in the order in which segments arrived.
    if (isStray && m_now - item.ownAt > readTime)
        item.times.push_back(m_now);
    for (std::size_t i = 0; i + strayLimit <= item.times.size(); ++i) {
        if (item.times[i + strayLimit - 1] - item.times[i] <= strayTime
            && m_now - item.times[i] >= strayTime) {
            violate(fmt::format("{} segments of flow {} of {} reached other targets, and none {}",
                item.times.size(), *flow, toString(key.caller), name));
            item.times.clear();
        }
    }
    if (!isStray)
        item = {.ownAt = m_now};
}

void relay_soak::checkRuns()
{
    std::map<std::pair<flow_key, std::uint32_t>, std::vector<std::string>> runs;
    for (const auto &target : m_targets) {
        for (const auto &[request, count] : target->end().runs())
            runs[request].insert(
                runs[request].end(), static_cast<std::size_t>(count), target->options().name);
    }
    for (const auto &[request, places] : runs) {
        if (places.size() > 1)
            violate(fmt::format("the request of {} at byte {} ran at {}",
                toString(request.first.caller), request.second, fmt::join(places, ", ")));
    }
}

void relay_soak::checkPrograms()
{
    for (auto &item : m_vms) {
        if (item->signalled && !item->process->isRunning()) {
            item->signalled.reset();
            item->wanted = false;
            after(300ms, [this, &again = *item] { startProgram(again); });
        } else if (item->signalled && m_now - *item->signalled > m_options.bounds.grace) {
            violate(item->name + " did not end within its grace");
            item->signalled.reset();
        } else if (item->wanted && !item->signalled && !item->process->isRunning()) {
            violate(item->name + " ended by itself");
            item->wanted = false;
        }
    }
}

void relay_soak::checkRecovery(std::size_t firstFlow, std::size_t endFlow)
{
    std::size_t answered = 0;
    for (auto flow = firstFlow; flow < endFlow; ++flow)
        answered += m_callers.wasAnswered(flow);
    const auto asked = endFlow - firstFlow;
    m_result.recovered
        = asked == 0 ? 0 : static_cast<double>(answered) / static_cast<double>(asked);
    if (m_result.recovered < m_options.bounds.recovered)
        violate(fmt::format(
            "only {:.2f} of the flows were answered after the faults", m_result.recovered));
}

} // namespace toucan::lab
