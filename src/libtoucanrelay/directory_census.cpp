#include <algorithm>
#include <toucan/directory_census.h>

namespace toucan {

bool isListed(std::span<const listed_entry> records, const listed_entry &entry)
{
    return std::ranges::any_of(records, [&](const listed_entry &record) {
        return record.name == entry.name && record.peer == entry.peer
            && record.control == entry.control && record.domain == entry.domain;
    });
}

void directory_census::begin(std::vector<listed_entry> records)
{
    m_records = std::move(records);
    m_alive.clear();
}

census_finding directory_census::conclude()
{
    census_finding found;
    std::map<std::string, std::uint64_t> silent;
    for (const auto &record : m_records) {
        if (record.name == m_self)
            continue;
        ++found.listed;
        if (m_alive.contains(record.peer)) {
            ++found.alive;
            continue;
        }
        silent.emplace(record.name, record.version);
        const auto before = m_silent.find(record.name);
        if (before != m_silent.end() && before->second == record.version)
            found.gone.push_back(record);
    }
    m_silent = std::move(silent);
    if (found.alive * 2 < found.listed)
        found.gone.clear();
    return found;
}

} // namespace toucan
