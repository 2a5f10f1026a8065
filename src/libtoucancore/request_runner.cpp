#include <algorithm>
#include <numeric>
#include <toucan/request_runner.h>

namespace toucan {
namespace {

using namespace std::chrono_literals;

// Maximum wait for room at the target.
constexpr auto maxWait = 400ms;
// Maximum number of requests waiting for room, per slot of the limit and priority class.
constexpr std::size_t maxWaitingPerSlot = 1;
// At most this fraction of all requests is forwarded to other members, with a small burst.
constexpr double spillShare = 0.2;
constexpr double spillBurst = 20;
// A flow counts as silent when a request takes this multiple of the expected latency, and at least
// the minimum below.
constexpr int silenceLatencyFactor = 5;
constexpr std::chrono::milliseconds minSilence = 300ms;
constexpr std::uint64_t maxDeadlineMs = 600'000;

request_class classify(const coap::message &message)
{
    if (!coap::isIdempotent(message.messageCode))
        return request_class::submission;
    const auto observe = message.number(coap::option_number::observe);
    return observe == 0U ? request_class::watch : request_class::pull;
}

byte_buffer keyOf(const flow_key &flow, const coap::message &message)
{
    if (const auto *tag = message.find(coap::option_number::request_tag);
        tag && !tag->value.empty())
        return tag->value;
    byte_buffer key;
    const auto append = [&](std::uint64_t value, int bytes) {
        for (int i = bytes - 1; i >= 0; --i)
            key.push_back(static_cast<std::uint8_t>(value >> (8U * static_cast<unsigned>(i))));
    };
    append(flow.caller.ip, 4);
    append(flow.caller.port, 2);
    append(flow.service.ip, 4);
    append(flow.service.port, 2);
    append(message.id, 2);
    return key;
}

// Identifies the blocks of one upload by key and attempt; empty when it has no key.
byte_buffer uploadIdentity(const coap::message &message)
{
    const auto *tag = message.find(coap::option_number::request_tag);
    if (!tag)
        return {};
    auto identity = tag->value;
    const auto attempt = message.number(coap::option_number::attempt).value_or(0);
    identity.push_back(static_cast<std::uint8_t>(attempt));
    return identity;
}

} // namespace

request_runner::request_runner(
    target_context &context, flow_table &flows, claim_holder &holder, metrics::registry &metrics)
    : m_context(context)
    , m_flows(flows)
    , m_metrics(metrics)
    , m_claimer(context, holder, [this](const claim_result &result) { onClaimResult(result); })
    , m_admission({}, context.now)
    , m_spillBudget(spillBurst)
{ }

std::size_t request_runner::waiting() const
{
    return std::accumulate(m_waiting.begin(), m_waiting.end(), std::size_t{0},
        [](std::size_t sum, const auto &queue) { return sum + queue.size(); });
}

std::chrono::milliseconds request_runner::remaining(const request &item) const
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(item.deadline - m_context.now);
}

request_runner::request *request_runner::findDuplicate(
    const flow &item, const coap::message &message, const byte_buffer &key)
{
    if (!key.empty()) {
        const auto found = m_byKey.find(key);
        return found == m_byKey.end() ? nullptr : &m_requests.at(found->second);
    }
    for (const auto id : item.requests) {
        request &known = m_requests.at(id);
        if (std::ranges::equal(known.token, message.token) && !known.waiters.empty()
            && known.waiters.front().id == message.id)
            return &known;
    }
    return nullptr;
}

void request_runner::onRequest(
    flow &item, const packet_header &header, const coap::message &message, byte_view datagram)
{
    const answer_address address{.flow = item.key,
        .entry = header.entry,
        .token = message.token,
        .id = message.id,
        .confirmable = message.messageType == coap::type::confirmable,
        .trace = header.trace};
    const auto upload = message.number(coap::option_number::block1);
    if (m_context.policy == target_policy::hash) {
        m_context.actions.emplace_back(
            send_to_target{item.key, byte_buffer(datagram.begin(), datagram.end())});
        return;
    }
    if (upload && coap::block::decode(*upload).more) {
        if (item.finishedUpload.empty() || item.finishedUpload != uploadIdentity(message))
            item.lastUploadBlock = m_context.now;
        m_context.actions.emplace_back(
            send_to_target{item.key, byte_buffer(datagram.begin(), datagram.end())});
        return;
    }
    if (upload) {
        item.lastUploadBlock = {};
        item.finishedUpload = uploadIdentity(message);
    }
    const auto priority = classify(message);
    const auto key
        = priority == request_class::submission ? keyOf(item.key, message) : byte_buffer();
    if (request *known = findDuplicate(item, message, key)) {
        joinExisting(*known, address, header, message);
        return;
    }
    m_spillBudget = std::min(m_spillBudget + spillShare, spillBurst);
    const auto *service = m_context.service();
    const auto allowed
        = message.number(coap::option_number::deadline).value_or(service->record.deadlineMs);
    request &created = create(
        item, message, datagram, std::chrono::milliseconds(std::min(allowed, maxDeadlineMs)));
    created.priority = priority;
    created.key = key;
    created.attempt = message.number(coap::option_number::attempt).value_or(0);
    created.waiters = {address};
    if (!key.empty())
        m_byKey[key] = created.id;
    admit(created, &header);
}

request_runner::request &request_runner::create(
    flow &item, const coap::message &message, byte_view datagram, std::chrono::milliseconds allowed)
{
    request &created = m_requests[++m_lastId];
    created.id = m_lastId;
    created.flow = item.key;
    created.datagram.assign(datagram.begin(), datagram.end());
    created.token = message.token;
    created.arrivedAt = m_context.now;
    created.deadline = m_context.now + allowed;
    item.requests.push_back(created.id);
    m_active.insert(created.id);
    return created;
}

void request_runner::replay(flow &item, byte_view datagram)
{
    const auto parsed = coap::parse(datagram);
    const auto *registered = valueOf(parsed);
    const auto *service = m_context.service();
    if (!registered || !service)
        return;
    coap::message message = *registered;
    message.id = ++m_lastMessageId;
    request &created = create(item, message, coap::serialize(message),
        std::chrono::milliseconds(service->record.deadlineMs));
    // The watch is already established; the highest priority prevents that new requests displace
    // it.
    created.priority = request_class::submission;
    admit(created, nullptr);
}

bool request_runner::isSilent(const flow &item) const
{
    // Without an expected latency a slow answer cannot be distinguished from a lost one.
    if (m_admission.expectedLatency() == instant{})
        return false;
    const auto silenceLimit
        = std::max<instant>(m_admission.expectedLatency() * silenceLatencyFactor, minSilence);
    return std::ranges::any_of(item.requests, [&](std::uint64_t id) {
        const request &known = m_requests.at(id);
        return known.currentStep == step::running && m_context.now - known.passedAt > silenceLimit
            && m_lastAnswer > known.passedAt + silenceLimit / 2;
    });
}

bool request_runner::isBusy(const flow &item) const
{
    return std::ranges::any_of(
        item.requests, [&](std::uint64_t id) { return m_active.contains(id); });
}

void request_runner::resend(const flow &item)
{
    for (const auto id : item.requests) {
        request &known = m_requests.at(id);
        if (known.currentStep == step::running && known.key.empty())
            passToTarget(known);
    }
}

void request_runner::joinExisting(request &known, const answer_address &address,
    const packet_header &header, const coap::message &message)
{
    const auto attempt = message.number(coap::option_number::attempt).value_or(0);
    if (known.currentStep == step::finished && known.answer.messageCode != coap::code::empty) {
        sendAnswer(address, known.answer);
        return;
    }
    if (known.currentStep == step::finished) {
        // The request was refused: the same attempt stays refused, a later one is a new request.
        if (attempt <= known.attempt) {
            sendError(address, known.refusal);
            return;
        }
        restart(known, address, header, message);
        return;
    }
    if (known.currentStep == step::unknown && known.passedAt != instant{}) {
        sendError(address, error_kind::outcome_unknown);
        return;
    }
    if (known.currentStep == step::unknown) {
        // Another member had the claim; its answer may be recorded by now.
        restart(known, address, header, message);
        return;
    }
    // A later attempt must not share the result of a void that does not cover it.
    if (known.currentStep == step::voiding && attempt > known.attempt)
        return;
    const auto same = std::ranges::find_if(known.waiters, [&](const answer_address &item) {
        return item.flow == address.flow && item.id == address.id
            && std::ranges::equal(item.token, address.token);
    });
    if (same == known.waiters.end()) {
        known.waiters.push_back(address);
        if (attempt > known.attempt)
            replaceAttempt(known, address, message, attempt);
    } else {
        same->entry = address.entry;
    }
}

void request_runner::restart(request &known, const answer_address &address,
    const packet_header &header, const coap::message &message)
{
    drop(known.id);
    flow *item = m_flows.find(address.flow);
    const byte_buffer datagram = coap::serialize(message);
    onRequest(*item, header, message, datagram);
}

void request_runner::admit(request &item, const packet_header *header)
{
    if (m_admission.hasRoom(item.priority)) {
        m_admission.acquire();
        item.hasSlot = true;
        if (item.key.empty())
            passToTarget(item);
        else
            beginClaim(item);
        return;
    }
    const bool mayPass = header && header->kind != static_cast<std::uint64_t>(packet_kind::spilled)
        && item.priority != request_class::watch;
    if (mayPass && m_spillBudget >= 1 && m_spill && m_spill(*header, item.datagram)) {
        m_spillBudget -= 1;
        m_metrics.numberOf("toucan_requests_spilled_total").add();
        drop(item.id);
        return;
    }
    auto &queue = m_waiting[static_cast<std::size_t>(item.priority)];
    if (queue.size() < maxWaitingPerSlot * m_admission.limit()) {
        item.currentStep = step::waiting;
        queue.push_back(item.id);
        return;
    }
    refuse(item, item.key.empty() ? error_kind::overloaded : error_kind::not_run);
}

void request_runner::passToTarget(request &item)
{
    item.currentStep = step::running;
    item.passedAt = m_context.now;
    m_context.actions.emplace_back(send_to_target{item.flow, item.datagram});
    if (!item.waiters.empty())
        m_context.actions.emplace_back(
            record_span{item.waiters.front().trace, "pass-to-target", m_context.self.name});
}

void request_runner::releaseSlot(request &item)
{
    if (!item.hasSlot)
        return;
    item.hasSlot = false;
    m_admission.release();
}

void request_runner::drop(std::uint64_t id)
{
    const auto found = m_requests.find(id);
    if (found == m_requests.end())
        return;
    releaseSlot(found->second);
    const auto byKey = m_byKey.find(found->second.key);
    if (byKey != m_byKey.end() && byKey->second == id)
        m_byKey.erase(byKey);
    m_active.erase(id);
    if (flow *owner = m_flows.find(found->second.flow))
        std::erase(owner->requests, id);
    m_requests.erase(found);
}

void request_runner::admitWaiting()
{
    for (std::size_t i = 0; i < m_waiting.size(); ++i) {
        auto &queue = m_waiting[i];
        while (!queue.empty() && m_admission.hasRoom(static_cast<request_class>(i))) {
            const auto id = queue.front();
            queue.pop_front();
            const auto found = m_requests.find(id);
            if (found != m_requests.end() && found->second.currentStep == step::waiting)
                admit(found->second, nullptr);
        }
    }
}

void request_runner::tickRequest(request &item)
{
    const auto now = m_context.now;
    switch (item.currentStep) {
    case step::waiting:
        if (now >= item.arrivedAt + maxWait || now >= item.deadline)
            refuse(item, item.key.empty() ? error_kind::overloaded : error_kind::not_run);
        return;
    case step::claiming:
    case step::voiding:
        return;
    case step::running:
        m_admission.onPending(now, now - item.passedAt);
        if (now >= item.deadline)
            giveUp(item, error_kind::outcome_unknown);
        return;
    case step::polling:
        if (now >= item.deadline) {
            giveUp(item, error_kind::outcome_unknown);
            m_claimer.abandon(item.key, item.attempt);
        } else if (now >= item.nextPoll) {
            item.nextPoll = item.deadline;
            m_claimer.begin(claim_operation::claim, item.key, item.attempt, pollInterval);
        }
        return;
    case step::finished:
    case step::unknown:
        return;
    }
}

void request_runner::onTick()
{
    m_claimer.onTick();
    for (const auto id : std::vector(m_active.begin(), m_active.end())) {
        const auto found = m_requests.find(id);
        if (found != m_requests.end())
            tickRequest(found->second);
    }
    for (; !m_retired.empty() && m_retired.front().dropAt <= m_context.now; m_retired.pop_front())
        drop(m_retired.front().id);
    admitWaiting();
}

void request_runner::onConfig()
{
    const auto *service = m_context.service();
    if (!service)
        return;
    const auto *self = m_context.selfMember();
    const auto slots = self ? self->slots : service->record.slots;
    m_admission.setOptions(
        {.slots = slots, .coldSlots = std::min(service->record.coldSlots, slots)});
    m_claimer.onConfig();
}

void request_runner::giveUpAll()
{
    for (const auto id : std::vector(m_active.begin(), m_active.end())) {
        const auto found = m_requests.find(id);
        if (found == m_requests.end())
            continue;
        request &item = found->second;
        const bool mayRun = item.currentStep == step::running || item.currentStep == step::polling;
        if (item.key.empty())
            giveUp(item, error_kind::domain_out);
        else if (mayRun)
            giveUp(item, error_kind::outcome_unknown);
        else
            refuse(item, error_kind::not_run);
    }
}

} // namespace toucan
