#include "bridge_server.h"

#include <algorithm>
#include <toucan/coap.h>
#include <toucan/log.h>
#include <toucan/record_json.h>

namespace toucan {
namespace {

using namespace std::chrono_literals;

constexpr auto tickInterval = 20ms;
constexpr auto statusInterval = 200ms;
constexpr long pollMicroseconds = 10'000;
// Leave notices are repeated: 10 of 1000 are lost.
constexpr int maxLeaveNotices = 3;
constexpr auto leaveNoticeInterval = 30ms;
// Time in which answers sent before a leave notice arrived are still forwarded.
constexpr auto leaveDuration = 150ms;
// Limit per socket and pass, so that no socket starves the others.
constexpr int maxDatagramsPerRead = 64;

} // namespace

bridge_server::bridge_server(const bridge_settings &settings)
    : m_settings(settings)
    , m_packetsFromCallers(m_metrics.numberOf("toucan_packets_from_callers_total"))
    , m_packetsToCallers(m_metrics.numberOf("toucan_packets_to_callers_total"))
    , m_tracer(settings.traceFile, settings.name)
    , m_engine({.data = settings.advertise ? settings.advertise : settings.data,
                   .control = settings.control,
                   .traceEvery = m_tracer.enabled() ? settings.traceEvery : 0,
                   .seed = node::randomNumber()},
          m_metrics)
{ }

int bridge_server::run()
{
    const auto log = log::part("entry");
    auto data = udp_socket::bind(m_settings.data);
    if (const auto *failure = errorOf(data)) {
        log->error("Data socket cannot be bound. {}", failure->detail);
        return errorInfo(failure->kind).exitCode;
    }
    m_dataSocket.emplace(std::get<udp_socket>(std::move(data)));
    m_poll.add(m_dataSocket->handle(), Poco::Net::PollSet::POLL_READ);
    const entry_record record{.domain = m_settings.domain,
        .data = m_settings.advertise ? m_settings.advertise : m_settings.data,
        .control = m_settings.control,
        .boot = node::randomNumber()};
    m_agent = std::make_unique<config_agent>(agent_options{.platform = m_settings.platform,
                                                 .platformTimeout = m_settings.platformTimeout,
                                                 .peers = m_settings.peers,
                                                 .kind = object_kind::entry,
                                                 .name = m_settings.name,
                                                 .record = record_json::write(record),
                                                 .watchesPlatform = true},
        [this](const config_ptr &config) { m_mailbox.put(config); });
    const auto control = node::serveControlLink(m_settings.control, *m_agent, m_status, m_metrics);
    log->info("Serving. name={} data={} fabric={}", m_settings.name, toString(m_settings.data),
        m_settings.fabric);
    loop();
    log->info("Stopped. name={}", m_settings.name);
    return 0;
}

void bridge_server::loop()
{
    while (true) {
        const bool last = advanceStop(monotonicNow());
        const auto ready = m_poll.poll(Poco::Timespan(last ? 0 : pollMicroseconds));
        if (const auto config = m_mailbox.take())
            applyConfig(config);
        for (const auto &[socket, mode] : ready) {
            if (socket == m_dataSocket->handle()) {
                readDataSocket();
            } else if (const auto found = m_serviceBySocket.find(socket);
                       found != m_serviceBySocket.end()) {
                readServiceSocket(found->second, m_serviceSockets.at(found->second));
            }
        }
        const auto now = monotonicNow();
        if (now - m_lastTick >= tickInterval) {
            m_lastTick = now;
            m_engine.onTick(now);
            executeActions();
        }
        if (now - m_lastStatus >= statusInterval) {
            m_lastStatus = now;
            publishStatus();
        }
        if (last && ready.empty())
            return;
    }
}

// After a stop signal, sends leave notices to the target processes. Returns true when the process
// may exit; until then packets in flight are still forwarded.
bool bridge_server::advanceStop(instant now)
{
    if (!m_stoppingSince && node::stopRequested())
        m_stoppingSince = now;
    if (!m_stoppingSince)
        return false;
    const auto passed = now - *m_stoppingSince;
    if (m_leaveNotices < maxLeaveNotices && passed >= leaveNoticeInterval * m_leaveNotices) {
        ++m_leaveNotices;
        m_engine.sendLeaveNotices();
        executeActions();
    }
    return passed >= leaveDuration;
}

void bridge_server::applyConfig(const config_ptr &config)
{
    m_engine.onConfig(monotonicNow(), config);
    if (m_settings.fabric != "direct")
        return;
    std::erase_if(m_serviceSockets, [&](const auto &item) {
        if (config->serviceAt(item.first))
            return false;
        m_poll.remove(item.second.handle());
        m_serviceBySocket.erase(item.second.handle());
        return true;
    });
    for (const auto &service : config->services) {
        const auto address = service.record.address;
        if (m_serviceSockets.contains(address))
            continue;
        auto bound = udp_socket::bind(address);
        if (const auto *failure = errorOf(bound)) {
            log::part("entry")->error(
                "Service address cannot be bound. service={} {}", service.name, failure->detail);
            continue;
        }
        const auto placed
            = m_serviceSockets.emplace(address, std::get<udp_socket>(std::move(bound))).first;
        m_serviceBySocket.emplace(placed->second.handle(), address);
        m_poll.add(placed->second.handle(), Poco::Net::PollSet::POLL_READ);
    }
}

void bridge_server::readServiceSocket(const endpoint &service, udp_socket &socket)
{
    for (int i = 0; i < maxDatagramsPerRead; ++i) {
        const auto datagram = socket.receive(m_buffer);
        if (!datagram)
            return;
        forwardToMember(datagram->from, service, datagram->payload);
    }
}

void bridge_server::readDataSocket()
{
    for (int i = 0; i < maxDatagramsPerRead; ++i) {
        const auto datagram = m_dataSocket->receive(m_buffer);
        if (!datagram)
            break;
        if (const auto packet = decodePacket(datagram->payload)) {
            if (packet->header.kind == static_cast<std::uint64_t>(packet_kind::from_fabric)) {
                m_fabricAddress = datagram->from;
                forwardToMember(packet->header.caller, packet->header.service, packet->payload);
            } else {
                forwardToCaller(datagram->from, *packet);
            }
            continue;
        }
        const auto message = decodeMessage(datagram->payload);
        if (const auto *value = valueOf(message))
            m_engine.onMessage(monotonicNow(), datagram->from, *value);
        else
            m_metrics.numberOf("toucan_malformed_datagrams_total").add();
    }
    executeActions();
}

void bridge_server::forwardToMember(
    const endpoint &caller, const endpoint &service, byte_view payload)
{
    m_packetsFromCallers.add();
    const auto decision = m_engine.onCallerPacket(monotonicNow(), caller, service);
    if (!decision.to) {
        answerUndeliverable(caller, service, payload);
        return;
    }
    std::array<std::uint8_t, maxHeaderBytes> head{};
    const auto size = encodeHeader(decision.header, head);
    m_dataSocket->send(decision.to, byte_view(head).first(size), payload);
    m_tracer.span(decision.header.trace, "entry", m_settings.name);
}

void bridge_server::forwardToCaller(const endpoint &from, const decoded_packet &packet)
{
    if (!m_engine.onReturnPacket(monotonicNow(), from, packet.header))
        return;
    m_packetsToCallers.add();
    sendToCaller(packet.header, packet.payload);
    m_tracer.span(packet.header.trace, "return", m_settings.name);
}

void bridge_server::sendToCaller(const packet_header &header, byte_view payload)
{
    if (m_settings.fabric == "direct") {
        if (const auto found = m_serviceSockets.find(header.service);
            found != m_serviceSockets.end())
            found->second.send(header.caller, payload);
        return;
    }
    if (!m_fabricAddress)
        return;
    std::array<std::uint8_t, maxHeaderBytes> head{};
    const auto size = encodeHeader(header, head);
    m_dataSocket->send(m_fabricAddress, byte_view(head).first(size), payload);
}

void bridge_server::answerUndeliverable(
    const endpoint &caller, const endpoint &service, byte_view payload)
{
    // Sends no error before the first configuration: the caller's next copy may reach another
    // entry.
    if (m_engine.version() == 0)
        return;
    const auto parsed = coap::parse(payload);
    const auto *request = valueOf(parsed);
    if (!request || !request->isRequest() || request->messageType != coap::type::confirmable)
        return;
    const auto kind = m_engine.undeliverableKind(service, *request);
    const auto &row = errorInfo(kind);
    auto answer = coap::responseTo(*request, static_cast<coap::code>(row.coapCode), request->id);
    answer.addNumber(coap::option_number::max_age, 1);
    answer.payload.assign(row.name.begin(), row.name.end());
    const packet_header header{.kind = static_cast<std::uint64_t>(packet_kind::to_caller),
        .caller = caller,
        .service = service};
    sendToCaller(header, coap::serialize(answer));
}

void bridge_server::executeActions()
{
    for (const auto &item : m_engine.takeActions()) {
        if (const auto *datagram = std::get_if<send_datagram>(&item))
            m_dataSocket->send(datagram->to, datagram->bytes);
        else if (const auto *pull = std::get_if<pull_config>(&item))
            m_agent->requestPull(pull->control, pull->version);
    }
}

void bridge_server::publishStatus()
{
    m_status.put({{"name", m_settings.name}, {"role", "entry"}, {"domain", m_settings.domain},
        {"version", m_engine.version()},
        {"state", m_engine.version() == 0 ? "starting" : "serving"},
        {"suspected", m_engine.suspectedCount()}, {"announced", m_agent->isAnnounced()}});
    m_metrics.numberOf("toucan_config_version").set(m_engine.version());
    m_metrics.numberOf("toucan_members_suspected").set(m_engine.suspectedCount());
}

} // namespace toucan
