// Parses the structured log lines of instances, as key=value pairs or JSON.
#pragma once

#include <functional>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>

namespace pomelospread {

struct log_entry {
    std::string time;   ///< As written in the line; entries are sorted by this text.
    std::string source; ///< The instance name that a log collector wrote before the line, else the file.
    std::string event;
    std::map<std::string, std::string, std::less<>> fields;

    /// Returns an empty text when the entry lacks the field.
    [[nodiscard]] std::string_view field(std::string_view name) const;
    /// Returns 0 when the entry lacks the field or it is not a number.
    [[nodiscard]] double numeric_field(std::string_view name) const;
};

/// Returns nothing when the line contains no event. `default_source` is used when the line names no instance.
[[nodiscard]] std::optional<log_entry> parse_log_line(std::string_view line, std::string_view default_source);

/// Calls `handle_entry` for each entry of the files, in order; `-` is the standard input. Returns the number
/// of lines without an event. Throws `invalid_input` naming a file that cannot be read.
std::size_t read_logs(std::span<std::string const> paths,
                      std::function<void(log_entry const&)> const& handle_entry);

} // namespace pomelospread
