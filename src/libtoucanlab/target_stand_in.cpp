#include <Poco/Net/PollSet.h>
#include <algorithm>
#include <fmt/format.h>
#include <fmt/ranges.h>
#include <toucan/lab/target_stand_in.h>
#include <toucan/ranking.h>

namespace toucan::lab {
namespace {

using namespace std::chrono_literals;
using coap::option_number;

constexpr long pollMicroseconds = 2000;
constexpr auto notifyInterval = 1s;
constexpr std::uint64_t notificationMaxAge = 2; // seconds
// A target that sheds this often within the window falls over.
constexpr std::size_t shedsBeforeTopple = 6;
constexpr auto shedWindow = 200ms;
constexpr auto toppleTime = 2s;
constexpr auto answerLifetime = 60s;
constexpr std::uint8_t blockExponent = 4; // 256 bytes
constexpr std::size_t documentSize = 1500;
constexpr std::uint32_t observeMask = 0xffffff;

udp_socket bindOrThrow(const endpoint &address)
{
    auto bound = udp_socket::bind(address);
    if (const auto *failure = errorOf(bound))
        throw std::runtime_error(failure->detail);
    return std::get<udp_socket>(std::move(bound));
}

} // namespace

byte_buffer receiptFor(byte_view submission)
{
    const auto text
        = fmt::format("receipt {:016x} for {} bytes", hashBytes(submission), submission.size());
    return {text.begin(), text.end()};
}

byte_buffer documentContent(std::string_view path)
{
    std::mt19937_64 random(hashText(path));
    byte_buffer content(documentSize);
    std::ranges::generate(content, [&] { return static_cast<std::uint8_t>(random()); });
    return content;
}

target_stand_in::target_stand_in(const target_stand_in_options &options)
    : m_options(options)
    , m_socket(bindOrThrow(options.address))
    , m_random(options.seed)
{
    if (!options.logFile.empty())
        m_log.open(options.logFile, std::ios::app);
    becomeCold(monotonicNow());
}

void target_stand_in::becomeCold(instant now)
{
    m_coldUntil = now + m_options.coldTime;
    m_history.push_back({now, true});
    m_history.push_back({m_coldUntil, false});
}

void target_stand_in::topple(instant now)
{
    ++m_counts.toppled;
    m_deadUntil = now + toppleTime;
    m_jobs.clear();
    m_finishes = {};
    m_observers.clear();
    m_sheds.clear();
    m_counts.inProgress = 0;
    m_counts.watches = 0;
    becomeCold(m_deadUntil);
}

std::string target_stand_in::reportedState(instant now) const
{
    if (m_options.healthLies)
        return "ready";
    bool cold = false;
    for (const auto &change : m_history) {
        if (change.at <= now - m_options.healthLag)
            cold = change.cold;
    }
    return cold ? "cold" : "ready";
}

void target_stand_in::run(const std::function<bool()> &stop)
{
    Poco::Net::PollSet poll;
    poll.add(m_socket.handle(), Poco::Net::PollSet::POLL_READ);
    while (!stop()) {
        poll.poll(Poco::Timespan(pollMicroseconds));
        const auto now = monotonicNow();
        if (m_coldRequested.exchange(false))
            becomeCold(now);
        while (const auto datagram = m_socket.receive(m_buffer)) {
            if (now >= m_deadUntil)
                onDatagram(now, datagram->from, datagram->payload);
        }
        while (!m_finishes.empty() && m_finishes.top().at <= now) {
            const auto found = m_jobs.find(m_finishes.top().id);
            m_finishes.pop();
            if (found == m_jobs.end())
                continue;
            const job done = std::move(found->second);
            m_jobs.erase(found);
            m_counts.inProgress = m_jobs.size();
            complete(now, done);
        }
        for (; !m_answerOrder.empty() && m_answerOrder.front().until < now;
             m_answerOrder.pop_front())
            m_answers.erase(m_answerOrder.front().id);
        if (now - m_lastNotify >= notifyInterval) {
            m_lastNotify = now;
            notify(now);
        }
    }
}

void target_stand_in::onDatagram(instant now, const endpoint &from, byte_view payload)
{
    auto parsed = coap::parse(payload);
    auto *message = std::get_if<coap::message>(&parsed);
    if (!message)
        return;
    if (message->messageType == coap::type::reset) {
        std::erase_if(m_observers, [&](const auto &item) {
            return item.second.caller == from && item.second.lastId == message->id;
        });
        const auto found = m_jobs.find({from, message->id});
        if (found != m_jobs.end()) {
            found->second.cancelled = true;
            ++m_counts.cancelled;
        }
        return;
    }
    if (!message->isRequest())
        return;
    const request_id id{from, message->id};
    if (const auto cached = m_answers.find(id); cached != m_answers.end()) {
        m_socket.send(from, cached->second);
        return;
    }
    if (!m_jobs.contains(id))
        onRequest(now, from, std::move(*message));
}

void target_stand_in::onRequest(instant now, const endpoint &from, coap::message &&request)
{
    const auto path = request.path();
    if (path == "health") {
        coap::message response{.messageCode = coap::code::content};
        const auto state = reportedState(now);
        response.payload.assign(state.begin(), state.end());
        answer(now, from, request, std::move(response));
        return;
    }
    ++m_counts.requests;
    if (request.number(option_number::observe) == 1U)
        m_observers.erase({from, request.token});
    byte_buffer body;
    if (!assemble(now, from, request, body) || !admit(now, from, request))
        return;
    start(now, from, std::move(request), std::move(body));
}

bool target_stand_in::assemble(
    instant now, const endpoint &from, const coap::message &request, byte_buffer &body)
{
    const auto option = request.number(option_number::block1);
    if (!option) {
        body = request.payload;
        return true;
    }
    const auto block = coap::block::decode(*option);
    const auto *tag = request.find(option_number::request_tag);
    auto &upload = m_uploads[{from, tag ? tag->value : byte_buffer()}];
    if (block.number == 0)
        upload.clear();
    coap::message response;
    response.addNumber(option_number::block1, block.encoded());
    if (upload.size() != block.number * block.size()) {
        response.messageCode = coap::code::incomplete;
        answer(now, from, request, std::move(response));
        return false;
    }
    upload.insert(upload.end(), request.payload.begin(), request.payload.end());
    if (block.more) {
        response.messageCode = coap::code::continue_upload;
        answer(now, from, request, std::move(response));
        return false;
    }
    body = upload;
    return true;
}

bool target_stand_in::admit(instant now, const endpoint &from, const coap::message &request)
{
    const auto bears = isCold(now) ? m_options.coldSlots : m_options.slots;
    if (m_jobs.size() < bears)
        return true;
    ++m_counts.shed;
    if (isCold(now))
        ++m_counts.overloadedWhenCold;
    m_sheds.push_back(now);
    while (now - m_sheds.front() > shedWindow)
        m_sheds.pop_front();
    if (m_sheds.size() >= shedsBeforeTopple) {
        topple(now);
        return false;
    }
    coap::message response{.messageCode = coap::code::service_unavailable};
    response.addNumber(option_number::max_age, 1);
    answer(now, from, request, std::move(response));
    return false;
}

void target_stand_in::start(
    instant now, const endpoint &from, coap::message &&request, byte_buffer &&body)
{
    std::uniform_real_distribution<double> spread(0.5, 1.5);
    const auto mean = static_cast<double>(instant(m_options.serviceTime).count());
    auto time = instant(static_cast<std::int64_t>(mean * spread(m_random)));
    if (isCold(now))
        time *= m_options.coldFactor;
    const request_id id{from, request.id};
    const auto placed = m_jobs
                            .emplace(id,
                                job{.caller = from,
                                    .request = std::move(request),
                                    .body = std::move(body),
                                    .started = now})
                            .first;
    m_counts.inProgress = m_jobs.size();
    ++m_counts.ran;
    logRun(placed->second);
    m_finishes.push({now + time, id});
}

void target_stand_in::logRun(const job &item)
{
    if (!m_log.is_open() || item.request.messageCode != coap::code::post)
        return;
    const auto *tag = item.request.find(option_number::request_tag);
    const byte_buffer key = tag ? tag->value : byte_buffer();
    m_log << fmt::format("run {:02x} {} {}\n", fmt::join(key, ""),
        item.request.number(option_number::attempt).value_or(0), m_options.name)
          << std::flush;
}

void target_stand_in::complete(instant now, const job &item)
{
    m_counts.busyMicroseconds += static_cast<std::uint64_t>((now - item.started).count());
    if (item.cancelled)
        return;
    coap::message response;
    const auto path = item.request.path();
    if (item.request.messageCode == coap::code::post) {
        response.messageCode = coap::code::changed;
        response.payload = receiptFor(item.body);
        if (const auto option = item.request.number(option_number::block1))
            response.addNumber(option_number::block1, *option);
    } else if (path.starts_with("file/")) {
        const auto content = documentContent(path);
        auto block = coap::block::decode(
            item.request.number(option_number::block2).value_or(blockExponent));
        const auto offset = std::min(block.number * block.size(), content.size());
        const auto size = std::min(block.size(), content.size() - offset);
        block.more = offset + size < content.size();
        response.messageCode = coap::code::content;
        response.addNumber(option_number::block2, block.encoded());
        response.payload.assign(content.begin() + static_cast<std::ptrdiff_t>(offset),
            content.begin() + static_cast<std::ptrdiff_t>(offset + size));
    } else if (path.starts_with("status")) {
        response.messageCode = coap::code::content;
        response.payload.assign(path.begin(), path.end());
        if (item.request.number(option_number::observe) == 0U) {
            m_observers[{item.caller, item.request.token}]
                = {.caller = item.caller, .token = item.request.token};
            response.addNumber(option_number::observe, observeSequence(now));
            response.addNumber(option_number::max_age, notificationMaxAge);
            m_counts.watches = m_observers.size();
        }
    } else {
        response.messageCode = coap::code::not_found;
    }
    answer(now, item.caller, item.request, std::move(response));
}

// From the clock, as RFC 7641 section 4.4 proposes, so that it also grows across targets.
std::uint32_t target_stand_in::observeSequence(instant now) const
{
    constexpr std::int64_t tick = 1000;
    return static_cast<std::uint32_t>(now.count() / tick) & observeMask;
}

void target_stand_in::notify(instant now)
{
    if (now < m_deadUntil)
        return;
    m_counts.watches = m_observers.size();
    for (auto &[id, item] : m_observers) {
        coap::message notification{
            .messageType = coap::type::non_confirmable, .messageCode = coap::code::content};
        notification.id = item.lastId = m_nextId++;
        notification.token = item.token;
        notification.addNumber(option_number::observe, observeSequence(now));
        notification.addNumber(option_number::max_age, notificationMaxAge);
        constexpr std::string_view text = "status";
        notification.payload.assign(text.begin(), text.end());
        m_socket.send(item.caller, coap::serialize(notification));
    }
}

void target_stand_in::answer(
    instant now, const endpoint &to, const coap::message &request, coap::message &&response)
{
    auto complete = coap::responseTo(request, response.messageCode, m_nextId++);
    complete.options = std::move(response.options);
    complete.payload = std::move(response.payload);
    const auto bytes = coap::serialize(complete);
    const bool refused = complete.messageCode == coap::code::service_unavailable;
    if (request.messageType == coap::type::confirmable && !refused) {
        const request_id id{to, request.id};
        m_answers[id] = bytes;
        m_answerOrder.push_back({now + answerLifetime, id});
    }
    m_socket.send(to, bytes);
}

} // namespace toucan::lab
