// The commands that read instances' logs.
#pragma once

#include "commands.hpp"

#include <span>
#include <string>
#include <string_view>

namespace pomelospread {

[[nodiscard]] bool is_log_command(std::string_view name);
/// `words` are the command and its files. Throws `invalid_input`.
exit_code run_log_command(std::span<std::string const> words);

} // namespace pomelospread
