#include "target_relay_server.h"

#include <toucan/log.h>

namespace toucan {
namespace {

using namespace std::chrono_literals;

constexpr auto pollInterval = relay_target::tickInterval;
// Entries hear that the process stops before it does, so that no opening meets a closed socket.
constexpr auto leaveTime = 150ms;
// Seeds answer within milliseconds when they are up; then the store is asked for other entries.
constexpr auto lookupAfter = 1500ms;
constexpr auto lookupInterval = 10s;

relay_target_options engineOptions(const target_relay_settings &settings, std::uint64_t boot)
{
    return {.name = settings.name,
        .domain = settings.domain,
        .service = settings.service,
        .peer = settings.peer,
        .seeds = seedPeers(settings.seeds, settings.peer),
        .flowLifetime = settings.flowLifetime,
        .reportInterval = settings.reportInterval,
        .coldOvershoot = settings.coldOvershoot,
        .coldSlack = settings.coldSlack,
        .firstStart = settings.firstStart == "true",
        .boot = boot};
}

} // namespace

target_relay_server::target_relay_server(
    const target_relay_settings &settings, std::string fileName, const platform_adapter &adapter)
    : m_settings(settings)
    , m_adapter(adapter)
    , m_log("target", settings.logRate)
    , m_boot(node::randomNumber())
    , m_watch(std::move(fileName))
    , m_engine(engineOptions(settings, m_boot), adapter.segments, *this, m_metrics, m_log,
          monotonicNow())
{ }

int target_relay_server::run()
{
    for (auto &[socket, address] :
        {std::pair(&m_peers, m_settings.peer), std::pair(&m_outbound, m_settings.outbound)}) {
        auto bound = udp_socket::bind(address);
        if (const auto *failure = errorOf(bound)) {
            log::part("target")->error("A socket cannot be bound. {}", failure->detail);
            return answerFor(failure->kind).exitCode;
        }
        socket->emplace(std::get<udp_socket>(std::move(bound)));
    }
    m_fetcher = std::make_unique<config_fetcher>(
        m_adapter, m_log, [this](const relay_config_ptr &config, const endpoint &from) {
            m_shelf.put(config);
            m_mailbox.put(config_event{.config = config, .source = toString(from)});
        });
    const auto control = serveControl();
    m_entriesHeard = monotonicNow();
    m_log.write(monotonicNow(),
        process_started{.name = m_settings.name,
            .domain = m_settings.domain,
            .boot = m_boot,
            .peer = m_settings.peer});
    loop();
    m_log.write(monotonicNow(), process_stopping{.stage = "ended", .flows = m_engine.flowCount()});
    return 0;
}

std::unique_ptr<control_server> target_relay_server::serveControl()
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

http_response target_relay_server::answer(const http_request &request)
{
    constexpr int badRequest = 400;
    if (request.method == "GET" && request.path == "/metrics")
        return {.body = m_metrics.text()};
    const auto question = m_adapter.readQuestion(request);
    if (std::holds_alternative<readiness_question>(question))
        return {.body = "ready\n"};
    if (const auto *report = std::get_if<target_liveness>(&question))
        return answerReport(*report);
    if (const auto *unreadable = std::get_if<unreadable_report>(&question)) {
        m_log.write(monotonicNow(), liveness_report{.outcome = unreadable->reason});
        return {.status = badRequest, .body = unreadable->reason + '\n'};
    }
    return node::notFound();
}

http_response target_relay_server::answerReport(const target_liveness &report)
{
    m_mailbox.put(report);
    return {.body = "{}", .contentType = "application/json"};
}

void target_relay_server::loop()
{
    std::optional<instant> leavingSince;
    while (!leavingSince || monotonicNow() - *leavingSince < leaveTime) {
        waitForSockets(std::array<const udp_socket *, 2>{&*m_peers, &*m_outbound}, pollInterval);
        const auto now = monotonicNow();
        // A report comes first: what it forbids must not be let through with the same batch.
        for (const auto &event : m_mailbox.take())
            std::visit([&](const auto &item) { handle(now, item); }, event);
        if (!discardAfterPause(now)) {
            readBatch(*m_outbound, m_buffer, [&](const endpoint &, std::span<std::uint8_t> bytes) {
                m_engine.onTargetBytes(now, bytes);
            });
            readBatch(*m_peers, m_buffer, [&](const endpoint &from, std::span<std::uint8_t> bytes) {
                m_engine.onPeerBytes(now, from, bytes);
            });
        }
        m_engine.onTick(now);
        lookUpEntries(now);
        if (const auto cause = m_watch.changed(now); !cause.empty())
            reloadSettings(now, cause);
        if (node::stopRequested() && !leavingSince) {
            leavingSince = now;
            m_engine.startLeaving(now);
            m_log.write(now, process_stopping{.stage = "signalled", .flows = m_engine.flowCount()});
        }
    }
}

// What other processes sent during a pause of the VM was decided under conditions that are gone.
bool target_relay_server::discardAfterPause(instant now)
{
    const auto paused = m_pauses.check();
    if (paused == 0ms)
        return false;
    std::uint64_t discarded = 0;
    while (m_peers->receive(m_buffer))
        ++discarded;
    m_log.write(now,
        clock_jumped{
            .pausedMs = static_cast<std::uint64_t>(paused.count()), .discarded = discarded});
    return true;
}

void target_relay_server::lookUpEntries(instant now)
{
    if (m_engine.hearsEntries(now)) {
        m_entriesHeard = now;
        m_lookup.reset();
        return;
    }
    if (now - m_entriesHeard < (m_lookup ? instant(lookupInterval) : instant(lookupAfter)))
        return;
    m_entriesHeard = now;
    m_lookup = std::make_unique<directory_lookup>(store_access{.address = m_settings.platform,
                                                      .timeout = m_settings.platformTimeout,
                                                      .dialect = m_adapter.objects,
                                                      .metrics = m_metrics,
                                                      .log = m_log},
        std::string(m_adapter.kinds.entries),
        [this](std::vector<endpoint> peers) { m_mailbox.put(entries_event{std::move(peers)}); });
}

void target_relay_server::reloadSettings(instant now, std::string_view cause)
{
    const auto loaded = settings::load<target_relay_settings>(m_watch.fileName());
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

void target_relay_server::handle(instant now, const config_event &event)
{
    m_engine.setCopyRevision(event.config->revision);
    m_log.write(now,
        configuration_changed{.revision = event.config->revision,
            .version = event.config->version,
            .source = event.source,
            .routes = event.config->routes.size()});
}

void target_relay_server::handle(instant, const domains_event &)
{
    // Entries tell of failure domains.
}

void target_relay_server::handle(instant now, const entries_event &event)
{
    m_engine.onEntries(now, event.peers);
}

void target_relay_server::handle(instant now, const target_liveness &event)
{
    m_engine.onLiveness(now, event);
}

void target_relay_server::sendPeer(const endpoint &to, byte_view head, byte_view payload)
{
    m_peers->send(to, head, payload);
}

void target_relay_server::sendCaller(const endpoint &caller, byte_view bytes)
{
    m_peers->send({.ip = caller.ip, .port = m_settings.callers.port}, bytes);
}

void target_relay_server::sendTarget(byte_view bytes)
{
    m_outbound->send(m_settings.target, bytes);
}

void target_relay_server::fetchConfig(const endpoint &peer, std::uint64_t)
{
    const auto known = m_shelf.get();
    m_fetcher->request(
        {.ip = peer.ip, .port = m_settings.control.port}, known ? known->revision : 0);
}

} // namespace toucan
