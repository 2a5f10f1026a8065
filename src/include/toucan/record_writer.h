#pragma once

/// Operators' writes: checked, conditional, and settled when the platform's answer is lost.

#include <map>
#include <toucan/platform_client.h>

namespace toucan {

/// What a write or withdrawal came to.
struct write_outcome
{
    std::uint64_t version = 0; ///< Platform version at which the change is accepted.
    bool changed = false; ///< False when the record already said so.
};

/// Fields given on a command line, by name, as text.
using field_texts = std::map<std::string, std::string>;

/// A write to make.
struct record_write
{
    std::string kind; ///< service, domain, standing or stop.
    std::string name;
    field_texts fields;
    std::uint64_t schema = 2; ///< Schema version that the writer knows.
    std::uint64_t expected = 0; ///< Version that must be current; 0 takes the one read.
    bool isNew = false; ///< Allows names that nothing else mentions yet.
};

/// Merges the fields into the record as it is, without dropping a field that the writer does not
/// know, and writes it on the condition that nobody else wrote meanwhile. Racing writers of the
/// same fields both succeed; of different ones, the later gets conflict.
result<write_outcome> putRecord(platform_client &platform, const record_write &write);

/// Withdraws a record. Already withdrawn is a success without change.
result<write_outcome> withdrawRecord(
    platform_client &platform, std::string_view kind, std::string_view name);

/// Kinds that operators may write, separated by commas.
std::string operatorKinds();

} // namespace toucan
