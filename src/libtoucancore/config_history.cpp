#include <algorithm>
#include <map>
#include <toucan/config_history.h>

namespace toucan {
namespace {

using nlohmann::json;
using object_id = std::pair<std::string, std::string>;

// A peer whose version is older than the recorded deletions is sent all objects.
constexpr std::size_t maxDeletions = 4096;

} // namespace

json updateToJson(const config_update &update)
{
    auto objects = json::array();
    for (const auto &item : update.objects)
        objects.push_back({item.kind, item.name, item.version, item.body});
    return {{"version", update.version}, {"since", update.since}, {"objects", std::move(objects)}};
}

result<config_update> updateFromJson(const json &value)
{
    try {
        config_update update{.version = value.at("version").get<std::uint64_t>(),
            .since = value.at("since").get<std::uint64_t>()};
        for (const auto &item : value.at("objects")) {
            update.objects.push_back({.kind = item.at(0).get<std::string>(),
                .name = item.at(1).get<std::string>(),
                .version = item.at(2).get<std::uint64_t>(),
                .body = item.at(3)});
        }
        return update;
    } catch (const json::exception &failure) {
        return error{error_kind::bad_request,
            std::string("invalid configuration update: ") + failure.what()};
    }
}

void config_history::recordDeletion(const stored_object &object, std::uint64_t version)
{
    m_deletions.push_back({.kind = object.kind, .name = object.name, .version = version});
    if (m_deletions.size() <= maxDeletions)
        return;
    m_oldestBaseVersion = m_deletions.front().version;
    m_deletions.pop_front();
}

bool config_history::apply(const config_update &update)
{
    if (update.version <= version() || update.since > version())
        return false;
    std::map<object_id, stored_object> merged;
    const auto put = [&](const stored_object &item) {
        merged.insert_or_assign({item.kind, item.name}, item);
    };
    if (m_current && update.since != 0)
        std::ranges::for_each(m_current->objects, put);
    std::ranges::for_each(update.objects, put);
    std::erase_if(merged, [](const auto &item) { return item.second.body.is_null(); });
    if (!m_current)
        m_oldestBaseVersion = update.version;
    else {
        for (const auto &item : m_current->objects) {
            if (!merged.contains({item.kind, item.name}))
                recordDeletion(item, update.version);
        }
    }
    std::vector<stored_object> objects;
    std::ranges::transform(
        merged, std::back_inserter(objects), [](auto &item) { return std::move(item.second); });
    m_current = buildConfig(update.version, std::move(objects));
    return true;
}

config_update config_history::updateSince(std::uint64_t have) const
{
    config_update update{.version = version()};
    if (!m_current)
        return update;
    if (have == 0 || have < m_oldestBaseVersion) {
        update.objects = m_current->objects;
        return update;
    }
    update.since = have;
    const auto isNewer = [&](const stored_object &item) { return item.version > have; };
    std::ranges::copy_if(m_current->objects, std::back_inserter(update.objects), isNewer);
    for (const auto &item : m_deletions) {
        const bool back = std::ranges::any_of(update.objects, [&](const stored_object &each) {
            return each.kind == item.kind && each.name == item.name;
        });
        if (isNewer(item) && !back)
            update.objects.push_back(item);
    }
    return update;
}

} // namespace toucan
