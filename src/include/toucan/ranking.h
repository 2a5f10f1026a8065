#pragma once

/// Rendezvous hashing: an order of a service's members for each flow and each idempotency key, the
/// same in every process with the same list of members.

#include <array>
#include <span>
#include <toucan/config.h>

namespace toucan {

/// Hash of arbitrary bytes.
std::uint64_t hashBytes(byte_view bytes);
/// Hash of text.
std::uint64_t hashText(std::string_view text);
/// Hash of a flow, the same in every process.
std::uint64_t hashFlow(const flow_key &flow);

/// Weight of a member for a hashed key; the member with the largest weight comes first.
std::uint64_t rankWeight(std::uint64_t keyHash, std::uint64_t nameHash);

/// First member in the order for which `accept(member)` is true, or nullptr. Linear in the number
/// of members, without allocation.
template <class F>
const member *firstMember(std::uint64_t keyHash, std::span<const member> members, F &&accept)
{
    const member *best = nullptr;
    std::uint64_t bestWeight = 0;
    for (const auto &candidate : members) {
        const auto weight = rankWeight(keyHash, candidate.nameHash);
        if ((!best || weight > bestWeight) && accept(candidate)) {
            best = &candidate;
            bestWeight = weight;
        }
    }
    return best;
}

/// Listed members in the order for the key.
std::vector<const member *> rankedMembers(std::uint64_t keyHash, std::span<const member> members);

/// Number of members that hold the claims of one key.
inline constexpr std::size_t holderCount = 3;
/// Number of holders that have to agree.
inline constexpr std::size_t holderMajority = 2;

/// The holders of a key: the first listed members from different failure domains, filled up in
/// order when there are too few domains.
std::vector<const member *> claimHolders(byte_view key, std::span<const member> members);

} // namespace toucan
