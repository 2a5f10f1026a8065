#include <algorithm>
#include <toucan/request_runner.h>

// Part of request_runner: answers, errors and the end of requests.

namespace toucan {
namespace {

using namespace std::chrono_literals;

// Answers are kept for repeated requests, for longer than a caller retransmits.
constexpr auto answerLifetime = 250s;
// Retry times sent to callers are random in this range, which spreads the retries.
constexpr std::uint64_t minRetrySeconds = 1;
constexpr std::uint64_t maxRetrySeconds = 3;

// Serializes the code, options and payload of an answer for the claim holders.
byte_buffer packAnswer(const coap::message &answer)
{
    coap::message plain = answer;
    plain.messageType = coap::type::non_confirmable;
    plain.token.clear();
    plain.id = 0;
    return coap::serialize(plain);
}

} // namespace

std::uint64_t request_runner::retryAfterSeconds()
{
    return std::uniform_int_distribution<std::uint64_t>(minRetrySeconds, maxRetrySeconds)(
        m_context.random);
}

void request_runner::finish(request &item, coap::message &&answer)
{
    for (const auto &waiter : item.waiters)
        sendAnswer(waiter, answer);
    releaseSlot(item);
    if (item.key.empty()) {
        drop(item.id);
        return;
    }
    item.answer = std::move(answer);
    item.currentStep = step::finished;
    item.waiters.clear();
    item.datagram.clear();
    retire(item);
    if (flow *owner = m_flows.find(item.flow))
        std::erase(owner->requests, item.id);
}

void request_runner::giveUp(request &item, error_kind kind)
{
    m_metrics.numberOf("toucan_given_up_" + std::string(errorInfo(kind).name) + "_total").add();
    for (const auto &waiter : item.waiters)
        sendError(waiter, kind);
    item.waiters.clear();
    releaseSlot(item);
    flow *owner = m_flows.find(item.flow);
    if (item.key.empty()) {
        drop(item.id);
        return;
    }
    item.currentStep = kind == error_kind::outcome_unknown ? step::unknown : step::finished;
    item.refusal = kind;
    retire(item);
    // The target may still answer a request that was sent to it.
    if (owner && item.passedAt == instant{})
        std::erase(owner->requests, item.id);
}

void request_runner::sendAnswer(const answer_address &to, const coap::message &answer)
{
    coap::message response = answer;
    response.messageType
        = to.confirmable ? coap::type::acknowledgement : coap::type::non_confirmable;
    response.token = to.token;
    response.id = to.confirmable ? to.id : ++m_lastMessageId;
    const packet_header header{.kind = static_cast<std::uint64_t>(packet_kind::to_caller),
        .caller = to.flow.caller,
        .service = to.flow.service,
        .entry = to.entry,
        .version = m_context.version(),
        .trace = to.trace};
    const auto entry = m_context.returnEntry(to.entry);
    m_context.sendPacket(entry, header, coap::serialize(response));
    m_context.actions.emplace_back(
        record_span{to.trace, "answer-from-target", m_context.self.name});
}

void request_runner::sendError(const answer_address &to, error_kind kind)
{
    const auto &row = errorInfo(kind);
    coap::message answer;
    answer.messageCode = static_cast<coap::code>(row.coapCode);
    answer.addNumber(coap::option_number::max_age, retryAfterSeconds());
    answer.payload.assign(row.name.begin(), row.name.end());
    sendAnswer(to, answer);
}

bool request_runner::onResponse(flow &item, const coap::message &response)
{
    const auto found = std::ranges::find_if(item.requests, [&](std::uint64_t id) {
        const request &known = m_requests.at(id);
        const bool passedOn
            = known.currentStep == step::running || known.currentStep == step::unknown;
        return passedOn && std::ranges::equal(known.token, response.token);
    });
    if (found == item.requests.end())
        return false;
    m_lastAnswer = m_context.now;
    request &known = m_requests.at(*found);
    const bool late = known.currentStep == step::unknown;
    const bool shed = response.messageCode == coap::code::service_unavailable;
    const bool incomplete = response.messageCode == coap::code::incomplete;
    if (shed)
        m_admission.resetToCold(m_context.now);
    else
        m_admission.onAnswer(m_context.now, m_context.now - known.passedAt);
    if (known.key.empty()) {
        finish(known, coap::message(response));
    } else if (shed || incomplete) {
        // The target reports that it did not run the request. Voiding the attempt ensures that late
        // copies do not run either.
        known.passedAt = {};
        if (late)
            m_claimer.abandon(known.key, known.attempt);
        else
            refuse(known, error_kind::not_run);
    } else {
        m_claimer.begin(
            claim_operation::settle, known.key, known.attempt, 0ms, packAnswer(response));
        finish(known, coap::message(response));
    }
    admitWaiting();
    return true;
}

void request_runner::retire(request &item)
{
    m_active.erase(item.id);
    m_retired.push_back({m_context.now + answerLifetime, item.id});
}

} // namespace toucan
