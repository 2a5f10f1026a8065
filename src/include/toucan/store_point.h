#pragma once

/// Order of the states of the platform's store, also when it is restored from an older copy and
/// then assigns the same revisions again.

#include <chrono>
#include <compare>
#include <cstdint>

namespace toucan {

/// Time for which the store has to be followed in a new era until its contents count as the
/// operators' intent: copies are seconds old, and operators' tools repeat their writes at once.
inline constexpr std::chrono::milliseconds restoreSettleTime{30000};

/// A point in the history of the store.
struct store_point
{
    std::uint64_t era
        = 0; ///< Increases each time the store is restored from an older copy; 0: none.
    std::uint64_t revision = 0;

    auto operator<=>(const store_point &) const = default;
};

/// True when `point` comes after `known`. Where one of them has no era, revisions decide, and an
/// equal revision with an era comes after the one without.
bool isLater(const store_point &point, const store_point &known);

/// Packs a point into one number with the same order; without an era it is the plain revision.
std::uint64_t packPoint(const store_point &point);
/// The point of a packed number.
store_point unpackPoint(std::uint64_t packed);

/// Identifies a configuration and its place in the order of configurations.
struct config_stamp
{
    store_point point; ///< Point at which the store last had it.
    std::uint64_t version = 0; ///< The operators' own number.

    bool operator==(const config_stamp &) const = default;
};

/// Orders configurations. Within an era the revision decides. Across eras the operators' version
/// decides, since an older copy comes back under a later era; once the later era has settled, the
/// era decides.
class config_order
{
public:
    /// True when the candidate replaces the known configuration.
    bool supersedes(const config_stamp &candidate, const config_stamp &known) const;
    /// Records that an era has settled. True when it was not recorded before.
    bool settle(std::uint64_t era);
    std::uint64_t settledEra() const { return m_settledEra; }

private:
    std::uint64_t m_settledEra = 0;
};

} // namespace toucan
