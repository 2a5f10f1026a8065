#include <cbor.h>
#include <toucan/message_cbor.h>
#include <toucan/ranking.h>
#include <toucan/relay_packet.h>

namespace toucan {
namespace {

// A header is a flat CBOR array of numbers: the fixed fields, then the candidates.
constexpr std::size_t fixedFields = 12;
constexpr std::size_t maxFields = fixedFields + maxHeaderCandidates;
constexpr std::uint8_t cborArrayBase = 0x80;
constexpr std::uint64_t serviceTagMask = 0xffffffff;

std::uint64_t packEndpoint(const endpoint &value)
{
    return (std::uint64_t{value.ip} << 16U) | value.port;
}

endpoint unpackEndpoint(std::uint64_t value)
{
    return {
        .ip = static_cast<std::uint32_t>(value >> 16U), .port = static_cast<std::uint16_t>(value)};
}

using number_list = boost::container::static_vector<std::uint64_t, maxFields>;

cbor_callbacks numberCallbacks()
{
    cbor_callbacks callbacks = cbor_empty_callbacks;
    callbacks.uint8 = [](void *context, std::uint8_t value) {
        static_cast<number_list *>(context)->push_back(value);
    };
    callbacks.uint16 = [](void *context, std::uint16_t value) {
        static_cast<number_list *>(context)->push_back(value);
    };
    callbacks.uint32 = [](void *context, std::uint32_t value) {
        static_cast<number_list *>(context)->push_back(value);
    };
    callbacks.uint64 = [](void *context, std::uint64_t value) {
        static_cast<number_list *>(context)->push_back(value);
    };
    return callbacks;
}

} // namespace

std::uint64_t serviceTagOf(std::string_view service)
{
    return hashText(service) & serviceTagMask;
}

bool isRelayPacket(byte_view datagram)
{
    return datagram.size() > 1 && datagram[0] >= cborArrayBase + fixedFields
        && datagram[0] <= cborArrayBase + maxFields && datagram[1] < message_cbor::firstMessageType;
}

std::size_t encodeRelayHeader(const relay_header &header, std::span<std::uint8_t> out)
{
    std::size_t size
        = cbor_encode_array_start(fixedFields + header.candidates.size(), out.data(), out.size());
    const auto append = [&](std::uint64_t value) {
        size += cbor_encode_uint(value, out.data() + size, out.size() - size);
    };
    append(static_cast<std::uint64_t>(header.kind));
    append(packPoint(header.point));
    append(packEndpoint(header.entry));
    append(header.serviceTag);
    append(header.search);
    append(header.inconclusive ? 1 : 0);
    append(header.ageMs);
    append(header.objectiveMs);
    append(header.timeLimitMs);
    append(header.priority);
    append(header.shortestWaitMs);
    append(packEndpoint(header.shortestWaitAt));
    for (const auto &candidate : header.candidates)
        append(packEndpoint(candidate));
    return size;
}

std::optional<relay_packet> decodeRelayPacket(std::span<std::uint8_t> datagram)
{
    static const cbor_callbacks callbacks = numberCallbacks();
    if (!isRelayPacket(datagram))
        return std::nullopt;
    const std::size_t expected = datagram[0] - cborArrayBase;
    number_list numbers;
    std::size_t offset = 1;
    while (numbers.size() < expected) {
        const auto before = numbers.size();
        const auto step = cbor_stream_decode(
            datagram.data() + offset, datagram.size() - offset, &callbacks, &numbers);
        if (step.status != CBOR_DECODER_FINISHED || numbers.size() == before)
            return std::nullopt;
        offset += step.read;
    }
    if (numbers[0] < static_cast<std::uint64_t>(relay_kind::opening)
        || numbers[0] > static_cast<std::uint64_t>(relay_kind::not_found))
        return std::nullopt;
    relay_packet packet{.header = {.kind = static_cast<relay_kind>(numbers[0]),
                            .point = unpackPoint(numbers[1]),
                            .entry = unpackEndpoint(numbers[2]),
                            .serviceTag = numbers[3],
                            .search = numbers[4],
                            .inconclusive = numbers[5] != 0,
                            .ageMs = numbers[6],
                            .objectiveMs = numbers[7],
                            .timeLimitMs = numbers[8],
                            .priority = numbers[9],
                            .shortestWaitMs = numbers[10],
                            .shortestWaitAt = unpackEndpoint(numbers[11])},
        .bytes = datagram.subspan(offset)};
    for (std::size_t i = fixedFields; i < numbers.size(); ++i)
        packet.header.candidates.push_back(unpackEndpoint(numbers[i]));
    return packet;
}

byte_buffer encodeRelayMessage(const relay_message &message)
{
    return message_cbor::encodeEnvelope(message);
}

result<relay_message> decodeRelayMessage(byte_view datagram)
{
    return message_cbor::decodeEnvelope<relay_message>(datagram);
}

} // namespace toucan
