#include "entry_relay_server.h"

namespace toucan {
namespace {

using namespace std::chrono_literals;

// Also the longest time that an event of another thread waits.
constexpr auto pollInterval = 50ms;
// Entries that answer do so each half second.
constexpr auto heardNoteInterval = 1s;

relay_entry_options engineOptions(const entry_relay_settings &settings, std::uint64_t boot)
{
    return {.name = settings.name,
        .domain = settings.domain,
        .peer = settings.peer,
        .seeds = seedPeers(settings.seeds, settings.peer),
        .flowLifetime = settings.flowLifetime,
        .grace = settings.grace,
        .place = placementNamed(settings.placement),
        .boot = boot};
}

} // namespace

entry_relay_server::entry_relay_server(
    const entry_relay_settings &settings, std::string fileName, const platform_adapter &adapter)
    : relay_program(settings, std::move(fileName), adapter, "entry")
    , m_engine(engineOptions(settings, m_boot), adapter.segments, *this, m_metrics, m_log,
          monotonicNow())
{ }

int entry_relay_server::run()
{
    if (const auto failed = bindSockets(std::array{binding{m_callers, m_settings.callers}}))
        return *failed;
    startFetcher([this](const relay_config_ptr &config, const endpoint &from) {
        takeConfig(config, toString(from));
    });
    const auto control
        = serveControl([this](const platform_question &question) { return answer(question); });
    startStore();
    logStart();
    loop();
    logStop("ended", m_engine.flowCount());
    return 0;
}

void entry_relay_server::startStore()
{
    const auto store = storeAccess();
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
        directory_entry{
            .name = m_settings.name, .peer = m_settings.peer, .control = m_settings.control},
        [this](std::vector<endpoint> peers) { m_mailbox.put(entries_event{std::move(peers)}); });
}

void entry_relay_server::takeConfig(const relay_config_ptr &config, std::string source)
{
    m_shelf.put(config);
    m_mailbox.put(config_event{.config = config, .source = std::move(source)});
}

http_response entry_relay_server::answer(const platform_question &question) const
{
    constexpr int unavailable = 503;
    if (!std::holds_alternative<readiness_question>(question))
        return node::notFound();
    return m_ready ? http_response{.body = "ready\n"}
                   : http_response{.status = unavailable, .body = "not ready\n"};
}

void entry_relay_server::loop()
{
    bool leaving = false;
    while (!m_engine.mayExit(monotonicNow())) {
        waitForSockets(std::array<const udp_socket *, 2>{&*m_callers, &*m_peers}, pollInterval);
        const auto now = monotonicNow();
        if (!discardAfterPause(now, *m_callers)) {
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
        if (m_ready)
            noteReady(now);
        tendDirectory(now);
        if (reloadSettings(now))
            m_engine.setOptions(engineOptions(m_settings, m_boot));
        if (node::stopRequested() && !std::exchange(leaving, true)) {
            m_engine.startLeaving(now);
            logStop("signalled", m_engine.flowCount());
        }
    }
}

// Tells the directory who answers while it asks.
void entry_relay_server::tendDirectory(instant now)
{
    if (!m_registration->isAsking() || now - m_lastHeardNote < heardNoteInterval)
        return;
    m_lastHeardNote = now;
    m_registration->noteHeard(m_engine.heardEntries(now));
}

nlohmann::json entry_relay_server::describe(instant now) const
{
    const auto &config = m_engine.config();
    auto members = nlohmann::json::array();
    m_engine.members().forEach([&](const relay_member &item) {
        members.push_back({{"name", item.name}, {"service", item.service}, {"domain", item.domain},
            {"address", toString(item.address)}, {"state", beliefAbout(item)},
            {"flows", item.flows}, {"load", item.load}});
    });
    return {{"name", m_settings.name}, {"role", "entry"}, {"domain", m_settings.domain},
        {"version", config ? config->revision : 0}, {"configuration", config ? config->version : 0},
        {"state", m_ready ? "ready" : "not ready"}, {"flows", m_engine.flowCount()},
        {"entries", m_engine.heardEntries(now).size()}, {"domainsOut", m_engine.domains().names},
        {"members", std::move(members)}};
}

void entry_relay_server::handle(instant now, const status_request &event)
{
    event.answer->set_value(describe(now));
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

void entry_relay_server::sendCaller(const endpoint &caller, byte_view bytes)
{
    m_callers->send({.ip = caller.ip, .port = m_settings.callers.port}, bytes);
}

void entry_relay_server::sendTarget(byte_view) { }

} // namespace toucan
