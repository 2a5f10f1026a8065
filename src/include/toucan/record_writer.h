#pragma once

/// Operators' writes: validated, conditional, and retried when the platform's answer is lost.

#include <map>
#include <toucan/platform_client.h>

namespace toucan {

/// Result of a write or withdrawal.
struct write_outcome
{
    std::uint64_t version = 0; ///< Platform version at which the change was accepted.
    bool changed = false; ///< False when the record already had these values.
};

/// Fields given on a command line, by name, as text.
using field_texts = std::map<std::string, std::string>;

/// A write to perform.
struct record_write
{
    std::string kind; ///< service, domain, standing or stop.
    std::string name;
    field_texts fields;
    std::uint64_t schema = 2; ///< Schema version that the writer supports.
    std::uint64_t expected = 0; ///< Version that must be current; 0: the one just read.
    bool isNew = false; ///< Allows names that no announced target has.
};

/// Merges the fields into the current record, keeping fields that the writer does not support, and
/// writes it on the condition that the record has not changed in the meantime. Of two concurrent
/// writers, both succeed if they write the same values; otherwise the later one gets conflict.
result<write_outcome> putRecord(platform_client &platform, const record_write &write);

/// Withdraws a record. Already withdrawn is a success without change.
result<write_outcome> withdrawRecord(
    platform_client &platform, std::string_view kind, std::string_view name);

/// Kinds that operators may write, separated by commas.
std::string operatorKinds();

} // namespace toucan
