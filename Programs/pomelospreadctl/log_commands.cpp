#include "log_commands.hpp"

#include "base/errors.hpp"
#include "log_reader.hpp"
#include "request_explainer.hpp"
#include "timeline.hpp"

#include <gflags/gflags.h>

#include <fstream>
#include <iostream>

DECLARE_string(request);
DECLARE_string(picture);

namespace pomelospread {

namespace {

[[noreturn]] void reject(std::string field, std::string problem, std::string allowed) {
    throw invalid_input(
        {{.field = std::move(field), .problem = std::move(problem), .allowed = std::move(allowed)}});
}

exit_code explain(std::span<std::string const> files) {
    if (FLAGS_request.empty()) {
        reject("--request", "is missing", "a request's id");
    }
    request_explainer explainer(FLAGS_request);
    read_logs(files, [&](log_entry const& entry) { explainer.add_entry(entry); });
    if (!explainer.has_entries()) {
        std::cerr << "pomelospreadctl: no line of these logs has the request id " << FLAGS_request << "\n";
        return exit_code::failure;
    }
    for (auto const& line : explainer.describe_steps()) {
        std::cout << line << "\n";
    }
    std::cout << "cause: " << explainer.cause() << "\n";
    return exit_code::success;
}

exit_code summarize(std::span<std::string const> files) {
    timeline events;
    read_logs(files, [&](log_entry const& entry) { events.add_entry(entry); });
    if (events.is_empty()) {
        std::cerr << "pomelospreadctl: these logs contain no event\n";
        return exit_code::failure;
    }
    std::cout << events.to_text();
    if (!FLAGS_picture.empty()) {
        std::ofstream file(FLAGS_picture);
        file << events.to_svg();
        if (!file.flush()) {
            reject("--picture", FLAGS_picture + " cannot be written", "a file's path");
        }
    }
    return exit_code::success;
}

} // namespace

bool is_log_command(std::string_view name) {
    return name == "explain" || name == "summarize";
}

exit_code run_log_command(std::span<std::string const> words) {
    auto const files = words.subspan(1);
    if (files.empty()) {
        reject("FILES", "are missing", "log files, or -");
    }
    return words.front() == "explain" ? explain(files) : summarize(files);
}

} // namespace pomelospread
