#pragma once

/// Removal of members that are gone for good: VMs are replaced under new names all the time, and
/// nobody else deletes the records of the old ones.

#include <toucan/target_context.h>

namespace toucan {

/// Decides for one target process which records to delete. Used by its traffic thread alone.
class member_removal
{
public:
    /// Silence after which a member is gone; longer than claims are kept, so that none is lost.
    static constexpr std::chrono::minutes removalTimeout{10};

    explicit member_removal(target_context &context)
        : m_context(context)
    { }

    /// Queues a deletion for each member that is gone and that this process is first to remove, in
    /// the order of the gone member's name among the live ones. Call once a second or so.
    void onTick();

private:
    std::uint64_t recordVersion(std::string_view name) const;

    target_context &m_context;
    std::map<std::string, instant, std::less<>> m_silentSince;
};

} // namespace toucan
