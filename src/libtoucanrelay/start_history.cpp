#include <algorithm>
#include <toucan/start_history.h>

namespace toucan {
namespace {

std::uint64_t millisecondsSince(instant now, instant then)
{
    const auto age = std::chrono::duration_cast<std::chrono::milliseconds>(now - then);
    return static_cast<std::uint64_t>(std::max<std::int64_t>(age.count(), 0));
}

} // namespace

bool start_history::isCurrent(instant now, const start &item)
{
    return now - item.lastHeard <= retention;
}

start_history::start &start_history::findOrAdd(
    instant seenAt, const endpoint &from, std::uint64_t boot)
{
    auto &starts = m_starts[from];
    const auto found = std::ranges::find(starts, boot, &start::boot);
    if (found != starts.end())
        return *found;
    if (starts.size() == maxStarts)
        starts.erase(starts.begin());
    return starts.emplace_back(start{.boot = boot, .firstHeard = seenAt, .lastHeard = seenAt});
}

void start_history::recordHeard(instant seenAt, const endpoint &from, std::uint64_t boot)
{
    if (boot == 0)
        return;
    auto &item = findOrAdd(seenAt, from, boot);
    item.lastHeard = std::max(item.lastHeard, seenAt);
}

void start_history::recordUnused(instant now, const endpoint &from, std::uint64_t boot)
{
    recordHeard(now, from, boot);
    if (boot != 0)
        findOrAdd(now, from, boot).unused = true;
}

std::vector<heard_start> start_history::startsOf(
    instant now, const endpoint &from, std::uint64_t except) const
{
    std::vector<heard_start> heard;
    const auto found = m_starts.find(from);
    if (found == m_starts.end())
        return heard;
    for (const auto &item : found->second) {
        if (item.boot != except && isCurrent(now, item))
            heard.push_back({.boot = item.boot,
                .unused = item.unused,
                .firstHeardMs = millisecondsSince(now, item.firstHeard),
                .lastHeardMs = millisecondsSince(now, item.lastHeard)});
    }
    return heard;
}

void start_history::sweep(instant now)
{
    std::erase_if(m_starts, [&](const auto &item) {
        return std::ranges::none_of(
            item.second, [&](const start &each) { return isCurrent(now, each); });
    });
}

} // namespace toucan
