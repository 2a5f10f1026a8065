#include <algorithm>
#include <toucan/claimer.h>
#include <toucan/ranking.h>

namespace toucan {
namespace {

constexpr std::chrono::milliseconds resendInterval{40};
constexpr std::chrono::seconds settleTimeLimit{2};
constexpr std::chrono::seconds abandonTimeLimit{10};

} // namespace

claimer::claimer(target_context &context, claim_holder &holder, result_handler handler)
    : m_context(context)
    , m_holder(holder)
    , m_handler(std::move(handler))
{ }

void claimer::begin(claim_operation operation, const byte_buffer &key, std::uint64_t attempt,
    std::chrono::milliseconds timeLimit, byte_view answer)
{
    const bool settles = operation == claim_operation::settle;
    round item;
    item.request = {.operation = static_cast<std::uint64_t>(operation),
        .key = key,
        .attempt = attempt,
        .claimer = m_context.self.name,
        .boot = m_context.self.boot,
        .answer = byte_buffer(answer.begin(), answer.end())};
    item.deadline = m_context.now + (settles ? instant(settleTimeLimit) : instant(timeLimit));
    item.unreported = settles;
    addRound(std::move(item));
}

void claimer::abandon(const byte_buffer &key, std::uint64_t attempt)
{
    round item;
    item.request = {.operation = static_cast<std::uint64_t>(claim_operation::void_attempt),
        .key = key,
        .attempt = attempt,
        .claimer = m_context.self.name,
        .boot = m_context.self.boot};
    item.deadline = m_context.now + instant(abandonTimeLimit);
    item.unreported = true;
    addRound(std::move(item));
}

void claimer::addRound(round &&item)
{
    const byte_buffer key = item.request.key;
    round &placed = m_rounds.insert_or_assign(key, std::move(item)).first->second;
    startRound(placed);
    evaluate(key);
}

void claimer::release(const byte_buffer &key)
{
    const auto *service = m_context.service();
    if (!service)
        return;
    const claim_request request{.operation = static_cast<std::uint64_t>(claim_operation::release),
        .key = key,
        .claimer = m_context.self.name,
        .boot = m_context.self.boot,
        .round = ++m_lastRound,
        .version = m_context.version(),
        .listHash = service->listHash};
    for (const auto *holder : claimHolders(key, service->members)) {
        if (holder->name == m_context.self.name)
            m_holder.apply(request);
        else
            m_context.send(holder->data, request);
    }
}

void claimer::startRound(round &item)
{
    const auto *service = m_context.service();
    item.votes.clear();
    item.request.round = ++m_lastRound;
    item.request.version = m_context.version();
    if (!service)
        return;
    item.request.listHash = service->listHash;
    for (const auto *holder : claimHolders(item.request.key, service->members))
        item.votes.push_back({.holder = holder->name, .address = holder->data});
    requestVotes(item);
}

void claimer::requestVotes(round &item)
{
    item.lastSent = m_context.now;
    for (auto &vote : item.votes) {
        const bool decided = vote.received && vote.verdict != claim_verdict::abstained
            && vote.verdict != claim_verdict::stale;
        if (decided)
            continue;
        if (vote.holder == m_context.self.name)
            recordVote(item, m_holder.apply(item.request));
        else
            m_context.send(vote.address, item.request);
    }
}

bool claimer::recordVote(round &item, const claim_reply &reply)
{
    const auto vote = std::ranges::find(item.votes, reply.holder, &vote::holder);
    if (vote == item.votes.end() || reply.round != item.request.round)
        return false;
    vote->received = true;
    vote->verdict = static_cast<claim_verdict>(reply.verdict);
    if (vote->verdict == claim_verdict::held) {
        item.other = reply.other;
        item.otherBoot = reply.otherBoot;
    }
    if (vote->verdict == claim_verdict::answered)
        item.request.answer = reply.answer;
    return true;
}

std::size_t claimer::countVotes(const round &item, claim_verdict verdict)
{
    return static_cast<std::size_t>(std::ranges::count_if(
        item.votes, [&](const vote &each) { return each.received && each.verdict == verdict; }));
}

std::optional<claim_outcome> claimer::outcomeOf(const round &item) const
{
    const bool settles
        = item.request.operation == static_cast<std::uint64_t>(claim_operation::settle);
    const auto majority = item.votes.size() / 2 + 1;
    const auto held = countVotes(item, claim_verdict::held);
    const auto voided = countVotes(item, claim_verdict::voided);
    // After the deadline votes do not count: a process that was paused must not act on replies from
    // before the pause.
    if (m_context.now >= item.deadline)
        return held > 0 ? claim_outcome::held : claim_outcome::undecided;
    if (!settles && countVotes(item, claim_verdict::answered) > 0)
        return claim_outcome::answered;
    if (!item.votes.empty() && countVotes(item, claim_verdict::granted) >= majority)
        return claim_outcome::granted;
    if (!item.votes.empty() && voided >= majority)
        return claim_outcome::voided;
    // Two refusals leave no majority, whatever the third holder replies.
    if (held > 0 && held + voided >= majority)
        return claim_outcome::held;
    return std::nullopt;
}

void claimer::evaluate(const byte_buffer &key)
{
    const auto found = m_rounds.find(key);
    const auto outcome = outcomeOf(found->second);
    if (!outcome)
        return;
    // Removed first, since the handler may begin another round for the key.
    const round ended = std::move(found->second);
    m_rounds.erase(found);
    if (ended.unreported)
        return;
    m_handler({.key = ended.request.key,
        .attempt = ended.request.attempt,
        .outcome = *outcome,
        .other = ended.other,
        .otherBoot = ended.otherBoot,
        .answer = *outcome == claim_outcome::answered ? ended.request.answer : byte_buffer()});
}

void claimer::onReply(const endpoint &from, const claim_reply &reply)
{
    const auto found = m_rounds.find(reply.key);
    if (found == m_rounds.end())
        return;
    auto &votes = found->second.votes;
    const auto vote = std::ranges::find(votes, reply.holder, &vote::holder);
    if (vote != votes.end() && vote->address == from && recordVote(found->second, reply))
        evaluate(byte_buffer(reply.key));
}

void claimer::onTick()
{
    std::vector<byte_buffer> due;
    for (const auto &[key, item] : m_rounds) {
        if (m_context.now >= item.deadline || m_context.now - item.lastSent >= resendInterval)
            due.push_back(key);
    }
    for (const auto &key : due) {
        const auto found = m_rounds.find(key);
        if (found == m_rounds.end())
            continue;
        if (m_context.now < found->second.deadline)
            requestVotes(found->second);
        evaluate(key);
    }
}

void claimer::onConfig()
{
    const auto *service = m_context.service();
    for (auto &[key, item] : m_rounds) {
        if (service && service->listHash != item.request.listHash)
            startRound(item);
    }
}

} // namespace toucan
