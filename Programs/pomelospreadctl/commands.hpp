// The commands of pomelospreadctl.
#pragma once

#include "base/flags.hpp"

#include <exception>
#include <span>

namespace pomelospread {

/// Runs the command that the arguments name. Throws the typed error of whatever failed.
exit_code run_command(std::span<char* const> arguments);

/// Prints the failure in the chosen form and returns the exit code of its type.
exit_code report_failure(std::exception const& failure);

} // namespace pomelospread
