#pragma once

/// The claimer's side of claims: requests votes of a key's three holders and decides when two
/// agree.

#include <functional>
#include <toucan/claim_holder.h>
#include <toucan/target_context.h>
#include <unordered_map>

namespace toucan {

/// Outcome of a round.
enum class claim_outcome : std::uint8_t {
    granted, ///< Two holders recorded it for this process: the request may run only here.
    answered, ///< The request ran before; the answer is known.
    voided, ///< Two holders recorded the attempt as void: no copy ran or can run.
    held, ///< Another claimer has the claim, or may have it.
    undecided, ///< No majority of holders within the time limit.
};

/// Result of a round, reported once for each begin().
struct claim_result
{
    byte_buffer key;
    std::uint64_t attempt = 0; ///< Attempt of the round.
    claim_outcome outcome{};
    std::string other; ///< The other claimer, when held.
    std::uint64_t otherBoot = 0; ///< Its boot number.
    byte_buffer answer; ///< The answer, when answered.
};

/// Runs the claim rounds of one process. Used by the traffic thread alone.
class claimer
{
public:
    /// Called with each result, from begin(), onReply() or onTick().
    using result_handler = std::function<void(const claim_result &)>;

    claimer(target_context &context, claim_holder &holder, result_handler handler);

    /// Starts a round of `operation` for the key, replacing one in progress, and reports its result
    /// within `timeLimit`. A settle round is not reported; it is repeated until two holders have
    /// the answer or its own time limit ends.
    void begin(claim_operation operation, const byte_buffer &key, std::uint64_t attempt,
        std::chrono::milliseconds timeLimit, byte_view answer = {});

    /// Voids an abandoned attempt in the background, without a report.
    void abandon(const byte_buffer &key, std::uint64_t attempt);

    /// Releases a claim that has no majority, so that another claimer can get it.
    void release(const byte_buffer &key);

    /// Counts a holder's vote; replies of earlier rounds are ignored.
    void onReply(const endpoint &from, const claim_reply &reply);
    /// Repeats unanswered requests and ends rounds at their deadline.
    void onTick();
    /// Restarts rounds whose list of holders has changed.
    void onConfig();

    /// Number of rounds in progress.
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
        bool unreported = false; ///< The result is not reported to the handler.
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
