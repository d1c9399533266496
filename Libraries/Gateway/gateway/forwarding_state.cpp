#include "gateway/forwarding_state.hpp"

#include <algorithm>

namespace pomelospread {

void extra_attempt_budgets::set_home_count(std::size_t count) {
    m_instance_burst = count == 0 ? 1.0 : std::max(1.0, m_fleet_burst / static_cast<double>(count));
    for (auto& [pool, budget] : m_budgets) {
        budget->set_burst(m_instance_burst);
    }
}

ratio_budget& extra_attempt_budgets::budget_for(std::string const& pool) {
    auto& budget = m_budgets[pool];
    if (budget == nullptr) {
        budget = std::make_unique<ratio_budget>(m_ratio, m_instance_burst);
    }
    return *budget;
}

forwarding_state::forwarding_state(gateway_settings initial_settings, forwarding_wire_format const& format,
                                   instance_id self)
    : settings(std::move(initial_settings)), wire_format(format),
      routes(std::make_shared<route_index const>(routing_tables{})),
      selector(settings.zone, {.cold_targets = {.fleet_slack = settings.cold_target_slack}}),
      extra_attempts(settings.extra_attempt_ratio, settings.extra_attempt_burst),
      hedges(settings.hedge_ratio, settings.extra_attempt_burst),
      rates({.fleet_slack = settings.workspace_rate_slack}),
      account(self, settings.journal_capacity, counters) {}

void forwarding_state::set_fleet_share(bool knows_fleet, bool is_home, std::size_t max_homes) {
    max_homes_per_host = max_homes;
    selector.set_knows_homes(knows_fleet);
    auto const home_count = knows_fleet && is_home ? max_homes : 0;
    extra_attempts.set_home_count(home_count);
    hedges.set_home_count(home_count);
}

double forwarding_state::probes_per_second(std::string const& target) const {
    return settings.fleet_probes_per_target_per_second * selector.probe_share(target, max_homes_per_host);
}

} // namespace pomelospread
