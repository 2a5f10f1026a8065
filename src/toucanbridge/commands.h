#pragma once

/// The operators' commands.

#include <chrono>
#include <span>
#include <string>
#include <toucan/endpoint.h>
#include <toucan/error.h>
#include <vector>

namespace toucan {

/// Options that all operators' commands share.
struct command_options
{
    endpoint platform; ///< The platform's object service.
    std::vector<endpoint> peers; ///< Control links to read from while the platform is down.
    bool asJson = false; ///< Machine-readable output.
    std::chrono::milliseconds wait{0}; ///< Time to wait until a change is in force everywhere.
    std::uint64_t schema = 2; ///< Schema version of written records.
    std::uint64_t expected = 0; ///< Version that a written record must have; 0 for any.
    bool isRelay = false; ///< The platform is the one of `relay`, the processes are its own.
    bool isNew = false; ///< Allows names that no target has yet.
};

/// `record put|withdraw|show ...`; returns the exit status.
int runRecordCommand(std::span<const std::string> words, const command_options &options);

/// `status`; returns the exit status.
int runStatusCommand(const command_options &options);

/// `explain CALLER [FILE...]`: one flow's path through all processes, from their logs.
int runExplainCommand(std::span<const std::string> words, const command_options &options);

/// Waits until `version` is in force everywhere, at most options.wait, and says where it is not.
int waitUntilInForce(std::uint64_t version, const command_options &options);

/// Kinds of records for the help text.
std::string operatorKindsHelp();

/// Table of exit statuses for the help text.
std::string exitStatusHelp();

/// Prints an error in the chosen form and returns its exit status.
int reportError(const error &failure, const command_options &options);

} // namespace toucan
