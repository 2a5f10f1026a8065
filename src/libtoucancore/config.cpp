#include <algorithm>
#include <map>
#include <toucan/config.h>
#include <toucan/ranking.h>
#include <toucan/record_json.h>

namespace toucan {
namespace {

template <class T>
using record_map = std::map<std::string, T>;

// Reads all objects of one kind; invalid ones are added to `faults`.
template <class T>
record_map<T> readKind(
    const config_snapshot &config, std::string_view kind, std::vector<std::string> &faults)
{
    record_map<T> records;
    for (const auto &object : config.objects) {
        if (object.kind != kind)
            continue;
        const auto outcome = record_json::read<T>(object.body);
        if (const auto *record = valueOf(outcome))
            records.emplace(object.name, *record);
        else
            faults.push_back(object.kind + '/' + object.name + ": " + errorOf(outcome)->detail);
    }
    return records;
}

std::uint64_t hashList(const service_view &service)
{
    std::string text;
    for (const auto &item : service.members) {
        if (item.isListed())
            text += item.name + '\0' + item.domain + '\n';
    }
    return hashText(text);
}

member makeMember(const std::string &name, const member_record &record)
{
    return {.name = name,
        .nameHash = hashText(name),
        .domain = record.domain,
        .data = record.data,
        .control = record.control,
        .boot = record.boot,
        .firstBoot = record.firstBoot};
}

} // namespace

const member *service_view::find(std::string_view memberName) const
{
    const auto found = std::ranges::lower_bound(members, memberName, {}, &member::name);
    return found != members.end() && found->name == memberName ? &*found : nullptr;
}

const service_view *config_snapshot::serviceAt(const endpoint &address) const
{
    const auto found = serviceIndex.find(address);
    return found == serviceIndex.end() ? nullptr : &services[found->second];
}

const service_view *config_snapshot::serviceNamed(std::string_view name) const
{
    const auto found = std::ranges::lower_bound(services, name, {}, &service_view::name);
    return found != services.end() && found->name == name ? &*found : nullptr;
}

bool config_snapshot::isOut(std::string_view domain) const
{
    return std::ranges::binary_search(domainsOut, domain);
}

config_ptr buildConfig(std::uint64_t version, std::vector<stored_object> objects)
{
    boost::intrusive_ptr<config_snapshot> config(new config_snapshot);
    config->version = version;
    config->objects = std::move(objects);
    auto &faults = config->faults;
    for (const auto &[name, record] :
        readKind<domain_record>(*config, object_kind::domain, faults)) {
        if (record.state == "out")
            config->domainsOut.push_back(name);
    }
    const auto standings = readKind<standing_record>(*config, object_kind::standing, faults);
    const auto stops = readKind<stop_record>(*config, object_kind::stop, faults);
    const auto members = readKind<member_record>(*config, object_kind::member, faults);
    for (const auto &[name, record] :
        readKind<service_record>(*config, object_kind::service, faults)) {
        const auto [it, added]
            = config->serviceIndex.emplace(record.address, config->services.size());
        if (!added) {
            faults.push_back("service/" + name + ": address " + toString(record.address)
                + " is used by another service");
            continue;
        }
        service_view &view
            = config->services.emplace_back(service_view{.name = name, .record = record});
        for (const auto &[memberName, announced] : members) {
            if (announced.service != name)
                continue;
            member item = makeMember(memberName, announced);
            const auto standing = standings.find(memberName);
            item.out = config->isOut(item.domain);
            item.stopping = stops.contains(memberName);
            item.standby = standing != standings.end() && standing->second.state == "standby";
            item.slots = standing != standings.end() && standing->second.slots > 0
                ? standing->second.slots
                : record.slots;
            view.members.push_back(std::move(item));
        }
        view.listHash = hashList(view);
    }
    for (const auto &[name, record] : readKind<entry_record>(*config, object_kind::entry, faults))
        config->entries.push_back(
            {name, hashText(name), record.domain, record.data, record.control});
    return config;
}

} // namespace toucan
