#include "scenario.hpp"

#include <array>

namespace {

constexpr std::array scenarios{
    scenario{.name = "quiet"},
    scenario{.name = "stragglers", .mean_time_between_slow_phases_s = 2},
    scenario{.name = "load-steps", .mean_time_between_slow_phases_s = 2, .load_step_duration_s = 0.05},
    scenario{.name = "fast-failing", .mean_time_between_slow_phases_s = 2, .fast_failing = true},
    scenario{.name = "cold-start", .mean_time_between_slow_phases_s = 2, .cold_start = true},
    scenario{.name = "drain", .mean_time_between_slow_phases_s = 2, .drain = true},
    scenario{.name = "uneven-callers", .mean_time_between_slow_phases_s = 2, .first_home_share = 0.8},
    scenario{.name = "home-lost", .mean_time_between_slow_phases_s = 2, .home_fails = true},
    scenario{.name = "third-ignores-homes",
             .mean_time_between_slow_phases_s = 2,
             .home_ignoring_share = 1.0 / 3.0},
};

constexpr std::array pools{
    pool_shape{"badge-register", 13, 6}, pool_shape{"fees-ledger", 7, 6},
    pool_shape{"pitch-marshal", 6, 6},   pool_shape{"notice-board", 20, 2},
    pool_shape{"slide-relay", 8, 2},     pool_shape{"classroom-control", 6, 2},
};

} // namespace

std::span<scenario const> all_scenarios() {
    return scenarios;
}

std::span<pool_shape const> all_pools() {
    return pools;
}
