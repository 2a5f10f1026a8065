#include <Poco/DeflatingStream.h>
#include <Poco/InflatingStream.h>
#include <sstream>
#include <time.h>
#include <toucan/config_agent.h>
#include <toucan/relay_process.h>

namespace toucan {
namespace {

using namespace std::chrono_literals;
using json = nlohmann::json;

constexpr auto fetchTimeout = 1s;
// After a shorter pause, the packets queued in a socket are still recent enough to forward.
constexpr auto minPause = 500ms;
constexpr auto pollInterval = 2s;
// Limit of a decompressed text. The store holds values up to a megabyte, so a larger text is no
// configuration.
constexpr std::size_t maxConfigBytes = 16U << 20U;
// Operators' commands wait 700 ms for a process; the traffic thread checks for events every 50 ms.
constexpr auto statusTimeout = 500ms;

std::chrono::nanoseconds read(clockid_t clock)
{
    timespec time{};
    ::clock_gettime(clock, &time);
    return std::chrono::seconds(time.tv_sec) + std::chrono::nanoseconds(time.tv_nsec);
}

std::filesystem::file_time_type modifiedAt(const std::string &fileName)
{
    std::error_code ignored;
    return std::filesystem::last_write_time(fileName, ignored);
}

std::uint64_t numberIn(const json &object, const char *field)
{
    const auto value = object.value(field, json());
    return value.is_number_unsigned() ? value.get<std::uint64_t>() : 0;
}

// A stamp as peers send it. A process of the previous release sends only a revision.
config_stamp readStamp(const json &value)
{
    if (value.is_number_unsigned())
        return {.point = {.revision = value.get<std::uint64_t>()}};
    if (!value.is_object())
        return {};
    return {.point = {.era = numberIn(value, "era"), .revision = numberIn(value, "revision")},
        .version = numberIn(value, "version")};
}

} // namespace

json writeStamp(const config_stamp &stamp)
{
    return {
        {"era", stamp.point.era}, {"revision", stamp.point.revision}, {"version", stamp.version}};
}

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
    m_hasEvents = true;
}

std::vector<relay_event> relay_mailbox::take()
{
    if (!m_hasEvents.load(std::memory_order_acquire))
        return {};
    const std::lock_guard lock(m_mutex);
    m_hasEvents = false;
    return std::exchange(m_events, {});
}

void published_config::put(const relay_config_ptr &config)
{
    const std::lock_guard lock(m_mutex);
    m_config = config;
}

relay_config_ptr published_config::get() const
{
    const std::lock_guard lock(m_mutex);
    return m_config;
}

json published_config::answerIfDifferent(const json &have)
{
    const std::lock_guard lock(m_mutex);
    if (!m_config || m_config->stamp == readStamp(have))
        return nullptr;
    // Compressed once, since many peers fetch the same configuration over links that also carry
    // callers' packets.
    if (m_packedConfig != m_config) {
        m_packed = packText(m_config->text);
        m_packedConfig = m_config;
    }
    auto answer = writeStamp(m_config->stamp);
    answer["size"] = m_config->text.size();
    answer["packed"] = json::binary(m_packed);
    return answer;
}

byte_buffer packText(const std::string &text)
{
    std::ostringstream packed;
    Poco::DeflatingOutputStream stream(packed, Poco::DeflatingStreamBuf::STREAM_ZLIB);
    stream << text;
    stream.close();
    const auto bytes = packed.str();
    return {bytes.begin(), bytes.end()};
}

std::optional<std::string> unpackText(byte_view packed, std::size_t size)
{
    if (size > maxConfigBytes)
        return std::nullopt;
    std::istringstream bytes(std::string(packed.begin(), packed.end()));
    Poco::InflatingInputStream stream(bytes, Poco::InflatingStreamBuf::STREAM_ZLIB);
    std::string text;
    std::array<char, 4096> part{};
    try {
        while (stream.read(part.data(), part.size()) || stream.gcount() > 0) {
            text.append(part.data(), static_cast<std::size_t>(stream.gcount()));
            if (text.size() > size)
                return std::nullopt;
        }
    } catch (const Poco::Exception &) {
        return std::nullopt;
    }
    // A truncated input decompresses to a shorter text.
    return text.size() == size ? std::optional(std::move(text)) : std::nullopt;
}

json requestStatus(relay_mailbox &mailbox)
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

void config_fetcher::request(const endpoint &control, const config_stamp &have)
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
    const auto answer = queryControlLink(
        item.control, {{"op", "config"}, {"have", writeStamp(item.have)}}, fetchTimeout);
    if (!answer)
        return fail("the control link did not answer the request for the configuration");
    if (answer->is_null())
        return;
    const auto stamp = readStamp(*answer);
    const auto size = answer->is_object() ? answer->value("size", json()) : json();
    const auto packed = answer->is_object() ? answer->value("packed", json()) : json();
    const auto text = packed.is_binary() && size.is_number_unsigned()
        ? unpackText(packed.get_binary(), size.get<std::size_t>())
        : std::nullopt;
    if (stamp.point.revision == 0 || !text)
        return fail("the configuration from the peer is malformed");
    const auto config = m_adapter.readConfig(stamp.point, *text);
    if (const auto *value = valueOf(config))
        m_handler(*value, item.control);
    else
        fail(errorOf(config)->detail);
}

std::chrono::milliseconds pause_detector::check()
{
    const auto difference = read(CLOCK_BOOTTIME) - read(CLOCK_MONOTONIC);
    const auto before = std::exchange(m_clockDifference, difference);
    if (!before || difference - *before < minPause)
        return 0ms;
    return std::chrono::duration_cast<std::chrono::milliseconds>(difference - *before);
}

settings_watch::settings_watch(std::string fileName)
    : m_fileName(std::move(fileName))
    , m_modifiedAt(modifiedAt(m_fileName))
{ }

std::string_view settings_watch::pollChange(instant now)
{
    if (node::takeReloadRequest()) {
        m_modifiedAt = modifiedAt(m_fileName);
        return "signal";
    }
    if (now - m_lastPoll < pollInterval)
        return {};
    m_lastPoll = now;
    const auto modified = modifiedAt(m_fileName);
    return std::exchange(m_modifiedAt, modified) == modified ? std::string_view() : "file";
}

std::vector<endpoint> seedPeers(std::span<const endpoint> seeds, const endpoint &ownPeer)
{
    std::vector<endpoint> peers;
    for (const auto &seed : seeds)
        peers.push_back({.ip = seed.ip, .port = ownPeer.port});
    return peers;
}

void waitForSockets(std::span<const udp_socket *const> sockets, std::chrono::milliseconds timeout)
{
    std::vector<pollfd> waiting;
    for (const auto *socket : sockets)
        waiting.push_back({.fd = socket->handle().impl()->sockfd(), .events = POLLIN});
    ::poll(waiting.data(), waiting.size(), static_cast<int>(timeout.count()));
}

} // namespace toucan
