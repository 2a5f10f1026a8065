#include <array>
#include <cbor.h>
#include <toucan/message_cbor.h>
#include <toucan/peer_message.h>

namespace toucan {
namespace {

constexpr std::uint8_t cborArrayBase = 0x80;
constexpr std::size_t headerFields = std::tuple_size_v<decltype(fields_of<packet_header>::table)>;

std::uint64_t packEndpoint(const endpoint &value)
{
    return (std::uint64_t{value.ip} << 16U) | value.port;
}

endpoint unpackEndpoint(std::uint64_t value)
{
    return {
        .ip = static_cast<std::uint32_t>(value >> 16U), .port = static_cast<std::uint16_t>(value)};
}

struct header_reader
{
    std::array<std::uint64_t, headerFields> values{};
    std::size_t count = 0;
    bool valid = true;

    void add(std::uint64_t value)
    {
        if (count == values.size()) {
            valid = false;
            return;
        }
        values[count++] = value;
    }
};

header_reader &readerOf(void *context)
{
    return *static_cast<header_reader *>(context);
}

cbor_callbacks headerCallbacks()
{
    cbor_callbacks callbacks = cbor_empty_callbacks;
    callbacks.uint8 = [](void *context, std::uint8_t value) { readerOf(context).add(value); };
    callbacks.uint16 = [](void *context, std::uint16_t value) { readerOf(context).add(value); };
    callbacks.uint32 = [](void *context, std::uint32_t value) { readerOf(context).add(value); };
    callbacks.uint64 = [](void *context, std::uint64_t value) { readerOf(context).add(value); };
    return callbacks;
}

} // namespace

bool isPacket(byte_view datagram)
{
    return datagram.size() > 1 && datagram[0] == cborArrayBase + headerFields
        && datagram[1] < message_cbor::firstMessageType;
}

std::size_t encodeHeader(const packet_header &header, std::span<std::uint8_t> out)
{
    std::size_t size = cbor_encode_array_start(headerFields, out.data(), out.size());
    const auto append = [&](std::uint64_t value) {
        size += cbor_encode_uint(value, out.data() + size, out.size() - size);
    };
    forEachField<packet_header>([&](const auto &spec) {
        const auto &value = header.*spec.member;
        if constexpr (std::is_same_v<std::decay_t<decltype(value)>, endpoint>)
            append(packEndpoint(value));
        else
            append(value);
    });
    return size;
}

std::optional<decoded_packet> decodePacket(byte_view datagram)
{
    static const cbor_callbacks callbacks = headerCallbacks();
    if (!isPacket(datagram))
        return std::nullopt;
    header_reader reader;
    std::size_t offset = 1;
    while (reader.count < headerFields) {
        const auto before = reader.count;
        const auto step = cbor_stream_decode(
            datagram.data() + offset, datagram.size() - offset, &callbacks, &reader);
        if (step.status != CBOR_DECODER_FINISHED || reader.count == before)
            return std::nullopt;
        offset += step.read;
    }
    decoded_packet packet;
    std::size_t index = 0;
    forEachField<packet_header>([&](const auto &spec) {
        auto &value = packet.header.*spec.member;
        if constexpr (std::is_same_v<std::decay_t<decltype(value)>, endpoint>)
            value = unpackEndpoint(reader.values[index]);
        else
            value = reader.values[index];
        ++index;
    });
    packet.payload = datagram.subspan(offset);
    return packet;
}

byte_buffer encodePacket(const packet_header &header, byte_view payload)
{
    byte_buffer datagram(maxHeaderBytes + payload.size());
    const auto size = encodeHeader(header, datagram);
    std::ranges::copy(payload, datagram.begin() + static_cast<std::ptrdiff_t>(size));
    datagram.resize(size + payload.size());
    return datagram;
}

byte_buffer encodeMessage(const peer_message &message)
{
    return message_cbor::encodeEnvelope(message);
}

result<peer_message> decodeMessage(byte_view datagram)
{
    return message_cbor::decodeEnvelope<peer_message>(datagram);
}

} // namespace toucan
