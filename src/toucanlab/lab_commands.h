#pragma once

/// Commands of the emulator: each stand-in as a process, and whole experiments.

#include <cxxopts.hpp>
#include <toucan/lab/relay_soak.h>

namespace toucan::lab {

/// Runs the stand-in called `name` until a stop signal; nullopt when there is none of that name.
std::optional<int> runStandIn(const std::string &name, const cxxopts::ParseResult &given);

/// Runs the experiment of a scenario file and prints a summary; returns the exit status.
int runScenario(const std::string &fileName, const std::string &programs, bool asJson);

/// Measures how cost grows with size, for each role.
int runSlopes();

/// Measures an entry beside a bare relay in one run.
int runRelayBenchmark(const std::string &programs);

/// Runs soaks with `count` seeds from that of `options` on; returns 0 when none broke a rule.
int runSoaks(const relay_soak_options &options, std::uint64_t count);

} // namespace toucan::lab
