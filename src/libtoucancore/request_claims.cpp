#include <algorithm>
#include <toucan/request_runner.h>

// Part of request_runner: claims on non-idempotent requests.

namespace toucan {
namespace {

using namespace std::chrono_literals;

// Time limit for a majority of holders to grant a claim.
constexpr auto claimTimeLimit = 1500ms;
// Time limit for voiding a request that is given up.
constexpr auto voidTimeLimit = 400ms;

} // namespace

void request_runner::replaceAttempt(request &known, const answer_address &address,
    const coap::message &message, std::uint64_t attempt)
{
    known.attempt = attempt;
    if (known.currentStep == step::running)
        return;
    // An earlier attempt may have been refused by another member, so the later one has to run.
    if (flow *previous = m_flows.find(known.flow))
        std::erase(previous->requests, known.id);
    known.flow = address.flow;
    known.datagram = coap::serialize(message);
    known.token = message.token;
    m_flows.find(address.flow)->requests.push_back(known.id);
    if (known.currentStep == step::claiming)
        beginClaim(known);
}

void request_runner::beginClaim(request &item)
{
    item.currentStep = step::claiming;
    const auto time
        = std::min<std::chrono::milliseconds>(claimTimeLimit, remaining(item) - voidTimeLimit);
    m_claimer.begin(claim_operation::claim, item.key, item.attempt, time);
}

void request_runner::retryClaim(request &item)
{
    if (item.currentStep == step::polling)
        item.nextPoll = m_context.now;
    else
        beginClaim(item);
}

void request_runner::onClaimResult(const claim_result &result)
{
    const auto found = m_byKey.find(result.key);
    if (found == m_byKey.end())
        return;
    request &item = m_requests.at(found->second);
    switch (result.outcome) {
    case claim_outcome::answered: {
        const auto answer = coap::parse(result.answer);
        if (const auto *message = valueOf(answer))
            finish(item, coap::message(*message));
        else
            giveUp(item, error_kind::outcome_unknown);
        return;
    }
    case claim_outcome::granted:
        onGranted(item);
        return;
    case claim_outcome::voided:
        // This void does not cover a later attempt that joined after the round began.
        if (result.attempt < item.attempt)
            retryClaim(item);
        else
            giveUp(item, error_kind::not_run);
        return;
    case claim_outcome::held:
        onHeldElsewhere(item, result);
        return;
    case claim_outcome::undecided:
        if (item.currentStep == step::voiding) {
            giveUp(item, error_kind::outcome_unknown);
            m_claimer.abandon(item.key, item.attempt);
        } else {
            refuse(item, error_kind::not_run);
        }
        return;
    }
}

void request_runner::onGranted(request &item)
{
    if (item.currentStep == step::voiding) {
        giveUp(item, item.refusal);
        return;
    }
    if (item.currentStep == step::polling) {
        if (!m_admission.hasRoom(item.priority)) {
            refuse(item, error_kind::not_run);
            return;
        }
        m_admission.acquire();
        item.hasSlot = true;
    }
    passToTarget(item);
}

void request_runner::onHeldElsewhere(request &item, const claim_result &result)
{
    releaseSlot(item);
    const bool gone
        = !m_context.isAlive(result.other) || m_context.bootOf(result.other) != result.otherBoot;
    if (gone || remaining(item) <= pollInterval) {
        giveUp(item, error_kind::outcome_unknown);
        m_claimer.abandon(item.key, item.attempt);
        return;
    }
    // When two claimers have one holder each, the one with the larger name releases its claim.
    if (m_context.self.name > result.other)
        m_claimer.release(item.key);
    item.currentStep = step::polling;
    item.nextPoll = m_context.now + pollInterval;
}

void request_runner::refuse(request &item, error_kind kind)
{
    // The caller receives an error instead of a registration, so the watch is removed.
    if (flow *owner = m_flows.find(item.flow); owner && item.priority == request_class::watch)
        std::erase_if(owner->watches, [&](const watch &each) {
            return !each.established && std::ranges::equal(each.token, item.token);
        });
    releaseSlot(item);
    if (item.key.empty()) {
        giveUp(item, kind);
        return;
    }
    // "not run" may be reported only after two holders have recorded the attempt as void.
    item.currentStep = step::voiding;
    item.refusal = kind;
    m_claimer.begin(claim_operation::void_attempt, item.key, item.attempt, voidTimeLimit);
}

} // namespace toucan
