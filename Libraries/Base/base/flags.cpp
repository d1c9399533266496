#include "base/flags.hpp"

#include <gflags/gflags.h>

#include <algorithm>
#include <cstdlib>

namespace pomelospread {

namespace {

constexpr std::string_view environment_prefix = "POMELOSPREAD_";
constexpr std::string_view shared_name_prefix = "forward_";

bool is_defined_in(gflags::CommandLineFlagInfo const& info, std::string_view file) {
    return info.filename.find(file) != std::string::npos;
}

std::vector<gflags::CommandLineFlagInfo> flags_defined_in(std::string_view file) {
    std::vector<gflags::CommandLineFlagInfo> all;
    gflags::GetAllFlags(&all);
    std::erase_if(all, [&](auto const& info) { return !is_defined_in(info, file); });
    return all;
}

/// The name under which the flag is set. All commands of a program share one registry of flags, so a setting
/// whose name another command uses too is defined with the prefix.
std::string setting_name(gflags::CommandLineFlagInfo const& info) {
    return info.name.starts_with(shared_name_prefix) ? info.name.substr(shared_name_prefix.size())
                                                     : info.name;
}

std::string environment_name(std::string const& flag) {
    auto name = std::string(environment_prefix);
    for (char const c : flag) {
        name += static_cast<char>(std::toupper(static_cast<unsigned char>(c)));
    }
    return name;
}

class command_line_parser {
public:
    command_line_parser(std::span<char* const> arguments, std::string_view file)
        : m_arguments(arguments), m_flags(flags_defined_in(file)) {}

    parsed_command_line read() {
        read_environment();
        while (m_next < m_arguments.size()) {
            read_argument(m_arguments[m_next++]);
        }
        if (!m_problems.empty()) {
            throw invalid_input(std::move(m_problems));
        }
        return std::move(m_result);
    }

private:
    gflags::CommandLineFlagInfo const* find(std::string_view name) const {
        auto const found =
            std::ranges::find_if(m_flags, [&](auto const& info) { return setting_name(info) == name; });
        return found == m_flags.end() ? nullptr : &*found;
    }

    void read_environment() {
        for (auto const& info : m_flags) {
            auto const variable = environment_name(setting_name(info));
            if (char const* value = std::getenv(variable.c_str()); value != nullptr) {
                set(info, value, variable);
            }
        }
    }

    void read_argument(std::string_view argument) {
        if (!argument.starts_with("-") || argument == "-") {
            m_result.positional.emplace_back(argument);
            return;
        }
        argument.remove_prefix(argument.starts_with("--") ? 2 : 1);
        auto const equals = argument.find('=');
        auto const name = argument.substr(0, equals);
        if (name == "help") {
            m_result.help = true;
            return;
        }
        if (name == "version") {
            m_result.version = true;
            return;
        }
        if (equals != std::string_view::npos) {
            set_named(name, std::string(argument.substr(equals + 1)));
            return;
        }
        read_without_equals(name);
    }

    void read_without_equals(std::string_view name) {
        if (auto const* info = find(name); info != nullptr && info->type == "bool") {
            set(*info, "true", "--" + setting_name(*info));
            return;
        }
        if (auto const* info = name.starts_with("no") ? find(name.substr(2)) : nullptr;
            info != nullptr && info->type == "bool") {
            set(*info, "false", "--" + setting_name(*info));
            return;
        }
        if (find(name) != nullptr && m_next < m_arguments.size()) {
            set_named(name, m_arguments[m_next++]);
            return;
        }
        set_named(name, "");
    }

    void set_named(std::string_view name, std::string const& value) {
        auto const* info = find(name);
        if (info == nullptr) {
            m_problems.push_back({.field = "--" + std::string(name),
                                  .problem = "no such setting",
                                  .allowed = "the settings that --help lists"});
            return;
        }
        set(*info, value, "--" + setting_name(*info));
    }

    void set(gflags::CommandLineFlagInfo const& info, std::string const& value, std::string const& source) {
        if (gflags::SetCommandLineOption(info.name.c_str(), value.c_str()).empty()) {
            m_problems.push_back({.field = source,
                                  .problem = "\"" + value + "\" is not a value of this type",
                                  .allowed = "a value of type " + info.type});
        }
    }

    std::span<char* const> m_arguments;
    std::vector<gflags::CommandLineFlagInfo> m_flags;
    std::size_t m_next = 0;
    parsed_command_line m_result;
    std::vector<field_problem> m_problems;
};

} // namespace

parsed_command_line parse_command_line(std::span<char* const> arguments, std::string_view definition_file) {
    return command_line_parser(arguments, definition_file).read();
}

std::string describe_flags(std::string_view definition_file) {
    std::string text;
    for (auto const& info : flags_defined_in(definition_file)) {
        auto const name = setting_name(info);
        text += "  --" + name + " (" + info.type + ", default \"" + info.default_value + "\", " +
                environment_name(name) + ")\n      " + info.description + "\n";
    }
    return text;
}

void check_range(std::vector<field_problem>& problems, std::string_view name, std::int64_t value,
                 std::int64_t low, std::int64_t high) {
    if (value >= low && value <= high) {
        return;
    }
    problems.push_back({.field = "--" + std::string(name),
                        .problem = std::to_string(value) + " is out of range",
                        .allowed = std::to_string(low) + " to " + std::to_string(high)});
}

} // namespace pomelospread
