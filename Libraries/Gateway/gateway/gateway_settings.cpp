#include "gateway/gateway_settings.hpp"

#include "base/flag_validator.hpp"
#include "base/flags.hpp"
#include "base/read_file.hpp"

#include <gflags/gflags.h>

#include <cmath>
#include <sstream>

DEFINE_string(settings, "", "Settings file, one --NAME=VALUE per line; lines that begin with # are ignored.");
DEFINE_string(callers, "127.0.0.1:8080", "Address for requests, IP-ADDRESS:PORT.");
DEFINE_string(readiness, "127.0.0.1:8083", "Address for readiness checks.");
DEFINE_string(addresses, "127.0.0.1:8084", "Address for callers' queries about which instances to use.");
DEFINE_string(peers, "127.0.0.1:8081", "Address for other instances, TCP and UDP.");
DEFINE_string(metrics, "", "Address for metrics and status; empty for none.");
DEFINE_string(store, "127.0.0.1:8090", "Address of the platform's store.");
DEFINE_string(own_zone, "zone-a", "Availability zone of this instance.");
DEFINE_string(seeds, "",
              "Addresses of instances that may be running, separated by commas; their ports are ignored.");
DEFINE_string(verbosity, "info", "Lowest level that is logged: debug, info, warning, error.");
DEFINE_double(stop_grace_s, 6.0, "Time from the stop signal to the kill, 1 to 600 s.");
DEFINE_double(address_keep_s, 2.0, "Time for which callers may cache an address response, 0.1 to 600 s.");
DEFINE_double(extra_share, 0.2, "Retries and hedges per request, over the entire fleet, 0 to 1.");
DEFINE_double(
    extra_slack, 40,
    "Unused retries and hedges of that share that can accumulate, over the entire fleet, 0 to 100000.");
DEFINE_double(forward_hedge_share, 0.2,
              "Hedges per request, over the entire fleet, 0 to 1; 0 for none. Each also counts towards "
              "--extra_share.");
DEFINE_double(account_flush_s, 10, "Time between writes of the account records, 0.1 to 600 s.");
DEFINE_int64(homes_per_zone, 2,
             "Minimum number of instances in a zone that receive the callers of a pool, 1 to 1000.");
DEFINE_double(home_processors, 0.4, "Minimum number of cores that these instances have together, 0 to 1000.");
DEFINE_double(processors, 1.0, "Cores that this instance may use, 0.001 to 1000.");
DEFINE_double(checks_per_s, 30, "Load probes of one target, over the entire fleet, 0 to 10000 per second.");
DEFINE_int64(checked_candidates, 3, "Targets that are probed before one is chosen, 0 to 16.");
DEFINE_int64(fresh_report_ms, 25,
             "A target with a load report younger than this is not probed, 0 to 10000 ms.");
DEFINE_int64(log_lines_per_s, 500,
             "Log lines of one event, 1 to 1000000 per second; further lines are only counted.");
DEFINE_int64(direct_fleet_size, 24,
             "Fleets up to this size send changes to each instance; larger ones use relays. 1 to 1000.");
DEFINE_bool(first_start, false, "The entire fleet starts now; registrations are then spread over 2 s.");
DEFINE_double(workspace_slack, 20,
              "Requests beyond rate and burst that are tolerated of a workspace, over the entire fleet, 0 to "
              "100000.");
DEFINE_double(cold_slack, 8,
              "Requests beyond its rate that a cold target may get in a second, over the entire fleet, 0 to "
              "1000.");
DEFINE_int64(account_capacity, 20000, "Account records held in memory, 100 to 10000000.");

namespace pomelospread {

namespace {

using std::chrono::milliseconds;

/// The parts of the configured limits that are used. The rest is headroom for the time in which instances
/// have not discovered each other yet.
constexpr double used_ratio_share = 0.8;
constexpr double used_burst_share = 0.6;
constexpr double used_probe_rate_share = 0.7;
constexpr double used_workspace_slack_share = 0.4;

class settings_reader : private flag_validator {
public:
    gateway_settings read() {
        gateway_settings result;
        result.caller_address = checked_endpoint("callers", FLAGS_callers);
        result.readiness_address = checked_endpoint("readiness", FLAGS_readiness);
        result.address_query_address = checked_endpoint("addresses", FLAGS_addresses);
        result.peer_address = checked_endpoint("peers", FLAGS_peers);
        result.store_address = checked_endpoint("store", FLAGS_store);
        if (!FLAGS_metrics.empty()) {
            result.admin_address = checked_endpoint("metrics", FLAGS_metrics);
        }
        result.zone = FLAGS_own_zone;
        result.settings_file = FLAGS_settings;
        read_seeds(result);
        collect_problems([&] { result.min_log_level = parse_log_level(FLAGS_verbosity); });
        result.shutdown_grace_period = checked_seconds("stop_grace_s", FLAGS_stop_grace_s, 1, 600);
        result.address_ttl = checked_seconds("address_keep_s", FLAGS_address_keep_s, 0.1, 600);
        result.account_flush_interval = checked_seconds("account_flush_s", FLAGS_account_flush_s, 0.1, 600);
        result.extra_attempt_ratio =
            checked_number("extra_share", FLAGS_extra_share, 0, 1) * used_ratio_share;
        result.extra_attempt_burst =
            checked_number("extra_slack", FLAGS_extra_slack, 0, 100000) * used_burst_share;
        result.hedge_ratio =
            checked_number("hedge_share", FLAGS_forward_hedge_share, 0, 1) * used_ratio_share;
        result.fleet_probes_per_target_per_second =
            checked_number("checks_per_s", FLAGS_checks_per_s, 0, 10000) * used_probe_rate_share;
        result.probed_candidates = checked_count("checked_candidates", FLAGS_checked_candidates, 0, 16);
        result.fresh_report_max_age =
            checked_milliseconds("fresh_report_ms", FLAGS_fresh_report_ms, 0, 10000);
        result.homes.min_instances = checked_count("homes_per_zone", FLAGS_homes_per_zone, 1, 1000);
        result.homes.min_processor_permille = checked_permille("home_processors", FLAGS_home_processors, 0);
        result.processor_permille = checked_permille("processors", FLAGS_processors, 0.001);
        result.log_lines_per_second =
            static_cast<std::uint32_t>(checked_integer("log_lines_per_s", FLAGS_log_lines_per_s, 1, 1000000));
        result.max_direct_fleet_size = checked_count("direct_fleet_size", FLAGS_direct_fleet_size, 1, 1000);
        result.workspace_rate_slack =
            checked_number("workspace_slack", FLAGS_workspace_slack, 0, 100000) * used_workspace_slack_share;
        result.cold_target_slack = checked_number("cold_slack", FLAGS_cold_slack, 0, 1000);
        result.is_first_start = FLAGS_first_start;
        result.journal_capacity = checked_count("account_capacity", FLAGS_account_capacity, 100, 10000000);
        throw_if_invalid();
        return result;
    }

private:
    std::uint32_t checked_permille(char const* name, double value, double low) {
        return static_cast<std::uint32_t>(std::lround(checked_number(name, value, low, 1000) * 1000.0));
    }

    milliseconds checked_seconds(char const* name, double value, double low, double high) {
        return milliseconds(std::llround(checked_number(name, value, low, high) * 1000.0));
    }

    void read_seeds(gateway_settings& result) {
        std::istringstream list(FLAGS_seeds);
        for (std::string seed; std::getline(list, seed, ',');) {
            if (!seed.empty()) {
                collect_problems(
                    [&] { result.seed_addresses.push_back(parse_endpoint(seed, "--seeds").address); });
            }
        }
    }
};

void read_settings_file(std::string const& path) {
    std::istringstream text(read_file(path, "--settings"));
    std::vector<std::string> lines;
    for (std::string line; std::getline(text, line);) {
        if (!line.empty() && line.front() != '#') {
            lines.push_back(line);
        }
    }
    std::vector<char*> arguments;
    arguments.reserve(lines.size());
    for (auto& line : lines) {
        arguments.push_back(line.data());
    }
    static_cast<void>(parse_command_line(arguments, gateway_flags_source));
}

} // namespace

gateway_settings read_gateway_settings(std::span<char* const> arguments) {
    static_cast<void>(parse_command_line(arguments, gateway_flags_source));
    if (!FLAGS_settings.empty()) {
        read_settings_file(FLAGS_settings);
        // Flags take precedence over the file.
        static_cast<void>(parse_command_line(arguments, gateway_flags_source));
    }
    return settings_reader().read();
}

std::string gateway_settings_help() {
    return describe_flags(gateway_flags_source);
}

} // namespace pomelospread
