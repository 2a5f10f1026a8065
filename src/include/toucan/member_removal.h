#pragma once

/// Removal of members that no longer exist: VMs are regularly replaced under new names, and no
/// other component deletes the records of the old ones.

#include <toucan/target_context.h>

namespace toucan {

/// Decides for one target process which member records to delete. Used by its traffic thread
/// alone.
class member_removal
{
public:
    /// Silence after which a member counts as gone; longer than claims are kept, so that none is
    /// lost.
    static constexpr std::chrono::minutes removalTimeout{10};

    explicit member_removal(target_context &context)
        : m_context(context)
    { }

    /// Queues the deletion of each gone member for which this process comes first among the live
    /// members in rendezvous order. Call about once a second.
    void onTick();

private:
    std::uint64_t recordVersion(std::string_view name) const;

    target_context &m_context;
    std::map<std::string, instant, std::less<>> m_silentSince;
};

} // namespace toucan
