// Reading and writing the tables as TOML, the format that operators keep in version control.
#pragma once

#include "state/routing_tables.hpp"

#include <string>
#include <string_view>

namespace pomelospread {

/// A declared file: its name for messages, and its text.
struct source_file {
    std::string name;
    std::string text;
};

/// Reads both tables; unknown fields, missing fields and wrong types are problems like any other.
/// Throws `invalid_input` with file, line, field and allowed range for every problem found in either file.
[[nodiscard]] routing_tables parse_tables(source_file const& routes, source_file const& pools);

/// Renders the routes table in a canonical order that `parse_tables` reads back unchanged.
[[nodiscard]] std::string format_routes(routing_tables const& value);
/// Renders the pools table in a canonical order that `parse_tables` reads back unchanged.
[[nodiscard]] std::string format_pools(routing_tables const& value);

} // namespace pomelospread
