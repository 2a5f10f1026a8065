#include <csignal>
#include <random>
#include <toucan/node.h>
#include <toucan/udp_socket.h>

namespace toucan::node {
namespace {

volatile std::sig_atomic_t stopSignal = 0;
volatile std::sig_atomic_t reloadSignal = 0;
const instant loadTime = monotonicNow();

void onStopSignal(int number)
{
    stopSignal = number;
}

void onReloadSignal(int number)
{
    reloadSignal = number;
}

using json = nlohmann::json;

json answerRequest(const json &request, const config_agent &agent, const status_snapshot &status)
{
    const auto operation = request.is_object() ? request.value("op", std::string()) : std::string();
    if (operation == "config")
        return agent.answerPull(request.value("have", std::uint64_t{0}));
    if (operation == "status")
        return status.read();
    return {{"error", "expected op config or status"}};
}

} // namespace

void handleStopSignals()
{
    struct sigaction action = {};
    action.sa_handler = onStopSignal;
    sigaction(SIGTERM, &action, nullptr);
    sigaction(SIGINT, &action, nullptr);
    action.sa_handler = onReloadSignal;
    sigaction(SIGHUP, &action, nullptr);
    std::signal(SIGPIPE, SIG_IGN);
}

bool stopRequested()
{
    return stopSignal != 0;
}

instant loadedAt()
{
    return loadTime;
}

bool takeReloadRequest()
{
    if (reloadSignal == 0)
        return false;
    reloadSignal = 0;
    return true;
}

void config_mailbox::put(const config_ptr &config)
{
    const std::lock_guard lock(m_mutex);
    m_next = config;
    m_hasNext = true;
}

config_ptr config_mailbox::take()
{
    if (!m_hasNext.load(std::memory_order_acquire))
        return nullptr;
    const std::lock_guard lock(m_mutex);
    m_hasNext = false;
    return std::exchange(m_next, nullptr);
}

void status_snapshot::put(json status)
{
    const std::lock_guard lock(m_mutex);
    m_status = std::move(status);
}

json status_snapshot::read() const
{
    const std::lock_guard lock(m_mutex);
    return m_status;
}

std::unique_ptr<control_server> serveControlLink(const endpoint &address, const config_agent &agent,
    const status_snapshot &status, const metrics::registry &metrics)
{
    const auto onRequest = [&](const std::vector<std::uint8_t> &bytes) {
        try {
            if (bytes.size() > maxRequestBytes)
                return json::to_cbor(json{{"error", "the request is too long"}});
            return json::to_cbor(answerRequest(json::from_cbor(bytes), agent, status));
        } catch (const json::exception &failure) {
            return json::to_cbor(json{{"error", failure.what()}});
        }
    };
    const auto onHttp = [&](const http_request &request) -> http_response {
        if (request.path == "/metrics")
            return {.body = metrics.text()};
        if (request.path == "/status")
            return {.body = status.read().dump(2) + '\n'};
        return notFound();
    };
    return std::make_unique<control_server>(std::vector{listenAddress(address)}, onRequest, onHttp);
}

http_response notFound()
{
    return {.status = 404, .body = "not found\n"};
}

listen_address listenAddress(const endpoint &address)
{
    const auto text = toString(address);
    return {text.substr(0, text.rfind(':')), address.port};
}

std::uint64_t randomNumber()
{
    std::random_device device;
    // JSON readers that store numbers as doubles read 52 bits exactly.
    constexpr unsigned usableBits = 52;
    return ((std::uint64_t{device()} << 32U) | device()) >> (64U - usableBits);
}

} // namespace toucan::node
