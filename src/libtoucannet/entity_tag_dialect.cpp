#include <Poco/Net/HTTPRequest.h>
#include <Poco/URI.h>
#include <toucan/platform_client.h>

namespace toucan {
namespace {

using Poco::Net::HTTPRequest;
using json = nlohmann::json;

constexpr int ok = 200;
constexpr int missing = 404;
constexpr int historyGone = 410;
constexpr int preconditionFailed = 412;

std::string objectPath(std::string_view kind, std::string_view name)
{
    std::string encoded;
    Poco::URI::encode(std::string(name), "/?#&", encoded);
    return "/v1/objects/" + std::string(kind) + '/' + encoded;
}

class entity_tag_dialect : public platform_dialect
{
public:
    platform_request list(std::string_view, std::string_view, bool) const override
    {
        return {.method = HTTPRequest::HTTP_GET, .path = "/v1/objects"};
    }

    platform_request watch(
        std::string_view, std::uint64_t version, std::chrono::milliseconds wait) const override
    {
        return {.method = HTTPRequest::HTTP_GET,
            .path = "/v1/changes?after=" + std::to_string(version)
                + "&wait_ms=" + std::to_string(wait.count())};
    }

    platform_request get(std::string_view kind, std::string_view name) const override
    {
        return {.method = HTTPRequest::HTTP_GET, .path = objectPath(kind, name)};
    }

    platform_request put(std::string_view kind, std::string_view name, const json &body,
        std::uint64_t expected) const override
    {
        return conditional(HTTPRequest::HTTP_PUT, objectPath(kind, name), body.dump(), expected);
    }

    platform_request remove(
        std::string_view kind, std::string_view name, std::uint64_t expected) const override
    {
        return conditional(HTTPRequest::HTTP_DELETE, objectPath(kind, name), {}, expected);
    }

    platform_status status(int httpStatus) const override
    {
        switch (httpStatus) {
        case ok:
            return platform_status::done;
        case missing:
            return platform_status::not_found;
        case historyGone:
            return platform_status::gone;
        case preconditionFailed:
            return platform_status::conflict;
        default:
            return platform_status::unavailable;
        }
    }

    object_list readList(std::string_view kind, const json &answer) const override
    {
        object_list list{.version = answer.at("version").get<std::uint64_t>()};
        for (const auto &item : answer.at("objects"))
            list.objects.push_back(readObject(kind, item));
        return list;
    }

    object_list readChanges(std::string_view kind, const json &answer) const override
    {
        return readList(kind, answer);
    }

    stored_object readObject(std::string_view, const json &answer) const override
    {
        return {.kind = answer.at("kind").get<std::string>(),
            .name = answer.at("name").get<std::string>(),
            .version = answer.at("version").get<std::uint64_t>(),
            .body = answer.at("body")};
    }

    std::uint64_t readVersion(const json &answer) const override
    {
        return answer.at("version").get<std::uint64_t>();
    }

private:
    static platform_request conditional(
        std::string method, std::string path, std::string body, std::uint64_t expected)
    {
        platform_request request{
            .method = std::move(method), .path = std::move(path), .body = std::move(body)};
        request.conditionName = expected == 0 ? "If-None-Match" : "If-Match";
        request.conditionValue = expected == 0 ? "*" : '"' + std::to_string(expected) + '"';
        return request;
    }
};

} // namespace

const platform_dialect &entityTagDialect()
{
    static const entity_tag_dialect dialect;
    return dialect;
}

} // namespace toucan
