#include "log_reader.hpp"

#include "base/errors.hpp"

#include <nlohmann/json.hpp>

#include <charconv>
#include <fstream>
#include <iostream>

namespace pomelospread {

namespace {

std::optional<log_entry> from_json(std::string_view line) {
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

/// Reads one value and moves past it: a word, or a text in quotes with backslashes.
std::string take_value(std::string_view& rest) {
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

log_entry from_pairs(std::string_view line) {
    log_entry entry;
    while (!line.empty()) {
        auto const equals = line.find('=');
        if (equals == std::string_view::npos) {
            break;
        }
        auto name = line.substr(0, equals);
        name.remove_prefix(std::min(name.rfind(' ') + 1, name.size()));
        line.remove_prefix(equals + 1);
        entry.fields[std::string(name)] = take_value(line);
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

std::optional<log_entry> parse_log_line(std::string_view line, std::string_view source) {
    auto const brace = line.find('{');
    auto const pairs = line.find("time=");
    auto entry = pairs == std::string_view::npos && brace != std::string_view::npos
                     ? from_json(line.substr(brace))
                     : std::optional(from_pairs(pairs == std::string_view::npos ? line : line.substr(pairs)));
    if (!entry || entry->field("event").empty()) {
        return std::nullopt;
    }
    entry->time = entry->field("time");
    entry->event = entry->field("event");
    // A collector of several instances writes the instance's name as the last word before the line.
    auto before = line.substr(0, std::min(std::min(pairs, brace), line.size()));
    while (before.ends_with(' ')) {
        before.remove_suffix(1);
    }
    before.remove_prefix(std::min(before.rfind(' ') + 1, before.size()));
    entry->source = before.empty() || pairs == 0 || brace == 0 ? source : before;
    return entry;
}

std::size_t read_logs(std::span<std::string const> paths, std::function<void(log_entry const&)> const& take) {
    std::size_t skipped = 0;
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
                take(*entry);
            } else {
                ++skipped;
            }
        }
    }
    return skipped;
}

} // namespace pomelospread
