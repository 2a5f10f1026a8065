#pragma once

/// CoAP messages (RFC 7252) as values, parsed by libcoap. Safe for malicious input.

#include <optional>
#include <string>
#include <toucan/endpoint.h>
#include <toucan/error.h>

namespace toucan::coap {

/// Message type.
enum class type : std::uint8_t { confirmable, non_confirmable, acknowledgement, reset };

/// Request and response codes in use, as class * 32 + detail.
enum class code : std::uint8_t {
    empty = 0x00,
    get = 0x01,
    post = 0x02,
    put = 0x03,
    remove = 0x04,
    fetch = 0x05,
    patch = 0x06,
    created = 0x41,
    changed = 0x44,
    content = 0x45,
    continue_upload = 0x5f,
    bad_request = 0x80,
    not_found = 0x84,
    incomplete = 0x88,
    too_large = 0x8d,
    service_unavailable = 0xa3,
    gateway_timeout = 0xa4,
};

/// True for idempotent methods (RFC 7252 section 5.1, RFC 8132).
bool isIdempotent(code method);

/// Option numbers in use.
enum class option_number : std::uint16_t {
    observe = 6,
    uri_path = 11,
    max_age = 14,
    block2 = 23,
    block1 = 27,
    request_tag = 292,
    /// Experimental: time allowed for the request, in milliseconds.
    deadline = 65001,
    /// Experimental: number of the caller's attempt under one Request-Tag, from 0.
    attempt = 65005,
};

/// One option.
struct option
{
    option_number number{};
    byte_buffer value;
};

/// One message. Options are in ascending order of their numbers.
struct message
{
    type messageType = type::confirmable;
    code messageCode = code::empty;
    std::uint16_t id = 0;
    byte_buffer token;
    std::vector<option> options;
    byte_buffer payload;

    /// First option with the number, or nullptr.
    const option *find(option_number number) const;
    /// Value of an unsigned option, or nullopt when it is absent or too long.
    std::optional<std::uint64_t> number(option_number number) const;
    /// Adds an option in order.
    void add(option_number number, byte_view value);
    /// Adds an unsigned option in its shortest form.
    void addNumber(option_number number, std::uint64_t value);
    /// Adds a text option.
    void addText(option_number number, std::string_view value);
    /// Uri-Path segments joined by '/', without a leading one.
    std::string path() const;
    /// True for a request code.
    bool isRequest() const;
    /// True for a response code.
    bool isResponse() const;
};

/// A Block1 or Block2 option (RFC 7959).
struct block
{
    std::uint32_t number = 0; ///< Index of the block.
    bool more = false; ///< Whether further blocks follow.
    std::uint8_t sizeExponent = 6; ///< Block size is 2^(4 + sizeExponent) bytes.

    /// Bytes in a full block.
    std::size_t size() const { return std::size_t{1} << (4U + sizeExponent); }
    /// As an option value.
    std::uint64_t encoded() const
    {
        return (std::uint64_t{number} << 4U) | (more ? 8U : 0U) | sizeExponent;
    }
    /// From an option value.
    static block decode(std::uint64_t value);
};

/// Parses a UDP datagram; bad_request when it is not a CoAP message.
result<message> parse(byte_view datagram);

/// Serializes for UDP.
byte_buffer serialize(const message &value);

/// A response to `request` with its token: an acknowledgement with its id if it is confirmable,
/// otherwise a non-confirmable message with `id`.
message responseTo(const message &request, code responseCode, std::uint16_t id);

} // namespace toucan::coap
