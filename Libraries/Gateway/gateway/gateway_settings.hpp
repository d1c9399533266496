// The settings of a forwarding instance, read from a settings file, flags and environment variables.
#pragma once

#include "base/endpoint.hpp"
#include "base/log.hpp"
#include "coordination/home_selection.hpp"

#include <chrono>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace pomelospread {

/// The validated settings.
struct gateway_settings {
    endpoint caller_address;        ///< For requests.
    endpoint readiness_address;     ///< For the platform's readiness checks.
    endpoint address_query_address; ///< For callers' address queries.
    endpoint peer_address;          ///< For other instances, TCP and UDP.
    std::optional<endpoint> admin_address;
    endpoint store_address;
    std::string zone;
    std::vector<std::string> seed_addresses; ///< IP addresses of instances that may be running.
    std::string settings_file;
    log_level min_log_level = log_level::info;
    std::chrono::milliseconds shutdown_grace_period{6000}; ///< Between the stop signal and the kill.
    std::chrono::milliseconds address_ttl{2000};
    std::chrono::milliseconds account_flush_interval{10000};
    double extra_attempt_ratio = 0.2;               ///< Extra attempts per request, over the fleet.
    double extra_attempt_burst = 20;                ///< Most extra attempts in a burst, over the fleet.
    double hedge_ratio = 0.05;                      ///< Hedges per request, over the fleet; 0 for none.
    home_limits homes;                              ///< Minimum homes of a pool in each zone.
    std::uint32_t processor_permille = 1000;        ///< Thousandths of a core that this instance may use.
    double fleet_probes_per_target_per_second = 30; ///< Load probes of one target, over the fleet.
    std::size_t probed_candidates = 3; ///< Targets that are probed before one is chosen; 0 for none.
    /// A target with a younger load report is not probed.
    std::chrono::milliseconds fresh_report_max_age{25};
    std::size_t max_direct_fleet_size = 24; ///< A larger fleet distributes changes through relays.
    bool is_first_start = false; ///< The fleet starts as a whole, so all instances register at once.
    /// Requests beyond rate and burst that are tolerated of a workspace, over the fleet.
    double workspace_rate_slack = 20;
    double cold_target_slack = 8; ///< Requests beyond its rate that a cold target gets in a second.
    std::size_t journal_capacity = 20000;
    std::uint32_t log_lines_per_second = 500; ///< Limit for each event.
};

/// Reads the settings file when `--settings` names one, then `arguments`. Throws `invalid_input`.
[[nodiscard]] gateway_settings read_gateway_settings(std::span<char* const> arguments);

[[nodiscard]] std::string gateway_settings_help();

constexpr std::string_view gateway_flags_source = "gateway/gateway_settings.cpp";

} // namespace pomelospread
