// Reads a file that a setting names.
#pragma once

#include <string>
#include <string_view>

namespace pomelospread {

/// The whole content of the file. Throws `invalid_input` naming `setting` when it cannot be read.
[[nodiscard]] std::string read_file(std::string const& name, std::string_view setting);

} // namespace pomelospread
