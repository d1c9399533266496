// Reads flags and environment variables into gflags, with every problem reported at once.
#pragma once

#include "base/errors.hpp"

#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace pomelospread {

/// The exit codes that the shipped programs share.
enum class exit_code : int {
    success = 0,
    failure = 1,          ///< The operation failed.
    usage = 64,           ///< Bad command line or setting.
    conflict = 65,        ///< Another operator's accepted edit stands in the way.
    unavailable = 69,     ///< The platform could not be reached; nothing was changed.
    outcome_unknown = 75, ///< The outcome is not known yet; asking again with the same edit id tells.
};

/// Result of reading a command line.
struct parsed_command_line {
    std::vector<std::string> positional;
    bool help = false;
    bool version = false;
};

/// Reads `POMELOSPREAD_<NAME>` from the environment, then `--name=value`, `--name value`, `--name` and
/// `--noname` from `arguments` (without the program's name); flags win. Only flags defined in a source file
/// whose path contains `definition_file` are accepted.
/// Throws `invalid_input` listing every unknown flag and every value that does not parse.
parsed_command_line parse_command_line(std::span<char* const> arguments, std::string_view definition_file);

/// Renders the flags of `definition_file` with type, default and description, one each.
[[nodiscard]] std::string describe_flags(std::string_view definition_file);

/// Appends a problem when `value` lies outside `[low, high]`.
void check_range(std::vector<field_problem>& problems, std::string_view name, std::int64_t value,
                 std::int64_t low, std::int64_t high);

} // namespace pomelospread
