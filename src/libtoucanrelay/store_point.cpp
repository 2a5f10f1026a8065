#include <algorithm>
#include <toucan/store_point.h>
#include <tuple>

namespace toucan {
namespace {

// Revisions get 48 bits: enough for a thousand writes a second over thousands of years.
constexpr unsigned revisionBits = 48;
constexpr std::uint64_t revisionMask = (std::uint64_t{1} << revisionBits) - 1;

} // namespace

bool isLater(const store_point &point, const store_point &known)
{
    if (point.era != 0 && known.era != 0)
        return point > known;
    return point.revision > known.revision
        || (point.revision == known.revision && point.era > known.era);
}

std::uint64_t packPoint(const store_point &point)
{
    return point.era << revisionBits | (point.revision & revisionMask);
}

store_point unpackPoint(std::uint64_t packed)
{
    return {.era = packed >> revisionBits, .revision = packed & revisionMask};
}

bool config_order::supersedes(const config_stamp &candidate, const config_stamp &known) const
{
    const auto &point = candidate.point;
    const bool isOneEra = point.era == known.point.era || point.era == 0 || known.point.era == 0;
    if (isOneEra || std::max(point.era, known.point.era) <= m_settledEra)
        return isLater(point, known.point);
    return std::tie(candidate.version, point) > std::tie(known.version, known.point);
}

bool config_order::settle(std::uint64_t era)
{
    if (era <= m_settledEra)
        return false;
    m_settledEra = era;
    return true;
}

} // namespace toucan
