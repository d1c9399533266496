#include "scenario.hpp"

#include <array>

namespace {

constexpr std::array scenarios{
    scenario{.name = "quiet"},
    scenario{.name = "stragglers", .slow_period = 2},
    scenario{.name = "load-steps", .slow_period = 2, .load_step_period = 0.05},
    scenario{.name = "fast-failing", .slow_period = 2, .fast_failing = true},
    scenario{.name = "cold-start", .slow_period = 2, .cold_start = true},
    scenario{.name = "drain", .slow_period = 2, .drain = true},
    scenario{.name = "uneven-callers", .slow_period = 2, .uneven = 0.8},
    scenario{.name = "home-lost", .slow_period = 2, .home_lost = true},
    scenario{.name = "third-ignores-homes", .slow_period = 2, .ignoring = 1.0 / 3.0},
};

constexpr std::array pools{
    pool_size{"badge-register", 13, 6}, pool_size{"fees-ledger", 7, 6}, pool_size{"pitch-marshal", 6, 6},
    pool_size{"notice-board", 20, 2},   pool_size{"slide-relay", 8, 2}, pool_size{"classroom-control", 6, 2},
};

} // namespace

std::span<scenario const> all_scenarios() {
    return scenarios;
}

std::span<pool_size const> all_pools() {
    return pools;
}
