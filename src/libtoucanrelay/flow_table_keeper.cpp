#include <algorithm>
#include <toucan/flow_table_keeper.h>

namespace toucan {

flow_table_keeper::summary flow_table_keeper::summaryOf(instant now, const table &item)
{
    return {.member = item.member,
        .boot = item.boot,
        .flows = item.flows.size(),
        .complete = !item.pages.empty() && item.pages.begin()->second.complete,
        .age = std::chrono::duration_cast<std::chrono::milliseconds>(now - item.keptAt)};
}

std::optional<flow_table_keeper::summary> flow_table_keeper::keep(
    instant now, const endpoint &from, const flow_table_page &page)
{
    if (page.boot == 0 || page.page >= page.pages || page.pages > maxPages
        || (!m_tables.contains(from) && m_tables.size() >= maxTables))
        return std::nullopt;
    auto &item = m_tables[from];
    const bool isNewTable = item.boot != page.boot;
    // A late copy of a page must not bring an older table back.
    const bool isLate = item.boot != 0 && isNewTable
        && (page.boot == item.previousBoot || (item.nextBoot != 0 && item.nextBoot != page.boot));
    if (isLate)
        return std::nullopt;
    const bool isCompleteKept
        = isNewTable && item.boot != 0 && item.isWhole() && item.pages.begin()->second.complete;
    if (isCompleteKept && page.unused) {
        recordUnused(from, page.boot);
        return std::nullopt;
    }
    if (isNewTable)
        item = {.member = page.member,
            .boot = page.boot,
            .previousBoot = item.boot,
            .keptAt = now,
            .pageCount = static_cast<std::size_t>(page.pages)};
    const bool wasWhole = item.isWhole();
    if (!item.pages.try_emplace(page.page, page).second)
        return std::nullopt;
    for (const auto &flow : page.flows)
        item.flows[{.caller = flow.caller, .service = flow.service}] = flow.open;
    return !wasWhole && item.isWhole() ? std::optional(summaryOf(now, item)) : std::nullopt;
}

std::optional<flow_table_keeper::summary> flow_table_keeper::recordStart(
    instant now, const endpoint &from, std::uint64_t boot, instant seenAt)
{
    const auto found = m_tables.find(from);
    if (found == m_tables.end() || found->second.boot == boot || found->second.nextBoot == boot
        || found->second.unused.contains(boot) || seenAt < found->second.keptAt)
        return std::nullopt;
    if (found->second.nextBoot == 0) {
        found->second.nextBoot = boot;
        return std::nullopt;
    }
    const auto dropped = summaryOf(now, found->second);
    m_tables.erase(found);
    return dropped;
}

void flow_table_keeper::recordUnused(const endpoint &from, std::uint64_t boot)
{
    const auto found = m_tables.find(from);
    if (found == m_tables.end() || found->second.boot == boot)
        return;
    found->second.unused.insert(boot);
    if (found->second.nextBoot == boot)
        found->second.nextBoot = 0;
}

std::vector<flow_table_page> flow_table_keeper::pagesFor(instant now, const endpoint &from,
    const flow_table_request &request, std::uint64_t knownBoot) const
{
    const auto found = m_tables.find(from);
    if (found == m_tables.end())
        return {};
    const auto &item = found->second;
    const bool isNextStart = (item.nextBoot == 0 || item.nextBoot == request.boot)
        && (knownBoot == 0 || knownBoot == item.boot || knownBoot == request.boot
            || item.unused.contains(knownBoot));
    if (item.member != request.member || item.boot == request.boot || !isNextStart
        || !item.isWhole() || now - item.keptAt > retention)
        return {};
    std::vector<flow_table_page> pages;
    std::ranges::transform(
        item.pages, std::back_inserter(pages), [](const auto &page) { return page.second; });
    return pages;
}

endpoint flow_table_keeper::ownerOf(instant now, const flow_key &flow) const
{
    const auto found = std::ranges::find_if(m_tables, [&](const auto &entry) {
        const auto &item = entry.second;
        const auto place = item.flows.find(flow);
        return item.nextBoot == 0 && now - item.keptAt <= retention && place != item.flows.end()
            && place->second;
    });
    return found == m_tables.end() ? endpoint{} : found->first;
}

void flow_table_keeper::sweep(instant now)
{
    std::erase_if(m_tables, [&](const auto &item) { return now - item.second.keptAt > retention; });
}

} // namespace toucan
