#include <Poco/Net/PollSet.h>
#include <algorithm>
#include <fmt/format.h>
#include <toucan/lab/caller_load.h>
#include <toucan/lab/target_stand_in.h>

namespace toucan::lab {
namespace {

using namespace std::chrono_literals;
using coap::option_number;

constexpr long pollMicroseconds = 2000;
constexpr std::size_t tokenSize = 4;
constexpr std::size_t tagSize = 8;
constexpr std::size_t smallestBody = 40;
constexpr std::size_t largestBody = 400;
constexpr std::size_t uploadBody = 900;
constexpr std::uint8_t blockExponent = 4; // 256 bytes
constexpr std::size_t documents = 50;
constexpr auto registerTime = 2s;

byte_buffer randomBytes(std::mt19937_64 &random, std::size_t size)
{
    byte_buffer bytes(size);
    std::ranges::generate(bytes, [&] { return static_cast<std::uint8_t>(random()); });
    return bytes;
}

} // namespace

struct caller_load::caller
{
    role what = role::submitter;
    std::optional<udp_socket> socket;
    std::uint16_t nextId = 0;
    // The request in progress.
    bool busy = false;
    coap::message request;
    byte_buffer datagram;
    instant sent{};
    instant resendAt{};
    instant resendInterval{};
    instant attemptEnds{};
    instant wakeAt{};
    // Submissions.
    byte_buffer body;
    byte_buffer tag;
    std::uint64_t attempt = 0;
    instant begun{};
    std::string attempts; ///< How they ended.
    bool upload = false;
    std::uint32_t block = 0;
    // Watches.
    bool registered = false;
    instant lastNews{};
    // Documents.
    std::string path;
    byte_buffer received;
};

nlohmann::json caller_counts::toJson() const
{
    return {{"submissions", submissions}, {"delivered", delivered},
        {"deliveredInTime", deliveredInTime}, {"refused", refused}, {"unknown", unknown},
        {"timeouts", timeouts}, {"abandoned", abandoned}, {"wrongAnswers", wrongAnswers},
        {"abandonedAfter", abandonedAfter}, {"pulls", pulls}, {"pullFailures", pullFailures},
        {"watchesOpened", watchesOpened}, {"watchesBroken", watchesBroken},
        {"watchesEnded", watchesEnded}, {"notifications", notifications}};
}

caller_load::caller_load(const caller_options &options)
    : m_options(options)
    , m_random(options.seed)
    , m_started(monotonicNow())
{
    const auto add = [&](role what, std::size_t count) {
        for (std::size_t i = 0; i < count; ++i) {
            auto item = std::make_unique<caller>();
            item->what = what;
            item->wakeAt = m_started + pauseAround(200ms);
            openFlow(*item);
            m_callers.push_back(std::move(item));
        }
    };
    add(role::submitter, options.submitters);
    add(role::watcher, options.watchers);
    add(role::puller, options.pullers);
    m_thread = std::jthread([this](const std::stop_token &stop) { run(stop); });
}

caller_load::~caller_load()
{
    stop();
}

void caller_load::stop()
{
    if (!m_thread.joinable())
        return;
    m_thread.request_stop();
    m_thread.join();
}

caller_counts caller_load::counts() const
{
    const std::lock_guard lock(m_mutex);
    return m_counts;
}

std::vector<refused_attempt> caller_load::refusals() const
{
    const std::lock_guard lock(m_mutex);
    return m_refusals;
}

std::vector<byte_buffer> caller_load::deliveredKeys() const
{
    const std::lock_guard lock(m_mutex);
    return m_delivered;
}

std::vector<second_counts> caller_load::seconds() const
{
    const std::lock_guard lock(m_mutex);
    return m_seconds;
}

std::vector<double> caller_load::latencies() const
{
    const std::lock_guard lock(m_mutex);
    return m_latencies;
}

second_counts &caller_load::secondAt(instant now)
{
    const auto index = static_cast<std::size_t>(
        std::chrono::duration_cast<std::chrono::seconds>(now - m_started).count());
    if (m_seconds.size() <= index)
        m_seconds.resize(index + 1);
    return m_seconds[index];
}

instant caller_load::pauseAround(std::chrono::milliseconds mean)
{
    std::uniform_real_distribution<double> spread(0.5, 1.5);
    return instant(
        static_cast<std::int64_t>(static_cast<double>(instant(mean).count()) * spread(m_random)));
}

void caller_load::openFlow(caller &item)
{
    auto bound = udp_socket::bind({.ip = m_options.callerIp, .port = 0});
    if (const auto *failure = errorOf(bound))
        throw std::runtime_error(failure->detail);
    item.socket.emplace(std::get<udp_socket>(std::move(bound)));
    item.nextId = static_cast<std::uint16_t>(m_random());
}

void caller_load::run(const std::stop_token &stop)
{
    Poco::Net::PollSet idle;
    while (true) {
        const auto now = monotonicNow();
        {
            const std::lock_guard lock(m_mutex);
            m_ending = stop.stop_requested();
            secondAt(now);
            for (auto &item : m_callers) {
                receive(*item, now);
                step(*item, now);
            }
            const bool anyBusy = std::ranges::any_of(m_callers,
                [](const auto &item) { return item->what == role::submitter && item->busy; });
            if (m_ending && !anyBusy)
                return;
        }
        std::this_thread::sleep_for(std::chrono::microseconds(pollMicroseconds));
    }
}

void caller_load::receive(caller &item, instant now)
{
    while (const auto datagram = item.socket->receive(m_buffer)) {
        const auto parsed = coap::parse(datagram->payload);
        const auto *message = valueOf(parsed);
        if (datagram->from != m_options.service || !message)
            ++m_counts.wrongAnswers;
        else if (message->isResponse())
            onAnswer(item, now, *message);
    }
}

void caller_load::onAnswer(caller &item, instant now, const coap::message &answer)
{
    // A late answer to an earlier request; its token says so.
    if (!std::ranges::equal(answer.token, item.request.token))
        return;
    switch (item.what) {
    case role::submitter:
        onSubmissionAnswer(item, now, answer);
        return;
    case role::watcher:
        onWatchAnswer(item, now, answer);
        return;
    case role::puller:
        onPullAnswer(item, now, answer);
        return;
    }
}

void caller_load::send(caller &item, instant now, coap::message &&request)
{
    request.messageType = coap::type::confirmable;
    request.id = ++item.nextId;
    if (request.token.empty())
        request.token = randomBytes(m_random, tokenSize);
    item.request = std::move(request);
    item.datagram = coap::serialize(item.request);
    item.busy = true;
    item.sent = now;
    item.resendInterval = m_options.retransmit;
    item.resendAt = now + item.resendInterval;
    item.socket->send(m_options.service, item.datagram);
}

void caller_load::step(caller &item, instant now)
{
    if (item.busy && now >= item.attemptEnds) {
        ++secondAt(now).failed;
        item.busy = false;
        if (item.what == role::submitter)
            endAttempt(item, now, &caller_counts::timeouts, 100ms, "no answer");
        else if (item.what == role::puller)
            ++m_counts.pullFailures;
        item.wakeAt = now + pauseAround(200ms);
        return;
    }
    if (item.busy && now >= item.resendAt) {
        item.resendInterval *= 2;
        item.resendAt = now + item.resendInterval;
        item.socket->send(m_options.service, item.datagram);
        return;
    }
    if (item.what == role::watcher && item.registered
        && now - item.lastNews > m_options.watchSilence) {
        if (!m_ending)
            ++m_counts.watchesBroken;
        item.registered = false;
        beginWatch(item, now, true);
        return;
    }
    if (item.busy || now < item.wakeAt || (m_ending && item.attempt == 0))
        return;
    if (item.what == role::submitter)
        item.attempt == 0 ? beginSubmission(item, now) : sendSubmission(item, now);
    else if (item.what == role::watcher && !item.registered)
        beginWatch(item, now, false);
    else if (item.what == role::puller)
        sendPull(item, now);
}

void caller_load::beginSubmission(caller &item, instant now)
{
    ++m_counts.submissions;
    item.upload = m_options.uploadEvery != 0 && m_counts.submissions % m_options.uploadEvery == 0;
    std::uniform_int_distribution<std::size_t> size(smallestBody, largestBody);
    item.body = randomBytes(m_random, item.upload ? uploadBody : size(m_random));
    item.tag = randomBytes(m_random, tagSize);
    item.attempt = 1;
    item.begun = now;
    item.attempts = item.upload ? "upload:" : "plain:";
    item.block = 0;
    sendSubmission(item, now);
}

void caller_load::sendSubmission(caller &item, instant now)
{
    coap::message request{.messageCode = coap::code::post};
    request.addText(option_number::uri_path, "submit");
    request.add(option_number::request_tag, item.tag);
    request.addNumber(option_number::attempt, item.attempt);
    if (item.upload) {
        coap::block block{.number = item.block, .sizeExponent = blockExponent};
        const auto offset = item.block * block.size();
        const auto size = std::min(block.size(), item.body.size() - offset);
        block.more = offset + size < item.body.size();
        request.addNumber(option_number::block1, block.encoded());
        request.payload.assign(item.body.begin() + static_cast<std::ptrdiff_t>(offset),
            item.body.begin() + static_cast<std::ptrdiff_t>(offset + size));
    } else {
        request.payload = item.body;
    }
    if (!item.upload || item.block == 0)
        item.attemptEnds = now + m_options.attemptTime;
    send(item, now, std::move(request));
}

void caller_load::endAttempt(caller &item, instant now, std::uint64_t caller_counts::*counter,
    std::chrono::milliseconds pause, std::string_view how)
{
    ++(m_counts.*counter);
    item.busy = false;
    item.wakeAt = now + pauseAround(pause);
    item.attempts += fmt::format(" {} ms {} at block {};",
        std::chrono::duration_cast<std::chrono::milliseconds>(now - item.begun).count(), how,
        item.block);
    item.block = 0;
    if (item.attempt >= m_options.attempts) {
        ++m_counts.abandoned;
        m_counts.abandonedAfter.push_back(item.attempts);
        item.attempt = 0;
        return;
    }
    ++item.attempt;
    // A resubmission comes on a new flow.
    openFlow(item);
}

void caller_load::onSubmissionAnswer(caller &item, instant now, const coap::message &answer)
{
    if (!item.busy)
        return;
    if (answer.messageCode == coap::code::continue_upload) {
        ++item.block;
        sendSubmission(item, now);
        return;
    }
    const std::string text(answer.payload.begin(), answer.payload.end());
    const auto comeBack = std::chrono::seconds(answer.number(option_number::max_age).value_or(1));
    if (answer.messageCode == coap::code::changed) {
        if (answer.payload != receiptFor(item.body)) {
            ++m_counts.wrongAnswers;
            return;
        }
        ++m_counts.delivered;
        ++secondAt(now).delivered;
        if (now - item.begun <= m_options.inTime)
            ++m_counts.deliveredInTime;
        m_latencies.push_back(std::chrono::duration<double, std::milli>(now - item.begun).count());
        m_delivered.push_back(item.tag);
        item.busy = false;
        item.attempt = 0;
        item.wakeAt = now + pauseAround(m_options.submitPause);
    } else if (text == errorInfo(error_kind::not_run).name) {
        ++secondAt(now).refused;
        m_refusals.push_back({item.tag, item.attempt});
        endAttempt(item, now, &caller_counts::refused, comeBack, text);
    } else if (answer.messageCode == coap::code::gateway_timeout) {
        ++secondAt(now).failed;
        endAttempt(item, now, &caller_counts::unknown, 300ms, text);
    } else {
        // An upload that met another target starts over.
        endAttempt(item, now, &caller_counts::refused, 100ms, text);
    }
}

void caller_load::beginWatch(caller &item, instant now, bool newFlow)
{
    if (newFlow)
        openFlow(item);
    ++m_counts.watchesOpened;
    coap::message request{.messageCode = coap::code::get};
    request.addNumber(option_number::observe, 0);
    request.addText(option_number::uri_path, "status");
    item.attemptEnds = now + registerTime;
    send(item, now, std::move(request));
}

void caller_load::onWatchAnswer(caller &item, instant now, const coap::message &answer)
{
    item.busy = false;
    if (answer.messageCode != coap::code::content || !answer.find(option_number::observe)) {
        if (item.registered)
            ++m_counts.watchesEnded;
        item.registered = false;
        item.wakeAt = now + std::chrono::seconds(answer.number(option_number::max_age).value_or(1));
        return;
    }
    ++m_counts.notifications;
    item.registered = true;
    item.lastNews = now;
}

void caller_load::sendPull(caller &item, instant now)
{
    if (item.received.empty())
        item.path
            = std::to_string(std::uniform_int_distribution<std::size_t>(1, documents)(m_random));
    coap::message request{.messageCode = coap::code::get};
    request.addText(option_number::uri_path, "file");
    request.addText(option_number::uri_path, item.path);
    const coap::block block{.sizeExponent = blockExponent};
    const coap::block next{
        .number = static_cast<std::uint32_t>(item.received.size() / block.size()),
        .sizeExponent = blockExponent};
    request.addNumber(option_number::block2, next.encoded());
    item.attemptEnds = now + m_options.attemptTime;
    send(item, now, std::move(request));
}

void caller_load::onPullAnswer(caller &item, instant now, const coap::message &answer)
{
    if (!item.busy)
        return;
    item.busy = false;
    const auto option = answer.number(option_number::block2);
    if (answer.messageCode != coap::code::content || !option) {
        ++m_counts.pullFailures;
        item.wakeAt = now + std::chrono::seconds(answer.number(option_number::max_age).value_or(1));
        return;
    }
    item.received.insert(item.received.end(), answer.payload.begin(), answer.payload.end());
    if (coap::block::decode(*option).more) {
        sendPull(item, now);
        return;
    }
    if (item.received == documentContent("file/" + item.path))
        ++m_counts.pulls;
    else
        ++m_counts.wrongAnswers;
    item.received.clear();
    item.wakeAt = now + pauseAround(m_options.pullPause);
}

} // namespace toucan::lab
