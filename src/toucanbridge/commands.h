#pragma once

/// Commands for operators: record, status and explain.

#include <chrono>
#include <span>
#include <string>
#include <toucan/endpoint.h>
#include <toucan/error.h>
#include <vector>

namespace toucan {

/// Options shared by all commands for operators.
struct command_options
{
    endpoint platform; ///< Address of the platform's object service.
    std::vector<endpoint> peers; ///< Control links to read from while the platform is down.
    bool asJson = false; ///< Prints JSON instead of plain text.
    std::chrono::milliseconds wait{0}; ///< Maximum wait until a change is in force everywhere.
    std::uint64_t schema = 2; ///< Schema version of written records.
    std::uint64_t expected = 0; ///< Current version required of a record to write; 0: any.
    bool isRelay = false; ///< Uses the platform and the processes of `relay`.
    bool isNew = false; ///< Allows a name that no target has yet.
};

/// Runs `record put|withdraw|show ...`. Returns the exit status.
int runRecordCommand(std::span<const std::string> words, const command_options &options);

/// Runs `record check FILE [FILE_IN_FORCE]`: checks a configuration of relayed services before it
/// is sent, and lists what it changes. Without a second file the one in force is read from the
/// platform. Returns the exit status: 0 without faults, that of invalid_record with some.
int checkRecord(std::span<const std::string> words, const command_options &options);

/// Runs `status`. Returns the exit status.
int runStatusCommand(const command_options &options);

/// Runs `explain CALLER [FILE...]`: prints one flow's path through all processes, read from their
/// logs. Returns the exit status.
int runExplainCommand(std::span<const std::string> words, const command_options &options);

/// Waits at most options.wait until `version` is in force on all processes; otherwise reports those
/// that lag. Returns the exit status.
int waitUntilInForce(std::uint64_t version, const command_options &options);

/// Kinds of records that operators write, for the help text.
std::string operatorKindsHelp();

/// Table of exit statuses for the help text.
std::string exitStatusHelp();

/// Prints an error as plain text or JSON. Returns its exit status.
int reportError(const error &failure, const command_options &options);

} // namespace toucan
