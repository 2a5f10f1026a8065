#include <algorithm>
#include <array>
#include <toucan/error.h>

namespace toucan {
namespace {

constexpr std::uint8_t coapBadRequest = 0x80; // 4.00
constexpr std::uint8_t coapNotFound = 0x84; // 4.04
constexpr std::uint8_t coapUnavailable = 0xa3; // 5.03
constexpr std::uint8_t coapGatewayTimeout = 0xa4; // 5.04

constexpr std::array infos{
    error_info{
        error_kind::bad_request, "bad-request", coapBadRequest, 2, "the request is malformed"},
    error_info{error_kind::not_run, "not-run", coapUnavailable, 10, "not run; try again later"},
    error_info{
        error_kind::overloaded, "overloaded", coapUnavailable, 10, "no room; try again later"},
    error_info{error_kind::outcome_unknown, "outcome-unknown", coapGatewayTimeout, 11,
        "the request may have run; resubmit under the same Request-Tag to learn its outcome"},
    error_info{error_kind::no_such_service, "no-such-service", coapNotFound, 4,
        "no service has this address"},
    error_info{error_kind::domain_out, "domain-out", coapUnavailable, 10,
        "the failure domain was taken out of service"},
    error_info{error_kind::conflict, "conflict", 0, 3, "the record was changed by another writer"},
    error_info{error_kind::not_found, "not-found", 0, 4, "there is no such record"},
    error_info{error_kind::invalid_record, "invalid-record", 0, 5, "the record is not valid"},
    error_info{
        error_kind::invalid_settings, "invalid-settings", 0, 6, "the settings are not valid"},
    error_info{error_kind::platform_unavailable, "platform-unavailable", 0, 7,
        "the platform did not answer; nothing was changed"},
    error_info{error_kind::write_uncertain, "write-uncertain", 0, 8,
        "the platform did not confirm the write; run the same command again"},
    error_info{error_kind::not_in_force, "not-in-force", 0, 9,
        "accepted, but not yet in force everywhere"},
    error_info{error_kind::usage, "usage", 0, 2, "the command line is wrong; see --help"},
    error_info{error_kind::io, "io", 0, 12, "an input or output operation failed"},
};

} // namespace

const error_info &errorInfo(error_kind kind)
{
    return *std::ranges::find(infos, kind, &error_info::kind);
}

std::span<const error_info> errorInfos()
{
    return infos;
}

} // namespace toucan
