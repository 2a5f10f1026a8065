#include <time.h>
#include <toucan/config_agent.h>
#include <toucan/relay_process.h>

namespace toucan {
namespace {

using namespace std::chrono_literals;
using json = nlohmann::json;

constexpr auto fetchTimeout = 1s;
// Freezes shorter than this leave nothing in a socket that would be harmful to pass on.
constexpr auto shortestPause = 500ms;
constexpr auto lookInterval = 2s;
// Operators' commands wait 700 ms for a process; the traffic thread looks each 50 ms.
constexpr auto statusTimeout = 500ms;

std::chrono::nanoseconds read(clockid_t clock)
{
    timespec time{};
    ::clock_gettime(clock, &time);
    return std::chrono::seconds(time.tv_sec) + std::chrono::nanoseconds(time.tv_nsec);
}

std::filesystem::file_time_type writtenAt(const std::string &fileName)
{
    std::error_code ignored;
    return std::filesystem::last_write_time(fileName, ignored);
}

} // namespace

std::uint64_t processorTime()
{
    return static_cast<std::uint64_t>(
        std::chrono::duration_cast<std::chrono::milliseconds>(read(CLOCK_PROCESS_CPUTIME_ID))
            .count());
}

void relay_mailbox::put(relay_event event)
{
    const std::lock_guard lock(m_mutex);
    m_events.push_back(std::move(event));
    m_any = true;
}

std::vector<relay_event> relay_mailbox::take()
{
    if (!m_any.load(std::memory_order_acquire))
        return {};
    const std::lock_guard lock(m_mutex);
    m_any = false;
    return std::exchange(m_events, {});
}

void config_shelf::put(const relay_config_ptr &config)
{
    const std::lock_guard lock(m_mutex);
    if (!m_config || config->revision > m_config->revision)
        m_config = config;
}

relay_config_ptr config_shelf::get() const
{
    const std::lock_guard lock(m_mutex);
    return m_config;
}

json config_shelf::newerThan(const json &have) const
{
    const auto config = get();
    if (!config || (have.is_number_unsigned() && have.get<std::uint64_t>() >= config->revision))
        return nullptr;
    return {{"revision", config->revision}, {"text", config->text}};
}

json askTrafficThread(relay_mailbox &mailbox)
{
    const auto promise = std::make_shared<std::promise<json>>();
    auto answer = promise->get_future();
    mailbox.put(status_request{promise});
    if (answer.wait_for(statusTimeout) != std::future_status::ready)
        return {{"error", "the traffic thread is busy"}};
    return answer.get();
}

config_fetcher::config_fetcher(const platform_adapter &adapter, event_log &log, handler onConfig)
    : m_adapter(adapter)
    , m_log(log)
    , m_handler(std::move(onConfig))
    , m_thread([this](const std::stop_token &stop) { run(stop); })
{ }

config_fetcher::~config_fetcher()
{
    m_thread.request_stop();
    m_wake.notify_all();
}

void config_fetcher::request(const endpoint &control, std::uint64_t have)
{
    {
        const std::lock_guard lock(m_mutex);
        m_next = {.control = control, .have = have};
    }
    m_wake.notify_all();
}

void config_fetcher::run(const std::stop_token &stop)
{
    while (!stop.stop_requested()) {
        job item;
        {
            std::unique_lock lock(m_mutex);
            if (!m_wake.wait(lock, stop, [&] { return m_next.has_value(); }))
                return;
            item = *std::exchange(m_next, std::nullopt);
        }
        fetch(item);
    }
}

void config_fetcher::fetch(const job &item)
{
    const auto fail = [&](std::string reason) {
        m_log.write(monotonicNow(),
            dependency_changed{.dependency = "peer",
                .name = toString(item.control),
                .state = "lost",
                .reason = std::move(reason)});
    };
    const auto answer
        = askControlLink(item.control, {{"op", "config"}, {"have", item.have}}, fetchTimeout);
    if (!answer)
        return fail("no configuration from its control link");
    if (answer->is_null())
        return;
    const auto revision = answer->is_object() ? answer->value("revision", json()) : json();
    const auto text = answer->is_object() ? answer->value("text", json()) : json();
    if (!revision.is_number_unsigned() || !text.is_string())
        return fail("its configuration is malformed");
    const auto config
        = m_adapter.readConfig(revision.get<std::uint64_t>(), text.get<std::string>());
    if (const auto *value = valueOf(config))
        m_handler(*value, item.control);
    else
        fail(errorOf(config)->detail);
}

std::chrono::milliseconds pause_detector::check()
{
    const auto difference = read(CLOCK_BOOTTIME) - read(CLOCK_MONOTONIC);
    const auto before = std::exchange(m_difference, difference);
    if (!before || difference - *before < shortestPause)
        return 0ms;
    return std::chrono::duration_cast<std::chrono::milliseconds>(difference - *before);
}

settings_watch::settings_watch(std::string fileName)
    : m_fileName(std::move(fileName))
    , m_written(writtenAt(m_fileName))
{ }

std::string_view settings_watch::changed(instant now)
{
    if (node::takeReloadRequest()) {
        m_written = writtenAt(m_fileName);
        return "signal";
    }
    if (now - m_lastLook < lookInterval)
        return {};
    m_lastLook = now;
    const auto written = writtenAt(m_fileName);
    return std::exchange(m_written, written) == written ? std::string_view() : "file";
}

std::vector<endpoint> seedPeers(std::span<const endpoint> seeds, const endpoint &ownPeer)
{
    std::vector<endpoint> peers;
    for (const auto &seed : seeds)
        peers.push_back({.ip = seed.ip, .port = ownPeer.port});
    return peers;
}

void waitForSockets(std::span<const udp_socket *const> sockets, std::chrono::milliseconds longest)
{
    std::vector<pollfd> waiting;
    for (const auto *socket : sockets)
        waiting.push_back({.fd = socket->handle().impl()->sockfd(), .events = POLLIN});
    ::poll(waiting.data(), waiting.size(), static_cast<int>(longest.count()));
}

} // namespace toucan
