// The scenarios, pools and fleet in which the choice of target is measured.
#pragma once

#include <cstdint>
#include <span>
#include <string>
#include <string_view>

/// Conditions of a run. Times are in seconds of virtual time.
struct scenario {
    std::string_view name;
    double mean_time_between_slow_phases_s = 0; ///< Mean time between two slow phases of a target; 0: none.
    double slow_duration_s = 0.1;               ///< Length of a slow phase.
    double slow_factor = 4;                     ///< Work takes this many times longer in a slow phase.
    /// The load alternates between 0.75 and 1.25 times its mean and changes after this time; 0: it is
    /// constant.
    double load_step_duration_s = 0;
    /// In the middle half of the run, one target responds with 503 after a tenth of the mean service time.
    bool fast_failing = false;
    /// One target joins in the middle of the run and takes three times longer for requests it starts in its
    /// first 2 s.
    bool cold_start = false;
    bool drain = false; ///< One target leaves in the middle of the run.
    /// One home instance fails in the middle of the run; the next instance becomes a home and receives its
    /// callers.
    bool home_fails = false;
    /// Share of the requests that arrive at the first home; the other homes receive the rest in equal parts.
    double first_home_share = 0.5;
    double home_ignoring_share = 0; ///< Share of the requests that arrive at any instance instead of a home.
};

/// Every scenario; the first one is without faults and slow phases.
[[nodiscard]] std::span<scenario const> all_scenarios();

/// Number of targets and slots of one of the simulated pools; the sizes are those of the requirements.
struct pool_shape {
    std::string_view name;
    std::uint32_t targets;
    std::uint32_t slots; ///< Of each target.
};

[[nodiscard]] std::span<pool_shape const> all_pools();

/// The instances and the network latencies, the same for both users of the balancer.
struct fleet_parameters {
    static constexpr std::uint32_t instances = 15;
    static constexpr double one_way_latency_s = 0.00075; ///< Between instance and target.
    static constexpr double inter_instance_latency_s = 0.0015;
    static constexpr double mean_service_time_s = 0.010;
    /// Shortest time between two reports of in-flight counts by the same instance.
    static constexpr double min_load_update_interval_s = 0.002;
};
