#pragma once

/// A holder's record of claims on non-idempotent requests.
///
/// Each key has at most one claim. A delayed datagram of a claimer's earlier round never ends the
/// claim of a later round. A claim never passes to another claimer; it ends when its own claimer
/// voids or releases it, when it is settled with an answer, or at the end of the retention.

#include <deque>
#include <functional>
#include <span>
#include <string>
#include <toucan/generated/messages.h>
#include <toucan/peer_message.h>
#include <unordered_map>

namespace toucan {

/// Hash of owned bytes, for containers.
struct bytes_hash
{
    std::size_t operator()(const byte_buffer &bytes) const noexcept;
};

/// Limits of a ledger.
struct ledger_options
{
    /// Time for which a claim is kept; longer than CoAP's EXCHANGE_LIFETIME of 247 s.
    std::chrono::seconds retention{250};
    /// Maximum number of claims; the ledger abstains from further ones.
    std::size_t capacity = 100'000;
};

/// Claims of one holder. Not thread-safe.
class claim_ledger
{
public:
    explicit claim_ledger(const ledger_options &options);

    /// Result of an operation.
    struct verdict
    {
        claim_verdict kind{};
        std::string other; ///< The other claimer, when held.
        std::uint64_t otherBoot = 0; ///< Its boot number.
        byte_view answer; ///< The kept answer, when answered; valid until the next call.
    };

    /// Applies a claim, void or settle operation. Idempotent.
    verdict apply(instant now, const claim_request &request);

    /// Imports claims that another holder recorded. They block all other claimers; claims of two
    /// claimers on one key block all claimers. Returns false when the ledger is full.
    bool import(instant now, std::span<const ledger_claim> claims);

    /// True for a key to include in a transfer.
    using key_filter = std::function<bool(const byte_buffer &)>;

    /// Returns up to `limit` claims in recording order from position `cursor`, of keys for which
    /// `isWanted` is true. `next` is set to the position to continue from, or to 0 at the end.
    std::vector<ledger_claim> part(instant now, std::uint64_t cursor, std::size_t limit,
        const key_filter &isWanted, std::uint64_t &next) const;

    /// Removes claims whose retention has ended.
    void expire(instant now);

    /// Number of claims recorded.
    std::size_t size() const { return m_claims.size(); }

private:
    struct claim
    {
        std::string claimer; ///< Empty when unclaimed.
        std::uint64_t boot = 0;
        std::uint64_t round = 0; ///< Latest round of the claimer that claimed it.
        std::uint64_t voidedAttempts = 0; ///< Attempts below this number must not run.
        byte_buffer answer;
        bool imported = false;
        instant recorded{};
    };
    struct recorded_key
    {
        instant recorded;
        byte_buffer key;
    };

    verdict applyClaim(claim &entry, const claim_request &request);
    static verdict applyVoid(claim &entry, const claim_request &request);
    static verdict applySettle(claim &entry, const claim_request &request);
    static verdict applyRelease(claim &entry, const claim_request &request);
    static void importClaimer(claim &entry, const ledger_claim &source);
    claim *findOrCreate(instant now, const byte_buffer &key);
    void touch(instant now, const byte_buffer &key, claim &entry);

    ledger_options m_options;
    std::unordered_map<byte_buffer, claim, bytes_hash> m_claims;
    std::deque<recorded_key> m_recordingOrder; ///< In recording order, for expiry and transfer.
    std::uint64_t m_firstPosition = 1; ///< Position of m_recordingOrder.front().
};

} // namespace toucan
