// Reads a file whose name is the value of a setting.
#pragma once

#include <string>
#include <string_view>

namespace pomelospread {

/// Returns the complete content of the file. Throws `invalid_input` naming `setting` when it cannot be
/// opened.
[[nodiscard]] std::string read_file(std::string const& name, std::string_view setting);

} // namespace pomelospread
