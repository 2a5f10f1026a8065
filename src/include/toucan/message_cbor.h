#pragma once

/// Peer messages as CBOR arrays of their fields in schema order. For compatibility between versions
/// of the programs, a reader ignores unknown trailing elements and leaves missing ones at their
/// defaults.

#include <nlohmann/json.hpp>
#include <stdexcept>
#include <toucan/error.h>
#include <toucan/fields.h>
#include <variant>

namespace toucan::message_cbor {

using json = nlohmann::json;

template <class T>
json toElement(const T &message);

template <class T>
void fromElement(const json &element, T &out);

inline json toElement(const endpoint &value)
{
    return (std::uint64_t{value.ip} << 16U) | value.port;
}

inline json toElement(const byte_buffer &value)
{
    return json::binary(value);
}

inline json toElement(const std::string &value)
{
    return value;
}

inline json toElement(std::uint64_t value)
{
    return value;
}

inline json toElement(bool value)
{
    return value;
}

template <class T>
json toElement(const std::vector<T> &values)
{
    json array = json::array();
    for (const auto &value : values)
        array.push_back(toElement(value));
    return array;
}

template <class T>
json toElement(const T &message)
{
    json array = json::array();
    forEachField<T>([&](const auto &spec) { array.push_back(toElement(message.*spec.member)); });
    return array;
}

inline void fromElement(const json &element, endpoint &out)
{
    const auto value = element.get<std::uint64_t>();
    out = {
        .ip = static_cast<std::uint32_t>(value >> 16U), .port = static_cast<std::uint16_t>(value)};
}

inline void fromElement(const json &element, byte_buffer &out)
{
    out = element.get_binary();
}

inline void fromElement(const json &element, std::string &out)
{
    out = element.get<std::string>();
}

inline void fromElement(const json &element, std::uint64_t &out)
{
    if (!element.is_number_unsigned())
        throw std::invalid_argument("expected an unsigned number");
    out = element.get<std::uint64_t>();
}

inline void fromElement(const json &element, bool &out)
{
    out = element.get<bool>();
}

template <class T>
void fromElement(const json &element, std::vector<T> &out)
{
    out.clear();
    for (const auto &item : element)
        fromElement(item, out.emplace_back());
}

template <class T>
void fromElement(const json &element, T &out)
{
    if (!element.is_array())
        throw std::invalid_argument("expected an array");
    std::size_t index = 0;
    forEachField<T>([&](const auto &spec) {
        if (index < element.size())
            fromElement(element[index], out.*spec.member);
        ++index;
    });
}

// The first element of a datagram distinguishes messages (this value or higher) from forwarded
// packets (packet_kind, from 1).
inline constexpr std::uint64_t firstMessageType = 16;

template <class V, std::size_t I = 0>
V readAlternative(std::size_t type, const json &body)
{
    if constexpr (I < std::variant_size_v<V>) {
        if (type != I)
            return readAlternative<V, I + 1>(type, body);
        std::variant_alternative_t<I, V> message;
        fromElement(body, message);
        return message;
    } else {
        throw std::invalid_argument("unknown message type");
    }
}

/// Encodes a message as a datagram: an array of its type and its body. The type is firstMessageType
/// plus the index of the alternative in the variant.
template <class V>
byte_buffer encodeEnvelope(const V &message)
{
    json envelope = json::array({firstMessageType + message.index()});
    std::visit([&](const auto &body) { envelope.push_back(toElement(body)); }, message);
    return json::to_cbor(envelope);
}

/// Decodes one of the messages of a variant; bad_request when it is malformed.
template <class V>
result<V> decodeEnvelope(byte_view datagram)
{
    try {
        const auto envelope = json::from_cbor(datagram.begin(), datagram.end());
        if (!envelope.is_array() || envelope.size() != 2)
            return error{error_kind::bad_request, "expected a message as an array of two elements"};
        std::uint64_t type = 0;
        fromElement(envelope[0], type);
        if (type < firstMessageType)
            return error{error_kind::bad_request, "unknown message type"};
        return readAlternative<V>(type - firstMessageType, envelope[1]);
    } catch (const std::exception &failure) {
        return error{error_kind::bad_request, failure.what()};
    }
}

} // namespace toucan::message_cbor
