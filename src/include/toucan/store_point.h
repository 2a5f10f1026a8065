#pragma once

/// Order of what the platform's store says, also across its return from an older copy, after which
/// it gives revisions out again.

#include <chrono>
#include <compare>
#include <cstdint>

namespace toucan {

/// Time after a return of the store from an older copy in which its contents may still lack what
/// the operators wrote before: copies are seconds old, and operators' tools repeat their writes.
inline constexpr std::chrono::milliseconds restoreSettleTime{30000};

/// A point in the history of the store.
struct store_point
{
    std::uint64_t era = 0; ///< Rises each time the store comes back older; 0 when it states none.
    std::uint64_t revision = 0;

    auto operator<=>(const store_point &) const = default;
};

/// True when `point` comes after `known`. Revisions alone decide where one of them has no era.
bool isLater(const store_point &point, const store_point &known);

/// A point as one number with the same order, which is the plain revision without an era.
std::uint64_t packPoint(const store_point &point);
store_point unpackPoint(std::uint64_t packed);

/// What orders configurations.
struct config_stamp
{
    store_point point; ///< Where the store said so last.
    std::uint64_t version = 0; ///< The operators' own number.
    bool settled = false; ///< The store has said so for restoreSettleTime of its era.

    bool operator==(const config_stamp &) const = default;
};

/// True when a configuration takes the place of the one in force. Revisions decide within an era.
/// Across eras the operators' version does, since an older copy comes back under a later era, until
/// the later era has settled.
bool supersedes(const config_stamp &candidate, const config_stamp &inForce);

} // namespace toucan
