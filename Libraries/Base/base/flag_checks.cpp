#include "base/flag_checks.hpp"

#include "base/flags.hpp"

#include <sstream>
#include <utility>

namespace pomelospread {

endpoint flag_checks::address(std::string_view name, std::string const& text) {
    endpoint result;
    collect([&] { result = parse_endpoint(text, "--" + std::string(name)); });
    return result;
}

std::int64_t flag_checks::ranged(std::string_view name, std::int64_t value, std::int64_t low,
                                 std::int64_t high) {
    check_range(m_problems, name, value, low, high);
    return value;
}

std::size_t flag_checks::count(std::string_view name, std::int64_t value, std::int64_t low,
                               std::int64_t high) {
    return static_cast<std::size_t>(ranged(name, value, low, high));
}

std::chrono::milliseconds flag_checks::time(std::string_view name, std::int64_t value, std::int64_t low,
                                            std::int64_t high) {
    return std::chrono::milliseconds(ranged(name, value, low, high));
}

double flag_checks::number(std::string_view name, double value, double low, double high) {
    // Not a number is in no range.
    if (!(value >= low && value <= high)) {
        std::ostringstream allowed;
        allowed << low << " to " << high;
        add({.field = "--" + std::string(name),
             .problem = std::to_string(value) + " is out of range",
             .allowed = allowed.str()});
        return low;
    }
    return value;
}

void flag_checks::throw_if_bad() {
    if (!m_problems.empty()) {
        throw invalid_input(std::exchange(m_problems, {}));
    }
}

} // namespace pomelospread
