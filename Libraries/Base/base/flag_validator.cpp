#include "base/flag_validator.hpp"

#include "base/flags.hpp"

#include <sstream>
#include <utility>

namespace pomelospread {

endpoint flag_validator::checked_endpoint(std::string_view name, std::string const& text) {
    endpoint result;
    collect_problems([&] { result = parse_endpoint(text, "--" + std::string(name)); });
    return result;
}

std::int64_t flag_validator::checked_integer(std::string_view name, std::int64_t value, std::int64_t low,
                                             std::int64_t high) {
    check_range(m_problems, name, value, low, high);
    return value;
}

std::size_t flag_validator::checked_count(std::string_view name, std::int64_t value, std::int64_t low,
                                          std::int64_t high) {
    return static_cast<std::size_t>(checked_integer(name, value, low, high));
}

std::chrono::milliseconds flag_validator::checked_milliseconds(std::string_view name, std::int64_t value,
                                                               std::int64_t low, std::int64_t high) {
    return std::chrono::milliseconds(checked_integer(name, value, low, high));
}

double flag_validator::checked_number(std::string_view name, double value, double low, double high) {
    // This form also rejects NaN, which lies in no range.
    if (!(value >= low && value <= high)) {
        std::ostringstream allowed;
        allowed << low << " to " << high;
        add_problem({.field = "--" + std::string(name),
                     .problem = std::to_string(value) + " is out of range",
                     .allowed = allowed.str()});
        return low;
    }
    return value;
}

void flag_validator::throw_if_invalid() {
    if (!m_problems.empty()) {
        throw invalid_input(std::exchange(m_problems, {}));
    }
}

} // namespace pomelospread
