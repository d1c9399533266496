// Converts flags to checked values and collects every problem, so that all are reported together.
#pragma once

#include "base/endpoint.hpp"
#include "base/errors.hpp"

#include <chrono>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace pomelospread {

/// The `checked_*` functions return a value even when it is invalid; call `throw_if_invalid` before any value
/// is used.
class flag_validator {
public:
    /// Runs `read`. When it throws `invalid_input`, adds the problems and returns normally.
    template<class Read>
    void collect_problems(Read const& read) {
        try {
            read();
        } catch (invalid_input const& failure) {
            m_problems.insert(m_problems.end(), failure.problems().begin(), failure.problems().end());
        }
    }

    [[nodiscard]] endpoint checked_endpoint(std::string_view name, std::string const& text);
    [[nodiscard]] std::int64_t checked_integer(std::string_view name, std::int64_t value, std::int64_t low,
                                               std::int64_t high);
    [[nodiscard]] std::size_t checked_count(std::string_view name, std::int64_t value, std::int64_t low,
                                            std::int64_t high);
    /// For a flag whose value is in milliseconds.
    [[nodiscard]] std::chrono::milliseconds checked_milliseconds(std::string_view name, std::int64_t value,
                                                                 std::int64_t low, std::int64_t high);
    [[nodiscard]] double checked_number(std::string_view name, double value, double low, double high);

    void add_problem(field_problem problem) { m_problems.push_back(std::move(problem)); }
    /// Throws `invalid_input` with every problem and clears the list; does nothing when there is none.
    void throw_if_invalid();

private:
    std::vector<field_problem> m_problems;
};

} // namespace pomelospread
