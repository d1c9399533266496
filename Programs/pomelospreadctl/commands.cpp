#include "commands.hpp"

#include "account_export.hpp"
#include "base/random.hpp"
#include "base/read_file.hpp"
#include "coordination/table_store.hpp"
#include "log_commands.hpp"
#include "protocol/platform_client.hpp"
#include "protocol/platform_json_codec.hpp"
#include "state/routing_tables_merge.hpp"
#include "state/routing_tables_toml.hpp"
#include "transport/io_thread.hpp"

#include <boost/fiber/operations.hpp>
#include <gflags/gflags.h>

#include <algorithm>
#include <array>
#include <charconv>
#include <chrono>
#include <fstream>
#include <future>
#include <iostream>
#include <sstream>

DEFINE_string(platform, "127.0.0.1:7000", "Address of the platform's services.");
DEFINE_string(routes, "routes.toml", "File with the declared routes table.");
DEFINE_string(pools, "pools.toml", "File with the declared pools table.");
DEFINE_string(lock, "tables.lock", "File that stores the version that the declared files are based on.");
DEFINE_string(output, "text", "Output format: text or json.");
DEFINE_string(author, "", "Author of the edit; by default the environment variable USER.");
DEFINE_string(edit_id, "",
              "Id of the edit. Repeat `apply` with the id of an earlier attempt to find out its outcome.");
DEFINE_int64(at_version, 0, "Version for `show`; 0 means the version in force.");
DEFINE_int64(count, 20, "Number of versions that `history` lists, 1 to 100000.");
DEFINE_bool(wait, false, "With `apply`: wait until the version is in force in every live instance.");
DEFINE_int64(wait_ms, 10000, "Longest wait of `apply --wait`, 1 to 600000 ms.");
DEFINE_int64(timeout_ms, 2000, "Timeout of a request to the platform or an instance, 10 to 60000 ms.");
DEFINE_string(customer, "", "Customer for `account export`.");
DEFINE_int64(from, 0, "Start of the period for `account export`, in Unix milliseconds.");
DEFINE_int64(to, INT64_MAX, "End of the period for `account export`, inclusive, in Unix milliseconds.");
DEFINE_string(request, "", "Id of the request that `explain` explains.");
DEFINE_string(picture, "", "File for the SVG chart of `summarize`; empty for none.");
DEFINE_string(format, "jsonl", "Output format of `account export`: jsonl or csv.");

namespace pomelospread {

namespace {

constexpr std::string_view definition_file = "pomelospreadctl/commands.cpp";

constexpr char const* usage =
    "pomelospreadctl: edits and shows the two tables of a pomelospread fleet\n\n"
    "usage: pomelospreadctl COMMAND [--SETTING=VALUE ...]\n\n"
    "commands:\n"
    "  validate         check the declared files\n"
    "  diff             show what apply would change\n"
    "  apply            merge the declared files into the tables in force\n"
    "  show             print the tables in force, or --at_version\n"
    "  history          list the accepted versions, the newest first\n"
    "  status           list the instances and the version each has in force\n"
    "  account export   print every request of --customer\n"
    "  explain FILES    explain from log files how request --request ended, and why\n"
    "  summarize FILES  count refusals, retries, outages and versions per second; --picture=FILE.svg draws "
    "a chart\n"
    "                   FILES are log files of instances, in any order; - is the standard input\n\n"
    "exit codes: 0 done, 1 failed, 64 invalid input, 65 conflict, 69 platform unavailable, 75 outcome "
    "not known yet\n\n"
    "settings:\n";

bool as_json() {
    return FLAGS_output == "json";
}

routing_tables read_declared() {
    return parse_tables({FLAGS_routes, read_file(FLAGS_routes, "--routes")},
                        {FLAGS_pools, read_file(FLAGS_pools, "--pools")});
}

/// Returns the version that the declared files are based on; 0 when the lock file does not exist, as before
/// the first `apply`.
std::uint64_t read_lock() {
    std::ifstream file(FLAGS_lock);
    if (!file) {
        return 0;
    }
    std::string const text((std::istreambuf_iterator<char>(file)), std::istreambuf_iterator<char>());
    constexpr std::string_view key = "version = ";
    auto const at = text.find(key);
    std::uint64_t version = 0;
    auto const* begin = text.data() + (at == std::string::npos ? text.size() : at + key.size());
    if (std::from_chars(begin, text.data() + text.size(), version).ec != std::errc()) {
        throw invalid_input({{.file = FLAGS_lock,
                              .line = 1,
                              .field = "version",
                              .problem = "cannot be read",
                              .allowed = "a line \"version = NUMBER\""}});
    }
    return version;
}

void write_lock(std::uint64_t version) {
    std::ofstream(FLAGS_lock)
        << "# The version that the declared tables are based on; kept by pomelospreadctl.\n"
        << "version = " << version << "\n";
}

std::string_view to_string(row_change change) {
    switch (change) {
    case row_change::added:
        return "added";
    case row_change::changed:
        return "changed";
    case row_change::removed:
        return "removed";
    }
    return "changed";
}

void print_difference(std::vector<row_difference> const& rows) {
    if (as_json()) {
        auto document = nlohmann::json::array();
        for (auto const& row : rows) {
            document.push_back({{"row", row.row}, {"change", to_string(row.change)}});
        }
        std::cout << document.dump() << "\n";
        return;
    }
    for (auto const& row : rows) {
        std::cout << to_string(row.change) << " " << row.row << "\n";
    }
    if (rows.empty()) {
        std::cout << "no difference\n";
    }
}

/// What one instance reports about itself to `status` and `apply --wait`.
struct instance_status {
    instance_entry entry;
    bool answered = false;
    std::uint64_t tables_version = 0;
};

/// Runs the commands. Must be used on a fiber of `thread`, since the calls to the platform suspend it.
class command_runner {
public:
    explicit command_runner(io_thread& thread)
        : m_thread(thread), m_platform(thread.io(), parse_endpoint(FLAGS_platform, "--platform"), timeout()),
          m_store(m_platform) {}

    exit_code validate() {
        auto const declared = read_declared();
        if (as_json()) {
            std::cout << nlohmann::json{{"valid", true},
                                        {"routes", declared.routes.size()},
                                        {"pools", declared.pools.size()}}
                             .dump()
                      << "\n";
        } else {
            std::cout << "valid: " << declared.routes.size() << " routes, " << declared.pools.size()
                      << " pools\n";
        }
        return exit_code::success;
    }

    exit_code diff() {
        auto const declared = read_declared();
        auto const current = m_store.current().tables_content;
        print_difference(diff_tables(
            current, merge_tables(m_store.revision(read_lock()).tables_content, declared, current)));
        return exit_code::success;
    }

    exit_code apply() {
        auto const declared = read_declared();
        auto const started = std::chrono::steady_clock::now();
        auto const edit_id = FLAGS_edit_id.empty() ? new_edit_id() : FLAGS_edit_id;
        std::cerr << "edit " << edit_id << "\n";
        auto const result = m_store.merge_and_commit(declared, read_lock(), edit_id, author(), unix_ms_now());
        write_lock(result.revision.version);
        if (!FLAGS_wait) {
            print_applied(result, std::nullopt);
            return exit_code::success;
        }
        bool const in_force = wait_in_force(result.revision.version, started);
        auto const elapsed_ms =
            std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::steady_clock::now() - started)
                .count();
        print_applied(result, in_force ? std::optional(elapsed_ms) : std::nullopt);
        return in_force ? exit_code::success : exit_code::outcome_unknown;
    }

    exit_code show() {
        auto const revision = FLAGS_at_version == 0
                                  ? m_store.current()
                                  : m_store.revision(static_cast<std::uint64_t>(FLAGS_at_version));
        if (as_json()) {
            std::cout << encode_revision(revision) << "\n";
        } else {
            std::cout << "# version " << revision.version << "\n"
                      << format_routes(revision.tables_content) << format_pools(revision.tables_content);
        }
        return exit_code::success;
    }

    exit_code history() {
        auto document = nlohmann::json::array();
        for (auto const& revision : m_store.history(static_cast<std::size_t>(FLAGS_count))) {
            document.push_back({{"version", revision.version},
                                {"edit_id", revision.edit_id},
                                {"author", revision.author},
                                {"accepted_unix_ms", revision.accepted_unix_ms}});
            if (!as_json()) {
                std::cout << revision.version << "\t" << revision.accepted_unix_ms << "\t" << revision.author
                          << "\t" << revision.edit_id << "\n";
            }
        }
        if (as_json()) {
            std::cout << document.dump() << "\n";
        }
        return exit_code::success;
    }

    exit_code status() {
        auto document = nlohmann::json::array();
        bool all_answered = true;
        for (auto const& status : query_instances()) {
            all_answered = all_answered && status.answered;
            document.push_back({{"id", format_instance_id(status.entry.id)},
                                {"zone", status.entry.zone},
                                {"caller_address", pomelospread::to_string(status.entry.caller_address)},
                                {"answers", status.answered},
                                {"leaving", status.entry.leaving},
                                {"tables_version", status.tables_version}});
            if (!as_json()) {
                std::cout << format_instance_id(status.entry.id) << "\t" << status.entry.zone << "\t"
                          << pomelospread::to_string(status.entry.caller_address) << "\t"
                          << (status.answered ? "version " + std::to_string(status.tables_version)
                                              : "no answer")
                          << (status.entry.leaving ? "\tleaving" : "") << "\n";
            }
        }
        if (as_json()) {
            std::cout << document.dump() << "\n";
        }
        return all_answered ? exit_code::success : exit_code::failure;
    }

    exit_code account() {
        account_query const query{
            .customer = FLAGS_customer, .from_unix_ms = FLAGS_from, .to_unix_ms = FLAGS_to};
        std::vector<instance_id> live;
        for (auto const& entry : static_cast<instance_registry&>(m_platform).list_instances()) {
            live.push_back(entry.id);
        }
        auto const result =
            export_account(m_platform.objects(), query, live, [](std::size_t done, std::size_t total) {
                std::cerr << "\rsegments " << done << " of " << total << std::flush;
            });
        std::cerr << "\n";
        write_account(std::cout, result,
                      FLAGS_format == "csv" ? account_format::csv : account_format::json_lines);
        for (auto const& gap : result.coverage_gaps) {
            std::cerr << "records may be missing: instance " << format_instance_id(gap.owner) << ", "
                      << gap.reason << "\n";
        }
        return result.coverage_gaps.empty() ? exit_code::success : exit_code::outcome_unknown;
    }

private:
    static std::chrono::milliseconds timeout() { return std::chrono::milliseconds(FLAGS_timeout_ms); }

    static std::int64_t unix_ms_now() {
        auto const now = std::chrono::system_clock::now().time_since_epoch();
        return std::chrono::duration_cast<std::chrono::milliseconds>(now).count();
    }

    static std::string new_edit_id() {
        return format_instance_id(thread_random()()) + format_instance_id(thread_random()());
    }

    static std::string author() {
        if (!FLAGS_author.empty()) {
            return FLAGS_author;
        }
        char const* user = std::getenv("USER");
        return user == nullptr ? "unknown" : user;
    }

    static void print_applied(edit_result const& result, std::optional<std::int64_t> in_force_ms) {
        if (as_json()) {
            nlohmann::json document{{"version", result.revision.version},
                                    {"edit_id", result.revision.edit_id},
                                    {"unchanged", result.unchanged}};
            if (FLAGS_wait) {
                document["in_force_everywhere"] = in_force_ms.has_value();
                document["milliseconds"] = in_force_ms.value_or(0);
            }
            std::cout << document.dump() << "\n";
            return;
        }
        std::cout << (result.unchanged ? "unchanged, version " : "accepted as version ")
                  << result.revision.version << "\n";
        if (in_force_ms) {
            std::cout << "in force in every live instance after " << *in_force_ms << " ms\n";
        } else if (FLAGS_wait) {
            std::cout << "not yet in force in every live instance; see status\n";
        }
    }

    std::vector<instance_status> query_instances() {
        std::vector<instance_status> result;
        for (auto const& entry : static_cast<instance_registry&>(m_platform).list_instances()) {
            result.push_back(query_instance(entry));
        }
        return result;
    }

    instance_status query_instance(instance_entry const& entry) {
        instance_status status{.entry = entry};
        try {
            auto const deadline = std::chrono::steady_clock::now() + timeout();
            http_connection connection(m_thread.io(), entry.admin_address, deadline);
            http_request const request(boost::beast::http::verb::get, "/status", 11);
            auto const response = connection.exchange(request, std::size_t{1024} * 1024, deadline);
            status.tables_version =
                nlohmann::json::parse(response.body()).at("tables_version").get<std::uint64_t>();
            status.answered = true;
        } catch (error const&) {
            status.answered = false;
        }
        return status;
    }

    /// Returns whether the version came into force within `--wait_ms` in every instance that answers, at
    /// least one. Instances that do not answer are ignored.
    bool wait_in_force(std::uint64_t version, std::chrono::steady_clock::time_point started) {
        constexpr auto poll_interval = std::chrono::milliseconds(20);
        while (std::chrono::steady_clock::now() - started < std::chrono::milliseconds(FLAGS_wait_ms)) {
            auto const statuses = query_instances();
            bool const everywhere = std::ranges::all_of(statuses, [&](instance_status const& status) {
                return !status.answered || status.tables_version >= version;
            });
            auto const answered = std::ranges::count_if(statuses, &instance_status::answered);
            if (everywhere && answered > 0) {
                return true;
            }
            boost::this_fiber::sleep_for(poll_interval);
        }
        return false;
    }

    io_thread& m_thread;
    platform_client m_platform;
    table_store m_store;
};

struct command {
    std::string_view name;
    exit_code (command_runner::*run)();
};

constexpr std::array commands{
    command{"validate", &command_runner::validate},
    command{"diff", &command_runner::diff},
    command{"apply", &command_runner::apply},
    command{"show", &command_runner::show},
    command{"history", &command_runner::history},
    command{"status", &command_runner::status},
    command{"account export", &command_runner::account},
};

void check_settings() {
    std::vector<field_problem> problems;
    check_range(problems, "count", FLAGS_count, 1, 100000);
    check_range(problems, "wait_ms", FLAGS_wait_ms, 1, 600000);
    check_range(problems, "timeout_ms", FLAGS_timeout_ms, 10, 60000);
    check_range(problems, "at_version", FLAGS_at_version, 0, INT64_MAX);
    if (FLAGS_output != "text" && FLAGS_output != "json") {
        problems.push_back({.field = "--output",
                            .problem = "\"" + FLAGS_output + "\" is not a format",
                            .allowed = "text, json"});
    }
    if (FLAGS_format != "jsonl" && FLAGS_format != "csv") {
        problems.push_back({.field = "--format",
                            .problem = "\"" + FLAGS_format + "\" is not a format",
                            .allowed = "jsonl, csv"});
    }
    if (!problems.empty()) {
        throw invalid_input(std::move(problems));
    }
}

exit_code run_on_fiber(command const& chosen) {
    io_thread thread("command");
    std::promise<exit_code> result;
    thread.spawn([&] {
        try {
            command_runner runner(thread);
            result.set_value((runner.*chosen.run)());
        } catch (...) {
            result.set_exception(std::current_exception());
        }
    });
    return result.get_future().get();
}

} // namespace

exit_code run_command(std::span<char* const> arguments) {
    auto const command_line = parse_command_line(arguments, definition_file);
    if (command_line.help) {
        std::cout << usage << describe_flags(definition_file);
        return exit_code::success;
    }
    if (command_line.version) {
        std::cout << "pomelospreadctl " POMELOSPREAD_VERSION "\n";
        return exit_code::success;
    }
    check_settings();
    if (!command_line.positional.empty() && is_log_command(command_line.positional.front())) {
        return run_log_command(command_line.positional);
    }
    std::string name;
    for (auto const& word : command_line.positional) {
        name += (name.empty() ? "" : " ") + word;
    }
    auto const chosen = std::ranges::find(commands, name, &command::name);
    if (chosen == commands.end()) {
        throw invalid_input({{.field = "command",
                              .problem = "\"" + name + "\" is not a command",
                              .allowed = "validate, diff, apply, show, history, status, account export, "
                                         "explain, summarize"}});
    }
    if (chosen->name == "account export" && FLAGS_customer.empty()) {
        throw invalid_input(
            {{.field = "--customer", .problem = "is missing", .allowed = "a customer's name"}});
    }
    return run_on_fiber(*chosen);
}

exit_code report_failure(std::exception const& failure) {
    auto code = exit_code::failure;
    if (dynamic_cast<invalid_input const*>(&failure) != nullptr) {
        code = exit_code::usage;
    } else if (dynamic_cast<merge_conflict const*>(&failure) != nullptr ||
               dynamic_cast<version_conflict const*>(&failure) != nullptr) {
        code = exit_code::conflict;
    } else if (dynamic_cast<platform_unavailable const*>(&failure) != nullptr) {
        code = exit_code::unavailable;
    } else if (dynamic_cast<platform_outcome_unknown const*>(&failure) != nullptr) {
        code = exit_code::outcome_unknown;
    }
    if (FLAGS_output == "json") {
        nlohmann::json const document{{"error", failure.what()}, {"exit_code", static_cast<int>(code)}};
        std::cerr << document.dump() << "\n";
    } else {
        std::cerr << "pomelospreadctl: " << failure.what() << "\n";
    }
    return code;
}

} // namespace pomelospread
