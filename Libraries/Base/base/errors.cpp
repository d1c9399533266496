#include "base/errors.hpp"

namespace pomelospread {

std::string to_string(field_problem const& problem) {
    std::string text;
    if (!problem.file.empty()) {
        text += problem.file + ":" + std::to_string(problem.line) + ": ";
    }
    text += problem.field + ": " + problem.problem;
    if (!problem.allowed.empty()) {
        text += " (allowed: " + problem.allowed + ")";
    }
    return text;
}

namespace {

std::string join(std::vector<field_problem> const& problems) {
    std::string text;
    for (auto const& problem : problems) {
        if (!text.empty()) {
            text += "\n";
        }
        text += to_string(problem);
    }
    return text;
}

} // namespace

invalid_input::invalid_input(std::vector<field_problem> problems)
    : error(join(problems)), m_problems(std::move(problems)) {}

} // namespace pomelospread
