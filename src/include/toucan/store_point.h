#pragma once

/// Order of what the platform's store says, also across its return from an older copy, after which
/// it gives revisions out again.

#include <chrono>
#include <compare>
#include <cstdint>

namespace toucan {

/// Time of a new era in which the store has to be heard until its contents are taken for what the
/// operators want: copies are seconds old, and operators' tools repeat their writes at once.
inline constexpr std::chrono::milliseconds restoreSettleTime{30000};

/// A point in the history of the store.
struct store_point
{
    std::uint64_t era = 0; ///< Rises each time the store comes back older; 0 when it states none.
    std::uint64_t revision = 0;

    auto operator<=>(const store_point &) const = default;
};

/// True when `point` comes after `known`. Where one of them has no era, revisions decide, and an
/// equal revision with an era comes after the one without.
bool isLater(const store_point &point, const store_point &known);

/// A point as one number with the same order, which is the plain revision without an era.
std::uint64_t packPoint(const store_point &point);
store_point unpackPoint(std::uint64_t packed);

/// What orders configurations.
struct config_stamp
{
    store_point point; ///< Where the store said so last.
    std::uint64_t version = 0; ///< The operators' own number.

    bool operator==(const config_stamp &) const = default;
};

/// Orders configurations. Revisions decide within an era. Across eras the operators' version does,
/// since an older copy comes back under a later era, until the later era has settled; then the
/// later era does.
class config_order
{
public:
    /// True when a configuration takes the place of a known one.
    bool supersedes(const config_stamp &candidate, const config_stamp &known) const;
    /// An era has settled. True when this was not known.
    bool settle(std::uint64_t era);
    std::uint64_t settledEra() const { return m_settledEra; }

private:
    std::uint64_t m_settledEra = 0;
};

} // namespace toucan
