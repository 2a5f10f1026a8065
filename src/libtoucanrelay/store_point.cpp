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
    if (point.era == 0 || known.era == 0)
        return point.revision > known.revision;
    return point > known;
}

std::uint64_t packPoint(const store_point &point)
{
    return point.era << revisionBits | (point.revision & revisionMask);
}

store_point unpackPoint(std::uint64_t packed)
{
    return {.era = packed >> revisionBits, .revision = packed & revisionMask};
}

bool supersedes(const config_stamp &candidate, const config_stamp &inForce)
{
    const auto &point = candidate.point;
    const auto &known = inForce.point;
    if (point == known)
        return candidate.settled && !inForce.settled;
    if (point.era == known.era || point.era == 0 || known.era == 0)
        return point.revision > known.revision;
    if (point.era > known.era && candidate.settled)
        return true;
    if (point.era < known.era && inForce.settled)
        return false;
    return std::tie(candidate.version, point) > std::tie(inForce.version, known);
}

} // namespace toucan
