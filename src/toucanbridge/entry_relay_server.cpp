#include "entry_relay_server.h"

namespace toucan {
namespace {

using namespace std::chrono_literals;

// Also the maximum delay of an event from another thread.
constexpr auto pollInterval = 50ms;
// A watch without a change ends this long before the store drops the revision where it began, and
// lasts no longer than the store permits.
constexpr auto historyMargin = 2s;
constexpr std::chrono::milliseconds maxWatchDuration = 28s;
// Entries that are alive send every 500 ms.
constexpr auto aliveReportInterval = 1s;

relay_entry_options engineOptions(const entry_relay_settings &settings, std::uint64_t boot)
{
    return {.name = settings.name,
        .domain = settings.domain,
        .peer = settings.peer,
        .seeds = seedPeers(settings.seeds, settings.peer),
        .domains = settings.domains,
        .flowLifetime = settings.flowLifetime,
        .grace = settings.grace,
        .linkRate = settings.linkRate,
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
    if (const auto failed
        = bindSockets(std::array{socket_binding{m_callerSocket, m_settings.callers}}))
        return *failed;
    startFetcher([this](const relay_config_ptr &config, const endpoint &from) {
        queueConfig(config, toString(from));
    });
    const auto control
        = serveControl([this](const incoming_request &question) { return answer(question); });
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
    const auto watchTime = std::clamp<std::chrono::milliseconds>(
        m_settings.platformHistory - historyMargin, 1s, maxWatchDuration);
    m_configFollower = std::make_unique<store_follower>(
        store, std::string(kinds.config),
        [this](const store_point &point, const store_follower::snapshot &objects) {
            const auto found = objects.find(std::string(m_adapter.kinds.configName));
            if (found != objects.end())
                readConfig({.era = point.era, .revision = found->second.version}, found->second);
        },
        watchTime);
    m_domainsFollower = std::make_unique<store_follower>(
        store, std::string(kinds.domainsOut),
        [this](const store_point &point, const store_follower::snapshot &objects) {
            domains_out domains{.point = point};
            for (const auto &[name, object] : objects)
                domains.names.push_back(name);
            m_mailbox.put(domains_event{std::move(domains)});
        },
        watchTime);
    m_registration = std::make_unique<entry_registration>(store, std::string(kinds.entries),
        directory_entry{.name = m_settings.name,
            .peer = m_settings.peer,
            .control = m_settings.control,
            .domain = m_settings.domain},
        [this](std::vector<entry_place> entries) {
            m_mailbox.put(entries_event{std::move(entries)});
        });
}

// Called after each change of an object of this kind, even if the configuration has not changed.
void entry_relay_server::readConfig(const store_point &point, const stored_object &object)
{
    const auto known = stampOf(m_publishedConfig.get()).point;
    if (point.era == known.era && point.revision <= known.revision)
        return;
    const auto read = m_adapter.readConfig(point, object.body.dump());
    if (const auto *config = valueOf(read))
        queueConfig(*config, "store");
    else
        m_log.write(monotonicNow(),
            configuration_changed{.era = point.era,
                .revision = point.revision,
                .source = "store",
                .faults = errorOf(read)->detail});
}

void entry_relay_server::queueConfig(const relay_config_ptr &config, std::string source)
{
    m_mailbox.put(config_event{.config = config, .source = std::move(source)});
}

http_response entry_relay_server::answer(const incoming_request &question) const
{
    constexpr int unavailable = 503;
    if (!std::holds_alternative<readiness_probe>(question))
        return node::notFound();
    return m_ready ? http_response{.body = "ready\n"}
                   : http_response{.status = unavailable, .body = "not ready\n"};
}

void entry_relay_server::loop()
{
    bool leaving = false;
    while (!m_engine.mayExit(monotonicNow())) {
        waitForSockets(std::array<const udp_socket *, 2>{&*m_callerSocket, &*m_peerSocket},
            waitTime(monotonicNow()));
        const auto now = monotonicNow();
        if (discardAfterPause(now, *m_callerSocket)) {
            m_engine.onPause(now);
            m_engine.discardQueued();
        } else {
            readBatch(
                *m_peerSocket, m_buffer, [&](const endpoint &from, std::span<std::uint8_t> bytes) {
                    m_engine.onPeerBytes(now, from, bytes);
                });
            readBatch(
                *m_callerSocket, m_buffer, [&](const endpoint &, std::span<std::uint8_t> bytes) {
                    m_engine.onCallerBytes(now, bytes);
                });
        }
        for (const auto &event : m_mailbox.take())
            std::visit([&](const auto &item) { handle(now, item); }, event);
        m_engine.onTick(now);
        if (m_engine.config() != m_lastPublished) {
            m_lastPublished = m_engine.config();
            m_publishedConfig.put(m_lastPublished);
        }
        updateStoreState(now);
        m_ready = m_engine.isReady(now);
        if (m_ready)
            reportReadyOnce(now);
        updateRegistration(now);
        if (reloadSettings(now))
            m_engine.setOptions(engineOptions(m_settings, m_boot));
        if (node::stopRequested() && !std::exchange(leaving, true)) {
            m_engine.startLeaving(now);
            logStop("signalled", m_engine.flowCount());
        }
    }
    m_engine.flushQueued(monotonicNow());
}

// Time to wait for datagrams, until what the engine has queued is due.
std::chrono::milliseconds entry_relay_server::waitTime(instant now) const
{
    const auto due = m_engine.untilLinkDue(now);
    return due ? std::clamp<std::chrono::milliseconds>(
               std::chrono::ceil<std::chrono::milliseconds>(*due), 1ms, pollInterval)
               : pollInterval;
}

// Activates the store followers while the failure domain needs them, and passes the state of the
// store to the engine.
void entry_relay_server::updateStoreState(instant now)
{
    const auto isNeeded = m_engine.shouldFollowStore(now);
    if (!isNeeded)
        return;
    for (auto *follower : {m_configFollower.get(), m_domainsFollower.get()})
        follower->setActive(*isNeeded);
    const bool isHeard = m_configFollower->isFollowing() && m_domainsFollower->isFollowing();
    const bool isLost = m_configFollower->isLost() || m_domainsFollower->isLost();
    m_engine.onStoreStanding(now,
        !*isNeeded    ? store_standing::not_asked
            : isLost  ? store_standing::lost
            : isHeard ? store_standing::followed
                      : store_standing::not_asked);
}

// Passes the newest era to the registration and, while it probes the listed entries, the entries
// that are alive.
void entry_relay_server::updateRegistration(instant now)
{
    const auto era = std::max(m_storeEra.current(), m_engine.domains().point.era);
    if (std::exchange(m_registrationEra, era) != era)
        m_registration->observeEra(era);
    if (!m_registration->isCollectingAnswers() || now - m_lastAliveReport < aliveReportInterval)
        return;
    m_lastAliveReport = now;
    m_registration->recordAlive(m_engine.aliveEntries(now));
}

nlohmann::json entry_relay_server::describeStatus(instant now) const
{
    const auto &config = m_engine.config();
    auto members = nlohmann::json::array();
    m_engine.members().forEach([&](const relay_member &item) {
        members.push_back({{"name", item.name}, {"service", item.service}, {"domain", item.domain},
            {"address", toString(item.address)}, {"state", stateNameOf(item)},
            {"flows", item.flows}, {"load", item.load}});
    });
    return {{"name", m_settings.name}, {"role", "entry"}, {"domain", m_settings.domain},
        {"era", stampOf(config).point.era}, {"version", stampOf(config).point.revision},
        {"configuration", stampOf(config).version}, {"state", m_ready ? "ready" : "not ready"},
        {"flows", m_engine.flowCount()}, {"entries", m_engine.aliveEntries(now).size()},
        {"domainsOut", m_engine.domains().names}, {"members", std::move(members)}};
}

void entry_relay_server::handle(instant now, const status_request &event)
{
    event.answer->set_value(describeStatus(now));
}

void entry_relay_server::handle(instant now, const config_event &event)
{
    m_engine.onConfig(now, event.config, event.source);
}

void entry_relay_server::handle(instant now, const domains_event &event)
{
    auto domains = event.domains;
    const auto &known = m_settings.domains;
    const auto ignored = known.empty() ? 0 : std::erase_if(domains.names, [&](const auto &name) {
        return std::ranges::find(known, name) == known.end();
    });
    if (std::exchange(m_ignoredDomains, ignored) != ignored)
        m_log.write(now,
            objects_ignored{.kind = std::string(m_adapter.kinds.domainsOut),
                .count = ignored,
                .reason = "no failure domain of the settings has their names"});
    m_engine.onDomains(now, domains, "store");
}

void entry_relay_server::handle(instant now, const entries_event &event)
{
    m_engine.onEntries(now, event.entries);
}

void entry_relay_server::handle(instant, const target_liveness &)
{
    // Not used: targets report to the target process on their own VM.
}

void entry_relay_server::sendCaller(const endpoint &caller, byte_view bytes)
{
    m_callerSocket->send({.ip = caller.ip, .port = m_settings.callers.port}, bytes);
}

void entry_relay_server::sendTarget(byte_view) { }

} // namespace toucan
