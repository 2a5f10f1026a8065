#include <Poco/Net/HTTPClientSession.h>
#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>
#include <Poco/NullStream.h>
#include <Poco/StreamCopier.h>
#include <platform/stand_in.h>
#include <toucan/lab/soak_target.h>

namespace toucan::lab {
namespace {

using namespace std::chrono_literals;

constexpr auto reportInterval = 1000ms;
constexpr long reportTimeoutMicroseconds = 500'000;
constexpr auto workTime = 40ms;

std::int64_t milliseconds(instant time)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(time).count();
}

} // namespace

soak_target::soak_target(soak_target_options options)
    : m_options(std::move(options))
    , m_end({.codec = m_options.codec,
          .work = workTime,
          .seed = m_options.seed,
          .send =
              [this](byte_buffer bytes) {
                  if (m_silent || !m_socket)
                      return;
                  m_options.onAnswer(bytes);
                  m_socket->send(m_options.outbound, bytes);
              },
          .schedule = m_options.schedule,
          .onOpening = m_options.onOpening})
{
    m_end.stop();
    m_reporter = std::jthread([this](const std::stop_token &stop) { report(stop); });
}

soak_target::~soak_target()
{
    m_reporter.request_stop();
    m_wake.notify_all();
}

void soak_target::openSocket()
{
    auto bound = udp_socket::bind(m_options.address);
    if (const auto *failure = errorOf(bound))
        throw std::runtime_error(failure->detail);
    m_socket.emplace(std::get<udp_socket>(std::move(bound)));
}

void soak_target::start(instant now, std::chrono::milliseconds coldFor)
{
    if (!m_socket)
        openSocket();
    m_end.restart();
    m_coldUntil = now + coldFor;
    m_coldUntilMs = milliseconds(m_coldUntil);
    const std::lock_guard lock(m_mutex);
    const auto started = std::chrono::system_clock::now().time_since_epoch();
    m_state = {.running = true,
        .startedMs = static_cast<std::uint64_t>(
            std::chrono::duration_cast<std::chrono::milliseconds>(started).count())};
    m_hurry = true;
    m_wake.notify_all();
}

void soak_target::crash()
{
    m_end.stop();
    m_socket.reset();
    const std::lock_guard lock(m_mutex);
    m_state.running = false;
    m_state.confirmed.reset();
}

void soak_target::drain()
{
    const std::lock_guard lock(m_mutex);
    m_state.draining = true;
    m_hurry = true;
    m_wake.notify_all();
}

void soak_target::sayGoodbye()
{
    const std::lock_guard lock(m_mutex);
    m_state.leaving = true;
    m_state.confirmed.reset();
    m_hurry = true;
    m_wake.notify_all();
}

std::optional<instant> soak_target::confirmed() const
{
    const std::lock_guard lock(m_mutex);
    return m_state.confirmed;
}

bool soak_target::takesFlows(instant now) const
{
    const std::lock_guard lock(m_mutex);
    return m_state.running && !m_state.draining && !m_state.leaving && !isCold(now);
}

void soak_target::onSegment(byte_view bytes)
{
    if (!m_silent)
        m_end.onSegment(bytes);
}

void soak_target::report(const std::stop_token &stop)
{
    while (!stop.stop_requested()) {
        std::unique_lock lock(m_mutex);
        m_wake.wait_for(lock, stop, reportInterval, [&] { return m_hurry; });
        m_hurry = false;
        if (!m_state.running)
            continue;
        const auto sent = m_state;
        ++m_state.sequence;
        lock.unlock();
        const auto cold = m_coldUntilMs - milliseconds(monotonicNow());
        const bool taken = sendReport(platform::makeReport({.id = m_options.name,
            .service = m_options.service,
            .address = m_options.address,
            .startedMs = sent.startedMs,
            .sequence = sent.sequence + 1,
            .slots = 8,
            .draining = sent.draining,
            .leaving = sent.leaving,
            .coldRemaining = std::chrono::milliseconds(std::max<std::int64_t>(cold, 0))}));
        lock.lock();
        if (m_state.startedMs != sent.startedMs)
            continue;
        if (sent.leaving)
            m_state.running = false;
        if (taken && sent.draining && !sent.leaving && m_state.running && !m_state.confirmed)
            m_state.confirmed = monotonicNow();
    }
}

bool soak_target::sendReport(const http_request &request) const
{
    using namespace Poco::Net;
    try {
        HTTPClientSession session(Poco::Net::SocketAddress(toString(m_options.reports)));
        session.setTimeout(Poco::Timespan(reportTimeoutMicroseconds));
        HTTPRequest head(request.method, request.path, HTTPMessage::HTTP_1_1);
        head.setContentType("application/json");
        head.setContentLength(static_cast<int>(request.body.size()));
        session.sendRequest(head) << request.body;
        HTTPResponse answer;
        Poco::NullOutputStream ignored;
        Poco::StreamCopier::copyStream(session.receiveResponse(answer), ignored);
        return answer.getStatus() == HTTPResponse::HTTP_OK;
    } catch (const Poco::Exception &) {
        return false; // The process beside it is down or stopped; the next report tells it.
    }
}

} // namespace toucan::lab
