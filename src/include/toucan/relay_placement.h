#pragma once

/// Where an entry sends the opening of a flow, and in which order it looks for a flow's owner. Pure
/// functions of the members' reports.
///
/// Load answered for: new flows of one request each beside flows that stay for minutes, up to full
/// slots on most targets. An entry's figures are older than most requests take, so it only weighs
/// smoothed load between few candidates, which come from the flow's rendezvous order; the target
/// process that receives the opening knows its queue exactly and passes the opening on to the next
/// candidate while all of its slots are taken. Taking candidates from the rendezvous order lets any
/// entry find the owner of a flow later without having been told.

#include <boost/container/static_vector.hpp>
#include <span>
#include <toucan/relay_config.h>
#include <toucan/relay_members.h>

namespace toucan {

/// Candidates for one opening; the others are visited while the earlier ones have no room.
inline constexpr std::size_t maxOpeningCandidates = 3;

/// What the choice for one opening depends on.
struct placement_request
{
    std::uint64_t flowHash = 0;
    std::string_view domain; ///< The entry's own failure domain.
    const domains_out &out;
    std::span<const endpoint> tried; ///< Members that got an earlier copy; left out.
    instant now{};
    /// Openings for each slot that a member may have been sent since its newest report; 0: any.
    std::uint64_t maxRoundsPerReport = 0;
};

/// Candidates in the order in which they are asked.
struct placement
{
    boost::container::static_vector<relay_member *, maxOpeningCandidates> order;
    std::size_t eligible = 0; ///< Members that could have been chosen.
};

/// A member that turned an opening away is not asked by the same entry for this long: requests take
/// about as long, and entries that ask all the time cost their targets' VMs more than they gain.
inline constexpr std::chrono::milliseconds refusalPause{60};

/// True when the member may get openings now.
bool takesOpenings(const relay_member &item, const domains_out &out, instant now);
/// True when the member has been sent fewer openings since its newest report than `rounds` of its
/// slots; always when `rounds` is 0.
bool hasCredit(const relay_member &item, std::uint64_t rounds);

/// Chooses candidates for an opening by their load.
placement placeByLoad(std::span<relay_member *const> members, const placement_request &request);
/// Chooses candidates by the flow's rendezvous order alone; to measure the other one against.
placement placeByHash(std::span<relay_member *const> members, const placement_request &request);

/// A way to choose candidates.
using placement_policy
    = placement (*)(std::span<relay_member *const> members, const placement_request &request);
/// The policy that settings call `name`: "load" or "hash"; nullptr for others.
placement_policy placementNamed(std::string_view name);

/// Members that may hold a flow, most likely first. Members that are silent are left out.
std::vector<relay_member *> searchOrder(
    std::span<relay_member *const> members, std::uint64_t flowHash, std::string_view domain);

} // namespace toucan
