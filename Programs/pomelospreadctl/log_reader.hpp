// Reads the structured log lines of instances, in either form.
#pragma once

#include <functional>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>

namespace pomelospread {

struct log_entry {
    std::string time;   ///< As written; entries sort by it.
    std::string source; ///< The file, or the word before the line where a collector put one.
    std::string event;
    std::map<std::string, std::string, std::less<>> fields;

    /// Empty when the entry lacks the field.
    [[nodiscard]] std::string_view field(std::string_view name) const;
    /// 0 when the entry lacks the field or it is no number.
    [[nodiscard]] double numeric_field(std::string_view name) const;
};

/// Nothing when the line holds no event.
[[nodiscard]] std::optional<log_entry> parse_log_line(std::string_view line, std::string_view source);

/// Calls `take` for each entry of the files, in order; `-` is the standard input. Returns the lines that hold
/// no event. Throws `invalid_input` naming a file that cannot be read.
std::size_t read_logs(std::span<std::string const> paths, std::function<void(log_entry const&)> const& take);

} // namespace pomelospread
