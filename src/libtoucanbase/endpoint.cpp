#include <Poco/Net/IPAddress.h>
#include <charconv>
#include <toucan/endpoint.h>

namespace toucan {

std::optional<endpoint> parseEndpoint(std::string_view text)
{
    const auto colon = text.rfind(':');
    if (colon == std::string_view::npos)
        return std::nullopt;
    Poco::Net::IPAddress address;
    if (!Poco::Net::IPAddress::tryParse(std::string(text.substr(0, colon)), address)
        || address.family() != Poco::Net::IPAddress::IPv4)
        return std::nullopt;
    const auto digits = text.substr(colon + 1);
    std::uint16_t port = 0;
    const auto [end, status] = std::from_chars(digits.data(), digits.data() + digits.size(), port);
    if (status != std::errc() || end != digits.data() + digits.size() || port == 0)
        return std::nullopt;
    const auto *bytes = static_cast<const std::uint8_t *>(address.addr());
    const auto ip = (std::uint32_t{bytes[0]} << 24U) | (std::uint32_t{bytes[1]} << 16U)
        | (std::uint32_t{bytes[2]} << 8U) | bytes[3];
    return endpoint{.ip = ip, .port = port};
}

std::string toString(const endpoint &value)
{
    const auto part = [&](unsigned shift) { return std::to_string((value.ip >> shift) & 0xffU); };
    return part(24) + '.' + part(16) + '.' + part(8) + '.' + part(0) + ':'
        + std::to_string(value.port);
}

} // namespace toucan
