#include <algorithm>
#include <toucan/member_removal.h>
#include <toucan/ranking.h>

namespace toucan {

std::uint64_t member_removal::recordVersion(std::string_view name) const
{
    const auto found
        = std::ranges::find_if(m_context.config->objects, [&](const stored_object &item) {
              return item.kind == object_kind::member && item.name == name;
          });
    return found == m_context.config->objects.end() ? 0 : found->version;
}

void member_removal::onTick()
{
    const auto *service = m_context.service();
    if (!service || !m_context.selfMember())
        return;
    std::erase_if(m_silentSince, [&](const auto &item) {
        return !service->find(item.first) || m_context.isAlive(item.first);
    });
    for (const auto &item : service->members) {
        // Members of a failure domain that is out of service are expected to be silent.
        if (item.out || m_context.isAlive(item.name))
            continue;
        const auto since = m_silentSince.try_emplace(item.name, m_context.now).first->second;
        if (m_context.now - since < removalTimeout)
            continue;
        const auto *remover = firstMember(item.nameHash, service->members,
            [&](const member &each) { return each.isListed() && m_context.isAlive(each.name); });
        if (!remover || remover->name != m_context.self.name)
            continue;
        m_silentSince[item.name] = m_context.now;
        m_context.actions.emplace_back(remove_member{item.name, recordVersion(item.name)});
    }
}

} // namespace toucan
