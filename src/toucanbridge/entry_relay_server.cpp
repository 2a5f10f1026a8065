#include "entry_relay_server.h"

#include <toucan/log.h>

namespace toucan {
namespace {

using namespace std::chrono_literals;

// Also the longest time that an event of another thread waits.
constexpr auto pollInterval = 50ms;

relay_entry_options engineOptions(const entry_relay_settings &settings, std::uint64_t boot)
{
    return {.name = settings.name,
        .domain = settings.domain,
        .peer = settings.peer,
        .seeds = seedPeers(settings.seeds, settings.peer),
        .flowLifetime = settings.flowLifetime,
        .grace = settings.grace,
        .boot = boot};
}

} // namespace

entry_relay_server::entry_relay_server(
    const entry_relay_settings &settings, std::string fileName, const platform_adapter &adapter)
    : m_settings(settings)
    , m_adapter(adapter)
    , m_log("entry", settings.logRate)
    , m_boot(node::randomNumber())
    , m_watch(std::move(fileName))
    , m_engine(engineOptions(settings, m_boot), adapter.segments, *this, m_metrics, m_log,
          monotonicNow())
{ }

int entry_relay_server::run()
{
    for (auto &[socket, address] :
        {std::pair(&m_callers, m_settings.callers), std::pair(&m_peers, m_settings.peer)}) {
        auto bound = udp_socket::bind(address);
        if (const auto *failure = errorOf(bound)) {
            log::part("entry")->error("A socket cannot be bound. {}", failure->detail);
            return answerFor(failure->kind).exitCode;
        }
        socket->emplace(std::get<udp_socket>(std::move(bound)));
    }
    m_fetcher = std::make_unique<config_fetcher>(
        m_adapter, m_log, [this](const relay_config_ptr &config, const endpoint &from) {
            takeConfig(config, toString(from));
        });
    const auto control = serveControl();
    startStore();
    m_log.write(monotonicNow(),
        process_started{.name = m_settings.name,
            .domain = m_settings.domain,
            .boot = m_boot,
            .peer = m_settings.peer});
    loop();
    m_log.write(monotonicNow(), process_stopping{.stage = "ended", .flows = m_engine.flowCount()});
    return 0;
}

void entry_relay_server::startStore()
{
    const store_access store{.address = m_settings.platform,
        .timeout = m_settings.platformTimeout,
        .dialect = m_adapter.objects,
        .metrics = m_metrics,
        .log = m_log};
    const auto &kinds = m_adapter.kinds;
    m_configFollower = std::make_unique<store_follower>(store, std::string(kinds.config),
        [this](std::uint64_t, const store_follower::snapshot &objects) {
            const auto found = objects.find(std::string(m_adapter.kinds.configName));
            const auto known = m_shelf.get();
            if (found == objects.end() || (known && known->revision >= found->second.version))
                return;
            const auto read
                = m_adapter.readConfig(found->second.version, found->second.body.dump());
            if (const auto *config = valueOf(read))
                takeConfig(*config, "store");
            else
                m_log.write(monotonicNow(),
                    configuration_changed{.revision = found->second.version,
                        .source = "store",
                        .faults = errorOf(read)->detail});
        });
    m_domainsFollower = std::make_unique<store_follower>(store, std::string(kinds.domainsOut),
        [this](std::uint64_t revision, const store_follower::snapshot &objects) {
            domains_out domains{.revision = revision};
            for (const auto &[name, object] : objects)
                domains.names.push_back(name);
            m_mailbox.put(domains_event{std::move(domains)});
        });
    m_registration = std::make_unique<entry_registration>(store, std::string(kinds.entries),
        directory_entry{.name = m_settings.name, .peer = m_settings.peer},
        [this](std::vector<endpoint> peers) { m_mailbox.put(entries_event{std::move(peers)}); });
}

void entry_relay_server::takeConfig(const relay_config_ptr &config, std::string source)
{
    m_shelf.put(config);
    m_mailbox.put(config_event{.config = config, .source = std::move(source)});
}

std::unique_ptr<control_server> entry_relay_server::serveControl()
{
    std::vector addresses{
        node::listenAddress(m_settings.control), node::listenAddress(m_settings.readiness)};
    if (m_settings.reports)
        addresses.push_back(node::listenAddress(m_settings.reports));
    return std::make_unique<control_server>(
        addresses,
        [this](const std::vector<std::uint8_t> &request) { return m_shelf.answer(request); },
        [this](const http_request &request) { return answer(request); });
}

http_response entry_relay_server::answer(const http_request &request)
{
    constexpr int unavailable = 503;
    if (request.method == "GET" && request.path == "/metrics")
        return {.body = m_metrics.text()};
    const auto question = m_adapter.readQuestion(request);
    if (std::holds_alternative<readiness_question>(question))
        return m_ready ? http_response{.body = "ready\n"}
                       : http_response{.status = unavailable, .body = "not ready\n"};
    return node::notFound();
}

void entry_relay_server::loop()
{
    bool leaving = false;
    while (!m_engine.mayExit(monotonicNow())) {
        waitForSockets(std::array<const udp_socket *, 2>{&*m_callers, &*m_peers}, pollInterval);
        const auto now = monotonicNow();
        if (!discardAfterPause(now)) {
            readBatch(*m_peers, m_buffer, [&](const endpoint &from, std::span<std::uint8_t> bytes) {
                m_engine.onPeerBytes(now, from, bytes);
            });
            readBatch(*m_callers, m_buffer, [&](const endpoint &, std::span<std::uint8_t> bytes) {
                m_engine.onCallerBytes(now, bytes);
            });
        }
        for (const auto &event : m_mailbox.take())
            std::visit([&](const auto &item) { handle(now, item); }, event);
        m_engine.onTick(now);
        m_ready = m_engine.isReady(now);
        if (const auto cause = m_watch.changed(now); !cause.empty())
            reloadSettings(now, cause);
        if (node::stopRequested() && !std::exchange(leaving, true)) {
            m_engine.startLeaving(now);
            m_log.write(now, process_stopping{.stage = "signalled", .flows = m_engine.flowCount()});
        }
    }
}

// What waits in a socket after a pause of the VM was sent under conditions that are gone.
bool entry_relay_server::discardAfterPause(instant now)
{
    const auto paused = m_pauses.check();
    if (paused == 0ms)
        return false;
    std::uint64_t discarded = 0;
    while (m_callers->receive(m_buffer))
        ++discarded;
    m_log.write(now,
        clock_jumped{
            .pausedMs = static_cast<std::uint64_t>(paused.count()), .discarded = discarded});
    return true;
}

void entry_relay_server::reloadSettings(instant now, std::string_view cause)
{
    const auto loaded = settings::load<entry_relay_settings>(m_watch.fileName());
    std::string outcome = "applied";
    if (const auto *failure = errorOf(loaded)) {
        outcome = failure->detail;
    } else if (*valueOf(loaded) == m_settings) {
        outcome = "unchanged";
    } else {
        m_settings.seeds = valueOf(loaded)->seeds;
        m_engine.setSeeds(seedPeers(m_settings.seeds, m_settings.peer));
    }
    m_log.write(now, settings_reloaded{.cause = std::string(cause), .outcome = std::move(outcome)});
}

void entry_relay_server::handle(instant now, const config_event &event)
{
    m_engine.onConfig(now, event.config, event.source);
}

void entry_relay_server::handle(instant now, const domains_event &event)
{
    m_engine.onDomains(now, event.domains, "store");
}

void entry_relay_server::handle(instant now, const entries_event &event)
{
    m_engine.onEntries(now, event.peers);
}

void entry_relay_server::handle(instant, const target_liveness &)
{
    // Targets report to the process beside them.
}

void entry_relay_server::sendPeer(const endpoint &to, byte_view head, byte_view payload)
{
    m_peers->send(to, head, payload);
}

void entry_relay_server::sendCaller(const endpoint &caller, byte_view bytes)
{
    m_callers->send({.ip = caller.ip, .port = m_settings.callers.port}, bytes);
}

void entry_relay_server::sendTarget(byte_view) { }

void entry_relay_server::fetchConfig(const endpoint &peer, std::uint64_t)
{
    const auto known = m_shelf.get();
    m_fetcher->request(
        {.ip = peer.ip, .port = m_settings.control.port}, known ? known->revision : 0);
}

} // namespace toucan
