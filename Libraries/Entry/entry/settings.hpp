// The settings of an entry instance, from flags and environment variables.
#pragma once

#include "base/endpoint.hpp"
#include "base/log.hpp"
#include "coordination/claim_window.hpp"
#include "coordination/membership.hpp"
#include "coordination/placement.hpp"
#include "coordination/target_pool.hpp"
#include "protocol/http_types.hpp"

#include <chrono>
#include <optional>
#include <string>
#include <vector>

namespace pomelospread {

/// Every setting, validated.
struct instance_settings {
    endpoint caller_address;
    endpoint peer_address;
    endpoint admin_address;
    std::string zone;
    std::optional<endpoint> platform_address; ///< Empty for the platform in memory.
    std::string routes_file;                  ///< Initial tables of the platform in memory.
    std::string pools_file;
    std::size_t worker_threads = 2;
    log_level min_log_level = log_level::info;
    log_format log_output_format = log_format::key_value;
    http_limits http;
    membership_limits membership;
    placement_limits placement;
    claim_window_limits claims;
    target_pool_policy policy;
    std::chrono::milliseconds platform_timeout{1000};
    std::chrono::milliseconds table_poll_interval{500};
    std::chrono::milliseconds instance_list_poll_interval{2000};
    std::chrono::milliseconds claim_timeout{250};
    std::chrono::milliseconds drain_duration{12000};
    std::chrono::milliseconds account_flush_interval{2000};
    std::chrono::milliseconds load_update_interval{2};
    std::size_t pool_queue_capacity = 1000; ///< Requests that may wait for one pool.
    std::size_t journal_capacity = 200000;
    std::size_t max_idle_connections_per_target = 16; ///< Per thread.
};

/// Reads the gflags that `parse_command_line` set. Throws `invalid_input` listing every invalid setting.
[[nodiscard]] instance_settings read_settings();

/// The help text of all settings.
[[nodiscard]] std::string settings_help();

/// Source file that defines the flags of the entry instance; `parse_command_line` selects flags by it.
constexpr std::string_view settings_flags_source = "entry/settings.cpp";

} // namespace pomelospread
