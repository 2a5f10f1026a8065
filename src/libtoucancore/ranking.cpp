#include <algorithm>
#include <array>
#include <toucan/ranking.h>
#include <xxhash.h>

namespace toucan {

std::uint64_t hashBytes(byte_view bytes)
{
    return XXH3_64bits(bytes.data(), bytes.size());
}

std::uint64_t hashText(std::string_view text)
{
    return XXH3_64bits(text.data(), text.size());
}

std::uint64_t hashFlow(const flow_key &flow)
{
    const std::array words{(std::uint64_t{flow.caller.ip} << 16U) | flow.caller.port,
        (std::uint64_t{flow.service.ip} << 16U) | flow.service.port};
    return XXH3_64bits(words.data(), sizeof(words));
}

std::uint64_t rankWeight(std::uint64_t keyHash, std::uint64_t nameHash)
{
    const std::array words{keyHash, nameHash};
    return XXH3_64bits(words.data(), sizeof(words));
}

std::vector<const member *> rankedMembers(std::uint64_t keyHash, std::span<const member> members)
{
    std::vector<const member *> ranked;
    for (const auto &candidate : members) {
        if (candidate.isListed())
            ranked.push_back(&candidate);
    }
    std::ranges::sort(ranked, std::greater<>(),
        [&](const member *item) { return rankWeight(keyHash, item->nameHash); });
    return ranked;
}

std::vector<const member *> claimHolders(byte_view key, std::span<const member> members)
{
    auto ranked = rankedMembers(hashBytes(key), members);
    std::vector<const member *> holders;
    const auto hasDomain = [&](const member *candidate) {
        return std::ranges::find(holders, candidate->domain, &member::domain) != holders.end();
    };
    for (const auto *candidate : ranked) {
        if (holders.size() < holderCount && !hasDomain(candidate))
            holders.push_back(candidate);
    }
    for (const auto *candidate : ranked) {
        if (holders.size() < holderCount && std::ranges::find(holders, candidate) == holders.end())
            holders.push_back(candidate);
    }
    return holders;
}

} // namespace toucan
