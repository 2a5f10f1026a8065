#include <Poco/Net/HTTPRequestHandler.h>
#include <Poco/Net/HTTPRequestHandlerFactory.h>
#include <Poco/Net/HTTPServerRequest.h>
#include <Poco/Net/HTTPServerRequestImpl.h>
#include <Poco/Net/HTTPServerResponse.h>
#include <Poco/StreamCopier.h>
#include <Poco/URI.h>
#include <algorithm>
#include <charconv>
#include <thread>
#include <toucan/lab/platform_stand_in.h>

namespace toucan::lab {
namespace {

using json = nlohmann::json;
using Poco::Net::HTTPRequest;
using Poco::Net::HTTPResponse;

// Changes kept for those who wait; older ones have to list again.
constexpr std::size_t keptChanges = 10'000;
constexpr int fewestThreads = 2;
// Each waiting watch takes one.
constexpr int mostThreads = 200;

std::uint64_t toNumber(std::string_view text)
{
    std::uint64_t value = 0;
    std::from_chars(text.data(), text.data() + text.size(), value);
    return value;
}

std::optional<std::uint64_t> expectedVersion(const HTTPRequest &request)
{
    if (request.get("If-None-Match", "") == "*")
        return 0;
    const auto tag = request.get("If-Match", "");
    if (tag.size() > 2)
        return toNumber(std::string_view(tag).substr(1, tag.size() - 2));
    return std::nullopt;
}

class object_handler : public Poco::Net::HTTPRequestHandler
{
public:
    explicit object_handler(platform_stand_in &platform)
        : m_platform(platform)
    { }

    void handleRequest(
        Poco::Net::HTTPServerRequest &request, Poco::Net::HTTPServerResponse &response) override
    {
        const auto faults = m_platform.faults();
        if (faults.delay.count() > 0)
            std::this_thread::sleep_for(faults.delay);
        if (faults.down || m_platform.faults().down) {
            hangUp(request);
            return;
        }
        const auto epoch = m_platform.watchEpoch();
        const auto outcome = faults.busy
            ? platform_stand_in::outcome{.status = 429, .body = {{"error", "try later"}}}
            : dispatch(request);
        const bool wrote = request.getMethod() != HTTPRequest::HTTP_GET;
        if ((wrote && faults.loseWriteAnswers) || m_platform.faults().down
            || m_platform.isCutOff(epoch)) {
            hangUp(request);
            return;
        }
        response.setStatus(static_cast<HTTPResponse::HTTPStatus>(outcome.status));
        response.setContentType("application/json");
        if (const auto era = m_platform.statedEra())
            response.set("Store-Era", std::to_string(*era));
        const auto text = outcome.body.dump();
        response.setContentLength(static_cast<std::streamsize>(text.size()));
        response.send() << text;
    }

private:
    static void hangUp(Poco::Net::HTTPServerRequest &request)
    {
        static_cast<Poco::Net::HTTPServerRequestImpl &>(request).detachSocket().close();
    }

    platform_stand_in::outcome dispatch(Poco::Net::HTTPServerRequest &request)
    {
        const Poco::URI uri(request.getURI());
        std::vector<std::string> segments;
        uri.getPathSegments(segments);
        std::map<std::string, std::string> query;
        for (const auto &[name, value] : uri.getQueryParameters())
            query[name] = value;
        if (segments.size() == 2 && segments[1] == "objects")
            return m_platform.list();
        if (segments.size() == 2 && segments[1] == "changes")
            return m_platform.changesAfter(
                toNumber(query["after"]), std::chrono::milliseconds(toNumber(query["wait_ms"])));
        std::string body;
        Poco::StreamCopier::copyToString(request.stream(), body);
        if (segments.size() == 3 && segments[1] == "objects")
            return onKind(request, segments[2], query, body);
        if (segments.size() != 4 || segments[1] != "objects")
            return {.status = 404, .body = {}};
        if (request.getMethod() == HTTPRequest::HTTP_GET)
            return m_platform.get(segments[2], segments[3]);
        if (query.contains("revision"))
            return conflictAs409(
                m_platform.remove(segments[2], segments[3], toNumber(query["revision"])));
        if (request.getMethod() == HTTPRequest::HTTP_DELETE)
            return m_platform.remove(segments[2], segments[3], expectedVersion(request));
        const auto parsed = json::parse(body, nullptr, false);
        if (!parsed.is_object())
            return {.status = 400, .body = "expected a JSON object"};
        if (parsed.contains("meta"))
            return conflictAs409(m_platform.put(segments[2], segments[3], parsed["spec"],
                parsed["meta"].value("revision", std::uint64_t{0})));
        return m_platform.put(segments[2], segments[3], parsed, expectedVersion(request));
    }

    // The users' platform: calls on a kind.
    platform_stand_in::outcome onKind(const HTTPRequest &request, const std::string &kind,
        std::map<std::string, std::string> &query, const std::string &body)
    {
        if (request.getMethod() == HTTPRequest::HTTP_POST) {
            const auto parsed = json::parse(body, nullptr, false);
            if (!parsed.is_object() || !parsed.contains("meta"))
                return {.status = 400, .body = "expected an object with meta"};
            return conflictAs409(m_platform.put(
                kind, parsed["meta"].value("name", std::string()), parsed["spec"], 0));
        }
        if (query.contains("watch"))
            return m_platform.watchKind(kind, toNumber(query["watch"]),
                std::chrono::milliseconds(toNumber(query["waitMs"])));
        return m_platform.listKind(kind);
    }

    static platform_stand_in::outcome conflictAs409(platform_stand_in::outcome outcome)
    {
        if (outcome.status == 412)
            outcome.status = 409;
        return outcome;
    }

    platform_stand_in &m_platform;
};

class handler_factory : public Poco::Net::HTTPRequestHandlerFactory
{
public:
    explicit handler_factory(platform_stand_in &platform)
        : m_platform(platform)
    { }
    Poco::Net::HTTPRequestHandler *createRequestHandler(
        const Poco::Net::HTTPServerRequest &) override
    {
        return new object_handler(m_platform);
    }

private:
    platform_stand_in &m_platform;
};

} // namespace

platform_stand_in::platform_stand_in(const endpoint &address)
    : m_threads(fewestThreads, mostThreads)
{
    Poco::Net::ServerSocket socket;
    socket.bind(Poco::Net::SocketAddress(toString(address)), true);
    socket.listen();
    Poco::Net::HTTPServerParams::Ptr params(new Poco::Net::HTTPServerParams);
    params->setMaxThreads(mostThreads);
    params->setKeepAlive(false);
    m_server = std::make_unique<Poco::Net::HTTPServer>(
        new handler_factory(*this), m_threads, socket, params);
    m_server->start();
}

platform_stand_in::~platform_stand_in()
{
    {
        const std::lock_guard lock(m_mutex);
        m_stopping = true;
    }
    m_changed.notify_all();
    m_server->stopAll(true);
}

void platform_stand_in::setFaults(const platform_faults &faults)
{
    {
        const std::lock_guard lock(m_mutex);
        m_faults = faults;
    }
    m_changed.notify_all();
}

platform_faults platform_stand_in::faults() const
{
    const std::lock_guard lock(m_mutex);
    return m_faults;
}

json platform_stand_in::counts() const
{
    const std::lock_guard lock(m_mutex);
    return {{"reads", m_reads}, {"writes", m_writes}, {"waits", m_waits},
        {"waitingNow", m_waitingNow}, {"version", m_version}};
}

json platform_stand_in::describe(const object_id &id) const
{
    const auto found = m_objects.find(id);
    const auto version = found == m_objects.end() ? m_version : found->second.version;
    const json body = found == m_objects.end() ? json() : found->second.body;
    // In the product's own spelling and in that of the users' platform.
    return {{"kind", id.first}, {"name", id.second}, {"version", version}, {"body", body},
        {"meta", {{"name", id.second}, {"revision", version}}}, {"spec", body},
        {"status", nullptr}};
}

std::uint64_t platform_stand_in::record(const object_id &id, const json &body)
{
    ++m_version;
    m_changes.push_back({m_version, id, body, std::chrono::steady_clock::now()});
    if (m_changes.size() > keptChanges)
        m_changes.pop_front();
    m_changed.notify_all();
    return m_version;
}

std::uint64_t platform_stand_in::versionOf(const object_id &id) const
{
    const auto found = m_objects.find(id);
    return found == m_objects.end() ? 0 : found->second.version;
}

platform_stand_in::outcome platform_stand_in::list()
{
    const std::lock_guard lock(m_mutex);
    ++m_reads;
    auto objects = json::array();
    for (const auto &[id, object] : m_objects)
        objects.push_back(describe(id));
    return {.body = {{"version", m_version}, {"objects", std::move(objects)}}};
}

platform_stand_in::outcome platform_stand_in::listKind(const std::string &kind)
{
    const std::lock_guard lock(m_mutex);
    ++m_reads;
    auto items = json::array();
    for (const auto &[id, object] : m_objects) {
        if (id.first == kind)
            items.push_back(describe(id));
    }
    return {.body = {{"items", std::move(items)}, {"more", false}, {"currentRev", m_version}}};
}

platform_stand_in::outcome platform_stand_in::watchKind(
    const std::string &kind, std::uint64_t version, std::chrono::milliseconds wait)
{
    std::unique_lock lock(m_mutex);
    ++m_waits;
    if (version > m_version)
        return {.status = 410, .body = {}};
    ++m_waitingNow;
    const auto epoch = m_watchEpoch;
    const auto concerns = [&](const change &item) {
        return item.version > std::max(version, m_forgotten) && item.id.first == kind;
    };
    m_changed.wait_for(lock, wait, [&] {
        return m_stopping || m_faults.down || m_watchEpoch != epoch
            || (!m_faults.deafWatches && std::ranges::any_of(m_changes, concerns));
    });
    --m_waitingNow;
    auto events = json::array();
    for (const auto &item : m_changes) {
        if (concerns(item))
            events.push_back(
                {{"removed", !m_objects.contains(item.id)}, {"object", describe(item.id)}});
    }
    return {.body = {{"events", std::move(events)}, {"currentRev", m_version}}};
}

std::optional<std::uint64_t> platform_stand_in::statedEra() const
{
    const std::lock_guard lock(m_mutex);
    return m_faults.hideEra ? std::nullopt : std::optional(m_era);
}

void platform_stand_in::restore(std::chrono::milliseconds age, bool cutWatches)
{
    {
        const std::lock_guard lock(m_mutex);
        const auto from = std::chrono::steady_clock::now() - age;
        const auto lost
            = std::ranges::find_if(m_changes, [&](const change &item) { return item.at > from; });
        std::map<object_id, stored_object> copy;
        // What was dropped from the history is older than any copy.
        for (const auto &[id, object] : m_objects) {
            if (m_changes.empty() || object.version < m_changes.front().version)
                copy[id] = object;
        }
        std::for_each(m_changes.begin(), lost, [&](const change &item) {
            if (item.body.is_null())
                copy.erase(item.id);
            else
                copy[item.id] = {.kind = item.id.first,
                    .name = item.id.second,
                    .version = item.version,
                    .body = item.body};
        });
        if (lost != m_changes.end())
            m_version = lost->version - 1;
        m_forgotten = std::min(m_forgotten, m_version);
        m_changes.erase(lost, m_changes.end());
        m_objects = std::move(copy);
        ++m_era;
        m_watchEpoch += cutWatches;
    }
    m_changed.notify_all();
}

void platform_stand_in::forgetHistory()
{
    {
        const std::lock_guard lock(m_mutex);
        m_forgotten = m_version;
        ++m_watchEpoch;
    }
    m_changed.notify_all();
}

bool platform_stand_in::isCutOff(std::uint64_t epoch) const
{
    const std::lock_guard lock(m_mutex);
    return epoch != m_watchEpoch;
}

std::uint64_t platform_stand_in::watchEpoch() const
{
    const std::lock_guard lock(m_mutex);
    return m_watchEpoch;
}

platform_stand_in::outcome platform_stand_in::get(const std::string &kind, const std::string &name)
{
    const std::lock_guard lock(m_mutex);
    ++m_reads;
    const object_id id{kind, name};
    if (!m_objects.contains(id))
        return {.status = 404, .body = {}};
    return {.body = describe(id)};
}

platform_stand_in::outcome platform_stand_in::put(const std::string &kind, const std::string &name,
    const json &body, std::optional<std::uint64_t> expected)
{
    const std::lock_guard lock(m_mutex);
    ++m_writes;
    const object_id id{kind, name};
    if (expected && *expected != versionOf(id))
        return {.status = 412, .body = {{"version", versionOf(id)}}};
    const auto version = record(id, body);
    m_objects[id] = {.kind = kind, .name = name, .version = version, .body = body};
    return {.body = describe(id)};
}

platform_stand_in::outcome platform_stand_in::remove(
    const std::string &kind, const std::string &name, std::optional<std::uint64_t> expected)
{
    const std::lock_guard lock(m_mutex);
    ++m_writes;
    const object_id id{kind, name};
    if (!m_objects.contains(id))
        return {.status = 404, .body = {}};
    if (expected && *expected != versionOf(id))
        return {.status = 412, .body = {{"version", versionOf(id)}}};
    m_objects.erase(id);
    return {.body = {{"version", record(id, nullptr)}}};
}

platform_stand_in::outcome platform_stand_in::changesAfter(
    std::uint64_t version, std::chrono::milliseconds wait)
{
    std::unique_lock lock(m_mutex);
    ++m_waits;
    ++m_waitingNow;
    m_changed.wait_for(
        lock, wait, [&] { return m_version > version || m_stopping || m_faults.down; });
    --m_waitingNow;
    const bool isForgotten
        = version < m_forgotten || m_changes.empty() || m_changes.front().version > version + 1;
    if (m_version > version && isForgotten)
        return {.status = 410, .body = {}};
    std::map<object_id, json> changed;
    for (const auto &item : m_changes) {
        if (item.version > version)
            changed[item.id] = describe(item.id);
    }
    auto objects = json::array();
    for (auto &[id, value] : changed)
        objects.push_back(std::move(value));
    return {.body = {{"version", m_version}, {"objects", std::move(objects)}}};
}

} // namespace toucan::lab
