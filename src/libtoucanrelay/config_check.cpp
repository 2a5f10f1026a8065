#include <algorithm>
#include <array>
#include <set>
#include <toucan/config_check.h>

namespace toucan {
namespace {

using std::chrono::milliseconds;

std::string textOf(milliseconds time)
{
    return std::to_string(time.count()) + " ms";
}

std::string textOf(const std::vector<route_share> &shares)
{
    std::string text;
    for (const auto &share : shares) {
        text += (text.empty() ? "" : ", ") + share.service;
        if (shares.size() > 1)
            text += " (weight " + std::to_string(share.weight) + ')';
    }
    return text;
}

std::string textOf(request_kind kind)
{
    constexpr std::array<std::string_view, 5> names{
        "unknown", "idempotent", "non-idempotent", "download", "upload"};
    return std::string(names.at(static_cast<std::size_t>(kind)));
}

std::string textOf(double value)
{
    auto text = std::to_string(value);
    text.erase(text.find_last_not_of('0') + 1);
    return text.ends_with('.') ? text + '0' : text;
}

/// A field of a route or service that is compared, as text.
template <class T>
struct compared_field
{
    std::string_view name;
    std::string (*read)(const T &item);
};

constexpr std::array routeFields{
    compared_field<route_rule>{"address", [](const auto &item) { return toString(item.address); }},
    compared_field<route_rule>{"services", [](const auto &item) { return textOf(item.shares); }},
    compared_field<route_rule>{
        "objective", [](const auto &item) { return textOf(item.objective); }},
    compared_field<route_rule>{
        "time limit", [](const auto &item) { return textOf(item.timeLimit); }},
    compared_field<route_rule>{
        "priority", [](const auto &item) { return std::to_string(item.priority); }},
    compared_field<route_rule>{"kind", [](const auto &item) { return textOf(item.kind); }},
};

constexpr std::array serviceFields{
    compared_field<service_rule>{
        "flows of a target", [](const auto &item) { return std::to_string(item.flows); }},
    compared_field<service_rule>{
        "openings of a cold target", [](const auto &item) { return textOf(item.coldRate); }},
};

template <class T>
const T *findNamed(const std::vector<T> &items, std::string_view name)
{
    const auto found = std::ranges::find(items, name, &T::name);
    return found == items.end() ? nullptr : &*found;
}

template <class T, std::size_t N>
void compareItems(std::string_view kind, const std::vector<T> &items, const std::vector<T> &before,
    const std::array<compared_field<T>, N> &fields, std::vector<config_finding> &findings)
{
    const auto add = [&](const T &item, const std::string &text) {
        findings.push_back({.kind = finding_kind::difference,
            .where = std::string(kind) + ' ' + item.name,
            .text = text});
    };
    for (const auto &item : items) {
        const auto *const known = findNamed(before, item.name);
        if (!known) {
            add(item, "added");
            continue;
        }
        for (const auto &field : fields) {
            if (field.read(*known) != field.read(item))
                add(item,
                    std::string(field.name) + " changes from " + field.read(*known) + " to "
                        + field.read(item));
        }
    }
    for (const auto &item : before) {
        if (!findNamed(items, item.name))
            add(item, "removed");
    }
}

template <class T>
void checkNames(
    std::string_view kind, const std::vector<T> &items, std::vector<config_finding> &findings)
{
    std::set<std::string_view> names;
    for (const auto &item : items) {
        if (!names.insert(item.name).second)
            findings.push_back({.kind = finding_kind::contradiction,
                .where = std::string(kind) + ' ' + item.name,
                .text = "the name is used twice"});
    }
}

void checkRoute(
    const relay_config &config, const route_rule &route, std::vector<config_finding> &findings)
{
    const auto add = [&](finding_kind kind, std::string text) {
        findings.push_back({kind, "route " + route.name, std::move(text)});
    };
    const auto *const used = config.routeAt(route.address);
    if (used && used != &route)
        add(finding_kind::unmatched,
            "route " + used->name + " has the same address " + toString(route.address)
                + " and gets all of its flows");
    for (const auto &share : route.shares) {
        if (!config.serviceNamed(share.service))
            add(finding_kind::contradiction, "service " + share.service + " is not declared");
    }
    const auto hasLimit = route.timeLimit > milliseconds(0);
    if (hasLimit && route.objective > route.timeLimit)
        add(finding_kind::contradiction,
            "callers give up after " + textOf(route.timeLimit) + ", before the objective of "
                + textOf(route.objective));
    if (hasLimit && config.idleTimeout > milliseconds(0) && route.timeLimit > config.idleTimeout)
        add(finding_kind::contradiction,
            "callers wait for " + textOf(route.timeLimit) + ", but flows may be dropped after "
                + textOf(config.idleTimeout) + " without a segment");
}

void checkService(
    const relay_config &config, const service_rule &service, std::vector<config_finding> &findings)
{
    const bool isUsed = std::ranges::any_of(config.routes, [&](const route_rule &route) {
        return config.routeAt(route.address) == &route
            && std::ranges::find(route.shares, service.name, &route_share::service)
            != route.shares.end();
    });
    if (!isUsed)
        findings.push_back({finding_kind::unmatched, "service " + service.name,
            "no route in use sends flows to it"});
    if (service.flows > 0 && service.coldRate > static_cast<double>(service.flows))
        findings.push_back({finding_kind::contradiction, "service " + service.name,
            "a cold target may take " + textOf(service.coldRate) + " openings a second, but holds "
                + std::to_string(service.flows) + " flows"});
}

} // namespace

std::string_view toString(finding_kind kind)
{
    constexpr std::array<std::string_view, 4> names{
        "error", "never matches", "contradiction", "changes"};
    return names.at(static_cast<std::size_t>(kind));
}

std::vector<config_finding> checkConfig(const relay_config &config)
{
    std::vector<config_finding> findings;
    std::ranges::transform(
        config.faults, std::back_inserter(findings), [](const std::string &fault) {
            return config_finding{finding_kind::unreadable, "configuration", fault};
        });
    checkNames("route", config.routes, findings);
    checkNames("service", config.services, findings);
    for (const auto &route : config.routes)
        checkRoute(config, route, findings);
    for (const auto &service : config.services)
        checkService(config, service, findings);
    return findings;
}

std::vector<config_finding> compareConfigs(const relay_config &config, const relay_config &inForce)
{
    std::vector<config_finding> findings;
    if (config.stamp.version <= inForce.stamp.version)
        findings.push_back({finding_kind::contradiction, "configuration",
            "its version " + std::to_string(config.stamp.version) + " is not higher than version "
                + std::to_string(inForce.stamp.version) + " in force"});
    compareItems("route", config.routes, inForce.routes, routeFields, findings);
    compareItems("service", config.services, inForce.services, serviceFields, findings);
    if (config.idleTimeout != inForce.idleTimeout)
        findings.push_back({finding_kind::difference, "configuration",
            "idle time of flows changes from " + textOf(inForce.idleTimeout) + " to "
                + textOf(config.idleTimeout)});
    return findings;
}

} // namespace toucan
