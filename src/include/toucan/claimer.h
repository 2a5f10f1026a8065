#pragma once

/// The claimer's side of claims: asks the three holders of a key and decides when two agree.

#include <functional>
#include <toucan/claim_holder.h>
#include <toucan/target_context.h>
#include <unordered_map>

namespace toucan {

/// What a claim came to.
enum class claim_outcome : std::uint8_t {
    granted, ///< Two holders recorded it for us: the request may run here, and only here.
    answered, ///< It ran before; the answer is known.
    voided, ///< Two holders have this attempt void: no copy ran or can run.
    held, ///< Another claimer has it, or may have it.
    undecided, ///< Fewer than two holders could be asked within the time allowed.
};

/// Result of a round, reported once per begin().
struct claim_result
{
    byte_buffer key;
    std::uint64_t attempt = 0; ///< Attempt that the round was for.
    claim_outcome outcome{};
    std::string other; ///< The other claimer, when held.
    std::uint64_t otherBoot = 0; ///< Its boot number.
    byte_buffer answer; ///< The answer, when answered.
};

/// All rounds of one process. Used by the traffic thread alone.
class claimer
{
public:
    /// Called with each result, from begin(), onReply() or onTick().
    using result_handler = std::function<void(const claim_result &)>;

    claimer(target_context &context, claim_holder &holder, result_handler handler);

    /// Starts a round of `operation` for the key, replacing one in progress. Reports within
    /// `timeLimit`. Settling reports nothing and is repeated until two holders have the answer.
    void begin(claim_operation operation, const byte_buffer &key, std::uint64_t attempt,
        std::chrono::milliseconds timeLimit, byte_view answer = {});

    /// Keeps voiding an attempt that is given up on, without reporting.
    void abandon(const byte_buffer &key, std::uint64_t attempt);

    /// Gives a claim that has no majority back, so that another claimer can get it.
    void release(const byte_buffer &key);

    void onReply(const endpoint &from, const claim_reply &reply);
    /// Repeats unanswered requests and ends rounds whose time is over.
    void onTick();
    /// Starts rounds over whose holders have changed.
    void onConfig();

    /// Rounds in progress.
    std::size_t size() const { return m_rounds.size(); }

private:
    struct vote
    {
        std::string holder;
        endpoint address;
        claim_verdict verdict = claim_verdict::abstained;
        bool received = false;
    };
    struct round
    {
        claim_request request;
        std::vector<vote> votes;
        std::string other;
        std::uint64_t otherBoot = 0;
        instant deadline{};
        instant lastSent{};
        bool unreported = false; ///< Nobody waits for the result.
    };

    void addRound(round &&item);
    void startRound(round &item);
    void requestVotes(round &item);
    void evaluate(const byte_buffer &key);
    std::optional<claim_outcome> outcomeOf(const round &item) const;
    static std::size_t countVotes(const round &item, claim_verdict verdict);
    static bool recordVote(round &item, const claim_reply &reply);

    target_context &m_context;
    claim_holder &m_holder;
    result_handler m_handler;
    std::unordered_map<byte_buffer, round, bytes_hash> m_rounds;
    std::uint64_t m_lastRound = 0;
};

} // namespace toucan
