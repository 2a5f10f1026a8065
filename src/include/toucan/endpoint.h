#pragma once

/// Basic types of all other headers: IPv4 endpoints, byte buffers and time.

#include <chrono>
#include <cstdint>
#include <functional>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace toucan {

/// Owned bytes.
using byte_buffer = std::vector<std::uint8_t>;

/// A view of bytes that it does not own.
using byte_view = std::span<const std::uint8_t>;

/// Monotonic time since an arbitrary start. Code that decides receives the time as an argument.
using instant = std::chrono::microseconds;

/// An IPv4 address and port in host byte order. {0, 0} means "none".
struct endpoint
{
    std::uint32_t ip{};
    std::uint16_t port{};
    auto operator<=>(const endpoint &) const = default;
    /// True unless the endpoint is {0, 0}.
    explicit operator bool() const { return ip != 0 || port != 0; }
};

/// Reads "127.0.0.1:5683"; nullopt when the text is anything else.
std::optional<endpoint> parseEndpoint(std::string_view text);

/// Writes "127.0.0.1:5683".
std::string toString(const endpoint &value);

/// A flow: a caller's address towards a service address.
struct flow_key
{
    endpoint caller{};
    endpoint service{};
    auto operator<=>(const flow_key &) const = default;
};

} // namespace toucan

template <>
struct std::hash<toucan::endpoint>
{
    std::size_t operator()(const toucan::endpoint &value) const noexcept
    {
        return std::hash<std::uint64_t>()((std::uint64_t{value.ip} << 16U) | value.port);
    }
};

template <>
struct std::hash<toucan::flow_key>
{
    std::size_t operator()(const toucan::flow_key &value) const noexcept
    {
        constexpr std::size_t mix = 0x9e3779b97f4a7c15ULL;
        return std::hash<toucan::endpoint>()(value.caller) * mix
            ^ std::hash<toucan::endpoint>()(value.service);
    }
};
