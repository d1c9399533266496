// Parses and formats the routing tables as TOML, the format that operators keep in version control.
#pragma once

#include "state/routing_tables.hpp"

#include <string>
#include <string_view>

namespace pomelospread {

/// A file of declared tables: its name, which messages show, and its text.
struct source_file {
    std::string name;
    std::string text;
};

/// Parses both tables. Throws `invalid_input` that lists the problems of both files: first syntax, unknown or
/// missing fields and wrong types, and when there are none of these, the problems that `check_tables` finds.
/// A problem has file, line, field and allowed range; one found by `check_tables` has the line of its row, or
/// none when it concerns the row's name.
[[nodiscard]] routing_tables parse_tables(source_file const& routes, source_file const& pools);

/// Formats the routes table in canonical order, by name, so that `parse_tables` reads back the same rows.
[[nodiscard]] std::string format_routes(routing_tables const& tables);
/// Formats the pools table in canonical order, pools by name and targets by address, so that `parse_tables`
/// reads back the same rows.
[[nodiscard]] std::string format_pools(routing_tables const& tables);

} // namespace pomelospread
