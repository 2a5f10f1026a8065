#include <Poco/Net/HTTPClientSession.h>
#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>
#include <Poco/Net/NetException.h>
#include <Poco/StreamCopier.h>
#include <charconv>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <toucan/platform_client.h>
#include <toucan/store_answer.h>

namespace toucan {
namespace {

using Poco::Net::HTTPRequest;
using Poco::Net::HTTPResponse;
using json = nlohmann::json;

// A dead connection is detected within three seconds, the shortest time in which a configuration
// has to be in force.
constexpr int keepAliveIdleSeconds = 1;
constexpr int keepAliveIntervalSeconds = 1;
constexpr int keepAliveProbes = 2;
constexpr int tcpUserTimeoutMilliseconds = 2000;

error malformed(const json::exception &failure)
{
    return {error_kind::platform_unavailable,
        std::string("the platform's answer is malformed: ") + failure.what()};
}

error unexpectedStatus(int status, const std::string &body)
{
    return {error_kind::platform_unavailable,
        "the platform answered " + std::to_string(status) + ' ' + body};
}

std::string pathOf(std::string_view kind, std::string_view name)
{
    return std::string(kind) + '/' + std::string(name);
}

std::optional<std::uint64_t> statedEra(const HTTPResponse &answer, std::string_view header)
{
    const std::string name(header);
    if (name.empty() || !answer.has(name))
        return std::nullopt;
    const auto &text = answer.get(name);
    std::uint64_t era = 0;
    const auto read = std::from_chars(text.data(), text.data() + text.size(), era);
    return read.ec == std::errc() ? std::optional(era) : std::nullopt;
}

} // namespace

/// An HTTP session that uses TCP keep-alive to detect an unresponsive peer.
class platform_client::session : public Poco::Net::HTTPClientSession
{
public:
    using HTTPClientSession::HTTPClientSession;

    /// Shuts down the connection, which ends pending calls; its owner closes it. Thread-safe.
    void shutDown()
    {
        const std::lock_guard lock(m_mutex);
        try {
            if (m_socket)
                m_socket->shutdown();
        } catch (const Poco::Exception &) {
            // The peer has already closed the connection.
            return;
        }
    }

protected:
    void connect(const Poco::Net::SocketAddress &address) override
    {
        HTTPClientSession::connect(address);
        auto &open = socket();
        {
            const std::lock_guard lock(m_mutex);
            m_socket = open;
        }
        open.setKeepAlive(true);
        open.setOption(IPPROTO_TCP, TCP_KEEPIDLE, keepAliveIdleSeconds);
        open.setOption(IPPROTO_TCP, TCP_KEEPINTVL, keepAliveIntervalSeconds);
        open.setOption(IPPROTO_TCP, TCP_KEEPCNT, keepAliveProbes);
        open.setOption(IPPROTO_TCP, TCP_USER_TIMEOUT, tcpUserTimeoutMilliseconds);
        open.setNoDelay(true);
    }

private:
    std::mutex m_mutex;
    std::optional<Poco::Net::StreamSocket> m_socket; ///< The newest connection.
};

platform_client::platform_client(const endpoint &address, std::chrono::milliseconds timeout,
    const platform_dialect &dialect, store_era *era)
    : m_address(address)
    , m_timeout(timeout)
    , m_dialect(dialect)
    , m_era(era)
{ }

platform_client::~platform_client() = default;

bool platform_client::openSession()
{
    const std::lock_guard lock(m_mutex);
    if (m_cancelled)
        return false;
    if (!m_session) {
        const auto text = toString(m_address);
        m_session = std::make_unique<session>(text.substr(0, text.rfind(':')), m_address.port);
        m_session->setKeepAlive(true);
    }
    return true;
}

void platform_client::closeSession()
{
    const std::lock_guard lock(m_mutex);
    m_session.reset();
}

bool platform_client::isEnded()
{
    const std::lock_guard lock(m_mutex);
    return m_cancelled || m_interrupted;
}

void platform_client::cancel()
{
    const std::lock_guard lock(m_mutex);
    m_cancelled = true;
    try {
        if (m_session)
            m_session->abort();
    } catch (const Poco::Exception &) {
        // Not connected yet: the call in progress checks m_cancelled once it is.
        return;
    }
}

void platform_client::interrupt()
{
    const std::lock_guard lock(m_mutex);
    if (!m_canInterrupt)
        return;
    m_interrupted = true;
    if (m_session)
        m_session->shutDown();
}

void platform_client::allowInterrupt(bool isAllowed)
{
    const std::lock_guard lock(m_mutex);
    m_canInterrupt = isAllowed;
    m_interrupted = false;
}

bool platform_client::observeEra(std::optional<std::uint64_t> stated)
{
    const bool isUsable = !m_era || m_era->observe(stated);
    m_answerEra = stated.value_or(m_era ? m_era->current() : 0);
    return isUsable;
}

result<platform_client::response> platform_client::call(
    const platform_request &request, std::chrono::milliseconds timeout)
{
    const bool reused = m_session != nullptr;
    auto outcome = attempt(request, timeout);
    const auto *failure = errorOf(outcome);
    // The platform may have closed an idle connection, so a short read is retried. An interrupted
    // watch is not: the platform may have lost its history without reporting that.
    const bool shouldRetry = failure && reused && request.method == HTTPRequest::HTTP_GET
        && timeout == m_timeout && failure->detail.find("imeout") == std::string::npos;
    return shouldRetry ? attempt(request, timeout) : outcome;
}

result<platform_client::response> platform_client::attempt(
    const platform_request &request, std::chrono::milliseconds timeout)
{
    bool sent = false;
    try {
        if (!openSession())
            return error{error_kind::platform_unavailable, "the call was cancelled"};
        const Poco::Timespan limit(timeout.count() * 1000);
        const Poco::Timespan connectLimit(m_timeout.count() * 1000);
        m_session->setTimeout(connectLimit, connectLimit, limit);
        // setTimeout() has no effect on the receive timeout of an open connection.
        if (m_session->connected())
            m_session->socket().setReceiveTimeout(limit);
        HTTPRequest head(request.method, request.path, Poco::Net::HTTPMessage::HTTP_1_1);
        head.setKeepAlive(true);
        head.setContentType("application/json");
        head.setContentLength(static_cast<std::streamsize>(request.body.size()));
        if (!request.conditionName.empty())
            head.set(request.conditionName, request.conditionValue);
        m_session->sendRequest(head) << request.body;
        sent = true;
        if (isEnded()) {
            closeSession();
            return error{error_kind::write_uncertain, "the call was cancelled"};
        }
        HTTPResponse answer;
        std::string body;
        Poco::StreamCopier::copyToString(m_session->receiveResponse(answer), body);
        const bool isTruncated = answer.hasContentLength()
            && static_cast<std::size_t>(answer.getContentLength()) != body.size();
        if (isTruncated || !answer.getKeepAlive())
            closeSession();
        if (isTruncated)
            return error{error_kind::write_uncertain, "the platform's answer was truncated"};
        if (!observeEra(statedEra(answer, m_dialect.eraHeader()))) {
            closeSession();
            return error{
                error_kind::write_uncertain, "the answer is of an earlier era of the store"};
        }
        return response{static_cast<int>(answer.getStatus()), std::move(body)};
    } catch (const Poco::Exception &failure) {
        closeSession();
        return error{sent ? error_kind::write_uncertain : error_kind::platform_unavailable,
            toString(m_address) + ": " + failure.displayText()};
    }
}

result<json> platform_client::read(
    const platform_request &request, std::chrono::milliseconds timeout, std::string_view path)
{
    const auto outcome = call(request, timeout);
    const auto *answer = valueOf(outcome);
    if (!answer)
        return error{error_kind::platform_unavailable, errorOf(outcome)->detail};
    const auto status = m_dialect.status(answer->status);
    if (status == platform_status::not_found || status == platform_status::gone)
        return error{error_kind::not_found, std::string(path)};
    if (status != platform_status::done)
        return unexpectedStatus(answer->status, answer->body);
    try {
        return parseStoreAnswer(answer->body);
    } catch (const json::exception &failure) {
        return malformed(failure);
    }
}

result<object_list> platform_client::list(std::string_view kind, bool acceptsStale)
{
    object_list all;
    do {
        const auto after = all.objects.empty() ? std::string() : all.objects.back().name;
        const auto outcome = read(m_dialect.list(kind, after, acceptsStale), m_timeout, kind);
        const auto *answer = valueOf(outcome);
        if (!answer)
            return *errorOf(outcome);
        try {
            auto page = m_dialect.readList(kind, *answer);
            // A watch from the first page's version returns the changes made between two pages.
            if (all.objects.empty()) {
                all.version = page.version;
                all.era = m_answerEra;
            }
            if (all.era != m_answerEra)
                return error{error_kind::platform_unavailable,
                    "the store was restored from an older copy between two pages"};
            all.more = page.more && !page.objects.empty();
            all.unreadable += page.unreadable;
            std::ranges::move(page.objects, std::back_inserter(all.objects));
        } catch (const json::exception &failure) {
            return malformed(failure);
        }
    } while (all.more);
    return all;
}

result<stored_object> platform_client::get(std::string_view kind, std::string_view name)
{
    const auto outcome = read(m_dialect.get(kind, name), m_timeout, pathOf(kind, name));
    const auto *answer = valueOf(outcome);
    if (!answer)
        return *errorOf(outcome);
    try {
        return m_dialect.readObject(kind, *answer);
    } catch (const json::exception &failure) {
        return malformed(failure);
    }
}

result<std::uint64_t> platform_client::write(const platform_request &request, std::string_view path)
{
    const auto outcome = call(request, m_timeout);
    const auto *answer = valueOf(outcome);
    if (!answer)
        return *errorOf(outcome);
    switch (m_dialect.status(answer->status)) {
    case platform_status::conflict:
        return error{error_kind::conflict, std::string(path)};
    case platform_status::not_found:
    case platform_status::gone:
        return error{error_kind::not_found, std::string(path)};
    case platform_status::unavailable:
        return unexpectedStatus(answer->status, answer->body);
    case platform_status::done:
        break;
    }
    // The answer to a removal may have no body.
    if (answer->body.empty())
        return std::uint64_t{0};
    try {
        return m_dialect.readVersion(parseStoreAnswer(answer->body));
    } catch (const json::exception &) {
        return error{error_kind::write_uncertain, "the platform's answer is malformed"};
    }
}

result<std::uint64_t> platform_client::put(
    std::string_view kind, std::string_view name, const json &body, std::uint64_t expected)
{
    return write(m_dialect.put(kind, name, body, expected), pathOf(kind, name));
}

result<std::uint64_t> platform_client::remove(
    std::string_view kind, std::string_view name, std::uint64_t expected)
{
    return write(m_dialect.remove(kind, name, expected), pathOf(kind, name));
}

result<object_list> platform_client::changesAfter(std::uint64_t version,
    std::chrono::milliseconds wait, std::string_view kind, std::optional<std::uint64_t> era)
{
    allowInterrupt(true);
    // An increase of the era is detected here; a later one interrupts the call.
    const bool isOtherEra = era && m_era && m_era->current() != *era;
    const auto outcome = isOtherEra
        ? result<json>(error{error_kind::not_found, "the store is in another era"})
        : read(m_dialect.watch(kind, version, wait), m_timeout + wait, "changes since a version");
    allowInterrupt(false);
    const auto *answer = valueOf(outcome);
    if (!answer)
        return *errorOf(outcome);
    try {
        auto changes = m_dialect.readChanges(kind, *answer);
        changes.era = m_answerEra;
        return changes;
    } catch (const json::exception &failure) {
        return malformed(failure);
    }
}

} // namespace toucan
