#include <algorithm>
#include <array>
#include <coap3/coap.h>
#include <memory>
#include <mutex>
#include <numeric>
#include <toucan/coap.h>

namespace toucan::coap {
namespace {

constexpr std::uint8_t protocolVersion = 1;
constexpr std::uint8_t payloadMarker = 0xff;
constexpr std::size_t maxTokenBytes = 8;
constexpr std::size_t maxNumberBytes = 8;
constexpr std::size_t headerSize = 4;

struct pdu_deleter
{
    void operator()(coap_pdu_t *pdu) const { coap_delete_pdu(pdu); }
};

void startLibrary()
{
    static std::once_flag started;
    std::call_once(started, [] {
        coap_startup();
        coap_set_log_level(LOG_EMERG);
    });
}

void readOptions(const coap_pdu_t *pdu, message &out)
{
    coap_opt_iterator_t iterator;
    coap_option_iterator_init(pdu, &iterator, COAP_OPT_ALL);
    while (const coap_opt_t *found = coap_option_next(&iterator)) {
        const auto *value = coap_opt_value(found);
        out.options.push_back({.number = static_cast<option_number>(iterator.number),
            .value = byte_buffer(value, value + coap_opt_length(found))});
    }
}

} // namespace

bool isIdempotent(code method)
{
    return method != code::post && method != code::patch;
}

const option *message::find(option_number number) const
{
    const auto found = std::ranges::find(options, number, &option::number);
    return found == options.end() ? nullptr : &*found;
}

std::optional<std::uint64_t> message::number(option_number number) const
{
    const auto *found = find(number);
    if (!found || found->value.size() > maxNumberBytes)
        return std::nullopt;
    return std::accumulate(found->value.begin(), found->value.end(), std::uint64_t{0},
        [](std::uint64_t sum, std::uint8_t byte) { return (sum << 8U) | byte; });
}

void message::add(option_number number, byte_view value)
{
    const auto position = std::ranges::upper_bound(options, number, {}, &option::number);
    options.insert(position, {.number = number, .value = byte_buffer(value.begin(), value.end())});
}

void message::addNumber(option_number number, std::uint64_t value)
{
    byte_buffer bytes;
    for (; value != 0; value >>= 8U)
        bytes.insert(bytes.begin(), static_cast<std::uint8_t>(value));
    add(number, bytes);
}

void message::addText(option_number number, std::string_view value)
{
    add(number, byte_view(reinterpret_cast<const std::uint8_t *>(value.data()), value.size()));
}

std::string message::path() const
{
    std::string joined;
    for (const auto &item : options) {
        if (item.number != option_number::uri_path)
            continue;
        if (!joined.empty())
            joined += '/';
        joined.append(item.value.begin(), item.value.end());
    }
    return joined;
}

bool message::isRequest() const
{
    const auto value = static_cast<unsigned>(messageCode);
    return value != 0 && (value >> 5U) == 0;
}

bool message::isResponse() const
{
    const auto codeClass = static_cast<unsigned>(messageCode) >> 5U;
    return codeClass >= 2 && codeClass <= 5;
}

block block::decode(std::uint64_t value)
{
    return {.number = static_cast<std::uint32_t>(value >> 4U),
        .more = (value & 8U) != 0,
        .sizeExponent = static_cast<std::uint8_t>(value & 7U)};
}

result<message> parse(byte_view datagram)
{
    startLibrary();
    const std::unique_ptr<coap_pdu_t, pdu_deleter> pdu(
        coap_pdu_init(COAP_MESSAGE_CON, COAP_EMPTY_CODE, 0, datagram.size()));
    if (!pdu || datagram.size() < headerSize
        || coap_pdu_parse(COAP_PROTO_UDP, datagram.data(), datagram.size(), pdu.get()) == 0)
        return error{error_kind::bad_request, "not a CoAP message"};
    message out;
    out.messageType = static_cast<type>(coap_pdu_get_type(pdu.get()));
    out.messageCode = static_cast<code>(coap_pdu_get_code(pdu.get()));
    out.id = static_cast<std::uint16_t>(coap_pdu_get_mid(pdu.get()));
    const auto token = coap_pdu_get_token(pdu.get());
    out.token.assign(token.s, token.s + token.length);
    readOptions(pdu.get(), out);
    std::size_t length = 0;
    const std::uint8_t *data = nullptr;
    if (coap_get_data(pdu.get(), &length, &data) != 0)
        out.payload.assign(data, data + length);
    return out;
}

byte_buffer serialize(const message &value)
{
    const auto tokenSize = std::min(value.token.size(), maxTokenBytes);
    byte_buffer out{static_cast<std::uint8_t>((protocolVersion << 6U)
                        | (static_cast<unsigned>(value.messageType) << 4U) | tokenSize),
        static_cast<std::uint8_t>(value.messageCode), static_cast<std::uint8_t>(value.id >> 8U),
        static_cast<std::uint8_t>(value.id)};
    out.insert(out.end(), value.token.begin(),
        value.token.begin() + static_cast<std::ptrdiff_t>(tokenSize));
    std::uint16_t previous = 0;
    for (const auto &item : value.options) {
        constexpr std::size_t optionOverhead = 5;
        const auto number = static_cast<std::uint16_t>(item.number);
        const auto start = out.size();
        out.resize(start + optionOverhead + item.value.size());
        const auto written = coap_opt_encode(out.data() + start, out.size() - start,
            static_cast<std::uint16_t>(number - previous), item.value.data(), item.value.size());
        out.resize(start + written);
        previous = number;
    }
    if (!value.payload.empty()) {
        out.push_back(payloadMarker);
        out.insert(out.end(), value.payload.begin(), value.payload.end());
    }
    return out;
}

message responseTo(const message &request, code responseCode, std::uint16_t id)
{
    const bool confirmable = request.messageType == type::confirmable;
    message response;
    response.messageType = confirmable ? type::acknowledgement : type::non_confirmable;
    response.messageCode = responseCode;
    response.id = confirmable ? request.id : id;
    response.token = request.token;
    return response;
}

} // namespace toucan::coap
