#pragma once

/// Selection of the targets to which an entry sends the opening of a flow, and the order in which
/// it searches for a flow's owner. Pure functions of the members' reports.
///
/// Designed for new flows of one request each beside flows that last for minutes, up to full slots
/// on most targets. An entry's load figures are older than most requests last, so it compares
/// smoothed load between a few candidates only, which come from the flow's rendezvous order. The
/// target process that receives the opening has the exact length of its queue and passes the
/// opening on to the next candidate while all of its slots are occupied. As the candidates come
/// from the rendezvous order, any entry can find the owner of a flow later without state about the
/// flow.

#include <boost/container/static_vector.hpp>
#include <span>
#include <toucan/domain_distances.h>
#include <toucan/relay_config.h>
#include <toucan/relay_members.h>

namespace toucan {

/// Maximum number of candidates for one opening; each later one is asked when those before it
/// have no free slot.
inline constexpr std::size_t maxOpeningCandidates = 3;

/// Inputs of the choice of candidates for one opening.
struct placement_request
{
    std::uint64_t flowHash = 0;
    std::string_view domain; ///< The entry's own failure domain.
    const domains_out &out;
    std::span<const endpoint> tried; ///< Members that were sent an earlier copy; excluded.
    instant now{};
    /// Maximum openings for each slot of a member since its newest report; 0: no limit.
    std::uint64_t maxRoundsPerReport = 0;
    const domain_distances *distances = nullptr; ///< Not used by all policies.
};

/// Expected time from now to the end of a request, and its parts, ms.
struct expected_end
{
    double workMs = 0; ///< Work before it at the target.
    double costMs = 0; ///< The request itself.
    double distanceMs = 0; ///< Cost of another failure domain.

    double totalMs() const { return workMs + costMs + distanceMs; }
};

/// Candidates in the order in which they are asked.
struct placement
{
    boost::container::static_vector<relay_member *, maxOpeningCandidates> order;
    std::size_t eligible = 0; ///< Number of members that could have been chosen.
};

/// Time for which an entry sends no openings to a member that refused one. Requests take about as
/// long, and asking without a pause costs the targets' VMs more than it gains.
inline constexpr std::chrono::milliseconds refusalPause{60};

/// True when the member may be sent openings now.
bool takesOpenings(const relay_member &item, const domains_out &out, instant now);
/// True when the member has been sent fewer openings since its newest report than `rounds` of its
/// slots; always when `rounds` is 0.
bool hasCredit(const relay_member &item, std::uint64_t rounds);

/// Chooses candidates for an opening by load, with a preference for the own failure domain.
placement placeByLoad(std::span<relay_member *const> members, const placement_request &request);
/// Chooses candidates by the expected end of the request at each. Where all targets take about as
/// long for a request, and domains are near each other, the choice is that of placeByLoad, as it is
/// while the time that a candidate takes is unknown.
placement placeByWork(std::span<relay_member *const> members, const placement_request &request);
/// Expected end of a request that is sent to `item` now, if its target's times are known.
std::optional<expected_end> expectedEnd(const relay_member &item, const placement_request &request);
/// Chooses candidates by the flow's rendezvous order alone; the baseline for placeByLoad.
placement placeByHash(std::span<relay_member *const> members, const placement_request &request);

/// Function that chooses candidates.
using placement_policy
    = placement (*)(std::span<relay_member *const> members, const placement_request &request);
/// The policy with this name in settings: "load", "work" or "hash"; nullptr for other names.
placement_policy placementNamed(std::string_view name);

/// Members that may hold a flow, most likely first. Lost members are excluded.
std::vector<relay_member *> searchOrder(
    std::span<relay_member *const> members, std::uint64_t flowHash, std::string_view domain);

} // namespace toucan
