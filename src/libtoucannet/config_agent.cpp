#include <algorithm>
#include <random>
#include <toucan/config_agent.h>
#include <toucan/control_link.h>
#include <toucan/log.h>

namespace toucan {
namespace {

using namespace std::chrono_literals;
using json = nlohmann::json;

constexpr auto retryInterval = 500ms;
constexpr auto watchTime = 20s;
// Interval at which processes that do not watch the platform check for missed changes.
constexpr auto pollInterval = 60s;
constexpr auto pullTimeout = 1s;
constexpr std::size_t maxQueuedEvents = 64;

std::string ipOf(const endpoint &value)
{
    const auto text = toString(value);
    return text.substr(0, text.rfind(':'));
}

} // namespace

std::optional<json> queryControlLink(
    const endpoint &control, const json &request, std::chrono::milliseconds timeout)
{
    const auto answer
        = callControlLink(ipOf(control), control.port, json::to_cbor(request), timeout);
    if (!answer)
        return std::nullopt;
    auto value = json::from_cbor(*answer, true, false);
    return value.is_discarded() ? std::nullopt : std::optional(std::move(value));
}

std::optional<config_update> pullUpdate(
    const endpoint &control, std::uint64_t have, std::chrono::milliseconds timeout)
{
    const auto answer = queryControlLink(control, {{"op", "config"}, {"have", have}}, timeout);
    if (!answer || answer->is_null())
        return std::nullopt;
    const auto update = updateFromJson(*answer);
    const auto *value = valueOf(update);
    return value ? std::optional(*value) : std::nullopt;
}

config_agent::config_agent(agent_options options, publish_handler handler)
    : m_options(std::move(options))
    , m_handler(std::move(handler))
    , m_log(log::part("config"))
    , m_platformThread([this](const std::stop_token &stop) { runPlatform(stop); })
    , m_controlThread([this](const std::stop_token &stop) { runControl(stop); })
{ }

config_agent::~config_agent()
{
    m_platformThread.request_stop();
    m_controlThread.request_stop();
    m_wake.notify_all();
}

config_ptr config_agent::current() const
{
    const std::lock_guard lock(m_mutex);
    return m_history.current();
}

std::uint64_t config_agent::version() const
{
    const auto config = current();
    return config ? config->version : 0;
}

json config_agent::answerPull(std::uint64_t have) const
{
    const std::lock_guard lock(m_mutex);
    return m_history.version() > have ? updateToJson(m_history.updateSince(have)) : json();
}

void config_agent::post(event item)
{
    {
        const std::lock_guard lock(m_mutex);
        m_events.push_back(std::move(item));
    }
    m_wake.notify_all();
}

void config_agent::requestPull(const endpoint &control, std::uint64_t version)
{
    {
        const std::lock_guard lock(m_mutex);
        // One pull a peer, so that an unresponsive peer delays pulls from others by one timeout
        // only.
        const bool queued = std::ranges::any_of(m_events, [&](const event &item) {
            const auto *pull = std::get_if<pull_event>(&item);
            return pull && pull->control == control;
        });
        if (queued || m_events.size() >= maxQueuedEvents)
            return;
    }
    post(pull_event{control, version});
}

void config_agent::requestRemoval(
    const std::string &kind, const std::string &name, std::uint64_t version)
{
    post(removal_event{kind, name, version});
}

bool config_agent::pause(const std::stop_token &stop, std::chrono::milliseconds time)
{
    std::unique_lock lock(m_mutex);
    m_wake.wait_for(lock, stop, time, [] { return false; });
    return !stop.stop_requested();
}

void config_agent::runControl(const std::stop_token &stop)
{
    while (!stop.stop_requested()) {
        event next;
        {
            std::unique_lock lock(m_mutex);
            if (!m_wake.wait(lock, stop, [&] { return !m_events.empty(); }))
                return;
            next = std::move(m_events.front());
            m_events.pop_front();
        }
        std::visit([&](const auto &item) { handle(item); }, next);
    }
}

void config_agent::handle(const pull_event &item)
{
    const auto have = version();
    if (item.version <= have || !item.control)
        return;
    if (const auto update = pullUpdate(item.control, have, pullTimeout))
        handle(*update);
    else
        m_log->debug("Pull failed. peer={} version={}", toString(item.control), item.version);
}

void config_agent::handle(const removal_event &item)
{
    platform_client client(m_options.platform, m_options.platformTimeout);
    const auto outcome = client.remove(item.kind, item.name, item.version);
    if (valueOf(outcome))
        m_log->info(
            "Removed the record of a member that is gone. kind={} name={}", item.kind, item.name);
}

// Peers remove the record of a process that stays silent; if it is still running, it announces
// itself again.
void config_agent::checkAnnouncement(const config_snapshot &config)
{
    if (!m_announced || config.version < m_announcedVersion)
        return;
    const bool present = std::ranges::any_of(config.objects, [&](const stored_object &item) {
        return item.kind == m_options.kind && item.name == m_options.name;
    });
    if (present)
        return;
    m_log->warn(
        "The platform no longer has the own record; announcing again. name={}", m_options.name);
    m_announced = false;
    m_wake.notify_all();
}

void config_agent::handle(const config_update &item)
{
    config_ptr config;
    {
        const std::lock_guard lock(m_mutex);
        if (!m_history.apply(item))
            return;
        config = m_history.current();
    }
    m_log->info("Configuration in force. version={} services={} entries={} domains_out={}",
        config->version, config->services.size(), config->entries.size(),
        config->domainsOut.size());
    for (const auto &fault : config->faults)
        m_log->warn("Record ignored. {}", fault);
    m_handler(config);
    checkAnnouncement(*config);
}

bool config_agent::announce(platform_client &client)
{
    auto record = m_options.record;
    const auto existing = client.get(m_options.kind, m_options.name);
    const auto *object = valueOf(existing);
    if (!object && errorOf(existing)->kind != error_kind::not_found)
        return false;
    if (object
        && object->body.value("boot", std::uint64_t{0}) == record.at("boot").get<std::uint64_t>()) {
        m_announcedVersion = object->version;
        return true;
    }
    record["firstBoot"] = object == nullptr;
    // The next attempt reads first and so resolves a lost answer or a conflict.
    const auto written
        = client.put(m_options.kind, m_options.name, record, object ? object->version : 0);
    if (const auto *version = valueOf(written))
        m_announcedVersion = *version;
    return valueOf(written) != nullptr;
}

void config_agent::runPlatform(const std::stop_token &stop)
{
    platform_client client(m_options.platform, m_options.platformTimeout);
    bool warned = false;
    while (!stop.stop_requested()) {
        if (!m_announced && announce(client)) {
            m_announced = true;
            m_log->info("Announced. kind={} name={}", m_options.kind, m_options.name);
        }
        if (m_announced)
            follow(client, stop);
        if (!warned && !m_announced) {
            warned = true;
            m_log->warn("Platform does not answer; not announced yet, asking peers for the "
                        "configuration. platform={}",
                toString(m_options.platform));
        }
        for (const auto &peer : m_options.peers)
            requestPull(peer, version() + 1);
        if (!pause(stop, retryInterval))
            return;
    }
}

void config_agent::follow(platform_client &client, const std::stop_token &stop)
{
    const auto all = client.list();
    const auto *list = valueOf(all);
    if (!list)
        return;
    post(config_update{.version = list->version, .objects = list->objects});
    std::uint64_t seen = list->version;
    while (!stop.stop_requested() && m_announced) {
        const auto wait = m_options.watchesPlatform ? std::chrono::milliseconds(watchTime) : 0ms;
        const auto outcome = client.changesAfter(seen, wait);
        const auto *changes = valueOf(outcome);
        if (!changes)
            return;
        if (changes->version > seen) {
            // Also correct when a configuration from a peer was applied in the meantime: these are
            // all the changes after `seen`, each in its latest state.
            post(config_update{
                .version = changes->version, .since = seen, .objects = changes->objects});
            seen = changes->version;
        }
        if (!m_options.watchesPlatform && !pause(stop, pollInterval))
            return;
    }
}

} // namespace toucan
