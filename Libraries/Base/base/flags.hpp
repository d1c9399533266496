// Sets gflags from environment variables and the command line and reports every problem together.
#pragma once

#include "base/errors.hpp"

#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace pomelospread {

/// The exit codes of the programs.
enum class exit_code : int {
    success = 0,
    failure = 1,          ///< The operation failed.
    usage = 64,           ///< Invalid command line or setting.
    conflict = 65,        ///< The edit conflicts with another operator's accepted edit.
    unavailable = 69,     ///< The platform could not be reached; nothing was changed.
    outcome_unknown = 75, ///< The outcome is not known; repeating the command with the same edit id shows it.
};

struct parsed_command_line {
    std::vector<std::string> positional; ///< The arguments that are not flags.
    bool help = false;
    bool version = false;
};

/// Sets flags from the environment variables `POMELOSPREAD_<NAME>`, then from `--name=value`, `--name value`,
/// `--name` and `--noname` in `arguments` (without the program's name), so that the command line takes
/// precedence. Accepts only flags defined in a source file whose path contains `definition_file`.
/// A flag that is defined as `forward_NAME` is set as `NAME`, so that two commands can have settings of one
/// name. Throws `invalid_input` that lists every unknown flag and every value of the wrong type.
parsed_command_line parse_command_line(std::span<char* const> arguments, std::string_view definition_file);

/// Formats a help text: each flag of `definition_file` with its type, default, environment variable and
/// description.
[[nodiscard]] std::string describe_flags(std::string_view definition_file);

/// Appends a problem when `value` lies outside `[low, high]`.
void check_range(std::vector<field_problem>& problems, std::string_view name, std::int64_t value,
                 std::int64_t low, std::int64_t high);

} // namespace pomelospread
