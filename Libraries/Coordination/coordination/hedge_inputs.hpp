// Reads the inputs of `hedge_policy` from what an instance knows of its targets.
#pragma once

#include "coordination/hedge_policy.hpp"
#include "coordination/target_selector.hpp"

#include <optional>
#include <string>
#include <string_view>

namespace pomelospread {

[[nodiscard]] hedge_pool_times read_pool_times(target_selector const& selector, std::string_view pool);

/// Sets what `target` reported last.
void set_last_report(hedged_request& request, target_selector const& selector, std::string const& target,
                     target_selector::time_point now);

/// The state of a target that `target_selector::best_reported_target` returned.
[[nodiscard]] std::optional<hedge_target> to_hedge_target(std::optional<target_choice> const& choice);

} // namespace pomelospread
