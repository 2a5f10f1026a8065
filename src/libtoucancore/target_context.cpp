#include <algorithm>
#include <toucan/target_context.h>

namespace toucan {

const service_view *target_context::service() const
{
    return config ? config->serviceNamed(self.service) : nullptr;
}

const member *target_context::selfMember() const
{
    const auto *view = service();
    const auto *found = view ? view->find(self.name) : nullptr;
    return found && found->boot == self.boot ? found : nullptr;
}

bool target_context::isAlive(std::string_view name) const
{
    if (name == self.name)
        return true;
    const auto found = peers.find(name);
    return found != peers.end() && now - found->second.lastSeen < peerTimeout;
}

std::uint64_t target_context::bootOf(std::string_view name) const
{
    if (name == self.name)
        return self.boot;
    const auto found = peers.find(name);
    return found == peers.end() ? 0 : found->second.lastHeartbeat.boot;
}

bool target_context::isEntryAlive(const endpoint &entry) const
{
    const auto found = entries.find(entry);
    if (found == entries.end() || now - found->second.lastSeen >= entryTimeout)
        return false;
    const auto &left = found->second.lastLeaveNotice;
    return !left || now - *left >= leaveNoticeTimeout;
}

endpoint target_context::returnEntry(const endpoint &preferred) const
{
    if (isEntryAlive(preferred) || !config)
        return preferred;
    const auto live = std::ranges::find_if(
        config->entries, [&](const auto &item) { return isEntryAlive(item.data); });
    return live == config->entries.end() ? preferred : live->data;
}

void target_context::send(const endpoint &to, const peer_message &message)
{
    actions.emplace_back(send_datagram{to, encodeMessage(message)});
}

void target_context::sendPacket(const endpoint &to, const packet_header &header, byte_view payload)
{
    actions.emplace_back(send_datagram{to, encodePacket(header, payload)});
}

} // namespace toucan
