// Turns flags into checked values and collects every problem, so that all are reported at once.
#pragma once

#include "base/endpoint.hpp"
#include "base/errors.hpp"

#include <chrono>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace pomelospread {

/// Each reader returns a value also when it is bad; `throw_if_bad` comes before any is used.
class flag_checks {
public:
    /// Runs `read` and keeps the problems of an `invalid_input` that it throws.
    template<class Read>
    void collect(Read const& read) {
        try {
            read();
        } catch (invalid_input const& failure) {
            m_problems.insert(m_problems.end(), failure.problems().begin(), failure.problems().end());
        }
    }

    [[nodiscard]] endpoint address(std::string_view name, std::string const& text);
    [[nodiscard]] std::int64_t ranged(std::string_view name, std::int64_t value, std::int64_t low,
                                      std::int64_t high);
    [[nodiscard]] std::size_t count(std::string_view name, std::int64_t value, std::int64_t low,
                                    std::int64_t high);
    /// Of a flag in milliseconds.
    [[nodiscard]] std::chrono::milliseconds time(std::string_view name, std::int64_t value, std::int64_t low,
                                                 std::int64_t high);
    [[nodiscard]] double number(std::string_view name, double value, double low, double high);

    void add(field_problem problem) { m_problems.push_back(std::move(problem)); }
    /// Throws `invalid_input` with every problem.
    void throw_if_bad();

private:
    std::vector<field_problem> m_problems;
};

} // namespace pomelospread
