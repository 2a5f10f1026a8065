#pragma once

/// Times to other failure domains, learned from round trips of an entry's own messages. Pure
/// functions of what is passed in; used by one thread.
///
/// Queues on the way and processes that are not scheduled make round trips longer and never
/// shorter, so a low quantile of the newest ones is the distance.

#include <array>
#include <chrono>
#include <map>
#include <optional>
#include <string>
#include <toucan/endpoint.h>

namespace toucan {

/// Round trips of one entry by failure domain.
class domain_distances
{
public:
    /// `home`: the entry's own failure domain.
    explicit domain_distances(std::string home)
        : m_home(std::move(home))
    { }

    /// Records a round trip to a process of a domain.
    void record(std::string_view domain, instant roundTrip);
    /// Round trip to a domain in ms; nullopt before some were measured.
    std::optional<double> roundTripMs(std::string_view domain) const;
    /// Round trips to all domains, microseconds.
    std::map<std::string, std::uint64_t> roundTrips() const;
    /// Round trip beyond the one inside the own domain, ms; nullopt while either is unknown.
    std::optional<double> extraMs(std::string_view domain) const;

private:
    static constexpr std::size_t sampleCount = 32;
    struct samples
    {
        std::array<instant, sampleCount> times{}; ///< The newest, in no order.
        std::size_t recorded = 0;
    };

    std::string m_home;
    std::map<std::string, samples, std::less<>> m_domains;
};

} // namespace toucan
