#include "target_relay_server.h"

namespace toucan {
namespace {

using namespace std::chrono_literals;

constexpr auto pollInterval = relay_target::tickInterval;
// The process runs on after its leave notices, so that no opening reaches a closed socket.
constexpr auto leaveDuration = 150ms;
// Without an answer from any entry for this long, the store is read for entries again.
constexpr auto lookupInterval = 10s;
constexpr int badRequest = 400;

relay_target_options engineOptions(const target_relay_settings &settings, std::uint64_t boot)
{
    return {.name = settings.name,
        .domain = settings.domain,
        .service = settings.service,
        .peer = settings.peer,
        .target = settings.target,
        .seeds = seedPeers(settings.seeds, settings.peer),
        .flowLifetime = settings.flowLifetime,
        .reportInterval = settings.reportInterval,
        .coldOvershoot = settings.coldOvershoot,
        .coldSlack = settings.coldSlack,
        .classFloor = settings.classFloor,
        .refusesLate = settings.refuseLate == "true",
        .firstStart = settings.firstStart == "true",
        .boot = boot};
}

} // namespace

target_relay_server::target_relay_server(
    const target_relay_settings &settings, std::string fileName, const platform_adapter &adapter)
    : relay_program(settings, std::move(fileName), adapter, "target")
    , m_engine(engineOptions(settings, m_boot), adapter.segments, *this, m_metrics, m_log,
          monotonicNow())
    , m_service(settings.service)
    , m_target(settings.target)
{ }

int target_relay_server::run()
{
    if (const auto failed
        = bindSockets(std::array{socket_binding{m_outboundSocket, m_settings.outbound}}))
        return *failed;
    m_outboundSocket->watchRefusals();
    startFetcher([this](const relay_config_ptr &config, const endpoint &from) {
        m_publishedConfig.put(config);
        m_mailbox.put(config_event{.config = config, .source = toString(from)});
    });
    const auto control
        = serveControl([this](const incoming_request &question) { return answer(question); });
    logStart();
    // Seeds may be down or start later than other entries.
    startLookup(monotonicNow());
    loop();
    logStop("ended", m_engine.flowCount());
    return 0;
}

http_response target_relay_server::answer(const incoming_request &question)
{
    if (std::holds_alternative<readiness_probe>(question))
        return {.body = "ready\n"};
    if (const auto *report = std::get_if<target_liveness>(&question))
        return answerReport(*report);
    if (const auto *unreadable = std::get_if<malformed_report>(&question)) {
        m_log.write(monotonicNow(), liveness_report{.outcome = unreadable->reason});
        return {.status = badRequest, .body = unreadable->reason + '\n'};
    }
    return node::notFound();
}

http_response target_relay_server::answerReport(const target_liveness &report)
{
    m_mailbox.put(report);
    // The engine ignores such a report and logs it.
    if (const auto reason = foreignReason(report, m_service, m_target); !reason.empty())
        return {.status = badRequest, .body = reason + '\n'};
    return {.body = "{}", .contentType = "application/json"};
}

void target_relay_server::loop()
{
    std::optional<instant> leavingSince;
    while (!leavingSince || monotonicNow() - *leavingSince < leaveDuration) {
        waitForSockets(
            std::array<const udp_socket *, 2>{&*m_peerSocket, &*m_outboundSocket}, pollInterval);
        const auto now = monotonicNow();
        // Events come before packets: a liveness report may forbid openings of the same batch.
        for (const auto &event : m_mailbox.take())
            std::visit([&](const auto &item) { handle(now, item); }, event);
        if (discardAfterPause(now, *m_peerSocket)) {
            m_engine.onPause(now);
        } else {
            readBatch(
                *m_outboundSocket, m_buffer, [&](const endpoint &, std::span<std::uint8_t> bytes) {
                    m_engine.onTargetBytes(now, bytes);
                });
            if (m_outboundSocket->takeRefusal())
                m_engine.onTargetRefused(now);
            readBatch(
                *m_peerSocket, m_buffer, [&](const endpoint &from, std::span<std::uint8_t> bytes) {
                    m_engine.onPeerBytes(now, from, bytes);
                });
        }
        m_engine.onTick(now);
        if (m_engine.hasAliveEntry(now))
            reportReadyOnce(now);
        lookUpEntries(now);
        if (reloadSettings(now))
            m_engine.setOptions(engineOptions(m_settings, m_boot));
        if (node::stopRequested() && !leavingSince) {
            leavingSince = now;
            m_engine.startLeaving(now);
            logStop("signalled", m_engine.flowCount());
        }
    }
}

void target_relay_server::lookUpEntries(instant now)
{
    if (m_engine.hasAliveEntry(now)) {
        m_lookup.reset();
        m_lookupIntervalStart = now;
    } else if (now - m_lookupIntervalStart >= lookupInterval) {
        startLookup(now);
    }
}

void target_relay_server::startLookup(instant now)
{
    m_lookupIntervalStart = now;
    m_lookup = std::make_unique<directory_lookup>(storeAccess(),
        std::string(m_adapter.kinds.entries), [this](std::vector<entry_place> entries) {
            m_mailbox.put(entries_event{std::move(entries)});
        });
}

void target_relay_server::handle(instant now, const config_event &event)
{
    const auto &stamp = event.config->stamp;
    m_engine.setConfigCopy(stampOf(m_publishedConfig.get()));
    m_log.write(now,
        configuration_changed{.era = stamp.point.era,
            .revision = stamp.point.revision,
            .version = stamp.version,
            .source = event.source,
            .routes = event.config->routes.size()});
}

void target_relay_server::handle(instant, const domains_event &)
{
    // Not used: target processes receive the failure domains from entries.
}

void target_relay_server::handle(instant now, const entries_event &event)
{
    m_engine.onEntries(now, event.entries);
}

void target_relay_server::handle(instant now, const status_request &event)
{
    const auto copy = m_publishedConfig.get();
    event.answer->set_value({{"name", m_settings.name}, {"role", "target"},
        {"domain", m_settings.domain}, {"version", stampOf(copy).point.revision},
        {"era", stampOf(copy).point.era}, {"state", toString(m_engine.standing(now))},
        {"service", m_engine.service()}, {"flows", m_engine.flowCount()}});
}

void target_relay_server::handle(instant now, const target_liveness &event)
{
    m_engine.onLiveness(now, event);
}

void target_relay_server::sendCaller(const endpoint &caller, byte_view bytes)
{
    m_peerSocket->send({.ip = caller.ip, .port = m_settings.callers.port}, bytes);
}

void target_relay_server::sendTarget(byte_view bytes)
{
    m_outboundSocket->send(m_settings.target, bytes);
}

} // namespace toucan
