// The list of strategies: the system's strategy, and those that it is compared with.
#pragma once

#include "coordination/target_pool.hpp"
#include "simulation.hpp"

#include <memory>
#include <span>
#include <string_view>

/// A strategy under the name by which it is selected and reported.
struct named_strategy {
    std::string_view name;
    /// Makes the strategy for one run.
    std::unique_ptr<strategy> (*make)(simulation const& sim, std::uint64_t seed);
    bool is_baseline = false;
};

/// Every strategy: the baselines, the omniscient bound, the system's strategy, and variants of it in which
/// one part is turned off or changed.
[[nodiscard]] std::span<named_strategy const> all_strategies();
