#include <Poco/Net/HTTPClientSession.h>
#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>
#include <Poco/Net/NetException.h>
#include <Poco/StreamCopier.h>
#include <Poco/URI.h>
#include <toucan/platform_client.h>

namespace toucan {
namespace {

using Poco::Net::HTTPRequest;
using Poco::Net::HTTPResponse;
using json = nlohmann::json;

std::string objectPath(std::string_view kind, std::string_view name)
{
    std::string encoded;
    Poco::URI::encode(std::string(name), "/?#&", encoded);
    return "/v1/objects/" + std::string(kind) + '/' + encoded;
}

stored_object toObject(const json &value)
{
    return {.kind = value.at("kind").get<std::string>(),
        .name = value.at("name").get<std::string>(),
        .version = value.at("version").get<std::uint64_t>(),
        .body = value.at("body")};
}

result<object_list> toList(const std::string &text)
{
    try {
        const auto value = json::parse(text);
        object_list list{.version = value.at("version").get<std::uint64_t>()};
        for (const auto &item : value.at("objects"))
            list.objects.push_back(toObject(item));
        return list;
    } catch (const json::exception &failure) {
        return error{error_kind::platform_unavailable,
            std::string("the platform's answer is malformed: ") + failure.what()};
    }
}

error unexpectedStatus(int status, const std::string &body)
{
    return {error_kind::platform_unavailable,
        "the platform answered " + std::to_string(status) + ' ' + body};
}

} // namespace

platform_client::platform_client(const endpoint &address, std::chrono::milliseconds timeout)
    : m_address(address)
    , m_timeout(timeout)
{ }

result<platform_client::response> platform_client::call(const std::string &method,
    const std::string &path, const std::string &body, std::optional<std::uint64_t> expected,
    std::chrono::milliseconds timeout)
{
    bool sent = false;
    try {
        const auto text = toString(m_address);
        Poco::Net::HTTPClientSession session(text.substr(0, text.rfind(':')), m_address.port);
        const Poco::Timespan limit(timeout.count() * 1000);
        session.setTimeout(limit, limit, limit);
        HTTPRequest request(method, path, Poco::Net::HTTPMessage::HTTP_1_1);
        request.setKeepAlive(false);
        request.setContentType("application/json");
        request.setContentLength(static_cast<std::streamsize>(body.size()));
        if (expected && *expected == 0)
            request.set("If-None-Match", "*");
        else if (expected)
            request.set("If-Match", '"' + std::to_string(*expected) + '"');
        session.sendRequest(request) << body;
        sent = true;
        HTTPResponse answer;
        std::string answerBody;
        Poco::StreamCopier::copyToString(session.receiveResponse(answer), answerBody);
        if (answer.hasContentLength()
            && static_cast<std::size_t>(answer.getContentLength()) != answerBody.size())
            return error{error_kind::write_uncertain, "the platform's answer was cut short"};
        return response{static_cast<int>(answer.getStatus()), std::move(answerBody)};
    } catch (const Poco::Exception &failure) {
        return error{sent ? error_kind::write_uncertain : error_kind::platform_unavailable,
            toString(m_address) + ": " + failure.displayText()};
    }
}

result<object_list> platform_client::list()
{
    const auto outcome = call(HTTPRequest::HTTP_GET, "/v1/objects", {}, {}, m_timeout);
    const auto *answer = valueOf(outcome);
    if (!answer)
        return error{error_kind::platform_unavailable, errorOf(outcome)->detail};
    if (answer->status != HTTPResponse::HTTP_OK)
        return unexpectedStatus(answer->status, answer->body);
    return toList(answer->body);
}

result<stored_object> platform_client::get(std::string_view kind, std::string_view name)
{
    const auto outcome = call(HTTPRequest::HTTP_GET, objectPath(kind, name), {}, {}, m_timeout);
    const auto *answer = valueOf(outcome);
    if (!answer)
        return error{error_kind::platform_unavailable, errorOf(outcome)->detail};
    if (answer->status == HTTPResponse::HTTP_NOT_FOUND)
        return error{error_kind::not_found, std::string(kind) + '/' + std::string(name)};
    if (answer->status != HTTPResponse::HTTP_OK)
        return unexpectedStatus(answer->status, answer->body);
    try {
        return toObject(json::parse(answer->body));
    } catch (const json::exception &failure) {
        return error{error_kind::platform_unavailable,
            std::string("the platform's answer is malformed: ") + failure.what()};
    }
}

result<std::uint64_t> platform_client::write(const std::string &method, std::string_view kind,
    std::string_view name, const std::string &body, std::uint64_t expected)
{
    const auto outcome = call(method, objectPath(kind, name), body, expected, m_timeout);
    const auto *answer = valueOf(outcome);
    if (!answer)
        return *errorOf(outcome);
    const auto path = std::string(kind) + '/' + std::string(name);
    if (answer->status == HTTPResponse::HTTP_PRECONDITION_FAILED)
        return error{error_kind::conflict, path};
    if (answer->status == HTTPResponse::HTTP_NOT_FOUND)
        return error{error_kind::not_found, path};
    if (answer->status != HTTPResponse::HTTP_OK)
        return unexpectedStatus(answer->status, answer->body);
    const auto value = json::parse(answer->body, nullptr, false);
    if (!value.is_object() || !value.contains("version"))
        return error{error_kind::write_uncertain, "the platform's answer is malformed"};
    return value["version"].get<std::uint64_t>();
}

result<std::uint64_t> platform_client::put(
    std::string_view kind, std::string_view name, const json &body, std::uint64_t expected)
{
    return write(HTTPRequest::HTTP_PUT, kind, name, body.dump(), expected);
}

result<std::uint64_t> platform_client::remove(
    std::string_view kind, std::string_view name, std::uint64_t expected)
{
    return write(HTTPRequest::HTTP_DELETE, kind, name, {}, expected);
}

result<object_list> platform_client::changesAfter(
    std::uint64_t version, std::chrono::milliseconds wait)
{
    const auto path = "/v1/changes?after=" + std::to_string(version)
        + "&wait_ms=" + std::to_string(wait.count());
    const auto outcome = call(HTTPRequest::HTTP_GET, path, {}, {}, m_timeout + wait);
    const auto *answer = valueOf(outcome);
    if (!answer)
        return error{error_kind::platform_unavailable, errorOf(outcome)->detail};
    if (answer->status == HTTPResponse::HTTP_GONE)
        return error{error_kind::not_found,
            "the changes since version " + std::to_string(version) + " are gone"};
    if (answer->status != HTTPResponse::HTTP_OK)
        return unexpectedStatus(answer->status, answer->body);
    return toList(answer->body);
}

} // namespace toucan
