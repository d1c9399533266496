// The cases that the choice of target is measured in.
#pragma once

#include <cstdint>
#include <span>
#include <string>
#include <string_view>

/// Times are seconds of virtual time.
struct scenario {
    std::string_view name;
    double mean_slow_interval_s = 0; ///< Each target turns slow this often on average; 0 is never.
    double slow_duration_s = 0.1;    ///< For this long.
    double slow_factor = 4;          ///< By this factor.
    double load_step_duration_s = 0; ///< The load alternates between 0.5 and 1.5 times its mean this often.
    bool fast_failing =
        false;               ///< One target answers 503 within a tenth of the service time, half of the run.
    bool cold_start = false; ///< One target joins in the middle, three times slower for its first 2 s.
    bool drain = false;      ///< One target leaves in the middle.
    bool home_fails = false; ///< One home dies in the middle; its callers move to the other instances.
    double first_home_share = 0.5;  ///< Share of the callers at the first home; the others share the rest.
    double home_ignoring_share = 0; ///< Share of callers that use any instance instead of a home.
};

/// Every scenario, the quiet one first.
[[nodiscard]] std::span<scenario const> all_scenarios();

/// A pool of the brief.
struct pool_shape {
    std::string_view name;
    std::uint32_t targets;
    std::uint32_t slots;
};

[[nodiscard]] std::span<pool_shape const> all_pools();

/// What both users' network and instances look like.
struct fleet_parameters {
    static constexpr std::uint32_t instances = 15;
    static constexpr double one_way_latency_s = 0.00075; ///< Between instance and target, seconds.
    static constexpr double inter_instance_latency_s = 0.0015;
    static constexpr double mean_service_time_s = 0.010;
    static constexpr double min_load_report_interval_s = 0.002; ///< Shortest time between in-flight counts.
};
