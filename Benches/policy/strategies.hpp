// The system's policy, the usual policies beside it, and a limit that no real policy reaches.
#pragma once

#include "coordination/target_pool.hpp"
#include "simulation.hpp"

#include <memory>
#include <span>
#include <string_view>

/// Makes a strategy for one run.
struct named_strategy {
    std::string_view name;
    std::unique_ptr<strategy> (*make)(simulation const& world, std::uint64_t seed);
    bool is_baseline = false;
};

/// Every strategy: the baselines, the limit, the system's policy, and it with one part taken out.
[[nodiscard]] std::span<named_strategy const> all_strategies();
