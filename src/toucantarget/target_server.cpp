#include "target_server.h"

#include <toucan/log.h>
#include <toucan/record_json.h>

namespace toucan {
namespace {

using namespace std::chrono_literals;

constexpr auto tickInterval = 20ms;
constexpr auto healthInterval = 500ms;
constexpr auto statusInterval = 200ms;
constexpr long pollMicroseconds = 10'000;
// Limit per socket and pass, so that no socket starves the others.
constexpr int maxDatagramsPerRead = 64;
constexpr std::string_view healthPath = "health";

} // namespace

target_server::target_server(const target_settings &settings)
    : m_settings(settings)
    , m_boot(node::randomNumber())
    , m_tracer(settings.traceFile, settings.name)
{ }

int target_server::run()
{
    const auto log = log::part("target");
    auto data = udp_socket::bind(m_settings.data);
    if (const auto *failure = errorOf(data)) {
        log->error("Data socket cannot be bound. {}", failure->detail);
        return errorInfo(failure->kind).exitCode;
    }
    m_dataSocket.emplace(std::get<udp_socket>(std::move(data)));
    m_poll.add(m_dataSocket->handle(), Poco::Net::PollSet::POLL_READ);
    const auto advertised = m_settings.advertise ? m_settings.advertise : m_settings.data;
    m_engine = std::make_unique<target_engine>(
        target_options{.identity = {.name = m_settings.name,
                           .service = m_settings.service,
                           .domain = m_settings.domain,
                           .data = advertised,
                           .control = m_settings.control,
                           .boot = m_boot},
            .policy = m_settings.policy == "hash" ? target_policy::hash : target_policy::claims,
            .seed = node::randomNumber()},
        m_metrics, monotonicNow());
    const member_record record{.service = m_settings.service,
        .domain = m_settings.domain,
        .data = advertised,
        .control = m_settings.control,
        .boot = m_boot};
    m_agent = std::make_unique<config_agent>(agent_options{.platform = m_settings.platform,
                                                 .platformTimeout = m_settings.platformTimeout,
                                                 .peers = m_settings.peers,
                                                 .kind = object_kind::member,
                                                 .name = m_settings.name,
                                                 .record = record_json::write(record)},
        [this](const config_ptr &config) { m_mailbox.put(config); });
    const auto control = node::serveControlLink(m_settings.control, *m_agent, m_status, m_metrics);
    log->info("Serving. name={} service={} data={}", m_settings.name, m_settings.service,
        toString(m_settings.data));
    loop();
    log->info("Stopped. name={}", m_settings.name);
    return 0;
}

void target_server::loop()
{
    while (!node::stopRequested()) {
        const auto ready = m_poll.poll(Poco::Timespan(pollMicroseconds));
        if (const auto config = m_mailbox.take())
            m_engine->onConfig(monotonicNow(), config);
        for (const auto &[socket, mode] : ready) {
            if (socket == m_dataSocket->handle()) {
                readDataSocket();
            } else if (const auto found = m_flowBySocket.find(socket);
                       found != m_flowBySocket.end()) {
                readFlowSocket(flow_key(found->second));
            } else if (m_healthSocket && socket == m_healthSocket->handle()) {
                checkHealth();
            }
        }
        const auto now = monotonicNow();
        if (now - m_lastTick >= tickInterval) {
            m_lastTick = now;
            m_engine->onTick(now);
            execute();
        }
        if (now - m_lastHealth >= healthInterval) {
            m_lastHealth = now;
            checkHealth();
        }
        if (now - m_lastStatus >= statusInterval) {
            m_lastStatus = now;
            publishStatus();
        }
    }
}

void target_server::readDataSocket()
{
    for (int i = 0; i < maxDatagramsPerRead; ++i) {
        const auto datagram = m_dataSocket->receive(m_buffer);
        if (!datagram)
            return;
        m_engine->onDatagram(monotonicNow(), datagram->from, datagram->payload);
        execute();
    }
}

void target_server::readFlowSocket(const flow_key &key)
{
    for (int i = 0; i < maxDatagramsPerRead; ++i) {
        const auto found = m_flowSockets.find(key);
        const auto datagram
            = found == m_flowSockets.end() ? std::nullopt : found->second.socket.receive(m_buffer);
        if (!datagram)
            return;
        m_engine->onTargetDatagram(monotonicNow(), key, datagram->payload);
        execute();
    }
}

void target_server::execute()
{
    for (const auto &item : m_engine->takeActions())
        std::visit([&](const auto &each) { execute(each); }, item);
}

void target_server::execute(const send_datagram &item)
{
    m_dataSocket->send(item.to, item.bytes);
}

void target_server::execute(const send_to_target &item)
{
    auto found = m_flowSockets.find(item.flow);
    if (found == m_flowSockets.end()) {
        auto opened = udp_socket::connect(m_settings.address);
        if (errorOf(opened)) {
            m_metrics.numberOf("toucan_flow_socket_failures_total").add();
            return;
        }
        found = m_flowSockets
                    .emplace(
                        item.flow, flow_socket{std::get<udp_socket>(std::move(opened)), item.flow})
                    .first;
        m_flowBySocket.emplace(found->second.socket.handle(), item.flow);
        m_poll.add(found->second.socket.handle(), Poco::Net::PollSet::POLL_READ);
    }
    found->second.socket.send(item.bytes);
}

void target_server::execute(const close_target_flow &item)
{
    const auto found = m_flowSockets.find(item.flow);
    if (found == m_flowSockets.end())
        return;
    m_poll.remove(found->second.socket.handle());
    m_flowBySocket.erase(found->second.socket.handle());
    m_flowSockets.erase(found);
}

void target_server::execute(const pull_config &item)
{
    m_agent->requestPull(item.control, item.version);
}

void target_server::execute(const remove_member &item)
{
    m_agent->requestRemoval(std::string(object_kind::member), item.name, item.version);
}

void target_server::execute(const record_span &item)
{
    m_tracer.span(item.trace, item.hop, item.detail);
}

void target_server::checkHealth()
{
    if (!m_healthSocket) {
        auto opened = udp_socket::connect(m_settings.address);
        if (errorOf(opened))
            return;
        m_healthSocket.emplace(std::get<udp_socket>(std::move(opened)));
        m_poll.add(m_healthSocket->handle(), Poco::Net::PollSet::POLL_READ);
    }
    while (const auto datagram = m_healthSocket->receive(m_buffer)) {
        const auto parsed = coap::parse(datagram->payload);
        const auto *message = valueOf(parsed);
        if (!message || message->messageCode != coap::code::content)
            continue;
        const std::string state(message->payload.begin(), message->payload.end());
        m_engine->onHealth(
            monotonicNow(), !state.starts_with("cold") && !state.starts_with("draining"));
    }
    if (monotonicNow() - m_lastHealth > 1ms)
        return;
    coap::message question{
        .messageType = coap::type::non_confirmable, .messageCode = coap::code::get};
    question.id = static_cast<std::uint16_t>(m_lastHealth.count());
    question.addText(coap::option_number::uri_path, healthPath);
    m_healthSocket->send(coap::serialize(question));
}

void target_server::publishStatus()
{
    const auto status = m_engine->status();
    m_status.put({{"name", m_settings.name}, {"role", "target"}, {"service", m_settings.service},
        {"domain", m_settings.domain}, {"version", status.version}, {"state", status.state},
        {"flows", status.flows}, {"inProgress", status.inProgress}, {"limit", status.limit},
        {"claims", status.claims}, {"packets", status.packets},
        {"announced", m_agent->isAnnounced()}});
    m_metrics.numberOf("toucan_config_version").set(status.version);
    m_metrics.numberOf("toucan_flows").set(status.flows);
    m_metrics.numberOf("toucan_requests_in_progress").set(status.inProgress);
    m_metrics.numberOf("toucan_request_limit").set(status.limit);
    m_metrics.numberOf("toucan_packets_received_total").set(status.packets);
    m_metrics.numberOf("toucan_claims_held").set(status.claims);
}

} // namespace toucan
