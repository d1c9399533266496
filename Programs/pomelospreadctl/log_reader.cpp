#include "log_reader.hpp"

#include "base/errors.hpp"

#include <nlohmann/json.hpp>

#include <charconv>
#include <fstream>
#include <iostream>

namespace pomelospread {

namespace {

std::optional<log_entry> parse_json_entry(std::string_view line) {
    auto const document = nlohmann::json::parse(line, nullptr, false);
    if (!document.is_object()) {
        return std::nullopt;
    }
    log_entry entry;
    for (auto const& [name, value] : document.items()) {
        entry.fields[name] = value.is_string() ? value.get<std::string>() : value.dump();
    }
    return entry;
}

/// Removes one value from the front of `rest` and returns it. A value ends at a space, or is a text in double
/// quotes in which a backslash escapes the next character.
std::string consume_value(std::string_view& rest) {
    std::string value;
    if (!rest.starts_with('"')) {
        auto const end = std::min(rest.find(' '), rest.size());
        value = rest.substr(0, end);
        rest.remove_prefix(end);
        return value;
    }
    rest.remove_prefix(1);
    while (!rest.empty() && rest.front() != '"') {
        if (rest.front() == '\\' && rest.size() > 1) {
            rest.remove_prefix(1);
        }
        value += rest.front();
        rest.remove_prefix(1);
    }
    rest.remove_prefix(rest.empty() ? 0 : 1);
    return value;
}

log_entry parse_key_value_entry(std::string_view line) {
    log_entry entry;
    while (!line.empty()) {
        auto const equals = line.find('=');
        if (equals == std::string_view::npos) {
            break;
        }
        auto name = line.substr(0, equals);
        name.remove_prefix(std::min(name.rfind(' ') + 1, name.size()));
        line.remove_prefix(equals + 1);
        entry.fields[std::string(name)] = consume_value(line);
    }
    return entry;
}

} // namespace

std::string_view log_entry::field(std::string_view name) const {
    auto const found = fields.find(name);
    return found == fields.end() ? std::string_view() : found->second;
}

double log_entry::numeric_field(std::string_view name) const {
    auto const text = field(name);
    double value = 0;
    std::from_chars(text.data(), text.data() + text.size(), value);
    return value;
}

std::optional<log_entry> parse_log_line(std::string_view line, std::string_view default_source) {
    auto const brace_position = line.find('{');
    auto const pairs_position = line.find("time=");
    auto entry = pairs_position == std::string_view::npos && brace_position != std::string_view::npos
                     ? parse_json_entry(line.substr(brace_position))
                     : std::optional(parse_key_value_entry(
                           pairs_position == std::string_view::npos ? line : line.substr(pairs_position)));
    if (!entry || entry->field("event").empty()) {
        return std::nullopt;
    }
    entry->time = entry->field("time");
    entry->event = entry->field("event");
    // A log collector of several instances writes the instance's name as the last word before the entry.
    auto prefix = line.substr(0, std::min(std::min(pairs_position, brace_position), line.size()));
    while (prefix.ends_with(' ')) {
        prefix.remove_suffix(1);
    }
    prefix.remove_prefix(std::min(prefix.rfind(' ') + 1, prefix.size()));
    entry->source = prefix.empty() || pairs_position == 0 || brace_position == 0 ? default_source : prefix;
    return entry;
}

std::size_t read_logs(std::span<std::string const> paths,
                      std::function<void(log_entry const&)> const& handle_entry) {
    std::size_t lines_without_event = 0;
    for (auto const& path : paths) {
        std::ifstream file;
        if (path != "-") {
            file.open(path);
            if (!file) {
                throw invalid_input(
                    {{.field = path, .problem = "cannot be read", .allowed = "a log file, or -"}});
            }
        }
        auto& stream = path == "-" ? std::cin : file;
        for (std::string line; std::getline(stream, line);) {
            if (auto const entry = parse_log_line(line, path)) {
                handle_entry(*entry);
            } else {
                ++lines_without_event;
            }
        }
    }
    return lines_without_event;
}

} // namespace pomelospread
