#include "coordination/hedge_inputs.hpp"

namespace pomelospread {

namespace {

/// The number of other instances' requests is an estimate that decays; below this it rounds to none.
constexpr double max_idle_in_flight = 0.5;

} // namespace

hedge_pool_times read_pool_times(target_selector const& selector, std::string_view pool) {
    return {.typical_service_time = selector.typical_service_time(pool),
            .mean_service_time = selector.current_service_time(pool),
            .high_response_time = selector.high_response_time(pool),
            .mean_slowdown = selector.mean_slowdown(pool)};
}

void set_last_report(hedged_request& request, target_selector const& selector, std::string const& target,
                     target_selector::time_point now) {
    if (auto const report = selector.last_report(target)) {
        request.slowdown = report->slowdown;
        request.report_age = now - report->reported_at;
    }
}

std::optional<hedge_target> to_hedge_target(std::optional<target_choice> const& choice) {
    if (!choice) {
        return std::nullopt;
    }
    return hedge_target{.is_idle = choice->own_in_flight == 0 && choice->other_in_flight < max_idle_in_flight,
                        .slowdown = choice->slowdown,
                        .report_age = std::chrono::milliseconds(choice->report_age_ms)};
}

} // namespace pomelospread
