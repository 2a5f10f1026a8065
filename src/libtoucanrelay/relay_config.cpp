#include <algorithm>
#include <numeric>
#include <toucan/relay_config.h>

namespace toucan {

const std::string &route_rule::serviceFor(std::uint64_t flowHash) const
{
    const auto total = std::accumulate(shares.begin(), shares.end(), std::uint64_t{0},
        [](std::uint64_t sum, const route_share &share) { return sum + share.weight; });
    auto offset = total == 0 ? 0 : flowHash % total;
    for (const auto &share : shares) {
        if (offset < share.weight)
            return share.service;
        offset -= share.weight;
    }
    return shares.front().service;
}

const route_rule *relay_config::routeAt(const endpoint &address) const
{
    const auto found = routeIndex.find(address);
    return found == routeIndex.end() ? nullptr : &routes[found->second];
}

const service_rule *relay_config::serviceNamed(std::string_view name) const
{
    const auto found = std::ranges::find(services, name, &service_rule::name);
    return found == services.end() ? nullptr : &*found;
}

config_stamp stampOf(const relay_config_ptr &config)
{
    return config ? config->stamp : config_stamp{};
}

bool domains_out::contains(std::string_view domain) const
{
    return std::ranges::binary_search(names, domain);
}

} // namespace toucan
