#pragma once

/// The closed list of error kinds, their codes and texts for callers and operators, and the result
/// type of fallible functions.

#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <variant>

namespace toucan {

/// Every way in which an operation can fail.
enum class error_kind : std::uint8_t {
    bad_request, ///< The input is malformed.
    not_run, ///< Refused; no copy of the request ran or can still run.
    overloaded, ///< Refused for lack of capacity; the request is idempotent.
    outcome_unknown, ///< The request may or may not have run.
    no_such_service, ///< No service has that address.
    domain_out, ///< The failure domain of the flow was taken out of service.
    conflict, ///< A record was changed by another writer in the meantime.
    not_found, ///< There is no such record.
    invalid_record, ///< A record has a wrong field or schema version.
    invalid_settings, ///< The settings file has errors.
    platform_unavailable, ///< The platform did not answer.
    write_uncertain, ///< The platform's answer to a write was lost.
    not_in_force, ///< A change is not in force everywhere within the time allowed.
    usage, ///< The command line is wrong.
    io, ///< A socket or file operation failed.
};

/// Codes and texts of an error kind for callers and operators' scripts.
struct error_info
{
    error_kind kind; ///< The kind described.
    std::string_view name; ///< Stable name in logs and machine-readable output.
    std::uint8_t coapCode; ///< CoAP response code; 0 when callers never see it.
    int exitCode; ///< Exit status of the command line.
    std::string_view text; ///< One sentence in plain English.
};

/// The row of the table for a kind. Never fails.
const error_info &errorInfo(error_kind kind);

/// The whole table.
std::span<const error_info> errorInfos();

/// An error with its details.
struct error
{
    error_kind kind{};
    std::string detail;
};

/// Either a value or an error.
template <class T>
using result = std::variant<T, error>;

/// The value of a result, or nullptr when it holds an error.
template <class T>
const T *valueOf(const result<T> &outcome)
{
    return std::get_if<T>(&outcome);
}

/// The error of a result, or nullptr when it holds a value.
template <class T>
const error *errorOf(const result<T> &outcome)
{
    return std::get_if<error>(&outcome);
}

} // namespace toucan
