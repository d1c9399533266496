// The commands that read the log files of instances.
#pragma once

#include "commands.hpp"

#include <span>
#include <string>
#include <string_view>

namespace pomelospread {

[[nodiscard]] bool is_log_command(std::string_view name);
/// `words` holds the command's name and its log files. Throws `invalid_input`.
exit_code run_log_command(std::span<std::string const> words);

} // namespace pomelospread
