// The commands of pomelospreadctl.
#pragma once

#include "base/flags.hpp"

#include <exception>
#include <span>

namespace pomelospread {

/// Runs the command that the arguments name. Throws one of the typed errors of base/errors.hpp on failure.
exit_code run_command(std::span<char* const> arguments);

/// Prints the failure to the standard error in the format of `--output` and returns the exit code for its
/// type.
exit_code report_failure(std::exception const& failure);

} // namespace pomelospread
